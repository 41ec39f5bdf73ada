package main

import (
	"log/slog"
	"os"
	"runtime"
	"runtime/debug"

	"maddergap/internal/daemon"
	"maddergap/internal/platform"
	"maddergap/internal/syscalls"
)

// runOnPlatform serves as an instance on a platform, with the configuration that the environment names.
func (s *serveCmd) runOnPlatform(io *streams) error {
	load := func() (*platform.Config, error) { return platform.Load(os.Getenv) }
	c, err := load()
	if err != nil {
		return err
	}
	c.Gateway.Telemetry.LogRequests = s.Requests
	if s.Inject != "" {
		if c.Gateway.SyscallFaults, err = syscalls.ParseFaultTable(s.Inject); err != nil {
			return usageError{err}
		}
	}
	runtime.GOMAXPROCS(1) // the platform grants one core, which other processes may share
	debug.SetMemoryLimit(c.Bounds.RuntimeMemoryBytes)
	newDaemon := func(log *slog.Logger) (*daemon.Daemon, error) {
		return daemon.NewPlatform(c, load, log, daemon.WithNodeStateLog(s.NodeStateInterval))
	}
	ready := func(d *daemon.Daemon, log *slog.Logger) {
		log.Info("serving", "listen", d.Addrs(), "discovery", c.DiscoveryAddr, "bounds", c.Bounds, "pid", os.Getpid())
	}
	return serve(io.err, newDaemon, ready, "instance", c.InstanceName)
}

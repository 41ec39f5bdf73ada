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

// platform runs a head in service on a platform.
func (s *serveCmd) platform(io *streams) error {
	load := func() (*platform.Config, error) { return platform.Load(os.Getenv) }
	c, err := load()
	if err != nil {
		return err
	}
	c.Gateway.Telemetry.LogRequests = s.Requests
	if s.Inject != "" {
		if c.Gateway.SyscallFaults, err = syscalls.ParseFaultTable(s.Inject); err != nil {
			return usage{err}
		}
	}
	runtime.GOMAXPROCS(1) // one core, which others may share
	debug.SetMemoryLimit(c.Bounds.RuntimeMemoryBytes)
	return attend(io.err, []any{"head", c.InstanceName},
		func(log *slog.Logger) (*daemon.Daemon, error) {
			return daemon.NewPlatform(c, nil, s.Beliefs, load, log)
		},
		func(d *daemon.Daemon, log *slog.Logger) {
			log.Info("serving", "listen", d.Addrs(), "discovery", c.DiscoveryAddr, "bounds", c.Bounds, "pid", os.Getpid())
		})
}

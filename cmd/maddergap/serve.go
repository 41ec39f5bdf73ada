package main

import (
	"errors"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"maddergap/internal/config"
	"maddergap/internal/daemon"
	"maddergap/internal/scenario"
)

// serveCmd runs a gateway instance, or the supervisor or a worker process of one.
type serveCmd struct {
	Config            string        `short:"c" type:"path" help:"Configuration file."`
	Platform          bool          `help:"Serve on a platform, by the configuration that its environment variables name."`
	Requests          bool          `help:"With --platform, log every request and failed attempt."`
	NodeStateInterval time.Duration `name:"beliefs" help:"With --platform, log at this interval the state that the scheduler holds of each node beside what is on its sockets."`
	Inject            string        `hidden:"" help:"With --platform, system calls that fail, for rehearsals."`
	PassThrough       bool          `hidden:"" help:"Send everything at once, for comparisons only."`
	Worker            int           `hidden:"" default:"-1" help:"Index of this worker process; its listen queues and its heartbeat pipe are inherited."`
	Queues            string        `hidden:"" help:"The listen queues that a worker inherits."`
}

// Run serves until SIGINT or SIGTERM. SIGHUP reloads the configuration.
func (s *serveCmd) Run(io *streams) error {
	if s.Platform == (s.Config != "") {
		return usageError{errors.New("serve: exactly one of --config FILE and --platform is required")}
	}
	if s.Platform {
		return s.runOnPlatform(io)
	}
	c, err := config.Load(s.Config)
	if err != nil {
		return err
	}
	if s.Worker >= 0 {
		return s.runWorker(c, io)
	}
	if c.Processes > 1 {
		return s.supervise(c, io)
	}
	return serveConfig(c, io, func(log *slog.Logger) (*daemon.Daemon, error) {
		return daemon.New(c, log, s.options()...)
	}, logServing(c))
}

// options returns the daemon options that the flags select.
func (s *serveCmd) options() []daemon.Option {
	if !s.PassThrough {
		return nil
	}
	return []daemon.Option{daemon.WithScheduler(scenario.NewPassThrough)}
}

// newDaemonFunc creates a daemon that logs to log.
type newDaemonFunc func(log *slog.Logger) (*daemon.Daemon, error)

// readyFunc is called when a daemon listens, before it serves.
type readyFunc func(d *daemon.Daemon, log *slog.Logger)

// logServing returns a readyFunc that logs the listen addresses and the node list.
func logServing(c *config.Config) readyFunc {
	return func(d *daemon.Daemon, log *slog.Logger) {
		log.Info("serving", "listen", d.Addrs(), "nodes", c.NodeList, "pid", os.Getpid())
	}
}

// serveConfig runs a daemon that logs to the file named in its configuration, or else to standard error.
// logAttrs are added to every log line.
func serveConfig(c *config.Config, std *streams, newDaemon newDaemonFunc, ready readyFunc, logAttrs ...any) error {
	if c.Telemetry.LogFile == "" {
		return serve(std.err, newDaemon, ready, logAttrs...)
	}
	file, err := os.OpenFile(c.Telemetry.LogFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer file.Close()
	return serve(file, newDaemon, ready, logAttrs...)
}

// serve runs a daemon that logs to logOutput. SIGINT or SIGTERM stops it, SIGHUP makes it reload its
// configuration. The signals are caught before the daemon is created, so that none of them ends the
// process while it listens.
func serve(logOutput io.Writer, newDaemon newDaemonFunc, ready readyFunc, logAttrs ...any) error {
	sink := daemon.NewLogSink(logOutput)
	defer sink.Close()
	log := slog.New(slog.NewJSONHandler(sink, nil)).With(logAttrs...)
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	defer signal.Stop(signals)
	d, err := newDaemon(log)
	if err != nil {
		return err
	}
	done := make(chan struct{})
	defer close(done)
	go handleSignals(d, signals, done)
	ready(d, log)
	return d.Run()
}

// handleSignals passes signals on to the daemon until done is closed.
func handleSignals(d *daemon.Daemon, signals <-chan os.Signal, done <-chan struct{}) {
	for {
		select {
		case sig := <-signals:
			if sig == syscall.SIGHUP {
				d.Reload()
			} else {
				d.Stop()
			}
		case <-done:
			return
		}
	}
}

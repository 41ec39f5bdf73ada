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
		return usageError{errors.New("serve: want one of --config FILE and --platform")}
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

// options are what the flags choose besides the configuration.
func (s *serveCmd) options() []daemon.Option {
	if !s.PassThrough {
		return nil
	}
	return []daemon.Option{daemon.WithScheduler(scenario.NewPassThrough)}
}

// newDaemon makes a daemon that logs to log.
type newDaemon func(log *slog.Logger) (*daemon.Daemon, error)

// readyFunc is called once a daemon listens.
type readyFunc func(d *daemon.Daemon, log *slog.Logger)

func logServing(c *config.Config) readyFunc {
	return func(d *daemon.Daemon, log *slog.Logger) {
		log.Info("serving", "listen", d.Addrs(), "nodes", c.NodeList, "pid", os.Getpid())
	}
}

// serveConfig runs a daemon that logs where its configuration says. logAttrs are in every line.
func serveConfig(c *config.Config, std *streams, open newDaemon, ready readyFunc, logAttrs ...any) error {
	if c.Telemetry.LogFile == "" {
		return serve(std.err, open, ready, logAttrs...)
	}
	file, err := os.OpenFile(c.Telemetry.LogFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer file.Close()
	return serve(file, open, ready, logAttrs...)
}

// serve runs a daemon that logs to out until SIGINT or SIGTERM, and reloads it at SIGHUP.
// Signals are taken from before the daemon listens, so that none of them ends the process.
func serve(out io.Writer, open newDaemon, ready readyFunc, logAttrs ...any) error {
	sink := daemon.NewLogSink(out)
	defer sink.Close()
	log := slog.New(slog.NewJSONHandler(sink, nil)).With(logAttrs...)
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	defer signal.Stop(signals)
	d, err := open(log)
	if err != nil {
		return err
	}
	done := make(chan struct{})
	defer close(done)
	go handleSignals(d, signals, done)
	ready(d, log)
	return d.Run()
}

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

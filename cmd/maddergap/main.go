// Command maddergap is a storage gateway: heads that schedule WebDAV requests
// over storage nodes.
package main

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"maddergap/internal/config"
	"maddergap/internal/daemon"
	"maddergap/internal/scenario"
)

type cli struct {
	Serve   serveCmd   `cmd:"" help:"Run a head."`
	Check   checkCmd   `cmd:"" help:"Check a configuration and its node list, and say every mistake."`
	Demo    demoCmd    `cmd:"" help:"Run a head with embedded stand-in nodes and two volumes."`
	Node    nodeCmd    `cmd:"" help:"Run a stand-in storage node (for tests and rehearsals, never for data)."`
	Badday  baddayCmd  `cmd:"" name:"badday" help:"Run a scripted bad day and judge the seven rules from the socket records."`
	Soak    soakCmd    `cmd:"" help:"Run a fleet of heads under drawn faults that overlap, and judge the rules from the socket records."`
	Flood   floodCmd   `cmd:"" help:"Press on a head with connections from many loopback addresses and tell what each kind of client got."`
	Bench   benchCmd   `cmd:"" help:"Measure the head against net/http/httputil.ReverseProxy."`
	Version versionCmd `cmd:"" help:"Print the version."`
}

// usage is a mistake of the caller's, exit code 2.
type usage struct{ error }

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(args []string, stdout, stderr io.Writer) int {
	var c cli
	exited := -1
	p, err := kong.New(&c, kong.Name("maddergap"), kong.Description("A storage gateway that keeps seven rules."),
		kong.Writers(stdout, stderr), kong.Exit(func(code int) { exited = code }), kong.UsageOnError(),
		kong.Bind(&streams{stdout, stderr}))
	if err != nil {
		fmt.Fprintln(stderr, "maddergap:", err)
		return 1
	}
	ctx, err := p.Parse(args)
	if exited >= 0 { // help was asked for
		return exited
	}
	if err != nil {
		fmt.Fprintln(stderr, "maddergap:", err, "(maddergap --help lists the commands)")
		return 2
	}
	err = ctx.Run()
	switch {
	case err == nil:
		return 0
	case errors.As(err, new(usage)):
		fmt.Fprintln(stderr, "maddergap:", err)
		return 2
	}
	fmt.Fprintln(stderr, "maddergap:", err)
	return 1
}

type streams struct{ out, err io.Writer }

type serveCmd struct {
	Config      string        `short:"c" type:"path" help:"Configuration file."`
	Platform    bool          `help:"Serve on a platform, by the configuration that its variables name."`
	Requests    bool          `help:"With --platform, log every request and attempt."`
	Beliefs     time.Duration `help:"With --platform, log this often what is held of each node beside what is on its sockets."`
	Inject      string        `hidden:"" help:"With --platform, system calls that fail, for rehearsals."`
	PassThrough bool          `hidden:"" help:"Send everything at once, for comparisons only."`
	Worker      int           `hidden:"" default:"-1" help:"One of several processes; its listen queues and its pipe are inherited."`
	Queues      string        `hidden:"" help:"The listen queues."`
}

func (s *serveCmd) Run(io *streams) error {
	switch {
	case s.Platform == (s.Config != ""):
		return usage{errors.New("serve: want one of --config FILE and --platform")}
	case s.Platform:
		return s.platform(io)
	}
	c, err := config.Load(s.Config)
	if err != nil {
		return err
	}
	var core daemon.SchedulerFactory
	if s.PassThrough {
		core = scenario.PassThrough
	}
	if c.Processes > 1 && s.Worker < 0 {
		return s.supervise(c, io)
	}
	w, err := s.worker()
	if err != nil {
		return err
	}
	return serve(w, core, c, io, func(d *daemon.Daemon, log *slog.Logger) {
		log.Info("serving", "listen", d.Addrs(), "nodes", c.NodeList, "pid", os.Getpid())
	})
}

// serve runs a head until SIGINT or SIGTERM; SIGHUP reloads.
func serve(w *daemon.Worker, core daemon.SchedulerFactory, c *config.Config, std *streams, ready func(*daemon.Daemon, *slog.Logger)) error {
	out := std.err
	if c.Telemetry.LogFile != "" {
		f, err := os.OpenFile(c.Telemetry.LogFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return err
		}
		defer f.Close()
		out = f
	}
	var who []any
	if w != nil {
		who = []any{"worker", w.Index}
	}
	return attend(out, who, func(log *slog.Logger) (*daemon.Daemon, error) { return daemon.NewWith(w, core, c, log) }, ready)
}

// attend opens a daemon that logs to out and runs it until SIGINT or SIGTERM; SIGHUP
// reloads. who stands in every line of the log.
func attend(out io.Writer, who []any, open func(*slog.Logger) (*daemon.Daemon, error), ready func(*daemon.Daemon, *slog.Logger)) error {
	sink := daemon.NewSink(out)
	defer sink.Close()
	log := slog.New(slog.NewJSONHandler(sink, nil)).With(who...)
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	defer signal.Stop(signals)
	d, err := open(log)
	if err != nil {
		return err
	}
	done := make(chan struct{})
	defer close(done)
	go func() {
		for {
			select {
			case s := <-signals:
				if s == syscall.SIGHUP {
					d.Reload()
				} else {
					d.Stop()
				}
			case <-done:
				return
			}
		}
	}()
	ready(d, log)
	return d.Run()
}

type checkCmd struct {
	Config string `required:"" short:"c" type:"path" help:"Configuration file."`
}

func (s *checkCmd) Run(io *streams) error {
	c, err := config.Load(s.Config)
	if err != nil {
		return err
	}
	n, err := daemon.CheckNodes(c)
	if err != nil {
		return err
	}
	fmt.Fprintf(io.out, "%s: good; %d volumes, %d classes, %d plans, %d routes, %d nodes\n", s.Config,
		len(c.Volumes), len(c.Scheduler.Classes), len(c.Scheduler.Plans), len(c.Routes), n)
	return nil
}

type versionCmd struct{}

func (versionCmd) Run(io *streams) error {
	version, revision := "(devel)", ""
	if b, ok := debug.ReadBuildInfo(); ok {
		if b.Main.Version != "" {
			version = b.Main.Version
		}
		for _, s := range b.Settings {
			if s.Key == "vcs.revision" {
				revision = " " + s.Value
			}
		}
	}
	fmt.Fprintf(io.out, "maddergap %s%s\n", version, revision)
	return nil
}

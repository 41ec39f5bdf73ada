package daemon

import (
	"errors"
	"fmt"
	"log/slog"
	"math"
	"reflect"
	"runtime"
	"runtime/debug"
	"time"

	"golang.org/x/sys/unix"

	"maddergap/internal/discovery"
	"maddergap/internal/head"
	"maddergap/internal/loop"
	"maddergap/internal/platform"
	"maddergap/logic"
)

// readyAfter is for how long a head that was told of nodes at its start waits for a
// newer list before it says that it is ready.
const readyAfter = time.Second

// service is what a head has of the platform it is in service on.
type service struct {
	c    *platform.Config
	load func() (*platform.Config, error)
	feed *discovery.Client
	told int // lists logged
	want error
	// Beliefs are logged this often, 0: never.
	every    time.Duration
	compared time.Duration
}

// NewPlatform opens a head in service on the platform: its clients' protocol, its
// nodes' and its node list. load reads the configuration again; beliefs is how often what
// the module holds is compared with the sockets in the log, 0 for never.
func NewPlatform(c *platform.Config, core CoreOf, beliefs time.Duration, load func() (*platform.Config, error), log *slog.Logger) (*Daemon, error) {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err == nil && limit.Cur < uint64(c.Bounds.Descriptors()) {
		return nil, fmt.Errorf("%s: the bounds need %d descriptors, the limit is %d", c.Conf.File, c.Bounds.Descriptors(), limit.Cur)
	}
	runtime.GOMAXPROCS(1) // one core, which others may share
	debug.SetMemoryLimit(c.Bounds.Memory)
	l, err := loop.New(c.Conf.Clients+8, c.Bounds.Told)
	if err != nil {
		return nil, err
	}
	d := &Daemon{c: c.Conf, log: log, loop: l, turns: newTurns(log), service: &service{c: c, load: load, every: beliefs}}
	if err := d.openPlatform(core); err != nil {
		l.Close()
		return nil, err
	}
	return d, nil
}

func (d *Daemon) openPlatform(core CoreOf) (err error) {
	c, s := d.c, d.service
	if d.obs, err = newObserver(c, d.log, d.loop.Start()); err != nil {
		return err
	}
	if core == nil {
		core = func(s logic.Settings, seed uint64, now logic.Time) (head.Core, error) { return logic.New(s, seed, now) }
	}
	decides, err := core(c.Logic, c.Seed, d.loop.Now())
	if err != nil {
		return err
	}
	d.head = head.NewWith(decides, c, c.Seed, d.loop.Now(), d.loop.Start(), d.obs)
	d.loop.Head, d.loop.Woken = d.head, d.woken
	d.loop.Turned = func(t *loop.Turn) { d.turns.took(d.loop.Now(), t) }
	s.feed = discovery.New(s.c.Discovery, discovery.Names{Zones: s.c.Facts.Zones}, c.Seed)
	p := s.c.Protocol()
	known := false
	if s.c.Known != nil {
		if nodes, err := s.feed.Nodes(s.c.Known); err != nil {
			d.log.Warn("the list of the configuration is not used", "cause", err)
		} else if len(nodes) > 0 {
			d.head.Nodes(d.loop.Now(), nodes)
			known = true
		}
	}
	started := d.loop.Now()
	p.Ready = func() bool { return s.feed.Told() || known && d.loop.Now() >= started+readyAfter }
	d.head.Speak(p)
	d.head.Follow(s.feed)
	for _, addr := range c.Listen {
		bound, err := d.loop.Listen(addr, nil)
		if err != nil {
			return err
		}
		d.addrs = append(d.addrs, bound)
	}
	return nil
}

// again takes a new configuration: where discovery is. What the module was told at
// start, and the bounds, stay as they are.
func (s *service) again(d *Daemon) error {
	c, err := s.load()
	if err != nil {
		return err
	}
	if c.Discovery != s.c.Discovery {
		d.log.Info("discovery moves", "from", s.c.Discovery, "to", c.Discovery)
		s.feed.Move(d.loop.Now(), c.Discovery)
		s.c.Discovery = c.Discovery
	}
	if fmt.Sprint(c.Conf.Listen) != fmt.Sprint(d.c.Listen) || !reflect.DeepEqual(c.Conf.Logic, d.c.Logic) || c.Bounds != s.c.Bounds {
		return errors.New("discovery is followed where the file says; listen, settings and limits change with a restart only")
	}
	return nil
}

// watch logs what befell the node list since it was last called.
func (s *service) watch(d *Daemon) {
	if s.feed.Fault != s.want {
		if s.want = s.feed.Fault; s.want != nil {
			d.log.Warn("the node list is not news; the last good one stays in force", "cause", s.want)
		}
	}
	if now := d.loop.Now(); s.every > 0 && now >= s.compared+s.every {
		s.compared = now
		s.compare(d)
	}
}

// comparedMost bounds the lines of one comparison.
const comparedMost = 64

// compare logs what the module holds of each node beside what is on its sockets. The
// two differ where attempts are written off, or where the head has told nothing yet.
func (s *service) compare(d *Daemon) {
	n := d.head.Counts()
	d.log.Info("belief", "version", s.feed.Version(), "lists", s.feed.Lists, "lag", n.Lag, "clients", n.Clients,
		"node_connections", n.NodeConns, "taken", n.Taken, "served", n.Served, "refused", n.Refused, "failed", n.Failed, "left", n.Left)
	for i, v := range d.head.View() {
		if i == comparedMost {
			break
		}
		d.log.Info("node", "node", v.Node, "state", int(v.State), "out", v.Out, "counted", v.Counted, "on_sockets", v.Sockets.Open, "unsent", v.Unsent,
			"idle", v.Idle, "held", v.Held, "window", math.Round(v.Window*100)/100, "answer", v.Answer, "pressure", math.Round(v.Pressure*100)/100,
			"breaker", v.View.Open, "cold", v.Cold, "differs", v.Out != v.Sockets.Open)
	}
}

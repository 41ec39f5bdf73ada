package daemon

import (
	"errors"
	"fmt"
	"log/slog"
	"math"
	"reflect"
	"time"

	"maddergap/internal/discovery"
	"maddergap/internal/eventloop"
	"maddergap/internal/nodelist"
	"maddergap/internal/platform"
)

// knownAfter is for how long a head that was told of nodes at its start waits for
// discovery before it serves by what it was told. Guards against a list that is old: what
// discovery has counts from a process's first moment, and it answers at once if at all.
const knownAfter = time.Second

// service is what a head has of the platform it is in service on.
type service struct {
	c         *platform.Config
	began     time.Duration
	load      func() (*platform.Config, error)
	feed      *discovery.Client
	outage    outage
	known     []nodelist.Node // of the configuration, until discovery tells or knownFrom has come
	knownFrom time.Duration
	serves    bool // by what the configuration knew
	// Beliefs are logged this often, 0: never.
	every    time.Duration
	compared time.Duration
}

// NewPlatform opens a head in service on the platform: its clients' protocol, its
// nodes' and its node list. load reads the configuration again; beliefs is how often what
// the module holds is compared with the sockets in the log, 0 for never.
func NewPlatform(c *platform.Config, core SchedulerFactory, beliefs time.Duration, load func() (*platform.Config, error), log *slog.Logger) (*Daemon, error) {
	if limit, few := tooFew(c.Bounds.RequiredDescriptors()); few {
		return nil, fmt.Errorf("%s: the bounds need %d descriptors, the limit is %d", c.Gateway.File, c.Bounds.RequiredDescriptors(), limit)
	}
	l, err := eventloop.NewWithCalls(calls(c.Gateway), c.Bounds.MaxAcceptedConns(), c.Bounds.MaxRejectionConns)
	if err != nil {
		return nil, err
	}
	d := &Daemon{c: c.Gateway, log: log, loop: l, turns: newTurns(log), service: &service{c: c, load: load, every: beliefs}}
	if err := d.openPlatform(core); err != nil {
		l.Close()
		return nil, err
	}
	return d, nil
}

func (d *Daemon) openPlatform(core SchedulerFactory) error {
	c, s := d.c, d.service
	if err := d.makeHead(core, c.Seed); err != nil {
		return err
	}
	s.began = d.loop.Now()
	s.feed = discovery.New(s.c.DiscoveryAddr, s.c.Settings.Zones, c.Scheduler.PollDiscovery, c.Seed)
	p := s.c.Protocol()
	if s.c.InitialList != nil {
		nodes, err := s.feed.NodesFromList(s.c.InitialList)
		if err != nil {
			d.log.Warn("the list of the configuration is not used", "cause", err)
		}
		if err == nil {
			s.feed.ResumeFrom(*s.c.InitialList.Index, nodes)
		}
		s.known, s.knownFrom = nodes, d.loop.Now()+knownAfter
		time.AfterFunc(knownAfter+time.Millisecond, d.loop.Wake)
	}
	p.Ready = func() bool { return s.feed.Synced() || s.serves }
	d.head.SetProtocol(p)
	d.head.SetMembershipSource(s.feed)
	return d.listen(nil)
}

// again takes a new configuration: where discovery is. What the module was told at
// start, and the bounds, stay as they are.
func (s *service) again(d *Daemon) error {
	c, err := s.load()
	if err != nil {
		return err
	}
	if c.DiscoveryAddr != s.c.DiscoveryAddr {
		d.log.Info("discovery moves", "from", s.c.DiscoveryAddr, "to", c.DiscoveryAddr)
		s.feed.SetAddress(d.loop.Now(), c.DiscoveryAddr)
		s.c.DiscoveryAddr = c.DiscoveryAddr
	}
	if fmt.Sprint(c.Gateway.Listen) != fmt.Sprint(d.c.Listen) || !reflect.DeepEqual(c.Gateway.Scheduler, d.c.Scheduler) || c.Bounds != s.c.Bounds {
		return errors.New("discovery is followed where the file says; listen, settings and limits change with a restart only")
	}
	return nil
}

// serve has the head go by the configuration's list where discovery told none in time.
func (s *service) serve(d *Daemon) {
	if s.feed.Synced() {
		s.known = nil
	} else if len(s.known) > 0 && d.loop.Now() >= s.knownFrom {
		d.head.SetNodes(d.loop.Now(), s.known)
		s.known, s.serves = nil, true
	}
}

// watch logs what befell the node list since it was last called.
func (s *service) watch(d *Daemon) {
	s.logDiscovery(d)
	if now := d.loop.Now(); s.every > 0 && now >= s.compared+s.every {
		s.compared = now
		s.compare(d)
	}
}

// outageAfter is how long discovery is silent before that is logged as an outage.
const outageAfter = time.Second

// outage is what was last logged of discovery.
type outage struct {
	silent bool
	since  time.Duration // the last answer before it
	calls  int           // that were made by then
	fault  string
}

// logDiscovery logs when discovery falls silent, what is wrong with its answers, and when it
// is back: one line for each change, however many calls are made meanwhile.
func (s *service) logDiscovery(d *Daemon) {
	status, now := s.feed.Status(), d.loop.Now()
	last := max(status.LastResponseAt, s.began)
	switch o := &s.outage; {
	case !o.silent && now-last >= outageAfter:
		*o = outage{silent: true, since: last, calls: status.CallsSent}
		if status.LastError != nil {
			o.fault = status.LastError.Error()
		}
		d.log.Warn("discovery does not answer; the last good list stays in force", "version", status.Version, "cause", o.fault,
			"since", now-last)
	case o.silent && status.LastResponseAt > o.since:
		d.log.Info("discovery answers again", "version", status.Version, "after", status.LastResponseAt-o.since,
			"calls", status.CallsSent-o.calls, "given_up", status.CallsAbandoned)
		o.silent = false
	case o.silent && status.LastError != nil && status.LastError.Error() != o.fault:
		o.fault = status.LastError.Error()
		d.log.Warn("the node list is not news; the last good one stays in force", "cause", o.fault)
	}
}

// comparedMost bounds the lines of one comparison.
const comparedMost = 64

// compare logs what the module holds of each node beside what is on its sockets. The
// two differ where attempts are written off, or where the head has told nothing yet.
func (s *service) compare(d *Daemon) {
	n := d.head.Counts()
	d.log.Info("belief", "version", s.feed.Status().Version, "lists", s.feed.Status().ListsReceived, "lag", n.Stall, "clients", n.Clients,
		"node_connections", n.NodeConns, "taken", n.Received, "served", n.Served, "refused", n.Rejected, "failed", n.Failed, "left", n.Disconnected)
	for i, v := range d.head.Status() {
		if i == comparedMost {
			break
		}
		d.log.Info("node", "node", v.Node, "state", int(v.State), "out", v.InFlight, "counted", v.InWindow, "on_sockets", v.NodeConnections.Active, "unsent", v.Unsent,
			"idle", v.Idle, "held", v.Queued, "refusal", v.WaitReason.String(), "window", math.Round(v.Window*100)/100, "answer", v.ExpectedLatency, "pressure", math.Round(v.Pressure*100)/100,
			"breaker", v.NodeStatus.BreakerOpen, "cold", v.WarmingUp, "differs", v.InFlight != v.NodeConnections.Active)
	}
}

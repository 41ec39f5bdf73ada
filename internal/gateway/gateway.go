// Package gateway is the state machine of one instance. It takes what happens on the
// connections of clients, storage nodes and discovery, notifies the scheduler of it, and
// carries out what the scheduler decides. It decides nothing itself about routing, order,
// limits, retries or the health of nodes.
//
// It does no I/O: it opens no descriptor, reads no clock, starts no goroutine, and draws
// all random numbers from its seed. Bytes, clock readings and events go in; bytes and
// actions come out. The same events therefore give the same actions, on epoll or on a
// simulated network.
//
// A driver, which is package eventloop in production, calls Accept, Connected, Data, EOF,
// Closed, Wrote, Stalled and SetNodes as things happen. Then it calls Advance until that
// returns no action, and again not later than the time that Advance has returned.
package gateway

import (
	"errors"
	"math"
	"reflect"
	"time"

	"maddergap/internal/admission"
	"maddergap/internal/config"
	"maddergap/internal/invariant"
	"maddergap/internal/route"
	"maddergap/scheduler"
)

// Time is a reading of the driver's monotonic clock, as in the scheduler.
type Time = scheduler.Time

// never is a time that does not come: the greatest Time. The constants of that name in
// packages scheduler, admission and discovery (whose client returns it from Step) have the
// same value. The event loop compares what Advance returns with a lower value of its own, and
// takes every time from there on for never.
const never = Time(math.MaxInt64)

// ErrRestartRequired is returned by Reload if the new configuration changes settings of
// the scheduler, which take effect at a restart only.
var ErrRestartRequired = errors.New("classes, plans, heads, cold, budget, units and attempts change with a restart only")

// Gateway is one instance. It is not safe for concurrent use.
type Gateway struct {
	config     *config.Config
	routes     *route.Table
	admission  *admission.Admission
	scheduler  schedulerClient
	protocol   protocol
	observer   Observer // nil: there is none
	invariants invariant.Checker
	membership membershipClient

	clock   clock
	ids     idGenerator
	lag     lagEstimate
	actions actionQueue
	intake  intakePhase

	conns        connTable
	timers       timerQueue
	readyClients []*clientConn // whose response is complete, and whose next request may be parsed
	clientConns  int           // open connections of clients
	nodes        nodeTable
	requests     requestTable
	buffers      bufferPool

	counts     Counts
	span       Span // what the observer is called with
	rejections rejectionResponses
}

// New returns an instance. seed is that of all its random numbers, those of the scheduler
// included. origin is the wall-clock time of Time zero. observer may be nil.
func New(c *config.Config, seed uint64, now Time, origin time.Time, observer Observer) (*Gateway, error) {
	s, err := scheduler.New(c.Scheduler, seed, now)
	if err != nil {
		return nil, err
	}
	return NewWithScheduler(s, c, seed, now, origin, observer), nil
}

// NewWithScheduler returns an instance with another scheduler. The configuration must have
// passed its checks.
func NewWithScheduler(s Scheduler, c *config.Config, seed uint64, now Time, origin time.Time, observer Observer) *Gateway {
	admission, err := admission.New(c.Admission, seed)
	if err != nil {
		// Parsing a configuration validates its admission part, so this one was not parsed.
		// It is a fault of the caller.
		panic(err)
	}
	g := &Gateway{
		config:    c,
		routes:    route.NewTable(c, nil),
		admission: admission,
		scheduler: newSchedulerClient(s),
		protocol:  webdavProtocol{},
		observer:  observer,
		clock:     clock{now: now, origin: origin},
		ids:       newIDGenerator(seed),
		nodes:     newNodeTable(origin),
		requests:  newRequestTable(),
	}
	if observer != nil {
		g.invariants.OnViolation = g.reportViolation
	}
	return g
}

// Reload replaces the configuration. Requests under way keep the volume and the class they
// were given. On an error, for instance ErrRestartRequired, nothing is changed.
func (g *Gateway) Reload(c *config.Config) error {
	if !reflect.DeepEqual(c.Scheduler, g.config.Scheduler) {
		return ErrRestartRequired
	}
	if err := g.admission.Reconfigure(c.Admission); err != nil {
		return err
	}
	g.routes = route.NewTable(c, g.routes)
	g.config = c
	return nil
}

// Advance runs expired timers, and hands the events since the last call to the scheduler.
// It returns what is to be done, and the time by which it has to be called again. The
// actions are valid until the next call.
func (g *Gateway) Advance(now Time) ([]Action, Time) {
	g.clock.advance(now)
	g.lag.observe(g.clock.now)
	g.conns.beginAdvance()
	g.runTimers()
	sourceNext := g.advanceMembershipSource()
	for g.scheduler.hasEvents() || len(g.readyClients) > 0 {
		g.startNextRequests()
		g.runScheduler()
	}
	g.conns.endAdvance()
	next := min(g.scheduler.wakeAt, sourceNext, g.timers.next())
	g.lag.nextAdvance = next
	return g.actions.take(), next
}

// runTimers runs the expired timers of connections and of the scheduler.
func (g *Gateway) runTimers() {
	for c := g.timers.popExpired(g.clock.now); c != nil; c = g.timers.popExpired(g.clock.now) {
		c.handleTimer(g)
	}
	g.scheduler.runTimer(g.clock.now)
}

// startNextRequests parses what clients have pipelined behind a response that is complete
// now.
func (g *Gateway) startNextRequests() {
	for len(g.readyClients) > 0 {
		last := len(g.readyClients) - 1
		c := g.readyClients[last]
		g.readyClients = g.readyClients[:last]
		g.startNextRequest(c)
	}
}

// runScheduler has the scheduler handle the events, and carries its decisions out, which
// may lead to further events.
func (g *Gateway) runScheduler() {
	if !g.scheduler.hasEvents() {
		return
	}
	for _, action := range g.scheduler.decide(g.clock.now) {
		g.applyDecision(action)
	}
}

// applyDecision carries out a decision of the scheduler. WatchEndpoints is ignored: the
// membership source, or the caller of SetNodes, keeps the endpoint list current unasked.
// Only the simulator's driver (internal/simwire) carries that action out.
func (g *Gateway) applyDecision(action scheduler.Action) {
	switch a := action.(type) {
	case scheduler.Send:
		g.startAttempt(g.requests.byID[a.ID], a.Node, a.StartBefore)
	case scheduler.Reject:
		g.noteExpiryReason(a.ID)
		g.reject(g.requests.byID[a.ID], a.RetryAfter)
	case scheduler.Fail:
		g.noteExpiryReason(a.ID)
		g.fail(g.requests.byID[a.ID])
	case scheduler.SetTimer:
		g.scheduler.setTimer(g.clock.now + a.After)
	}
}

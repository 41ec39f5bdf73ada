// Package gateway implements the state machine of one instance. It processes the events of
// the connections to clients, storage nodes and discovery, notifies the scheduler of them,
// and carries out the scheduler's decisions. It makes no decisions of its own about routing,
// order, limits, retries or the health of nodes.
//
// It does no I/O: it opens no descriptor, reads no clock, starts no goroutine, and draws
// all random numbers from its seed. Bytes, clock readings and events go in; bytes and
// actions come out. The same events therefore give the same actions, on epoll or on a
// simulated network.
//
// A driver, which is package eventloop in production, reports events by calling Accept,
// Connected, Data, EOF, Closed, Wrote, Stalled and SetNodes. Then it calls Advance until that
// returns no more actions, and again no later than at the time that Advance has returned.
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

// never is the greatest Time. As the time of an event it means that the event does not occur.
// The constants of that name in packages scheduler, admission and discovery (whose client
// returns it from Step) have the same value. The event loop has a lower constant of its own, and
// treats any time at or above that constant as never.
const never = Time(math.MaxInt64)

// ErrRestartRequired is returned by Reload if the new configuration changes settings of
// the scheduler, which take effect at a restart only.
var ErrRestartRequired = errors.New("classes, plans, heads, cold, budget, units and attempts change with a restart only")

// Gateway is the state of one instance. It is not safe for concurrent use.
type Gateway struct {
	config     *config.Config
	routes     *route.Table
	admission  *admission.Admission
	scheduler  schedulerClient
	protocol   protocol
	observer   Observer // may be nil
	invariants invariant.Checker
	membership membershipClient

	clock   clock
	ids     idGenerator
	lag     lagEstimate
	actions actionQueue
	intake  intakePhase

	conns        connTable
	timers       timerQueue
	readyClients []*clientConn // connections whose response is complete and whose next request can be parsed
	// waitingForTurn holds the connections whose next request begins in a later call of Advance.
	waitingForTurn, spareTurns []*clientConn
	clientConns                int // number of open client connections
	nodes                      nodeTable
	requests                   requestTable
	buffers                    bufferPool
	receiving                  receivingClients

	counts     Counts
	span       Span // argument of the observer's calls, reused to avoid allocations
	rejections rejectionResponses
}

// New returns an instance with a scheduler.Scheduler. All random numbers, including the
// scheduler's, are derived from seed. origin is the wall-clock time of Time zero. observer may
// be nil.
func New(c *config.Config, seed uint64, now Time, origin time.Time, observer Observer) (*Gateway, error) {
	s, err := scheduler.New(c.Scheduler, seed, now)
	if err != nil {
		return nil, err
	}
	return NewWithScheduler(s, c, seed, now, origin, observer), nil
}

// NewWithScheduler returns an instance that uses s as its scheduler. It panics if the admission
// settings of c are invalid; config.Parse rejects such settings.
func NewWithScheduler(s Scheduler, c *config.Config, seed uint64, now Time, origin time.Time, observer Observer) *Gateway {
	admission, err := admission.New(c.Admission, seed)
	if err != nil {
		// config.Parse validates the admission settings. Invalid ones are a fault of the caller.
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
	g.buffers.setLimit(c.Admission.Buffers.TotalBytes)
	if observer != nil {
		g.invariants.OnViolation = g.reportViolation
	}
	return g
}

// Reload replaces the configuration. Requests under way keep their volume and class. If it
// returns an error, for instance ErrRestartRequired, the previous configuration stays in force.
func (g *Gateway) Reload(c *config.Config) error {
	if !reflect.DeepEqual(c.Scheduler, g.config.Scheduler) {
		return ErrRestartRequired
	}
	if err := g.admission.Reconfigure(c.Admission); err != nil {
		return err
	}
	g.routes = route.NewTable(c, g.routes)
	g.config = c
	g.buffers.setLimit(c.Admission.Buffers.TotalBytes)
	for i := range c.Volumes {
		g.scheduler.notify(scheduler.PlanAssigned{Volume: c.Volumes[i].Name, Plan: c.Volumes[i].Plan})
	}
	return nil
}

// Advance runs expired timers, and passes the events since the last call to the scheduler.
// It returns the actions for the driver, which are valid until the next call, and the time by
// which it has to be called again.
func (g *Gateway) Advance(now Time) ([]Action, Time) {
	g.clock.advance(now)
	g.lag.observe(g.clock.now)
	g.conns.beginAdvance()
	g.runTimers()
	sourceNext := g.advanceMembershipSource()
	g.startTurns()
	for g.scheduler.hasEvents() || len(g.readyClients) > 0 {
		g.startNextRequests()
		g.runScheduler()
	}
	g.conns.endAdvance()
	next := min(g.scheduler.wakeAt, sourceNext, g.nextTurn(), g.timers.next())
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

// startNextRequests starts the next pipelined request of each client connection whose last
// response has become complete.
func (g *Gateway) startNextRequests() {
	for len(g.readyClients) > 0 {
		last := len(g.readyClients) - 1
		c := g.readyClients[last]
		g.readyClients = g.readyClients[:last]
		g.startNextRequest(c)
	}
}

// runScheduler passes the collected events to the scheduler, and carries out its decisions.
// That may cause further events.
func (g *Gateway) runScheduler() {
	if !g.scheduler.hasEvents() {
		return
	}
	for _, action := range g.scheduler.decide(g.clock.now) {
		g.applyDecision(action)
	}
}

// applyDecision carries out a decision of the scheduler. It ignores WatchEndpoints, because the
// membership source, or the caller of SetNodes, keeps the endpoint list current in any case.
// Only the simulator's driver (internal/simwire) carries out that action.
func (g *Gateway) applyDecision(action scheduler.Action) {
	switch a := action.(type) {
	case scheduler.Send:
		g.startAttempt(g.requests.byID[a.ID], a.Node, a.ArriveBefore)
	case scheduler.Reject:
		g.recordWaitReason(a.ID)
		g.reject(g.requests.byID[a.ID], a.RetryAfter)
	case scheduler.Fail:
		g.recordWaitReason(a.ID)
		g.fail(g.requests.byID[a.ID])
	case scheduler.SetTimer:
		g.scheduler.setTimer(g.clock.now + a.After)
	}
}

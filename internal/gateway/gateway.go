// Package gateway is one head: it takes what happens on client and node
// connections, tells the decision module, and carries out what that decides.
// It is sans-I/O: bytes, a clock reading and events go in, bytes and actions
// come out. It opens no descriptor, reads no clock, starts no goroutine and
// draws all chance from its seed, so it runs alike on epoll and on a simulated
// network. It decides nothing about routing, order, limits, retries or health.
//
// A driver calls Accept, Connected, Data, EOF, Closed, Wrote, Nodes as things
// happen, then Advance until that returns no action, and Advance again not
// later than the time it gave.
package gateway

import (
	"fmt"
	"math"
	"reflect"
	"time"

	"maddergap/internal/admission"
	"maddergap/internal/config"
	"maddergap/internal/invariant"
	"maddergap/internal/route"
	"maddergap/scheduler"
)

// Time is a clock reading, as the module's.
type Time = scheduler.Time

// Scheduler decides: the module, or in its place what a comparison or a test wants.
type Scheduler interface {
	Handle(now Time, events []scheduler.Event) []scheduler.Action
}

// Gateway is one head. It is not safe for concurrent use.
type Gateway struct {
	config     *config.Config
	routes     *route.Table
	admission  *admission.Admission
	scheduler  Scheduler
	protocol   protocol
	observer   Observer // nil: there is none
	invariants invariant.Checker
	membership membershipClient

	clock   clock
	ids     idGenerator
	stall   stallEstimate
	actions actionQueue
	phase   shutdownPhase

	events []scheduler.Event // for the next call of the scheduler
	wakeAt Time              // when the scheduler's timer fires

	conns        connTable
	timers       timerQueue
	readyClients []*conn // whose next request may be looked at
	clientConns  int     // open connections of clients
	nodes        nodeTable
	requests     requestTable
	buffers      bufferPool

	counts     Counts
	span       Span // scratch for the observer
	rejections rejectionResponses
}

const never = Time(math.MaxInt64)

// New returns a head. The seed is for what is spread by chance among heads.
// origin is the wall-clock time of the head's Time zero.
func New(c *config.Config, seed uint64, now Time, origin time.Time, obs Observer) (*Gateway, error) {
	core, err := scheduler.New(c.Scheduler, seed, now)
	if err != nil {
		return nil, err
	}
	return NewWithScheduler(core, c, seed, now, origin, obs), nil
}

// NewWithScheduler returns a head with a core in the module's place.
func NewWithScheduler(core Scheduler, c *config.Config, seed uint64, now Time, origin time.Time, obs Observer) *Gateway {
	admission, err := admission.New(c.Admission, seed)
	if err != nil { // never: the configuration is checked
		panic(err)
	}
	g := &Gateway{
		config:    c,
		routes:    route.NewTable(c, nil),
		admission: admission,
		scheduler: core,
		protocol:  webdavProtocol{},
		observer:  obs,
		clock:     clock{now: now, origin: origin},
		ids:       newIDGenerator(seed),
		wakeAt:    never,
		nodes:     newNodeTable(origin),
		requests:  newRequestTable(),
	}
	if obs != nil {
		g.invariants.OnViolation = g.reportViolation
	}
	return g
}

// Reload takes a new configuration. What the module was told at start cannot
// change while it runs; then nothing is applied.
func (g *Gateway) Reload(c *config.Config) error {
	if !reflect.DeepEqual(c.Scheduler, g.config.Scheduler) {
		return fmt.Errorf("classes, plans, heads, cold, budget, units and attempts change with a restart only")
	}
	if err := g.admission.Reconfigure(c.Admission); err != nil {
		return err
	}
	g.routes = route.NewTable(c, g.routes)
	g.config = c
	return nil
}

// Advance runs timers and the module over what was told, and returns what to
// do and when to come back at the latest. The actions are good until the next call.
func (g *Gateway) Advance(now Time) ([]Action, Time) {
	g.clock.advance(now)
	g.stall.observe(g.clock.now)
	g.conns.beginAdvance()
	for c := g.timers.popExpired(g.clock.now); c != nil; c = g.timers.popExpired(g.clock.now) {
		g.expired(c)
	}
	if g.clock.now >= g.wakeAt {
		g.wakeAt = never
		g.events = append(g.events, scheduler.TimerFired{})
	}
	feedNext := g.advanceMembershipSource()
	for len(g.events) > 0 || len(g.readyClients) > 0 {
		for len(g.readyClients) > 0 {
			c := g.readyClients[len(g.readyClients)-1]
			g.readyClients = g.readyClients[:len(g.readyClients)-1]
			g.startNextRequest(c)
		}
		events := g.events
		if g.events = nil; len(events) == 0 {
			break
		}
		for _, a := range g.scheduler.Handle(g.clock.now, events) {
			g.applyDecision(a)
		}
		if g.events == nil {
			g.events = events[:0]
		}
	}
	g.conns.endAdvance()
	next := min(g.wakeAt, feedNext, g.timers.next())
	g.stall.nextAdvance = next
	return g.actions.take(), next
}

// applyDecision does what the module decided.
func (g *Gateway) applyDecision(a scheduler.Action) {
	switch a := a.(type) {
	case scheduler.Send:
		g.startAttempt(g.requests.byID[a.ID], a.Node, a.StartBefore)
	case scheduler.Reject:
		g.reject(g.requests.byID[a.ID], a.RetryAfter)
	case scheduler.Fail:
		g.fail(g.requests.byID[a.ID])
	case scheduler.SetTimer:
		g.wakeAt = g.clock.now + a.After // in place of the one before, as the module counts on
	}
}

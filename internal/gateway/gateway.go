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
	stall   lag
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
	h := &Gateway{
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
		h.invariants.OnViolation = h.violated
	}
	return h
}

// Reload takes a new configuration. What the module was told at start cannot
// change while it runs; then nothing is applied.
func (h *Gateway) Reload(c *config.Config) error {
	if !reflect.DeepEqual(c.Scheduler, h.config.Scheduler) {
		return fmt.Errorf("classes, plans, heads, cold, budget, units and attempts change with a restart only")
	}
	if err := h.admission.Reconfigure(c.Admission); err != nil {
		return err
	}
	h.routes = route.NewTable(c, h.routes)
	h.config = c
	return nil
}

// Advance runs timers and the module over what was told, and returns what to
// do and when to come back at the latest. The actions are good until the next call.
func (h *Gateway) Advance(now Time) ([]Action, Time) {
	h.clock.advance(now)
	h.stall.called(h.clock.now)
	h.conns.beginAdvance()
	for c := h.timers.popExpired(h.clock.now); c != nil; c = h.timers.popExpired(h.clock.now) {
		h.expired(c)
	}
	if h.clock.now >= h.wakeAt {
		h.wakeAt = never
		h.events = append(h.events, scheduler.TimerFired{})
	}
	feedNext := h.advanceFeed()
	for len(h.events) > 0 || len(h.readyClients) > 0 {
		for len(h.readyClients) > 0 {
			c := h.readyClients[len(h.readyClients)-1]
			h.readyClients = h.readyClients[:len(h.readyClients)-1]
			h.nextRequest(c)
		}
		events := h.events
		if h.events = nil; len(events) == 0 {
			break
		}
		for _, a := range h.scheduler.Handle(h.clock.now, events) {
			h.carryOut(a)
		}
		if h.events == nil {
			h.events = events[:0]
		}
	}
	h.conns.endAdvance()
	next := min(h.wakeAt, feedNext, h.timers.next())
	h.stall.asked = next
	return h.actions.take(), next
}

// carryOut does what the module decided.
func (h *Gateway) carryOut(a scheduler.Action) {
	switch a := a.(type) {
	case scheduler.Send:
		h.send(h.requests.byID[a.ID], a.Node, a.StartBefore)
	case scheduler.Reject:
		h.refuse(h.requests.byID[a.ID], a.RetryAfter)
	case scheduler.Fail:
		h.fail(h.requests.byID[a.ID])
	case scheduler.SetTimer:
		h.wakeAt = h.clock.now + a.After // in place of the one before, as the module counts on
	}
}

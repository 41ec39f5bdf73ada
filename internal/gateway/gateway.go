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
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"time"

	"maddergap/internal/admission"
	"maddergap/internal/config"
	"maddergap/internal/invariant"
	"maddergap/internal/membership"
	"maddergap/internal/route"
	"maddergap/scheduler"
)

// Time is a clock reading, as the module's.
type Time = scheduler.Time

// ConnID names a connection: a slot, and how often the slot was used before.
type ConnID uint64

// Slot is a small number, unique among the connections that are open.
func (id ConnID) Slot() int { return int(uint32(id)) }

// Op is what a driver is to do.
type Op uint8

// Operations.
const (
	Dial       Op = iota // connect to Addr; then Connected or Closed
	Flush                // write what Out gives and tell Wrote
	Pause                // read no more of it
	Resume               // read it again
	CloseWrite           // end the sending side
	Close                // close it; nothing more is told of it
	Abort                // the same with a reset
)

// Action is asked of the driver; actions are carried out in order.
type Action struct {
	Op   Op
	Conn ConnID
	Addr string // of Dial
}

// Scheduler decides: the module, or in its place what a comparison or a test wants.
type Scheduler interface {
	Handle(now Time, events []scheduler.Event) []scheduler.Action
}

// Gateway is one head. It is not safe for concurrent use.
type Gateway struct {
	config    *config.Config
	routes    *route.Table
	admission *admission.Admission
	core      Scheduler
	protocol  protocol
	observer  Observer
	guard     invariant.Checker
	feeding   feeding

	now      Time
	origin   time.Time // the wall-clock time of zero
	rand     *rand.Rand
	idPrefix uint32 // of request ids
	date     []byte // the Date field of the second dateOf
	dateOf   int64

	events       []scheduler.Event // to be told to the core
	actions      []Action          // for the driver
	spareActions []Action
	wakeAt       Time // when the core wants to be woken
	lag          lag

	slots       []*conn
	generations []uint32
	freeSlots   []uint32
	// Slots of connections that a Close or Abort was asked for since the last
	// Advance, and of those that it gave out, which the driver has carried out by the next.
	closingSlots, closedSlots []uint32
	timers                    timers
	readyClients              []*conn // whose next request may be looked at

	memberTable *membership.Table
	listInForce bool // a node list is
	nodes       map[string]*node
	kept        idleList
	// lastConnected is when a connection to a node came up last.
	lastConnected Time

	requests map[uint64]*exchange
	lastID   uint64
	counts   Counts
	span     Span

	exchangePool []*exchange
	bufferPool   [][]byte
	heldBytes    int64 // of all client connections
	answerBytes  int64 // of answers that are held until they are whole
	turnTexts    [admission.ReasonCount]turnText

	stopping bool
	leaving  bool // clients are told that their connection ends
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
	r := rand.New(rand.NewPCG(seed, 0x6d616464))
	h := &Gateway{
		config:      c,
		routes:      route.NewTable(c, nil),
		admission:   admission,
		core:        core,
		protocol:    webdavProtocol{},
		observer:    obs,
		origin:      origin,
		rand:        r,
		idPrefix:    r.Uint32(),
		now:         now,
		memberTable: membership.New(origin),
		nodes:       map[string]*node{},
		requests:    map[uint64]*exchange{},
		wakeAt:      never,
	}
	if obs != nil {
		h.guard.OnViolation = h.violated
	}
	return h
}

// Reload takes a new configuration. What the module was told at start cannot
// change while it runs; then nothing is applied.
func (h *Gateway) Reload(c *config.Config) error {
	if !reflect.DeepEqual(c.Scheduler, h.config.Scheduler) {
		return fmt.Errorf("classes, plans, heads, cold, budget, units and attempts change with a restart only")
	}
	if err := h.admission.Change(c.Admission); err != nil {
		return err
	}
	h.routes = route.NewTable(c, h.routes)
	h.config = c
	return nil
}

func (h *Gateway) tick(now Time) { h.now = max(h.now, now) }

// Advance runs timers and the module over what was told, and returns what to
// do and when to come back at the latest. The actions are good until the next call.
func (h *Gateway) Advance(now Time) ([]Action, Time) {
	h.tick(now)
	h.lag.called(h.now)
	h.freeSlots, h.closedSlots = append(h.freeSlots, h.closedSlots...), h.closedSlots[:0]
	for len(h.timers) > 0 && h.timers[0].armed <= h.now {
		c := h.timers[0]
		if c.deadline > h.now { // it was moved since
			c.armed = c.deadline
			heap.Fix(&h.timers, 0)
			continue
		}
		heap.Pop(&h.timers)
		c.deadline = never
		h.expired(c)
	}
	if h.now >= h.wakeAt {
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
		for _, a := range h.core.Handle(h.now, events) {
			h.carryOut(a)
		}
		if h.events == nil {
			h.events = events[:0]
		}
	}
	acts := h.actions
	h.actions, h.spareActions = h.spareActions[:0], acts
	h.closingSlots, h.closedSlots = h.closedSlots[:0], h.closingSlots
	next := min(h.wakeAt, feedNext)
	if len(h.timers) > 0 {
		next = min(next, h.timers[0].armed)
	}
	h.lag.asked = next
	return acts, next
}

// carryOut does what the module decided.
func (h *Gateway) carryOut(a scheduler.Action) {
	switch a := a.(type) {
	case scheduler.Send:
		h.send(h.requests[a.ID], a.Node, a.StartBefore)
	case scheduler.Reject:
		h.refuse(h.requests[a.ID], a.RetryAfter)
	case scheduler.Fail:
		h.fail(h.requests[a.ID])
	case scheduler.SetTimer:
		h.wakeAt = h.now + a.After // in place of the one before, as the module counts on
	}
}

func (h *Gateway) do(op Op, c *conn) { h.actions = append(h.actions, Action{Op: op, Conn: c.id}) }

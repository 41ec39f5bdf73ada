// Package head is one head: it takes what happens on client and node
// connections, tells the decision module, and carries out what that decides.
// It is sans-I/O: bytes, a clock reading and events go in, bytes and actions
// come out. It opens no descriptor, reads no clock, starts no goroutine and
// draws all chance from its seed, so it runs alike on epoll and on a simulated
// network. It decides nothing about routing, order, limits, retries or health.
//
// A driver calls Accept, Connected, Data, EOF, Closed, Wrote, Nodes as things
// happen, then Advance until that returns no action, and Advance again not
// later than the time it gave.
package head

import (
	"container/heap"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"net/netip"
	"reflect"
	"slices"
	"time"

	"maddergap/internal/admit"
	"maddergap/internal/conf"
	"maddergap/internal/guard"
	"maddergap/internal/membership"
	"maddergap/internal/nodelist"
	"maddergap/internal/route"
	"maddergap/logic"
)

// Time is a clock reading, as the module's.
type Time = logic.Time

// ConnID names a connection: a slot, and how often the slot was used before.
type ConnID uint64

// Slot is a small number, unique among the connections that are open.
func (id ConnID) Slot() int { return int(uint32(id)) }

// Op is what a driver is to do.
type Op uint8

// Operations.
const (
	Dial   Op = iota // connect to Addr; then Connected or Closed
	Flush            // write what Out gives and tell Wrote
	Pause            // read no more of it
	Resume           // read it again
	Shut             // end the sending side
	Close            // close it; nothing more is told of it
	Abort            // the same with a reset
)

// Action is asked of the driver; actions are carried out in order.
type Action struct {
	Op   Op
	Conn ConnID
	Addr string // of Dial
}

// Outcome is the final answer of a request.
type Outcome uint8

// Final answers; Left is a client that went before it had one.
const (
	Served Outcome = iota
	Refused
	Failed
	Left
)

func (o Outcome) String() string { return [...]string{"served", "refused", "failed", "left"}[o] }

// Span is an attempt or a whole request, as an Observer is told of it.
type Span struct {
	Request  string // the request id that clients and nodes see
	Trace    [16]byte
	ID       [8]byte
	Parent   [8]byte
	Sampled  bool
	Start    Time
	End      Time
	Method   string
	Path     string
	Volume   string
	Class    string
	Status   int
	Outcome  Outcome // of a request
	Client   string  // of a request: the client's address
	Attempts int     // of a request
	Attempt  int     // of an attempt: its number
	Node     string  // of an attempt
	Ended    logic.Outcome
	Reason   string // why the head itself answered
}

// Observer is told what was done; it must not keep the span.
type Observer interface {
	Request(*Span)
	Attempt(*Span)
	Members([]membership.Change)                               // what changed of the node list
	Violation(guard.Violation)                                 // an invariant that was broken, or an attempt that was withheld
	Turned(client netip.AddrPort, why admit.Reason, told bool) // a connection that was not admitted
}

// Counts are sums since the start.
type Counts struct {
	Taken, Served, Refused, Failed, Left uint64                // requests given to the module, and how they ended
	Attempts, Own, Bad                   uint64                // sends; answers of the head's own; requests refused as malformed
	Clients, NodeConns                   int                   // connections now
	GaveWay                              uint64                // idle connections closed for others
	Turned                               [admit.Reasons]uint64 // connections and requests not admitted
	Admitted                             admit.Counts
	Held                                 int64 // bytes held for clients
	Lag                                  time.Duration
	Guard                                guard.Counts // attempts withheld, invariants broken
}

// Core decides: the module, or in its place what a comparison or a test wants.
type Core interface {
	Handle(now Time, events []logic.Event) []logic.Action
}

// Head is one head. It is not safe for concurrent use.
type Head struct {
	c       *conf.Config
	t       *route.Table
	adm     *admit.Admission
	core    Core
	way     way
	feeding feeding
	obs     Observer
	tag     uint32
	rand    *rand.Rand
	origin  time.Time
	now     Time
	date    []byte // the Date field of the second dateOf
	dateOf  int64
	events  []logic.Event
	acts    []Action
	spare   []Action

	slots []*conn
	gens  []uint32
	free  []uint32
	// Slots of connections that a Close or Abort was asked for since the last
	// Advance, and of those that it gave out, which the driver has carried out by the next.
	closing, closed []uint32
	timers          timers
	ready           []*conn // clients whose next request may be looked at

	table  *membership.Table
	listed bool // a node list is in force
	guard  guard.Guard
	// lastConnected is when a connection to a node came up last.
	lastConnected Time
	nodes         map[string]*node
	kept          idleList
	reqs          map[uint64]*exchange
	lastID        uint64
	wakeAt        Time
	lag           lag

	oldEx     []*exchange
	oldBufs   [][]byte
	span      Span
	held      int64 // bytes of all client connections
	turnTexts [admit.Reasons]turnText
	answers   int64 // bytes of answers that are held until they are whole
	stopping  bool
	leaving   bool // clients are told that their connection ends
	counts    Counts
}

// node is where a storage node is reached.
type node struct {
	name, addr  string
	zone, shard int
	started     Time
	idle        []*conn // kept connections, the last used last
	conns       int     // all connections, dialling ones too
	listed      bool
	state       logic.NodeState
	changed     Time // when the head was notified of this state
}

const never = Time(math.MaxInt64)

// New returns a head. The seed is for what is spread by chance among heads.
// origin is the wall-clock time of the head's Time zero.
func New(c *conf.Config, seed uint64, now Time, origin time.Time, obs Observer) (*Head, error) {
	core, err := logic.New(c.Logic, seed, now)
	if err != nil {
		return nil, err
	}
	return NewWith(core, c, seed, now, origin, obs), nil
}

// NewWith returns a head with a core in the module's place.
func NewWith(core Core, c *conf.Config, seed uint64, now Time, origin time.Time, obs Observer) *Head {
	adm, err := admit.New(c.Admit, seed)
	if err != nil { // never: the configuration is checked
		panic(err)
	}
	r := rand.New(rand.NewPCG(seed, 0x6d616464))
	h := &Head{c: c, t: route.NewTable(c, nil), adm: adm, core: core, way: webdav{}, obs: obs, origin: origin, rand: r, tag: r.Uint32(), now: now,
		table: membership.New(origin), nodes: map[string]*node{}, reqs: map[uint64]*exchange{}, wakeAt: never}
	if obs != nil {
		h.guard.Report = h.violated
	}
	return h
}

// Reload takes a new configuration. What the module was told at start cannot
// change while it runs; then nothing is applied.
func (h *Head) Reload(c *conf.Config) error {
	if !reflect.DeepEqual(c.Logic, h.c.Logic) {
		return fmt.Errorf("classes, plans, heads, cold, budget, units and attempts change with a restart only")
	}
	if err := h.adm.Change(c.Admit); err != nil {
		return err
	}
	h.t = route.NewTable(c, h.t)
	h.c = c
	return nil
}

// Counts returns the sums.
func (h *Head) Counts() Counts {
	c := h.counts
	c.Admitted, c.Held, c.Lag = h.adm.Counts(), h.held, h.lag.now(h.now)
	c.Guard = h.guard.Counts()
	return c
}

// Nodes tells a new node list.
func (h *Head) Nodes(now Time, list []nodelist.Node) {
	h.tick(now)
	h.members(membership.News{Nodes: list, Full: true})
}

// members takes news of the node list and tells the module what changes by it.
func (h *Head) members(news membership.News) {
	h.listed = true
	changes := h.table.Apply(h.now, news)
	if len(changes) == 0 {
		return
	}
	entries := make([]logic.Entry, 0, len(changes))
	for i := range changes {
		h.member(&changes[i])
		entries = append(entries, changes[i].Entry)
	}
	if h.obs != nil {
		h.obs.Members(changes)
	}
	h.events = append(h.events, logic.List{Entries: entries})
}

// member carries a change of one node out on its connections.
func (h *Head) member(c *membership.Change) {
	n := h.nodes[c.Entry.Node]
	if n == nil {
		n = &node{name: c.Entry.Node}
		h.nodes[n.name] = n
	}
	if n.state != c.Entry.State || c.Moved {
		n.changed = h.now
	}
	n.state, n.started, n.addr = c.Entry.State, c.Entry.Started, c.Addr
	n.zone, n.shard = c.Entry.Zone, c.Entry.Shard
	n.listed = n.state != logic.Gone
	if c.Moved || !n.listed { // what is kept leads elsewhere, or to a life before
		h.closeIdle(n)
	}
	if !n.listed && n.conns == 0 {
		delete(h.nodes, n.name)
	}
}

func (h *Head) closeIdle(n *node) {
	for _, c := range n.idle {
		h.kept.remove(c)
		h.drop(c, Close)
	}
	n.idle = nil
}

// Leave tells clients with their next answer that their connection ends; requests go on
// being taken. Guards against a stop that loses what is on its way to the head.
func (h *Head) Leave(now Time) {
	h.tick(now)
	h.leaving = true
}

// Stop begins the end: requests taken get their answers, connections without
// one are closed, and no new request is read.
func (h *Head) Stop(now Time) {
	h.tick(now)
	h.stopping, h.leaving = true, true
	for _, c := range h.slots {
		switch {
		case c == nil || !c.client() || c.ex != nil || len(c.pending()) > 0 || c.reading > 0:
		case c.requests == 0: // its first request may be on its way, or come and not be read
			h.by(c, min(c.deadline, h.now+firstTime))
		default:
			h.lingeringClose(c)
		}
	}
}

// firstTime is how long a connection that was accepted at the very end has for its request.
const firstTime = 200 * time.Millisecond

// Cut gives every request that has no final answer one: refused where no attempt was made,
// failed else.
func (h *Head) Cut(now Time) {
	h.tick(now)
	for _, id := range slices.Sorted(maps.Keys(h.reqs)) {
		ex := h.reqs[id]
		if ex.final {
			continue
		}
		h.events = append(h.events, logic.Dropped{ID: ex.id})
		if ex.last != nil {
			h.cancel(ex.last)
		}
		if ex.sends == 0 {
			h.refuse(ex, 0)
		} else {
			h.fail(ex)
		}
	}
}

// Idle tells whether nothing is under way: no request, and no answer unsent.
func (h *Head) Idle() bool { return len(h.reqs) == 0 && h.counts.Clients == 0 }

// Under tells the ids and ages of requests that have no final answer.
func (h *Head) Under(tell func(id, method, path string, age time.Duration)) {
	for _, ex := range h.reqs {
		if !ex.final {
			tell(h.requestID(ex.id), ex.method, ex.place.Path, h.now-ex.taken)
		}
	}
}

// lag is how much later than asked the head was called lately: the most of it,
// fading by half in lagHalf. Guards against a machine too busy to run the head in
// time, whatever keeps it busy: a request is read so much later than it came, and
// its last answer is written so much later than it is due.
type lag struct {
	asked Time
	late  Time
	at    Time
}

const (
	lagHalf  = 2 * time.Second
	lagLeast = 2 * time.Millisecond // a timer's own grain
)

func (l *lag) now(now Time) Time {
	return Time(float64(l.late) * math.Exp2(-float64(now-l.at)/float64(lagHalf)))
}

func (l *lag) called(now Time) {
	if late := now - l.asked; l.asked > 0 && late >= lagLeast && late > l.now(now) {
		l.late, l.at = late, now
	}
}

// left is what is left of a client's time: less what reading its request took and
// what bringing it the answer will take, half of the time at most.
func (h *Head) left(t time.Duration) time.Duration { return max(t-2*h.lag.now(h.now), t/2) }

func (h *Head) tick(now Time) { h.now = max(h.now, now) }

// Advance runs timers and the module over what was told, and returns what to
// do and when to come back at the latest. The actions are good until the next call.
func (h *Head) Advance(now Time) ([]Action, Time) {
	h.tick(now)
	h.lag.called(h.now)
	h.free, h.closed = append(h.free, h.closed...), h.closed[:0]
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
		h.events = append(h.events, logic.Wake{})
	}
	feedNext := h.advanceFeed()
	for len(h.events) > 0 || len(h.ready) > 0 {
		for len(h.ready) > 0 {
			c := h.ready[len(h.ready)-1]
			h.ready = h.ready[:len(h.ready)-1]
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
	acts := h.acts
	h.acts, h.spare = h.spare[:0], acts
	h.closing, h.closed = h.closed[:0], h.closing
	next := min(h.wakeAt, feedNext)
	if len(h.timers) > 0 {
		next = min(next, h.timers[0].armed)
	}
	h.lag.asked = next
	return acts, next
}

// carryOut does what the module decided.
func (h *Head) carryOut(a logic.Action) {
	switch a := a.(type) {
	case logic.Send:
		h.send(h.reqs[a.ID], a.Node, a.By)
	case logic.Refuse:
		h.refuse(h.reqs[a.ID], a.RetryAfter)
	case logic.Fail:
		h.fail(h.reqs[a.ID])
	case logic.WakeIn:
		h.wakeAt = h.now + a.In // in place of the one before, as the module counts on
	}
}

func (h *Head) do(op Op, c *conn) { h.acts = append(h.acts, Action{Op: op, Conn: c.id}) }

// buffer returns an empty buffer; done with it, release takes it back.
func (h *Head) buffer() []byte {
	if n := len(h.oldBufs); n > 0 {
		b := h.oldBufs[n-1]
		h.oldBufs = h.oldBufs[:n-1]
		return b
	}
	return make([]byte, 0, 2048)
}

// Buffers kept for use again: few and small, lest a surge's memory stay for good.
const (
	keepBufs = 256
	keepSize = 64 << 10
)

func (h *Head) release(b []byte) {
	if cap(b) > 0 && cap(b) <= keepSize && len(h.oldBufs) < keepBufs {
		h.oldBufs = append(h.oldBufs, b[:0])
	}
}

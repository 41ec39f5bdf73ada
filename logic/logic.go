// The decisions of a head; the interface (settings, events, actions) is in
// logic/api.go. The ordinary path is HYBRID-DSFQ: every request gets a start
// tag at its node (tag), waits in the head's queue for that node, and leaves
// in start-tag order while fewer than the node's window are out (pump, pick).
// docs/design.md says what departs from the paper and when; docs/oncall.md
// says what each kind of trouble looks like.
package logic

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"maddergap/internal/lanes"
)

// All constants. Times are multiples of the shortest aim (h.aim) where classes matter.
const (
	minShare     = 0.5              // φmin, as a part of φ
	windowMax    = 8.0              // D of the design: most requests out at a node
	windowSum    = 32.0             // the same of all heads together, one for each at least
	windowStart  = 2.0              // D at a node of which nothing is known
	congested    = 0.2              // an answer later than this part of its aim shrinks the window
	relaxed      = 0.13             // one sooner than this part may widen it
	yieldLeast   = 0.02             // what earns nothing goes too where answers take less than this
	calmLate     = 4.0              // the same for what is late
	calmAims     = 1.5              // pressure halves over so many shortest aims without an answer
	shrink       = 0.7              // multiplicative decrease
	coldKeep     = 0.67             // part of its budget that a cold node's bucket fills at; it holds the rest
	memory       = 3 * time.Second  // what was seen of a node counts half after this
	history      = 30 * time.Second // so does what a head was served on a shard
	drift        = 0.02             // step of the estimate of what a unit takes
	prior        = 4.0              // answers that all nodes together count for in what is held of one
	sharers      = 2.0              // heads before a node, as a multiple of those of a volume
	reserveHosts = 2.0              // a host holds so many even parts of a volume's reserve, all of it at most
	idleFor      = 10 * time.Second // idle volumes are forgotten after this
	lastCall     = 10 * time.Millisecond
	patience     = 0.5         // part of its time that a request is held for its first attempt
	overtaken    = 2           // unless fewer requests than this were sent to its node meanwhile
	polls        = 12          // looks at held requests within a shortest aim
	silentAims   = 2.0         // silence of so many shortest aims opens the breaker
	silentLats   = 4.0         // but not before so many usual answer times
	failuresMax  = 3           // so do so many failed connections or resets in a row
	trialMax     = time.Second // longest gap between trials of an open breaker
	listRetry    = time.Second // after a failed call for the list
)

type (
	slot  = lanes.Slot[*request, kind, *volume]
	place = lanes.Place[*request, kind, *volume]
	lane  = lanes.Lane[*request, kind]
)

type request struct {
	Arrival
	slot            // with the end of its client's time, and its aim
	class           *Class
	vol             *volume
	start           float64 // start tag
	excess          bool    // the tag is beyond the volume's reserve
	node            *node   // whose queue it waits in, nil if none
	tries, live     int     // attempts made, attempts without an outcome
	ran             *node   // where an attempt may have run
	ranAt           Time    // when the first such attempt was sent
	notBefore       Time
	passed          int // sends of its node when it came there
	done, streaming bool
}

// kind is what requests have in common that differ in their times and tags alone.
type kind struct {
	class         *Class
	plan          *Plan
	hosts, units  float64
	excess, again bool // beyond the reserve; an attempt past the first
}

// Orders of requests of a kind.
const (
	byTag = iota
	byAim
)

func tagBefore(a, b *request) bool {
	return a.start < b.start || (a.start == b.start && aimBefore(a, b))
}

func aimBefore(a, b *request) bool { return a.Aim < b.Aim || (a.Aim == b.Aim && a.Seq < b.Seq) }

func newPlace() *place { return lanes.New(tagBefore, aimBefore) }

type attempt struct {
	r    *request
	node *node
	sent Time
	full bool // the window was full with it
}

type attemptID struct{ id, n uint64 }

// entry is a volume's state at one node.
type entry struct {
	finish float64 // last finish tag
	seen   float64 // the volume's total when it last came to this node
	used   Time
}

type volume struct {
	plan    *Plan
	phi     float64
	hosts   float64
	at      map[*node]*entry
	total   float64 // units asked of all nodes
	reserve bucket
	limit   bucket
	used    Time
}

type node struct {
	Entry
	queue    *place
	v        float64 // virtual time: the start tag last sent
	window   float64
	shrunk   Time
	outs     []*attempt // in order of sending, less those written off
	seen     sight      // of its own
	lat      float64    // what is held of it: seconds of an answer
	pressure float64    // and answer times as parts of the aims, 1 at most
	heard    Time       // last answer
	open     bool       // circuit breaker
	trialAt  Time
	trialGap time.Duration
	failures int    // failed connections and resets since an answer
	cold     bucket // what it may be sent while it is cold
	wake     Time
	sentAt   Time
	jitter   float64 // of the gap after it
	dirty    bool
	waking   bool // stands among Head.waking
	order    int  // in which nodes joined
	sends    int  // so far
}

// turn is the order of one key's requests.
type turn struct {
	queue  []*request
	rest   Time
	restOf *request
}

// Head decides for one host. It is not safe for concurrent use.
type Head struct {
	s        Settings
	now      Time
	boot     Time
	aim      time.Duration // shortest aim
	weights  float64
	crowd    float64 // heads that may stand before one node
	top      float64 // most that a unit may earn
	seq      int
	acts     []Action
	nodes    []*node
	byName   map[string]*node
	joined   int     // nodes so far
	waking   []*node // those that have a time to be looked at, in any order
	byShard  map[int][]*node
	touched  []*node        // something happened to them in this moment
	looked   []*node        // those of the last, for use again
	nextWake Time           // first of the others' wake times, or before it
	unit     float64        // seconds that a unit takes where nothing waits
	fleet    sight          // of all nodes
	flows    map[int]*faded // units served, by shard
	rand     *rand.Rand
	reqs     map[uint64]*request
	attempts map[attemptID]*attempt
	vols     map[string]*volume
	turns    map[string]*turn
	homeless *place // no node of the list may take them
	pos      int
	taken    []Time // requests, within the budget's window
	further  []Time // attempts past the first, likewise
	swept    Time
	watchAt  Time
	armed    Time
}

// New returns a head that knows nothing yet. The seed is for what is
// spread by chance among heads.
func New(s Settings, seed uint64, now Time) (*Head, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	h := &Head{s: s, now: now, aim: s.Classes[0].Aim, crowd: 1, boot: now, swept: now, watchAt: -1, armed: now,
		reqs: map[uint64]*request{}, attempts: map[attemptID]*attempt{}, vols: map[string]*volume{},
		byName: map[string]*node{}, turns: map[string]*turn{}, flows: map[int]*faded{}, homeless: newPlace(),
		rand: rand.New(rand.NewPCG(seed, seed))}
	for _, p := range s.Plans {
		h.weights += p.Weight
		for _, c := range s.Classes {
			h.top, h.aim = max(h.top, c.Worth*p.Price, 1e-9), min(h.aim, c.Aim)
		}
	}
	if s.AskDiscovery {
		h.watchAt = now
	}
	return h, nil
}

// Handle takes the events of one moment and returns what to do about them, in order.
func (h *Head) Handle(now Time, events []Event) []Action {
	h.now, h.acts = max(now, h.now), nil
	for _, e := range events {
		switch e := e.(type) {
		case Arrival:
			h.arrive(e)
		case List:
			h.list(e)
		case Ended:
			h.ended(e)
		case Begun:
			if r := h.reqs[e.ID]; r != nil {
				r.streaming = true
			}
		case Dropped:
			if r := h.reqs[e.ID]; r != nil {
				h.close(r)
			}
		}
	}
	h.settle()
	return h.acts
}

// touch has a node looked at when the events of the moment are taken.
func (h *Head) touch(n *node) {
	if n != nil && !n.dirty {
		n.dirty, h.touched = true, append(h.touched, n)
	}
}

func (h *Head) do(a Action) { h.acts = append(h.acts, a) }

func (h *Head) arrive(a Arrival) {
	if h.reqs[a.ID] != nil {
		return // told twice; the first is being dealt with
	}
	if a.Class < 0 || a.Class >= len(h.s.Classes) || math.IsNaN(a.Units) {
		h.do(Refuse{ID: a.ID}) // nothing known may be promised of it but that it never ran
		return
	}
	if h.s.Budget {
		h.taken = append(h.taken, h.now)
	}
	h.seq, a.Units = h.seq+1, max(a.Units, 0)
	r := &request{Arrival: a, class: &h.s.Classes[a.Class], vol: h.volume(a)}
	r.Seq, r.Due = h.seq, h.now+a.Left
	r.Aim = min(h.now+r.class.Aim, r.Due)             // one whose client leaves before its aim aims at that
	if c := r.class; a.Again && c.Deadline > a.Left { // its aim counts from its client's first try
		r.Aim = min(r.Aim, h.now+c.Aim-(c.Deadline-a.Left))
	}
	r.By = max(h.now+Time(patience*float64(a.Left)), r.Aim)
	h.reqs[a.ID] = r
	if r.vol.plan.Limit > 0 && r.vol.limit.cap < a.Units {
		h.finish(r) // more than this host's part of the burst ever holds
		return
	}
	if r.class.InOrder && a.Key != "" {
		t := h.turns[a.Key]
		if t == nil {
			t = &turn{}
			h.turns[a.Key] = t
		}
		t.queue = append(t.queue, r)
	}
	h.queue(r)
}

// volume returns the state of the request's volume. The bucket of its limit is
// this host's even part, and fills from nothing since the head's start: what
// was spent before a restart cannot be known (rule on limits).
func (h *Head) volume(a Arrival) *volume {
	v := h.vols[a.Volume]
	if v == nil {
		p := &h.s.Plans[min(max(a.Plan, 0), len(h.s.Plans)-1)]
		v = &volume{plan: p, phi: 1 / float64(len(h.s.Plans)), at: map[*node]*entry{}}
		if h.weights > 0 {
			v.phi = max(p.Weight/h.weights, 1e-6)
		}
		v.reserve.at, v.limit.at = h.boot, h.boot
		h.vols[a.Volume] = v
	}
	heads, hosts := float64(h.s.Heads), float64(a.Hosts)
	if hosts < 1 || hosts > heads {
		hosts = heads
	}
	v.hosts, h.crowd = hosts, max(h.crowd, min(heads, sharers*hosts))
	if part := min(1, reserveHosts/hosts); v.plan.Reserve > 0 {
		v.reserve.rate = part * v.plan.Reserve
		v.reserve.cap = max(part*(v.plan.Reserve+h.s.MostUnits), h.s.MostUnits)
	}
	if v.used == 0 {
		v.reserve.level = v.reserve.cap
	}
	v.limit.rate, v.limit.cap = v.plan.Limit/hosts, v.plan.LimitBurst/hosts
	v.used = h.now
	return v
}

// queue places a held request in the queue of the node that may take it.
func (h *Head) queue(r *request) {
	n := h.target(r)
	h.pos++
	if n == nil {
		r.node = nil
		h.homeless.Hold(r, h.pos)
		return
	}
	if r.node != n || r.tries == 0 {
		h.tag(r, n)
	}
	r.node, r.passed = n, n.sends
	n.queue.Hold(r, h.pos)
	h.place(r)
	h.touch(n)
}

// place lets a held request stand ready at its node, or sleep until it may. One
// that waits for its key's turn does neither (rule on order).
func (h *Head) place(r *request) {
	until, t := r.notBefore, h.turns[r.Key]
	if r.class.InOrder && t != nil {
		if len(t.queue) == 0 || t.queue[0] != r {
			return
		}
		if t.restOf != r {
			until = max(until, t.rest)
		}
	}
	if until > h.now {
		r.node.queue.Sleep(r, until)
		return
	}
	r.node.queue.Ready(r, r.vol, kind{r.class, r.vol.plan, r.vol.hosts, r.Units, r.excess, r.tries > 0})
}

// target returns the serving node that holds the request's shard; a new object
// goes to the node that should have room for it soonest. Nodes whose breaker is
// open or that are cold come last.
func (h *Head) target(r *request) (best *node) {
	var bestLoad float64
	nodes, first := h.byShard[r.Shard], 0
	if r.Shard < 0 && len(h.nodes) > 0 {
		nodes, first = h.nodes, h.rand.IntN(len(h.nodes)) // lest all heads take nodes alike in one order
	}
	for i := range nodes {
		n := nodes[(first+i)%len(nodes)]
		if n.State != Serving || !h.mayRepeat(r, n) {
			continue
		}
		load := max(n.lat, h.aim.Seconds()/10) * (1 + float64(n.queue.Len()+len(n.outs))) / n.window
		if n.open {
			load += 1e6
		}
		if h.isCold(n) {
			load += 1e3
		}
		if best == nil || load < bestLoad {
			best, bestLoad = n, load
		}
	}
	return best
}

// mayRepeat tells whether another attempt may go to n, given where an earlier
// one may have run (rule on effects).
func (h *Head) mayRepeat(r *request, n *node) bool {
	if r.ran == nil || r.class.Effect == Safe {
		return true
	}
	if r.class.Effect == Unsafe || h.now >= r.ranAt+r.class.Window {
		return false
	}
	return r.class.Group == GroupAll || (r.class.Group == GroupZone && n.Zone == r.ran.Zone) ||
		(r.class.Group == GroupCell && n.Shard == r.ran.Shard)
}

// tag is HYBRID-DSFQ: S = max(v, F + delay/φ), F = S + cost/φ, the delay being
// the volume's units sent elsewhere since it last came to this node, clipped so
// that φmin of the node stays its own. Departure: units inside the volume's
// reserve leave at v with no delay and are not booked on F, as in mClock.
func (h *Head) tag(r *request, n *node) {
	e := r.vol.at[n]
	if e == nil {
		e = &entry{seen: r.vol.total}
		r.vol.at[n] = e
	}
	delay := 0.0
	if phi := r.vol.phi; phi < 1 {
		delay = min(r.vol.total-e.seen, (1/minShare-1)/(1-phi)*r.Units)
	}
	r.vol.total += r.Units
	e.seen, e.used = r.vol.total, h.now
	r.vol.reserve.fill(h.now)
	if r.vol.reserve.level >= r.Units {
		r.vol.reserve.level -= r.Units
		r.start, r.excess = n.v, false
		return
	}
	r.excess = true
	r.start = max(n.v, e.finish+delay/r.vol.phi)
	e.finish = r.start + r.Units/r.vol.phi
}

// finish gives the final answer: a refusal where it is true that trying again
// does no harm, else a failure.
func (h *Head) finish(r *request) {
	switch {
	case r.done:
	case r.ran == nil || r.class.Effect == Safe || (r.class.Effect == Keyed && r.class.Group == GroupAll):
		h.do(Refuse{ID: r.ID, RetryAfter: h.s.MaxRetryAfter})
	default:
		h.do(Fail{ID: r.ID})
	}
	h.close(r)
}

// close forgets a request that has its final answer; its key stays taken while
// an attempt is without an outcome.
func (h *Head) close(r *request) {
	r.done = true
	delete(h.reqs, r.ID)
	if h.touch(r.node); r.Held() && r.node != nil {
		r.node.queue.Done(r)
	} else if r.Held() {
		h.homeless.Done(r)
	}
	h.endTurn(r)
}

func (h *Head) endTurn(r *request) {
	t := h.turns[r.Key]
	if t == nil || !r.done || r.live > 0 {
		return
	}
	switch i := slices.Index(t.queue, r); {
	case i == 0:
		t.queue = t.queue[1:]
	case i > 0:
		t.queue = slices.Delete(t.queue, i, i+1)
	default:
		return
	}
	for _, next := range t.queue[:min(1, len(t.queue))] {
		if h.touch(next.node); next.Held() && next.node != nil && !next.Placed() {
			h.place(next)
		}
	}
}

func (h *Head) ended(e Ended) {
	id := attemptID{e.ID, uint64(e.Attempt)}
	a := h.attempts[id]
	if a == nil {
		return
	}
	delete(h.attempts, id)
	r, n := a.r, a.node
	r.live--
	n.outs = slices.DeleteFunc(n.outs, func(o *attempt) bool { return o == a })
	h.touch(n)
	h.health(n, a, e)
	proven := e.Outcome == Full || e.Outcome == ConnectFailed || e.Outcome == Moot
	if e.Outcome != ConnectFailed && e.Outcome != Moot {
		r.By = r.Due // a node had it
	}
	if !proven && e.Outcome != OK && r.ran == nil {
		r.ran, r.ranAt = n, a.sent
	}
	if t := h.turns[r.Key]; t != nil && r.class.InOrder && !proven && e.Outcome != OK && e.Outcome != Failed {
		t.rest, t.restOf = h.now+h.s.OrderRest, r
	}
	switch {
	case r.done:
		h.endTurn(r)
	case e.Closed:
		h.close(r)
	case r.live > 0:
	case r.streaming || e.Spent || h.now+lastCall >= r.Due ||
		(h.s.MaxAttempts > 0 && r.tries >= h.s.MaxAttempts),
		!proven && (r.class.Effect == Unsafe || h.target(r) == nil):
		h.finish(r)
	default:
		r.notBefore = h.now + h.aim/10
		h.queue(r)
	}
}

// service returns what the request should take where nothing waits: its units
// times what the quickest quarter of answers took a unit.
func (h *Head) service(took float64, r *request) float64 {
	if x := took / max(r.Units, 1); h.unit == 0 {
		h.unit = x
	} else if x < h.unit {
		h.unit *= 1 - 3*drift
	} else {
		h.unit *= 1 + drift
	}
	return h.unit * r.Units
}

// saw books an answer, or what stands for one: a time-out or a 'full' took all
// of the request's aim.
func (h *Head) saw(n *node, took, part float64, answered bool) {
	part = min(max(part, 0), 1)
	if n.seen.add(h.now, 1, took, part); answered {
		h.fleet.add(h.now, 1, took, part) // a sick node tells of itself alone
	}
}

// look sets what is held of a node: its own answers by age, and as far as these
// are few or old, those of all nodes. Guards against sparse sight. It bounds the
// window by the heads that may stand before the node: a hundred windows of
// eight are a full queue, at which a node serves next to nothing.
func (h *Head) look(n *node) {
	n.window = min(n.window, windowMax, max(1, windowSum/h.crowd))
	weight, lat, part := n.seen.add(h.now, 0, 0, 0)
	all, allLat, allPart := h.fleet.add(h.now, 0, 0, 0)
	k := prior / max(all, prior)
	weight = max(weight+k*all, 1e-9)
	n.lat, n.pressure = (lat+k*allLat)/weight, (part+k*allPart)/weight
}

// health moves the node's window and breaker by what an attempt told.
//
// The window is delay-based AIMD: guards against a long first-in-first-out
// queue at the node, where tags no longer order anything. One decrease an
// answer time, so a pause or a flush of deferred writes costs one step. Slow
// answers stop at one; under it, down to one for all heads together, lead
// silence, time-outs and 'full', after which a node needs near quiet to recover.
//
// The breaker opens here on failed connections and resets in a row (a node that
// resets a part of its work still serves the rest), on silence in pump.
func (h *Head) health(n *node, a *attempt, e Ended) {
	took := (h.now - a.sent).Seconds()
	switch e.Outcome {
	case OK, Failed:
		n.heard, n.open, n.trialGap, n.failures = h.now, false, 0, 0
		part := took / a.r.class.Aim.Seconds()
		wait := took - h.service(took, a.r)
		if e.Reports && e.Reported >= 0 && e.Reported < math.Inf(1) {
			wait = (max(wait, 0) + e.Reported*h.unit*h.s.MeanUnits) / 2
		}
		h.saw(n, took, wait/a.r.class.Aim.Seconds(), true)
		h.served(n.Shard, h.now, a.r.Units)
		if part > congested && a.sent >= n.shrunk {
			n.window, n.shrunk = max(min(1, n.window), n.window*shrink), h.now
		} else if part < relaxed && a.full {
			n.window += min(n.window, 1/n.window)
		}
	case Full:
		h.saw(n, n.lat, 1, false)
		n.heard, n.window, n.shrunk = h.now, 1/h.crowd, h.now
	case ConnectFailed, Reset:
		if n.failures++; n.failures >= failuresMax {
			h.openBreaker(n)
		}
	case TimedOut:
		h.saw(n, took, 1, false)
		n.window, n.shrunk = 1/h.crowd, h.now
	}
}

// openBreaker stops ordinary sends to a node that is silent or unreachable.
// Guards against: hung, dead, cut off or restarting nodes, whatever the list
// says. What is out there is written off, so that trials are not held up.
func (h *Head) openBreaker(n *node) {
	if !n.open {
		n.open, n.trialGap, n.trialAt = true, h.aim, h.now+h.aim
		n.window = min(1, n.window)
	}
	if len(n.outs) > 0 {
		n.window, n.outs = max(1/h.crowd, min(1, n.window)/2), nil
	}
}

func (h *Head) list(l List) {
	if l.Failed {
		h.watchAt = h.now + listRetry
		return
	}
	listed := map[*node]bool{}
	regroup := l.Full
	for _, e := range l.Entries {
		n := h.byName[e.Node]
		if n == nil {
			n = &node{Entry: e, window: windowStart, heard: h.now, queue: newPlace()}
			h.join(n)
			h.coldStart(n)
			regroup = true
		} else {
			regroup = regroup || n.Shard != e.Shard
			h.update(n, e)
		}
		listed[n] = true
	}
	// Requests held for a node that no longer serves, or for none, find their next node.
	moved := h.homeless.Until(math.MaxInt64, nil)
	gone := false
	for _, n := range h.nodes {
		if l.Full && !listed[n] {
			n.State = Gone
		}
		if l.Full || listed[n] {
			h.touch(n)
		}
		if n.State != Serving {
			moved = append(moved, n.queue.Until(math.MaxInt64, nil)...)
		}
		gone = gone || n.State == Gone
	}
	if regroup {
		h.group()
	}
	for _, r := range moved {
		h.queue(r)
	}
	if gone {
		h.forget()
	}
}

// join adds a node that the list has for the first time.
func (h *Head) join(n *node) {
	h.joined++
	n.order = h.joined
	h.nodes, h.byName[n.Node] = append(h.nodes, n), n
}

// update takes what the list has of a node that is known. After a restart nothing that was
// known of it holds any more.
func (h *Head) update(n *node, e Entry) {
	restart := e.Started != n.Started && e.State == Serving
	n.Entry = e
	if restart {
		n.window, n.seen, n.open, n.heard = 1, sight{}, false, h.now
		h.coldStart(n)
	}
}

// group finds the nodes of each shard.
func (h *Head) group() {
	h.byShard = map[int][]*node{}
	for _, n := range h.nodes {
		h.byShard[n.Shard] = append(h.byShard[n.Shard], n)
	}
}

// forget lets go of nodes that are gone for good, lest a head that lives long hold all that
// ever were.
func (h *Head) forget() {
	h.nodes = slices.DeleteFunc(h.nodes, func(n *node) bool {
		if n.State != Gone || len(n.outs) > 0 {
			return false
		}
		delete(h.byName, n.Node)
		n.wake = math.MaxInt64
		return true
	})
}

func (h *Head) isCold(n *node) bool {
	return n.Started > 0 && h.s.Cold > 0 && h.now < n.Started+h.s.Cold
}

// served counts units served on a shard and returns the mean rate up to a time.
func (h *Head) served(shard int, until Time, units float64) float64 {
	f := h.flows[shard]
	if f == nil {
		f = &faded{}
		h.flows[shard] = f
	}
	life := float64(until-h.boot) / float64(history)
	if sum := f.add(until, units, history); life > 0 {
		return sum * math.Ln2 / history.Seconds() / (1 - math.Exp2(-life))
	}
	return 0
}

// coldStart sets a node's bucket for the time that it is cold (rule on cold
// nodes): this head's even part of what is always borne or, where that is more,
// a part in proportion to what it was served by a node of the shard before, which over
// all heads adds up to what such a node really bore: its capacity is not told, and is no
// less than that. At many heads either is less than
// one request in a window: it accrues, and each starts at a level by chance, so
// that their turns are spread. After the head's own start a window passes first,
// as its life before may have spent it.
func (h *Head) coldStart(n *node) {
	if !h.isCold(n) {
		return
	}
	window, units := max(h.s.FallWindow.Seconds(), 1e-3), cmp.Or(h.s.ColdUnits, h.s.MeanUnits)
	rate := max(coldKeep*units/float64(h.s.Heads)/window,
		h.s.FallMultiple*h.s.ColdFrom*h.served(n.Shard, n.Started, 0)/h.sharing(n))
	n.cold = bucket{rate: rate, cap: rate * window * (1 - coldKeep) / coldKeep}
	n.cold.at = max(h.now, h.boot+h.s.FallWindow)
	n.cold.level = n.cold.cap - h.rand.Float64()*h.s.MeanUnits
}

// sharing is how many nodes a shard's requests were shared among before one of them started.
// Guards against a cold node that is held to bear what several bore together.
func (h *Head) sharing(started *node) (nodes float64) {
	for _, n := range h.byShard[started.Shard] {
		if n.State != Gone {
			nodes++
		}
	}
	return max(nodes, 1)
}

// coldLevel fills a cold node's bucket, which grows as its capacity must.
func (h *Head) coldLevel(n *node) bucket {
	grown := 1.0
	if from := h.s.ColdFrom; from > 0 && from < 1 {
		age := float64(h.now-n.Started-h.s.FallWindow) / float64(h.s.Cold)
		grown += max(0, age) * (1 - from) / from
	}
	b := n.cold
	if b.rate, b.cap = b.rate*grown, b.cap*grown; h.now > b.at {
		b.fill(h.now)
		n.cold.level, n.cold.at = b.level, b.at
	}
	return b
}

// coldRoom tells whether a cold node may be sent so many units.
func (h *Head) coldRoom(n *node, units float64) bool {
	if !h.isCold(n) {
		return true
	}
	b := h.coldLevel(n)
	return h.now >= b.at && b.level >= min(units, b.cap)
}

// expected is how long an answer should take, from the node's recent ones; a
// request that is out for longer already counts as one.
func (h *Head) expected(n *node, units float64) time.Duration {
	t := max(n.lat+h.unit*(units-h.s.MeanUnits), 0)
	if len(n.outs) > 0 {
		t = max(t, (h.now-n.outs[0].sent).Seconds()/2)
	}
	return time.Duration(t * float64(time.Second))
}

// limited tells whether a volume's limit keeps a first attempt of so many units.
func (h *Head) limited(v *volume, units float64) bool {
	if v.plan.Limit <= 0 {
		return false
	}
	v.limit.fill(h.now)
	return v.limit.level < units
}

// withinBudget keeps the budget of attempts past the first.
func (h *Head) withinBudget() bool {
	if !h.s.Budget {
		return true
	}
	h.taken = since(h.taken, h.now-h.s.BudgetOver+1)
	// An attempt just at the edge still counts, a request there does not.
	h.further = since(h.further, h.now-h.s.BudgetOver)
	return float64(len(h.further)+1) <= h.s.BudgetFree+h.s.BudgetShare*float64(len(h.taken))
}

// yields tells whether a request stands back for those of other heads at the
// node, which cannot be seen but in how slowly the node answers: what earns
// least a unit soonest (late, beyond the reserve, of a class or plan of little
// worth). Departure from "no slot idled": a slot is left open then.
func (h *Head) yields(k *kind, n *node, late bool) bool {
	worth, calm := k.worth()/h.top, calmAims
	if late {
		worth, calm = worth*k.class.LateWorth, calmLate
	}
	if k.excess {
		worth *= h.s.ShareWorth
	}
	// All heads of a volume together try a crowded node at the pace of one.
	pressure := n.pressure * math.Exp2(-float64(h.now-n.heard)/float64(h.aim)/calm/max(1, 2*k.hosts-2))
	if h.isCold(n) { // what a cold node bears is for what earns most
		b := h.coldLevel(n)
		pressure = max(pressure, 1-b.level/max(b.cap, 1e-9))
	}
	return pressure > max(worth, yieldLeast) && worth < 1
}

// worth is what a unit earns in time and within the reserve.
func (k *kind) worth() float64 { return k.class.Worth * k.plan.Price }

// front returns the request of a lane that goes first by an order, of those that
// can still be in time for their aim or, if late, of those that are late; nil where
// none may go now.
func (h *Head) front(n *node, l *lane, order int, late bool) *request {
	k := &l.Kind
	if l.Empty() || (k.again && !h.withinBudget()) || h.yields(k, n, late) || !h.coldRoom(n, k.units) {
		return nil
	}
	t, next := h.now+h.expected(n, k.units), l.InTime
	if late {
		next = l.Alive
	}
	// A node where nothing is out is tried again after trialMax though no answer is
	// expected in time. Guards against a time-out of which nothing newer is ever
	// heard, as where all nodes were silent at once: it would keep all from the node.
	if late && len(n.outs) == 0 && h.now >= n.sentAt+trialMax {
		t = math.MinInt64
	}
	for {
		r, ok := next(order, t)
		if !ok || h.mayRepeat(r, n) {
			return r
		}
		n.queue.Unplace(r) // its nodes' window is over: never again
	}
}

// pick returns the held request that goes next: the volume with the lowest
// start tag, and of its requests the one of most worth, then with the nearest
// aim, which trades tags with the first. Equal tags, as in the reserves, are
// told apart in the same way. Departure: what can no longer meet its aim goes
// only when nothing else can.
func (h *Head) pick(n *node) *request {
	for r, ok := n.queue.Woken(h.now); ok; r, ok = n.queue.Woken(h.now) {
		h.place(r)
	}
	before := func(a, b *request) bool { // more worth a unit, then the nearer aim
		if wa, wb := a.Kind().worth(), b.Kind().worth(); wa != wb {
			return wa > wb
		}
		return aimBefore(a, b)
	}
	for _, late := range [...]bool{false, true} {
		first := h.foremost(n, late, before)
		if first == nil {
			continue
		}
		best := first
		for _, l := range n.queue.Own(first.vol) {
			if l.Kind.again || !h.limited(first.vol, l.Kind.units) {
				if r := h.front(n, l, byAim, late); r != nil && before(r, best) {
					best = r
				}
			}
		}
		if best != first {
			n.queue.Unplace(best)
			n.queue.Unplace(first)
			best.start, first.start = first.start, best.start
			best.excess, first.excess = first.excess, best.excess
			h.place(first)
		}
		return best
	}
	return nil
}

// foremost returns the request of the lowest start tag. Volumes that their limit
// keeps from going are looked at each by itself, all others together by kind.
func (h *Head) foremost(n *node, late bool, before func(a, b *request) bool) (best *request) {
	take := func(r *request) {
		if r != nil && (best == nil || r.start < best.start || (r.start == best.start && before(r, best))) {
			best = r
		}
	}
	for _, l := range n.queue.Shared {
		r := h.front(n, l, byTag, late)
		for ; r != nil && !l.Kind.again && h.limited(r.vol, l.Kind.units); r = h.front(n, l, byTag, late) {
			n.queue.SetApart(r.vol)
		}
		take(r)
	}
	for _, s := range n.queue.Apart {
		for _, l := range s.Lanes {
			if l.Kind.again || !h.limited(s.Owner, l.Kind.units) {
				take(h.front(n, l, byTag, late))
			}
		}
	}
	return best
}

// pump refuses what is out of time and sends while the window has room.
func (h *Head) pump(n *node) {
	n.dirty = false
	h.look(n)
	silence := max(silentAims*h.aim.Seconds(), silentLats*n.lat)
	if len(n.outs) > 0 && (h.now-max(n.heard, n.outs[0].sent)).Seconds() >= silence {
		h.openBreaker(n)
	}
	h.expire(n.queue)
	for n.queue.Len() > 0 {
		if n.open && h.now < n.trialAt {
			break
		} else if n.open { // half-open: one trial, at growing gaps
			h.openBreaker(n)
		}
		if h.slotAt(n) > h.now {
			break
		}
		r := h.pick(n)
		if r == nil {
			break
		}
		if n.open {
			n.trialGap = min(2*n.trialGap, trialMax)
			n.trialAt = h.now + n.trialGap
		}
		h.send(n, r)
	}
	n.wake = math.MaxInt64
	if len(n.outs) > 0 {
		n.wake = h.now + h.aim/4
	}
	if n.queue.Len() > 0 { // held for a slot, or by what time alone changes
		n.wake = min(n.wake, lastCalls(n.queue), max(h.slotAt(n), h.now+h.aim/polls))
	}
}

// slotAt returns when another request may go out: at once while fewer than D
// are out, never while D are. A window under one is a gap between sends, the
// node's usual answer time over the window (as Swift paces), by chance half as
// long or half as long again.
func (h *Head) slotAt(n *node) Time {
	switch {
	case float64(len(n.outs))+1 <= n.window:
		return 0
	case n.window >= 1 || len(n.outs) > 0:
		return math.MaxInt64
	}
	return n.sentAt + Time(n.jitter*n.lat/n.window*float64(time.Second))
}

func (h *Head) send(n *node, r *request) {
	n.sends, n.sentAt, n.jitter = n.sends+1, h.now, 0.5+h.rand.Float64()
	n.queue.Drop(r)
	n.v = max(n.v, r.start)
	if r.tries == 0 {
		if r.vol.plan.Limit > 0 {
			r.vol.limit.fill(h.now)
			r.vol.limit.level -= r.Units
		}
	} else if h.s.Budget {
		h.further = append(h.further, h.now)
	}
	if h.isCold(n) {
		n.cold.level -= r.Units
	}
	a := &attempt{r: r, node: n, sent: h.now, full: float64(len(n.outs))+2 > n.window}
	n.outs = append(n.outs, a)
	h.attempts[attemptID{r.ID, uint64(r.tries)}] = a
	r.tries, r.live = r.tries+1, r.live+1
	by := Time(0) // rule on effects, also where a connection comes up late
	if r.ran != nil && r.class.Effect == Keyed {
		by = r.ranAt + r.class.Window
	}
	h.do(Send{ID: r.ID, Node: n.Node, By: by})
}

// later is until when a request is held that no node has had for half of its time. One that
// others went before hardly goes in time: its client is told while it has time to come back.
func later(r *request) Time {
	if r.node != nil && r.node.sends-r.passed < overtaken {
		return r.Due
	}
	return 0
}

// expire answers what is out of time.
func (h *Head) expire(held *place) {
	for _, r := range held.Until(h.now+lastCall+1, later) {
		h.finish(r)
	}
}

// lastCalls returns when the first of those held must be answered.
func lastCalls(held *place) Time {
	if held.Len() == 0 {
		return math.MaxInt64
	}
	return held.First() - lastCall
}

// settle lets every node that something happened to send, and sets the timer.
func (h *Head) settle() {
	wake := Time(math.MaxInt64)
	if h.watchAt >= 0 && h.now >= h.watchAt {
		h.do(Watch{})
		h.watchAt = -1
	} else if h.watchAt >= 0 {
		wake = h.watchAt
	}
	if h.now >= h.nextWake { // else only nodes that something happened to
		h.nextWake = math.MaxInt64
		h.wakeNodes()
	}
	touched := h.touched
	h.touched, h.looked = h.looked[:0], touched
	for _, n := range touched {
		h.pump(n)
		h.nextWake = min(h.nextWake, n.wake)
		if n.wake < math.MaxInt64 && !n.waking {
			n.waking, h.waking = true, append(h.waking, n)
		}
	}
	if wake = min(wake, h.nextWake); len(h.touched) > 0 { // by what came of it, as a key's next turn
		wake = h.now
	}
	h.expire(h.homeless)
	wake = min(wake, lastCalls(h.homeless))
	if h.now >= h.swept+idleFor/2 {
		h.sweep()
	}
	if wake < math.MaxInt64 && (h.armed <= h.now || wake < h.armed) {
		// Whole milliseconds: a timer that came a fraction early would be taken for another.
		in := max(wake-h.now+time.Millisecond-1, time.Millisecond).Truncate(time.Millisecond)
		h.armed = h.now + in
		h.do(WakeIn{In: in})
	}
}

// wakeNodes has nodes looked at whose time has come, in the order in which they joined. Only
// nodes with work have one, however many are on the list.
func (h *Head) wakeNodes() {
	var due []*node
	kept := h.waking[:0]
	for _, n := range h.waking {
		switch {
		case h.now >= n.wake:
			due = append(due, n)
			n.waking = false
		case n.wake < math.MaxInt64:
			kept = append(kept, n)
			h.nextWake = min(h.nextWake, n.wake)
		default:
			n.waking = false
		}
	}
	clear(h.waking[len(kept):])
	h.waking = kept
	slices.SortFunc(due, func(a, b *node) int { return cmp.Compare(a.order, b.order) })
	for _, n := range due {
		h.touch(n)
	}
}

// sweep forgets idle volumes. A volume whose limit's bucket is not full yet is
// kept: forgotten, it would come back with more than it has.
func (h *Head) sweep() {
	h.swept = h.now
	for _, n := range h.nodes {
		n.queue.Sweep()
	}
	for name, v := range h.vols {
		for n, e := range v.at {
			if h.now-e.used > idleFor {
				delete(v.at, n)
			}
		}
		v.limit.fill(h.now)
		if h.now-v.used > idleFor && len(v.at) == 0 && v.limit.level >= v.limit.cap {
			delete(h.vols, name)
		}
	}
	for key, t := range h.turns {
		if len(t.queue) == 0 && h.now >= t.rest {
			delete(h.turns, key)
		}
	}
	h.taken = since(h.taken, h.now-h.s.BudgetOver+1)
}

// The decisions of a head as they were when every choice read all that waits, kept to
// compare with: the same events must bring the same actions. Test code only. It has
// one line changed on purpose, marked so.
package scheduler_test

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	. "maddergap/scheduler"
)

const (
	minShare         = 0.5              // φmin, as a part of φ
	maxWindow        = 8.0              // D of the design: most requests out at a node
	windowSum        = 32.0             // the same of all heads together, one for each at least
	initialWindow    = 2.0              // D at a node of which nothing is known
	congested        = 0.2              // an answer later than this part of its aim shrinks the window
	relaxed          = 0.13             // one sooner than this part may widen it
	yieldLeast       = 0.02             // what earns nothing goes too where answers take less than this
	calmLate         = 4.0              // the same for what is late
	pressureHalfLife = 1.5              // pressure halves over so many shortest aims without an answer
	shrink           = 0.7              // multiplicative decrease
	coldKeep         = 0.67             // part of its budget that a cold node's bucket fills at; it holds the rest
	memory           = 3 * time.Second  // what was seen of a node counts half after this
	history          = 30 * time.Second // so does what a head was served on a shard
	drift            = 0.02             // step of the estimate of what a unit takes
	prior            = 4.0              // answers that all nodes together count for in what is held of one
	sharers          = 2.0              // heads before a node, as a multiple of those of a volume
	reserveHosts     = 2.0              // a host holds so many even parts of a volume's reserve, all of it at most
	idleFor          = 10 * time.Second // idle volumes are forgotten after this
	lastCall         = 10 * time.Millisecond
	polls            = 12 // looks at held requests within a shortest aim
	patience         = 0.5
	overtaken        = 2
	maxSilence       = 2.0         // silence of so many shortest aims opens the breaker
	silentLats       = 4.0         // but not before so many usual answer times
	failuresMax      = 3           // so do so many failed connections or resets in a row
	trialMax         = time.Second // longest gap between trials of an open breaker
	watchRetryDelay  = time.Second // after a failed call for the list
)

type request struct {
	Arrival
	seq             int
	class           *Class
	vol             *volume
	due, aimAt, by  Time
	passed          int
	start           float64 // start tag
	beyondReserve   bool    // the tag is beyond the volume's reserve
	node            *node   // whose queue it waits in, nil if none
	tries, live     int     // attempts made, attempts without an outcome
	ran             *node   // where an attempt may have run
	ranAt           Time    // when the first such attempt was sent
	notBefore       Time
	done, streaming bool
}

type attempt struct {
	r    *request
	node *node
	sent Time
	full bool // the window was full with it
}

type attemptID struct{ id, n uint64 }

type entry struct {
	finish float64 // last finish tag
	seen   float64 // the volume's total when it last came to this node
	used   Time
}

type volume struct {
	plan           *Plan
	phi            float64
	instances      float64
	at             map[*node]*entry
	unitsRequested float64 // units asked of all nodes
	reserve        bucket
	limit          bucket
	used           Time
}

type node struct {
	Endpoint
	queue      []*request
	v          float64 // virtual time: the start tag last sent
	window     float64
	shrunk     Time
	outs       []*attempt // in order of sending, less those written off
	seen       sight      // of its own
	lat        float64    // what is held of it: seconds of an answer
	pressure   float64    // and answer times as parts of the aims, 1 at most
	heard      Time       // last answer
	open       bool       // circuit breaker
	trialAt    Time
	trialGap   time.Duration
	failures   int    // failed connections and resets since an answer
	cold       bucket // what it may be sent while it is cold
	wake       Time
	lastSendAt Time
	jitter     float64 // of the gap after it
	dirty      bool
	sendCount  int
}

type sight struct{ weight, lat, part faded }

func (s *sight) add(now Time, weight, lat, part float64) (w, l, p float64) {
	return s.weight.add(now, weight, memory), s.lat.add(now, lat, memory), s.part.add(now, part, memory)
}

type turn struct {
	queue  []*request
	rest   Time
	restOf *request
}

type reference struct {
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
	byShard  map[int][]*node
	touched  []*node        // something happened to them in this moment
	nextWake Time           // first of the others' wake times, or before it
	unit     float64        // seconds that a unit takes where nothing waits
	fleet    sight          // of all nodes
	flows    map[int]*faded // units served, by shard
	rand     *rand.Rand
	reqs     map[uint64]*request
	attempts map[attemptID]*attempt
	vols     map[string]*volume
	turns    map[string]*turn
	homeless []*request // no node of the list may take them
	taken    []Time     // requests, within the budget's window
	further  []Time     // attempts past the first, likewise
	swept    Time
	watchAt  Time
	armed    Time
}

func newReference(s Settings, seed uint64, now Time) (*reference, error) {
	h := &reference{s: s, now: now, crowd: 1, boot: now, swept: now, watchAt: -1, armed: now,
		reqs: map[uint64]*request{}, attempts: map[attemptID]*attempt{}, vols: map[string]*volume{},
		turns: map[string]*turn{}, flows: map[int]*faded{}, rand: rand.New(rand.NewPCG(seed, seed))}
	h.aim = s.Classes[0].LatencyObjective
	for _, c := range s.Classes {
		h.aim = min(h.aim, c.LatencyObjective)
	}
	for _, p := range s.Plans {
		h.weights += p.Weight
		for _, c := range s.Classes {
			h.top = max(h.top, c.PriorityWeight*p.PriorityFactor, 1e-9)
		}
	}
	if s.PollDiscovery {
		h.watchAt = now
	}
	return h, nil
}

func (h *reference) Handle(now Time, events []Event) []Action {
	h.now, h.acts = max(now, h.now), nil
	for _, e := range events {
		switch e := e.(type) {
		case Arrival:
			h.arrive(e)
		case EndpointUpdate:
			h.list(e)
		case AttemptEnded:
			h.ended(e)
		case ResponseStarted:
			if r := h.reqs[e.ID]; r != nil {
				r.streaming = true
			}
		case ClientDisconnected:
			if r := h.reqs[e.ID]; r != nil {
				h.close(r)
			}
		}
	}
	h.settle()
	return h.acts
}

func (h *reference) touch(n *node) {
	if n != nil && !n.dirty {
		n.dirty = true
		h.touched = append(h.touched, n)
	}
}

func (h *reference) do(a Action) { h.acts = append(h.acts, a) }

func (h *reference) arrive(a Arrival) {
	if h.reqs[a.ID] != nil {
		return // told twice; the first is being dealt with
	}
	if a.Class < 0 || a.Class >= len(h.s.Classes) || math.IsNaN(a.Units) {
		h.do(Reject{ID: a.ID}) // nothing known may be promised of it but that it never ran
		return
	}
	if h.s.RetryBudget != nil {
		h.taken = append(h.taken, h.now)
	}
	h.seq++
	a.Units = max(a.Units, 0)
	r := &request{Arrival: a, seq: h.seq, class: &h.s.Classes[a.Class], vol: h.volume(a)}
	r.due = h.now + a.TimeRemaining
	r.aimAt = min(h.now+r.class.LatencyObjective, r.due) // changed on purpose: no aim is after the client's end
	r.by = max(h.now+Time(patience*float64(a.TimeRemaining)), r.aimAt)
	if c := r.class; a.ClientRetry && c.Deadline > a.TimeRemaining {
		r.aimAt = min(r.aimAt, h.now+c.LatencyObjective-(c.Deadline-a.TimeRemaining))
		r.by = max(h.now+Time(patience*float64(a.TimeRemaining)), r.aimAt)
	}
	h.reqs[a.ID] = r
	if r.vol.plan.Limit > 0 && r.vol.limit.cap < a.Units {
		h.finish(r) // more than this host's part of the burst ever holds
		return
	}
	if r.class.Ordered && a.Key != "" {
		t := h.turns[a.Key]
		if t == nil {
			t = &turn{}
			h.turns[a.Key] = t
		}
		t.queue = append(t.queue, r)
	}
	h.queue(r)
}

func (h *reference) volume(a Arrival) *volume {
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
	heads, hosts := float64(h.s.Instances), float64(a.Instances)
	if hosts < 1 || hosts > heads {
		hosts = heads
	}
	v.instances, h.crowd = hosts, max(h.crowd, min(heads, sharers*hosts))
	if part := min(1, reserveHosts/hosts); v.plan.Reserve > 0 {
		v.reserve.rate = part * v.plan.Reserve
		v.reserve.cap = max(part*(v.plan.Reserve+h.s.MaxUnits), h.s.MaxUnits)
	}
	if v.used == 0 {
		v.reserve.level = v.reserve.cap
	}
	v.limit.rate, v.limit.cap = v.plan.Limit/hosts, v.plan.LimitBurst/hosts
	v.used = h.now
	return v
}

func (h *reference) queue(r *request) {
	n := h.target(r)
	if n == nil {
		r.node = nil
		h.homeless = append(h.homeless, r)
		return
	}
	if r.node != n || r.tries == 0 {
		h.tag(r, n)
	}
	r.node, n.queue = n, append(n.queue, r)
	r.passed = n.sendCount
	h.touch(n)
}

func (h *reference) target(r *request) (best *node) {
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
		load := max(n.lat, h.aim.Seconds()/10) * (1 + float64(len(n.queue)+len(n.outs))) / n.window
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

func (h *reference) mayRepeat(r *request, n *node) bool {
	if r.ran == nil || r.class.Effect == Safe {
		return true
	}
	if r.class.Effect == NonIdempotent || h.now >= r.ranAt+r.class.DeduplicationWindow {
		return false
	}
	return r.class.DeduplicationScope == ScopeAll || (r.class.DeduplicationScope == ScopeZone && n.Zone == r.ran.Zone) ||
		(r.class.DeduplicationScope == ScopeShard && n.Shard == r.ran.Shard)
}

func (h *reference) tag(r *request, n *node) {
	e := r.vol.at[n]
	if e == nil {
		e = &entry{seen: r.vol.unitsRequested}
		r.vol.at[n] = e
	}
	delay := r.vol.unitsRequested - e.seen
	if phi := r.vol.phi; phi < 1 {
		delay = min(delay, (1/minShare-1)/(1-phi)*r.Units)
	} else {
		delay = 0
	}
	r.vol.unitsRequested += r.Units
	e.seen, e.used = r.vol.unitsRequested, h.now
	r.vol.reserve.fill(h.now)
	if r.vol.reserve.level >= r.Units {
		r.vol.reserve.level -= r.Units
		r.start, r.beyondReserve = n.v, false
		return
	}
	r.beyondReserve = true
	r.start = max(n.v, e.finish+delay/r.vol.phi)
	e.finish = r.start + r.Units/r.vol.phi
}

func (h *reference) finish(r *request) {
	switch {
	case r.done:
	case r.ran == nil || r.class.Effect == Safe || (r.class.Effect == Idempotent && r.class.DeduplicationScope == ScopeAll):
		h.do(Reject{ID: r.ID, RetryAfter: h.s.MaxRetryAfter})
	default:
		h.do(Fail{ID: r.ID})
	}
	h.close(r)
}

func (h *reference) close(r *request) {
	r.done = true
	delete(h.reqs, r.ID)
	h.touch(r.node)
	h.endTurn(r)
}

func (h *reference) endTurn(r *request) {
	t := h.turns[r.Key]
	if t == nil || !r.done || r.live > 0 {
		return
	}
	if i := slices.Index(t.queue, r); i >= 0 {
		t.queue = slices.Delete(t.queue, i, i+1)
		for _, next := range t.queue[:min(1, len(t.queue))] {
			h.touch(next.node)
		}
	}
}

func (h *reference) hasTurn(r *request) bool {
	t := h.turns[r.Key]
	if !r.class.Ordered || t == nil {
		return true
	}
	return len(t.queue) > 0 && t.queue[0] == r && (t.restOf == r || h.now >= t.rest)
}

func (h *reference) ended(e AttemptEnded) {
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
	proven := e.Outcome == QueueFull || e.Outcome == ConnectFailed || e.Outcome == Superseded
	if e.Outcome != ConnectFailed && e.Outcome != Superseded {
		r.by = r.due
	}
	if !proven && e.Outcome != OK && r.ran == nil {
		r.ran, r.ranAt = n, a.sent
	}
	if t := h.turns[r.Key]; t != nil && r.class.Ordered && !proven && e.Outcome != OK && e.Outcome != Failed {
		t.rest, t.restOf = h.now+h.s.KeyCooldown, r
	}
	switch {
	case r.done:
		h.endTurn(r)
	case e.Responded:
		h.close(r)
	case r.live > 0:
	case r.streaming || e.BodyConsumed || h.now+lastCall >= r.due ||
		(h.s.MaxAttempts > 0 && r.tries >= h.s.MaxAttempts):
		h.finish(r)
	case !proven && (r.class.Effect == NonIdempotent || h.target(r) == nil):
		h.finish(r)
	default:
		r.notBefore = h.now + h.aim/10
		h.queue(r)
	}
}

func (h *reference) service(took float64, r *request) float64 {
	if x := took / max(r.Units, 1); h.unit == 0 {
		h.unit = x
	} else if x < h.unit {
		h.unit *= 1 - 3*drift
	} else {
		h.unit *= 1 + drift
	}
	return h.unit * r.Units
}

func (h *reference) saw(n *node, took, part float64, answered bool) {
	part = min(max(part, 0), 1)
	if n.seen.add(h.now, 1, took, part); answered {
		h.fleet.add(h.now, 1, took, part) // a sick node tells of itself alone
	}
}

func (h *reference) look(n *node) {
	n.window = min(n.window, maxWindow, max(1, windowSum/h.crowd))
	weight, lat, part := n.seen.add(h.now, 0, 0, 0)
	all, allLat, allPart := h.fleet.add(h.now, 0, 0, 0)
	k := prior / max(all, prior)
	weight = max(weight+k*all, 1e-9)
	n.lat, n.pressure = (lat+k*allLat)/weight, (part+k*allPart)/weight
}

func (h *reference) health(n *node, a *attempt, e AttemptEnded) {
	took := (h.now - a.sent).Seconds()
	switch e.Outcome {
	case OK, Failed:
		n.heard, n.open, n.trialGap, n.failures = h.now, false, 0, 0
		part := took / a.r.class.LatencyObjective.Seconds()
		wait := took - h.service(took, a.r)
		if e.HasLoadReport && e.ReportedLoad >= 0 && e.ReportedLoad < math.Inf(1) {
			wait = (max(wait, 0) + e.ReportedLoad*h.unit*h.s.MeanUnits) / 2
		}
		h.saw(n, took, wait/a.r.class.LatencyObjective.Seconds(), true)
		h.served(n.Shard, h.now, a.r.Units)
		if part > congested && a.sent >= n.shrunk {
			n.window, n.shrunk = max(min(1, n.window), n.window*shrink), h.now
		} else if part < relaxed && a.full {
			n.window += min(n.window, 1/n.window)
		}
	case QueueFull:
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

func (h *reference) openBreaker(n *node) {
	if !n.open {
		n.open, n.trialGap, n.trialAt = true, h.aim, h.now+h.aim
		n.window = min(1, n.window)
	}
	if len(n.outs) > 0 {
		n.window, n.outs = max(1/h.crowd, min(1, n.window)/2), nil
	}
}

func (h *reference) list(l EndpointUpdate) {
	if l.Failed {
		h.watchAt = h.now + watchRetryDelay
		return
	}
	seen := map[string]bool{}
	for _, e := range l.Endpoints {
		seen[e.Node] = true
		i := slices.IndexFunc(h.nodes, func(n *node) bool { return n.Node == e.Node })
		if i < 0 {
			n := &node{Endpoint: e, window: initialWindow, heard: h.now}
			h.nodes = append(h.nodes, n)
			h.coldStart(n)
			continue
		}
		n := h.nodes[i]
		restart := e.Started != n.Started && e.State == Serving
		n.Endpoint = e
		if restart { // nothing known of it holds any more
			n.window, n.seen, n.open, n.heard = 1, sight{}, false, h.now
			h.coldStart(n)
		}
	}
	for _, n := range h.nodes {
		if l.Full && !seen[n.Node] {
			n.State = Removed
		}
	}
	moved := h.homeless
	h.homeless, h.byShard = nil, map[int][]*node{}
	for _, n := range h.nodes {
		h.touch(n)
		h.byShard[n.Shard] = append(h.byShard[n.Shard], n)
		if n.State != Serving {
			moved = append(moved, n.queue...)
			n.queue = nil
		}
	}
	for _, r := range moved {
		if !r.done {
			h.queue(r)
		}
	}
	h.nodes = slices.DeleteFunc(h.nodes, func(n *node) bool { return n.State == Removed && len(n.outs) == 0 })
}

func (h *reference) isCold(n *node) bool {
	return n.Started > 0 && h.s.SlowStart.WarmupDuration > 0 && h.now < n.Started+h.s.SlowStart.WarmupDuration
}

func (h *reference) served(shard int, until Time, units float64) float64 {
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

func (h *reference) coldStart(n *node) {
	if !h.isCold(n) {
		return
	}
	window, units := max(h.s.SlowStart.OverloadWindow.Seconds(), 1e-3), cmp.Or(h.s.SlowStart.MinUnits, h.s.MeanUnits)
	rate := max(coldKeep*units/float64(h.s.Instances)/window,
		h.s.SlowStart.OverloadFactor*h.s.SlowStart.InitialFraction*h.served(n.Shard, n.Started, 0)/h.sharing(n))
	n.cold = bucket{rate: rate, cap: rate * window * (1 - coldKeep) / coldKeep}
	n.cold.at = max(h.now, h.boot+h.s.SlowStart.OverloadWindow)
	n.cold.level = n.cold.cap - h.rand.Float64()*h.s.MeanUnits
}

func (h *reference) sharing(started *node) (nodes float64) {
	for _, n := range h.byShard[started.Shard] {
		if n.State != Removed {
			nodes++
		}
	}
	return max(nodes, 1)
}

func (h *reference) coldLevel(n *node) bucket {
	grown := 1.0
	if from := h.s.SlowStart.InitialFraction; from > 0 && from < 1 {
		age := float64(h.now-n.Started-h.s.SlowStart.OverloadWindow) / float64(h.s.SlowStart.WarmupDuration)
		grown += max(0, age) * (1 - from) / from
	}
	b := n.cold
	if b.rate, b.cap = b.rate*grown, b.cap*grown; h.now > b.at {
		b.fill(h.now)
		n.cold.level, n.cold.at = b.level, b.at
	}
	return b
}

func (h *reference) coldRoom(n *node, units float64) bool {
	if !h.isCold(n) {
		return true
	}
	b := h.coldLevel(n)
	return h.now >= b.at && b.level >= min(units, b.cap)
}

func (h *reference) expected(n *node, r *request) time.Duration {
	t := max(n.lat+h.unit*(r.Units-h.s.MeanUnits), 0)
	if len(n.outs) > 0 {
		t = max(t, (h.now-n.outs[0].sent).Seconds()/2)
	}
	return time.Duration(t * float64(time.Second))
}

func (h *reference) sendable(r *request, n *node) bool {
	if h.now < r.notBefore || !h.hasTurn(r) || !h.mayRepeat(r, n) {
		return false
	}
	if h.now+h.expected(n, r) > r.due && (len(n.outs) > 0 || h.now < n.lastSendAt+trialMax) {
		return false
	}
	if r.tries > 0 && !h.withinBudget() {
		return false
	}
	if r.tries == 0 && r.vol.plan.Limit > 0 {
		r.vol.limit.fill(h.now)
		if r.vol.limit.level < r.Units {
			return false
		}
	}
	return h.coldRoom(n, r.Units)
}

func (h *reference) withinBudget() bool {
	if h.s.RetryBudget == nil {
		return true
	}
	h.taken = slices.DeleteFunc(h.taken, func(t Time) bool { return t <= h.now-h.s.RetryBudget.Window })
	h.further = slices.DeleteFunc(h.further, func(t Time) bool { return t < h.now-h.s.RetryBudget.Window })
	if h.now <= h.boot+h.s.RetryBudget.Window { // a life before may have spent it
		return false
	}
	return float64(len(h.further)+1) <= h.s.RetryBudget.MinRetries+h.s.RetryBudget.Ratio*float64(len(h.taken))
}

func (h *reference) yields(r *request, n *node, late bool) bool {
	worth, calm := h.worth(r)/h.top, pressureHalfLife
	if late {
		worth, calm = worth*r.class.LateWeightFactor, calmLate
	}
	if r.beyondReserve {
		worth *= h.s.ExcessWeight
	}
	pressure := n.pressure * math.Exp2(-float64(h.now-n.heard)/float64(h.aim)/calm/max(1, 2*r.vol.instances-2))
	if h.isCold(n) { // what a cold node bears is for what earns most
		b := h.coldLevel(n)
		pressure = max(pressure, 1-b.level/max(b.cap, 1e-9))
	}
	return pressure > max(worth, yieldLeast) && worth < 1
}

func (h *reference) worth(r *request) float64 {
	return r.class.PriorityWeight * r.vol.plan.PriorityFactor
}

func (h *reference) pick(n *node) (best *request) {
	late := func(r *request) bool { return h.now+h.expected(n, r) > r.aimAt }
	before := func(a, b *request) bool { // more worth a unit, then the nearer aim
		if wa, wb := h.worth(a), h.worth(b); wa != wb {
			return wa > wb
		}
		return a.aimAt < b.aimAt || (a.aimAt == b.aimAt && a.seq < b.seq)
	}
	var bestLate bool
	var ready []*request
	for _, r := range n.queue {
		if !h.sendable(r, n) {
			continue
		}
		l := late(r)
		if h.yields(r, n, l) {
			continue
		}
		ready = append(ready, r)
		if best == nil || (bestLate && !l) || (bestLate == l && (r.start < best.start ||
			(r.start == best.start && before(r, best)))) {
			best, bestLate = r, l
		}
	}
	if best == nil {
		return nil
	}
	first := best
	for _, r := range ready {
		if r.vol == first.vol && late(r) == bestLate && before(r, best) {
			best = r
		}
	}
	best.start, first.start = first.start, best.start
	best.beyondReserve, first.beyondReserve = first.beyondReserve, best.beyondReserve
	return best
}

func (h *reference) pump(n *node) {
	n.dirty = false
	h.look(n)
	patience := max(maxSilence*h.aim.Seconds(), silentLats*n.lat)
	if len(n.outs) > 0 && (h.now-max(n.heard, n.outs[0].sent)).Seconds() >= patience {
		h.openBreaker(n)
	}
	n.queue = h.expire(n.queue)
	for len(n.queue) > 0 {
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
	if len(n.queue) > 0 { // held for a slot, or by what time alone changes
		n.wake = min(n.wake, h.lastCalls(n.queue), max(h.slotAt(n), h.now+h.aim/polls))
	}
}

func (h *reference) slotAt(n *node) Time {
	switch {
	case float64(len(n.outs))+1 <= n.window:
		return 0
	case n.window >= 1 || len(n.outs) > 0:
		return math.MaxInt64
	}
	return n.lastSendAt + Time(n.jitter*n.lat/n.window*float64(time.Second))
}

func (h *reference) send(n *node, r *request) {
	n.sendCount++
	n.lastSendAt, n.jitter = h.now, 0.5+h.rand.Float64()
	n.queue = slices.DeleteFunc(n.queue, func(o *request) bool { return o == r })
	n.v = max(n.v, r.start)
	if r.tries == 0 {
		if r.vol.plan.Limit > 0 {
			r.vol.limit.fill(h.now)
			r.vol.limit.level -= r.Units
		}
	} else if h.s.RetryBudget != nil {
		h.further = append(h.further, h.now)
	}
	if h.isCold(n) {
		n.cold.level -= r.Units
	}
	a := &attempt{r: r, node: n, sent: h.now, full: float64(len(n.outs))+2 > n.window}
	n.outs = append(n.outs, a)
	h.attempts[attemptID{r.ID, uint64(r.tries)}] = a
	r.tries++
	r.live++
	by := Time(0)
	if r.ran != nil && r.class.Effect == Idempotent {
		by = r.ranAt + r.class.DeduplicationWindow
	}
	h.do(Send{ID: r.ID, Node: n.Node, StartBefore: by})
}

func (h *reference) expire(held []*request) []*request {
	return slices.DeleteFunc(held, func(r *request) bool {
		if n := r.node; !r.done && h.now+lastCall >= r.by && r.by < r.due && n != nil && n.sendCount-r.passed < overtaken {
			r.by = r.due
		}
		if !r.done && h.now+lastCall >= r.by {
			h.finish(r)
		}
		return r.done
	})
}

func (h *reference) lastCalls(held []*request) Time {
	first := Time(math.MaxInt64)
	for _, r := range held {
		first = min(first, r.by-lastCall)
	}
	return first
}

func (h *reference) settle() {
	wake := Time(math.MaxInt64)
	if h.watchAt >= 0 && h.now >= h.watchAt {
		h.do(WatchEndpoints{})
		h.watchAt = -1
	} else if h.watchAt >= 0 {
		wake = h.watchAt
	}
	if h.now >= h.nextWake { // else only nodes that something happened to
		h.nextWake = math.MaxInt64
		for _, n := range h.nodes {
			if h.now >= n.wake {
				h.touch(n)
			} else {
				h.nextWake = min(h.nextWake, n.wake)
			}
		}
	}
	touched := h.touched
	h.touched = nil
	for _, n := range touched {
		h.pump(n)
		h.nextWake = min(h.nextWake, n.wake)
	}
	if wake = min(wake, h.nextWake); len(h.touched) > 0 { // by what came of it, as a key's next turn
		wake = h.now
	}
	h.homeless = h.expire(h.homeless)
	wake = min(wake, h.lastCalls(h.homeless))
	if h.now >= h.swept+idleFor/2 {
		h.sweep()
	}
	if wake < math.MaxInt64 && (h.armed <= h.now || wake < h.armed) {
		in := max(wake-h.now+time.Millisecond-1, time.Millisecond).Truncate(time.Millisecond)
		h.armed = h.now + in
		h.do(SetTimer{After: in})
	}
}

func (h *reference) sweep() {
	h.swept = h.now
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
	if h.s.RetryBudget != nil {
		h.taken = slices.DeleteFunc(h.taken, func(t Time) bool { return t <= h.now-h.s.RetryBudget.Window })
	}
}

type bucket struct {
	level, rate, cap float64
	at               Time
}

func (b *bucket) fill(now Time) {
	b.level = min(b.cap, b.level+b.rate*(now-b.at).Seconds())
	b.at = now
}

type faded struct {
	sum float64
	at  Time
}

func (f *faded) add(now Time, x float64, half time.Duration) float64 {
	f.sum = f.sum*math.Exp2(-float64(max(now-f.at, 0))/float64(half)) + x
	f.at = max(now, f.at)
	return f.sum
}

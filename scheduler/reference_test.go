// This file holds reference, an earlier form of the scheduler in which every choice reads all that
// waits. It is an oracle: TestSameAsReference gives it and Scheduler the same random histories and
// compares their actions, which checks the queues (internal/waitqueue, internal/orderedset) and the
// rules that were rewritten for them. The golden digests beside it hold the actions for fixed seeds.
//
// Read it when TestSameAsReference fails and the first differing action does not explain itself, or
// before a change that is meant to change decisions: such a change is made here as well, in the most
// direct form. It is not part of the gateway, and its logic is kept as it was written. Constants and
// types have the names of the scheduler, fields and locals are short.
// One line deviates on purpose and is marked so.
package scheduler_test

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	. "maddergap/scheduler"
)

// The constants of the same names in the scheduler say what they mean.
const (
	minShareFraction        = 0.5
	maxWindow               = 8.0
	maxWindowAllInstances   = 32.0
	initialWindow           = 2.0
	decreaseAbove           = 0.2
	increaseBelow           = 0.13
	minPressure             = 0.02
	pressureHalfLifeLate    = 4.0
	pressureHalfLife        = 1.5
	windowDecreaseFactor    = 0.7
	slowStartRateFraction   = 0.67
	observationHalfLife     = 3 * time.Second
	servedHalfLife          = 30 * time.Second
	serviceTimeStep         = 0.02
	priorWeight             = 4.0
	instancesPerNodeFactor  = 2.0
	reserveShareFactor      = 2.0
	volumeIdleTimeout       = 10 * time.Second
	expiryMargin            = 10 * time.Millisecond
	queueChecksPerObjective = 12
	firstAttemptFraction    = 0.5
	overtakingSends         = 2
	maxSilence              = 2.0
	maxSilenceLatencies     = 4.0
	maxConsecutiveFailures  = 3
	maxTrialInterval        = time.Second
	watchRetryDelay         = time.Second
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

type stream struct {
	finish float64 // last finish tag
	seen   float64 // the volume's total when it last came to this node
	used   Time
}

type volume struct {
	plan           *Plan
	phi            float64
	instances      float64
	at             map[*node]*stream
	unitsRequested float64 // units asked of all nodes
	reserve        tokenBucket
	limit          tokenBucket
	used           Time
}

type node struct {
	Endpoint
	queue      []*request
	v          float64 // virtual time: the start tag last sent
	window     float64
	shrunk     Time
	outs       []*attempt   // in order of sending, less those written off
	seen       observations // of its own
	lat        float64      // what is held of it: seconds of an answer
	pressure   float64      // and answer times as parts of the aims, 1 at most
	heard      Time         // last answer
	open       bool         // circuit breaker
	trialAt    Time
	trialGap   time.Duration
	failures   int         // failed connections and resets since an answer
	cold       tokenBucket // what it may be sent while it is cold
	wake       Time
	lastSendAt Time
	jitter     float64 // of the gap after it
	dirty      bool
	sendCount  int
}

type observations struct{ weight, lat, part decayingSum }

func (s *observations) add(now Time, weight, lat, part float64) (w, l, p float64) {
	return s.weight.add(now, weight, observationHalfLife), s.lat.add(now, lat, observationHalfLife), s.part.add(now, part, observationHalfLife)
}

type keyOrder struct {
	queue  []*request
	rest   Time
	restOf *request
}

type reference struct {
	s                 Settings
	now               Time
	boot              Time
	shortestObjective time.Duration // shortest aim
	weights           float64
	instancesPerNode  float64 // heads that may stand before one node
	maxPriorityWeight float64 // most that a unit may earn
	seq               int
	actions           []Action
	nodes             []*node
	byShard           map[int][]*node
	dirty             []*node              // something happened to them in this moment
	nextWake          Time                 // first of the others' wake times, or before it
	unit              float64              // seconds that a unit takes where nothing waits
	fleet             observations         // of all nodes
	flows             map[int]*decayingSum // units served, by shard
	rand              *rand.Rand
	requests          map[uint64]*request
	attempts          map[attemptID]*attempt
	volumes           map[string]*volume
	keyOrders         map[string]*keyOrder
	unassigned        []*request // no node of the list may take them
	arrivals          []Time     // requests, within the budget's window
	retries           []Time     // attempts past the first, likewise
	swept             Time
	watchAt           Time
	armed             Time
}

func newReference(s Settings, seed uint64, now Time) (*reference, error) {
	h := &reference{s: s, now: now, instancesPerNode: 1, boot: now, swept: now, watchAt: -1, armed: now,
		requests: map[uint64]*request{}, attempts: map[attemptID]*attempt{}, volumes: map[string]*volume{},
		keyOrders: map[string]*keyOrder{}, flows: map[int]*decayingSum{}, rand: rand.New(rand.NewPCG(seed, seed))}
	h.shortestObjective = s.Classes[0].LatencyObjective
	for _, c := range s.Classes {
		h.shortestObjective = min(h.shortestObjective, c.LatencyObjective)
	}
	for _, p := range s.Plans {
		h.weights += p.Weight
		for _, c := range s.Classes {
			h.maxPriorityWeight = max(h.maxPriorityWeight, c.PriorityWeight*p.PriorityFactor, 1e-9)
		}
	}
	if s.PollDiscovery {
		h.watchAt = now
	}
	return h, nil
}

func (h *reference) Handle(now Time, events []Event) []Action {
	h.now, h.actions = max(now, h.now), nil
	for _, e := range events {
		switch e := e.(type) {
		case Arrival:
			h.arrive(e)
		case EndpointUpdate:
			h.list(e)
		case AttemptEnded:
			h.ended(e)
		case ResponseStarted:
			if r := h.requests[e.ID]; r != nil {
				r.streaming = true
			}
		case ClientDisconnected:
			if r := h.requests[e.ID]; r != nil {
				h.close(r)
			}
		}
	}
	h.settle()
	return h.actions
}

func (h *reference) markDirty(n *node) {
	if n != nil && !n.dirty {
		n.dirty = true
		h.dirty = append(h.dirty, n)
	}
}

func (h *reference) emit(a Action) { h.actions = append(h.actions, a) }

func (h *reference) arrive(a Arrival) {
	if h.requests[a.ID] != nil {
		return // told twice; the first is being dealt with
	}
	if a.Class < 0 || a.Class >= len(h.s.Classes) || math.IsNaN(a.Units) {
		h.emit(Reject{ID: a.ID}) // nothing known may be promised of it but that it never ran
		return
	}
	if h.s.RetryBudget != nil {
		h.arrivals = append(h.arrivals, h.now)
	}
	h.seq++
	a.Units = max(a.Units, 0)
	r := &request{Arrival: a, seq: h.seq, class: &h.s.Classes[a.Class], vol: h.volume(a)}
	r.due = h.now + a.TimeRemaining
	r.aimAt = min(h.now+r.class.LatencyObjective, r.due) // changed on purpose: no latency deadline is after the deadline
	r.by = max(h.now+Time(firstAttemptFraction*float64(a.TimeRemaining)), r.aimAt)
	if c := r.class; a.ClientRetry && c.Deadline > a.TimeRemaining {
		r.aimAt = min(r.aimAt, h.now+c.LatencyObjective-(c.Deadline-a.TimeRemaining))
		r.by = max(h.now+Time(firstAttemptFraction*float64(a.TimeRemaining)), r.aimAt)
	}
	h.requests[a.ID] = r
	if r.vol.plan.Limit > 0 && r.vol.limit.cap < a.Units {
		h.finish(r) // more than this host's part of the burst ever holds
		return
	}
	if r.class.Ordered && a.Key != "" {
		t := h.keyOrders[a.Key]
		if t == nil {
			t = &keyOrder{}
			h.keyOrders[a.Key] = t
		}
		t.queue = append(t.queue, r)
	}
	h.queue(r)
}

func (h *reference) volume(a Arrival) *volume {
	v := h.volumes[a.Volume]
	if v == nil {
		p := &h.s.Plans[min(max(a.Plan, 0), len(h.s.Plans)-1)]
		v = &volume{plan: p, phi: 1 / float64(len(h.s.Plans)), at: map[*node]*stream{}}
		if h.weights > 0 {
			v.phi = max(p.Weight/h.weights, 1e-6)
		}
		v.reserve.at, v.limit.at = h.boot, h.boot
		h.volumes[a.Volume] = v
	}
	heads, hosts := float64(h.s.Instances), float64(a.Instances)
	if hosts < 1 || hosts > heads {
		hosts = heads
	}
	v.instances, h.instancesPerNode = hosts, max(h.instancesPerNode, min(heads, instancesPerNodeFactor*hosts))
	if part := min(1, reserveShareFactor/hosts); v.plan.Reserve > 0 {
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
	n := h.selectNode(r)
	if n == nil {
		r.node = nil
		h.unassigned = append(h.unassigned, r)
		return
	}
	if r.node != n || r.tries == 0 {
		h.tag(r, n)
	}
	r.node, n.queue = n, append(n.queue, r)
	r.passed = n.sendCount
	h.markDirty(n)
}

func (h *reference) selectNode(r *request) (best *node) {
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
		load := max(n.lat, h.shortestObjective.Seconds()/10) * (1 + float64(len(n.queue)+len(n.outs))) / n.window
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
		e = &stream{seen: r.vol.unitsRequested}
		r.vol.at[n] = e
	}
	delay := r.vol.unitsRequested - e.seen
	if phi := r.vol.phi; phi < 1 {
		delay = min(delay, (1/minShareFraction-1)/(1-phi)*r.Units)
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
		h.emit(Reject{ID: r.ID, RetryAfter: h.s.MaxRetryAfter})
	default:
		h.emit(Fail{ID: r.ID})
	}
	h.close(r)
}

func (h *reference) close(r *request) {
	r.done = true
	delete(h.requests, r.ID)
	h.markDirty(r.node)
	h.endTurn(r)
}

func (h *reference) endTurn(r *request) {
	t := h.keyOrders[r.Key]
	if t == nil || !r.done || r.live > 0 {
		return
	}
	if i := slices.Index(t.queue, r); i >= 0 {
		t.queue = slices.Delete(t.queue, i, i+1)
		for _, next := range t.queue[:min(1, len(t.queue))] {
			h.markDirty(next.node)
		}
	}
}

func (h *reference) hasTurn(r *request) bool {
	t := h.keyOrders[r.Key]
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
	h.markDirty(n)
	h.health(n, a, e)
	proven := e.Outcome == QueueFull || e.Outcome == ConnectFailed || e.Outcome == Superseded
	if e.Outcome != ConnectFailed && e.Outcome != Superseded {
		r.by = r.due
	}
	if !proven && e.Outcome != OK && r.ran == nil {
		r.ran, r.ranAt = n, a.sent
	}
	if t := h.keyOrders[r.Key]; t != nil && r.class.Ordered && !proven && e.Outcome != OK && e.Outcome != Failed {
		t.rest, t.restOf = h.now+h.s.KeyCooldown, r
	}
	switch {
	case r.done:
		h.endTurn(r)
	case e.Responded:
		h.close(r)
	case r.live > 0:
	case r.streaming || e.BodyConsumed || h.now+expiryMargin >= r.due ||
		(h.s.MaxAttempts > 0 && r.tries >= h.s.MaxAttempts):
		h.finish(r)
	case !proven && (r.class.Effect == NonIdempotent || h.selectNode(r) == nil):
		h.finish(r)
	default:
		r.notBefore = h.now + h.shortestObjective/10
		h.queue(r)
	}
}

func (h *reference) service(took float64, r *request) float64 {
	if x := took / max(r.Units, 1); h.unit == 0 {
		h.unit = x
	} else if x < h.unit {
		h.unit *= 1 - 3*serviceTimeStep
	} else {
		h.unit *= 1 + serviceTimeStep
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
	n.window = min(n.window, maxWindow, max(1, maxWindowAllInstances/h.instancesPerNode))
	weight, lat, part := n.seen.add(h.now, 0, 0, 0)
	all, allLat, allPart := h.fleet.add(h.now, 0, 0, 0)
	k := priorWeight / max(all, priorWeight)
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
		if part > decreaseAbove && a.sent >= n.shrunk {
			n.window, n.shrunk = max(min(1, n.window), n.window*windowDecreaseFactor), h.now
		} else if part < increaseBelow && a.full {
			n.window += min(n.window, 1/n.window)
		}
	case QueueFull:
		h.saw(n, n.lat, 1, false)
		n.heard, n.window, n.shrunk = h.now, 1/h.instancesPerNode, h.now
	case ConnectFailed, Reset:
		if n.failures++; n.failures >= maxConsecutiveFailures {
			h.openBreaker(n)
		}
	case TimedOut:
		h.saw(n, took, 1, false)
		n.window, n.shrunk = 1/h.instancesPerNode, h.now
	}
}

func (h *reference) openBreaker(n *node) {
	if !n.open {
		n.open, n.trialGap, n.trialAt = true, h.shortestObjective, h.now+h.shortestObjective
		n.window = min(1, n.window)
	}
	if len(n.outs) > 0 {
		n.window, n.outs = max(1/h.instancesPerNode, min(1, n.window)/2), nil
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
			n.window, n.seen, n.open, n.heard = 1, observations{}, false, h.now
			h.coldStart(n)
		}
	}
	for _, n := range h.nodes {
		if l.Full && !seen[n.Node] {
			n.State = Removed
		}
	}
	moved := h.unassigned
	h.unassigned, h.byShard = nil, map[int][]*node{}
	for _, n := range h.nodes {
		h.markDirty(n)
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
		f = &decayingSum{}
		h.flows[shard] = f
	}
	life := float64(until-h.boot) / float64(servedHalfLife)
	if sum := f.add(until, units, servedHalfLife); life > 0 {
		return sum * math.Ln2 / servedHalfLife.Seconds() / (1 - math.Exp2(-life))
	}
	return 0
}

func (h *reference) coldStart(n *node) {
	if !h.isCold(n) {
		return
	}
	window, units := max(h.s.SlowStart.OverloadWindow.Seconds(), 1e-3), cmp.Or(h.s.SlowStart.MinUnits, h.s.MeanUnits)
	rate := max(slowStartRateFraction*units/float64(h.s.Instances)/window,
		h.s.SlowStart.OverloadFactor*h.s.SlowStart.InitialFraction*h.served(n.Shard, n.Started, 0)/h.sharing(n))
	n.cold = tokenBucket{rate: rate, cap: rate * window * (1 - slowStartRateFraction) / slowStartRateFraction}
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

func (h *reference) coldLevel(n *node) tokenBucket {
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
	if h.now+h.expected(n, r) > r.due && (len(n.outs) > 0 || h.now < n.lastSendAt+maxTrialInterval) {
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
	h.arrivals = slices.DeleteFunc(h.arrivals, func(t Time) bool { return t <= h.now-h.s.RetryBudget.Window })
	h.retries = slices.DeleteFunc(h.retries, func(t Time) bool { return t < h.now-h.s.RetryBudget.Window })
	if h.now <= h.boot+h.s.RetryBudget.Window { // a life before may have spent it
		return false
	}
	return float64(len(h.retries)+1) <= h.s.RetryBudget.MinRetries+h.s.RetryBudget.Ratio*float64(len(h.arrivals))
}

func (h *reference) shedsForPriority(r *request, n *node, late bool) bool {
	worth, calm := h.worth(r)/h.maxPriorityWeight, pressureHalfLife
	if late {
		worth, calm = worth*r.class.LateWeightFactor, pressureHalfLifeLate
	}
	if r.beyondReserve {
		worth *= h.s.ExcessWeight
	}
	pressure := n.pressure * math.Exp2(-float64(h.now-n.heard)/float64(h.shortestObjective)/calm/max(1, 2*r.vol.instances-2))
	if h.isCold(n) { // what a cold node bears is for what earns most
		b := h.coldLevel(n)
		pressure = max(pressure, 1-b.level/max(b.cap, 1e-9))
	}
	return pressure > max(worth, minPressure) && worth < 1
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
		if h.shedsForPriority(r, n, l) {
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
	patience := max(maxSilence*h.shortestObjective.Seconds(), maxSilenceLatencies*n.lat)
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
			n.trialGap = min(2*n.trialGap, maxTrialInterval)
			n.trialAt = h.now + n.trialGap
		}
		h.send(n, r)
	}
	n.wake = math.MaxInt64
	if len(n.outs) > 0 {
		n.wake = h.now + h.shortestObjective/4
	}
	if len(n.queue) > 0 { // held for a slot, or by what time alone changes
		n.wake = min(n.wake, h.lastCalls(n.queue), max(h.slotAt(n), h.now+h.shortestObjective/queueChecksPerObjective))
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
		h.retries = append(h.retries, h.now)
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
	h.emit(Send{ID: r.ID, Node: n.Node, StartBefore: by})
}

func (h *reference) expire(held []*request) []*request {
	return slices.DeleteFunc(held, func(r *request) bool {
		if n := r.node; !r.done && h.now+expiryMargin >= r.by && r.by < r.due && n != nil && n.sendCount-r.passed < overtakingSends {
			r.by = r.due
		}
		if !r.done && h.now+expiryMargin >= r.by {
			h.finish(r)
		}
		return r.done
	})
}

func (h *reference) lastCalls(held []*request) Time {
	first := Time(math.MaxInt64)
	for _, r := range held {
		first = min(first, r.by-expiryMargin)
	}
	return first
}

func (h *reference) settle() {
	wake := Time(math.MaxInt64)
	if h.watchAt >= 0 && h.now >= h.watchAt {
		h.emit(WatchEndpoints{})
		h.watchAt = -1
	} else if h.watchAt >= 0 {
		wake = h.watchAt
	}
	if h.now >= h.nextWake { // else only nodes that something happened to
		h.nextWake = math.MaxInt64
		for _, n := range h.nodes {
			if h.now >= n.wake {
				h.markDirty(n)
			} else {
				h.nextWake = min(h.nextWake, n.wake)
			}
		}
	}
	touched := h.dirty
	h.dirty = nil
	for _, n := range touched {
		h.pump(n)
		h.nextWake = min(h.nextWake, n.wake)
	}
	if wake = min(wake, h.nextWake); len(h.dirty) > 0 { // by what came of it, as a key's next turn
		wake = h.now
	}
	h.unassigned = h.expire(h.unassigned)
	wake = min(wake, h.lastCalls(h.unassigned))
	if h.now >= h.swept+volumeIdleTimeout/2 {
		h.sweep()
	}
	if wake < math.MaxInt64 && (h.armed <= h.now || wake < h.armed) {
		in := max(wake-h.now+time.Millisecond-1, time.Millisecond).Truncate(time.Millisecond)
		h.armed = h.now + in
		h.emit(SetTimer{After: in})
	}
}

func (h *reference) sweep() {
	h.swept = h.now
	for name, v := range h.volumes {
		for n, e := range v.at {
			if h.now-e.used > volumeIdleTimeout {
				delete(v.at, n)
			}
		}
		v.limit.fill(h.now)
		if h.now-v.used > volumeIdleTimeout && len(v.at) == 0 && v.limit.level >= v.limit.cap {
			delete(h.volumes, name)
		}
	}
	for key, t := range h.keyOrders {
		if len(t.queue) == 0 && h.now >= t.rest {
			delete(h.keyOrders, key)
		}
	}
	if h.s.RetryBudget != nil {
		h.arrivals = slices.DeleteFunc(h.arrivals, func(t Time) bool { return t <= h.now-h.s.RetryBudget.Window })
	}
}

type tokenBucket struct {
	level, rate, cap float64
	at               Time
}

func (b *tokenBucket) fill(now Time) {
	b.level = min(b.cap, b.level+b.rate*(now-b.at).Seconds())
	b.at = now
}

type decayingSum struct {
	sum float64
	at  Time
}

func (f *decayingSum) add(now Time, x float64, half time.Duration) float64 {
	f.sum = f.sum*math.Exp2(-float64(max(now-f.at, 0))/float64(half)) + x
	f.at = max(now, f.at)
	return f.sum
}

// This file holds reference, an earlier form of the scheduler in which every choice reads all that
// waits. It is an oracle: TestSameAsReference gives it and Scheduler the same random histories and
// compares their actions, which checks the queues (internal/waitqueue, internal/orderedset) and the
// rules that were rewritten for them. The golden digests beside it hold the actions for fixed seeds.
//
// Read it when TestSameAsReference fails and the first differing action does not explain itself, or
// before a change that is meant to change decisions: such a change is made here as well, in the most
// direct form. It is not part of the gateway, and its logic is kept as it was written. Constants,
// types, fields and methods have the names of the scheduler and mean the same.
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

const (
	minShareFraction               = 0.5
	maxWindow                      = 8.0
	maxWindowAllInstances          = 32.0
	initialWindow                  = 2.0
	windowDecreaseAbove            = 0.2
	windowIncreaseBelow            = 0.13
	minPressure                    = 0.02
	pressureHalfLifeObjectivesLate = 4.0
	pressureHalfLifeObjectives     = 1.5
	windowDecreaseFactor           = 0.7
	slowStartRateFraction          = 0.67
	observationHalfLife            = 3 * time.Second
	servedHalfLife                 = 30 * time.Second
	serviceTimeStep                = 0.02
	priorWeight                    = 4.0
	instancesPerNodeFactor         = 2.0
	reserveShareFactor             = 2.0
	volumeIdleTimeout              = 10 * time.Second
	expiryMargin                   = 10 * time.Millisecond
	queueChecksPerObjective        = 12
	firstAttemptFraction           = 0.5
	overtakingSends                = 2
	unresponsiveObjectives         = 2.0
	unresponsiveLatencies          = 4.0
	maxConsecutiveFailures         = 3
	maxTrialInterval               = time.Second
	watchRetryDelay                = time.Second
)

type request struct {
	Arrival
	sequence                             int
	class                                *Class
	volume                               *volume
	deadline, latencyDeadline, expiresAt Time
	sendCountAtEnqueue                   int
	startTag                             float64
	beyondReserve                        bool
	node                                 *node
	attempts, inFlight                   int
	mayHaveRunOn                         *node
	mayHaveRunSince                      Time
	notBefore                            Time
	completed, responding                bool
}

type attempt struct {
	request      *request
	node         *node
	sentAt       Time
	filledWindow bool
}

type attemptID struct{ id, n uint64 }

type stream struct {
	finishTag          float64
	unitsRequestedThen float64
	lastUsedAt         Time
}

type volume struct {
	plan           *Plan
	weight         float64
	instances      float64
	streams        map[*node]*stream
	unitsRequested float64
	reserve        tokenBucket
	limit          tokenBucket
	lastUsedAt     Time
}

type node struct {
	Endpoint
	queue               []*request
	virtualTime         float64
	window              float64
	lastDecreaseAt      Time
	inFlight            []*attempt
	observations        observations
	latency             float64
	pressure            float64
	lastResponseAt      Time
	open                bool
	trialAt             Time
	trialInterval       time.Duration
	consecutiveFailures int
	slowStart           tokenBucket
	wakeAt              Time
	lastSendAt          Time
	pacingJitter        float64
	dirty               bool
	sendCount           int
}

type observations struct{ weight, latency, waitingFraction decayingSum }

func (s *observations) add(now Time, weight, lat, part float64) (w, l, p float64) {
	return s.weight.add(now, weight, observationHalfLife), s.latency.add(now, lat, observationHalfLife), s.waitingFraction.add(now, part, observationHalfLife)
}

type keyOrder struct {
	requests      []*request
	cooldownUntil Time
	cooldownOwner *request
}

type reference struct {
	settings          Settings
	now               Time
	startedAt         Time
	shortestObjective time.Duration
	totalWeight       float64
	instancesPerNode  float64
	maxPriorityWeight float64
	sequence          int
	actions           []Action
	nodes             []*node
	byShard           map[int][]*node
	dirty             []*node
	nextWakeAt        Time
	unitServiceTime   float64
	allNodes          observations
	servedByShard     map[int]*decayingSum
	random            *rand.Rand
	requests          map[uint64]*request
	attempts          map[attemptID]*attempt
	volumes           map[string]*volume
	keyOrders         map[string]*keyOrder
	unassigned        []*request
	arrivals          []Time
	retries           []Time
	sweptAt           Time
	watchAt           Time
	timerAt           Time
}

func newReference(s Settings, seed uint64, now Time) (*reference, error) {
	h := &reference{settings: s, now: now, instancesPerNode: 1, startedAt: now, sweptAt: now, watchAt: -1, timerAt: now,
		requests: map[uint64]*request{}, attempts: map[attemptID]*attempt{}, volumes: map[string]*volume{},
		keyOrders: map[string]*keyOrder{}, servedByShard: map[int]*decayingSum{}, random: rand.New(rand.NewPCG(seed, seed))}
	h.shortestObjective = s.Classes[0].LatencyObjective
	for _, c := range s.Classes {
		h.shortestObjective = min(h.shortestObjective, c.LatencyObjective)
	}
	for _, p := range s.Plans {
		h.totalWeight += p.Weight
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
			h.handleArrival(e)
		case EndpointUpdate:
			h.handleEndpointUpdate(e)
		case AttemptEnded:
			h.handleAttemptEnded(e)
		case ResponseStarted:
			if r := h.requests[e.ID]; r != nil {
				r.responding = true
			}
		case ClientDisconnected:
			if r := h.requests[e.ID]; r != nil {
				h.complete(r)
			}
		}
	}
	h.dispatch()
	return h.actions
}

func (h *reference) markDirty(n *node) {
	if n != nil && !n.dirty {
		n.dirty = true
		h.dirty = append(h.dirty, n)
	}
}

func (h *reference) emit(a Action) { h.actions = append(h.actions, a) }

func (h *reference) handleArrival(a Arrival) {
	if h.requests[a.ID] != nil {
		return // reported twice
	}
	if a.Class < 0 || a.Class >= len(h.settings.Classes) || math.IsNaN(a.Units) {
		h.emit(Reject{ID: a.ID}) // it did not run
		return
	}
	if h.settings.RetryBudget != nil {
		h.arrivals = append(h.arrivals, h.now)
	}
	h.sequence++
	a.Units = max(a.Units, 0)
	r := &request{Arrival: a, sequence: h.sequence, class: &h.settings.Classes[a.Class], volume: h.volumeOf(a)}
	r.deadline = h.now + a.TimeRemaining
	r.latencyDeadline = min(h.now+r.class.LatencyObjective, r.deadline) // changed on purpose: no latency deadline is after the deadline
	r.expiresAt = max(h.now+Time(firstAttemptFraction*float64(a.TimeRemaining)), r.latencyDeadline)
	if c := r.class; a.ClientRetry && c.Deadline > a.TimeRemaining {
		r.latencyDeadline = min(r.latencyDeadline, h.now+c.LatencyObjective-(c.Deadline-a.TimeRemaining))
		r.expiresAt = max(h.now+Time(firstAttemptFraction*float64(a.TimeRemaining)), r.latencyDeadline)
	}
	h.requests[a.ID] = r
	if r.volume.plan.Limit > 0 && r.volume.limit.cap < a.Units {
		h.rejectOrFail(r) // larger than this instance's part of the burst
		return
	}
	if r.class.Ordered && a.Key != "" {
		t := h.keyOrders[a.Key]
		if t == nil {
			t = &keyOrder{}
			h.keyOrders[a.Key] = t
		}
		t.requests = append(t.requests, r)
	}
	h.enqueue(r)
}

func (h *reference) volumeOf(a Arrival) *volume {
	v := h.volumes[a.Volume]
	if v == nil {
		p := &h.settings.Plans[min(max(a.Plan, 0), len(h.settings.Plans)-1)]
		v = &volume{plan: p, weight: 1 / float64(len(h.settings.Plans)), streams: map[*node]*stream{}}
		if h.totalWeight > 0 {
			v.weight = max(p.Weight/h.totalWeight, 1e-6)
		}
		v.reserve.updatedAt, v.limit.updatedAt = h.startedAt, h.startedAt
		h.volumes[a.Volume] = v
	}
	heads, hosts := float64(h.settings.Instances), float64(a.Instances)
	if hosts < 1 || hosts > heads {
		hosts = heads
	}
	v.instances, h.instancesPerNode = hosts, max(h.instancesPerNode, min(heads, instancesPerNodeFactor*hosts))
	if part := min(1, reserveShareFactor/hosts); v.plan.Reserve > 0 {
		v.reserve.rate = part * v.plan.Reserve
		v.reserve.cap = max(part*(v.plan.Reserve+h.settings.MaxUnits), h.settings.MaxUnits)
	}
	if v.lastUsedAt == 0 {
		v.reserve.level = v.reserve.cap
	}
	v.limit.rate, v.limit.cap = v.plan.Limit/hosts, v.plan.LimitBurst/hosts
	v.lastUsedAt = h.now
	return v
}

func (h *reference) enqueue(r *request) {
	n := h.selectNode(r)
	if n == nil {
		r.node = nil
		h.unassigned = append(h.unassigned, r)
		return
	}
	if r.node != n || r.attempts == 0 {
		h.tag(r, n)
	}
	r.node, n.queue = n, append(n.queue, r)
	r.sendCountAtEnqueue = n.sendCount
	h.markDirty(n)
}

func (h *reference) selectNode(r *request) (best *node) {
	var bestLoad float64
	nodes, first := h.byShard[r.Shard], 0
	if r.Shard < 0 && len(h.nodes) > 0 {
		nodes, first = h.nodes, h.random.IntN(len(h.nodes)) // instances must not all select the same node
	}
	for i := range nodes {
		n := nodes[(first+i)%len(nodes)]
		if n.State != Serving || !h.mayRunOn(r, n) {
			continue
		}
		load := max(n.latency, h.shortestObjective.Seconds()/10) * (1 + float64(len(n.queue)+len(n.inFlight))) / n.window
		if n.open {
			load += 1e6
		}
		if h.isWarmingUp(n) {
			load += 1e3
		}
		if best == nil || load < bestLoad {
			best, bestLoad = n, load
		}
	}
	return best
}

func (h *reference) mayRunOn(r *request, n *node) bool {
	if r.mayHaveRunOn == nil || r.class.Effect == Safe {
		return true
	}
	if r.class.Effect == NonIdempotent || h.now >= r.mayHaveRunSince+r.class.DeduplicationWindow {
		return false
	}
	return r.class.DeduplicationScope == ScopeAll || (r.class.DeduplicationScope == ScopeZone && n.Zone == r.mayHaveRunOn.Zone) ||
		(r.class.DeduplicationScope == ScopeShard && n.Shard == r.mayHaveRunOn.Shard)
}

func (h *reference) tag(r *request, n *node) {
	e := r.volume.streams[n]
	if e == nil {
		e = &stream{unitsRequestedThen: r.volume.unitsRequested}
		r.volume.streams[n] = e
	}
	delay := r.volume.unitsRequested - e.unitsRequestedThen
	if phi := r.volume.weight; phi < 1 {
		delay = min(delay, (1/minShareFraction-1)/(1-phi)*r.Units)
	} else {
		delay = 0
	}
	r.volume.unitsRequested += r.Units
	e.unitsRequestedThen, e.lastUsedAt = r.volume.unitsRequested, h.now
	r.volume.reserve.fill(h.now)
	if r.volume.reserve.level >= r.Units {
		r.volume.reserve.level -= r.Units
		r.startTag, r.beyondReserve = n.virtualTime, false
		return
	}
	r.beyondReserve = true
	r.startTag = max(n.virtualTime, e.finishTag+delay/r.volume.weight)
	e.finishTag = r.startTag + r.Units/r.volume.weight
}

func (h *reference) rejectOrFail(r *request) {
	switch {
	case r.completed:
	case r.mayHaveRunOn == nil || r.class.Effect == Safe || (r.class.Effect == Idempotent && r.class.DeduplicationScope == ScopeAll):
		h.emit(Reject{ID: r.ID, RetryAfter: h.settings.MaxRetryAfter})
	default:
		h.emit(Fail{ID: r.ID})
	}
	h.complete(r)
}

func (h *reference) complete(r *request) {
	r.completed = true
	delete(h.requests, r.ID)
	h.markDirty(r.node)
	h.leaveKeyOrder(r)
}

func (h *reference) leaveKeyOrder(r *request) {
	t := h.keyOrders[r.Key]
	if t == nil || !r.completed || r.inFlight > 0 {
		return
	}
	if i := slices.Index(t.requests, r); i >= 0 {
		t.requests = slices.Delete(t.requests, i, i+1)
		for _, next := range t.requests[:min(1, len(t.requests))] {
			h.markDirty(next.node)
		}
	}
}

func (h *reference) isNextOfKey(r *request) bool {
	t := h.keyOrders[r.Key]
	if !r.class.Ordered || t == nil {
		return true
	}
	return len(t.requests) > 0 && t.requests[0] == r && (t.cooldownOwner == r || h.now >= t.cooldownUntil)
}

func (h *reference) handleAttemptEnded(e AttemptEnded) {
	id := attemptID{e.ID, uint64(e.Attempt)}
	a := h.attempts[id]
	if a == nil {
		return
	}
	delete(h.attempts, id)
	r, n := a.request, a.node
	r.inFlight--
	n.inFlight = slices.DeleteFunc(n.inFlight, func(o *attempt) bool { return o == a })
	h.markDirty(n)
	h.recordOutcome(n, a, e)
	proven := e.Outcome == QueueFull || e.Outcome == ConnectFailed || e.Outcome == NotSent
	if e.Outcome != ConnectFailed && e.Outcome != NotSent {
		r.expiresAt = r.deadline
	}
	if !proven && e.Outcome != OK && r.mayHaveRunOn == nil {
		r.mayHaveRunOn, r.mayHaveRunSince = n, a.sentAt
	}
	if t := h.keyOrders[r.Key]; t != nil && r.class.Ordered && !proven && e.Outcome != OK && e.Outcome != Failed {
		t.cooldownUntil, t.cooldownOwner = h.now+h.settings.KeyCooldown, r
	}
	switch {
	case r.completed:
		h.leaveKeyOrder(r)
	case e.Responded:
		h.complete(r)
	case r.inFlight > 0:
	case r.responding || e.BodyConsumed || h.now+expiryMargin >= r.deadline ||
		(h.settings.MaxAttempts > 0 && r.attempts >= h.settings.MaxAttempts):
		h.rejectOrFail(r)
	case !proven && (r.class.Effect == NonIdempotent || h.selectNode(r) == nil):
		h.rejectOrFail(r)
	default:
		r.notBefore = h.now + h.shortestObjective/10
		h.enqueue(r)
	}
}

func (h *reference) serviceTime(took float64, r *request) float64 {
	if x := took / max(r.Units, 1); h.unitServiceTime == 0 {
		h.unitServiceTime = x
	} else if x < h.unitServiceTime {
		h.unitServiceTime *= 1 - 3*serviceTimeStep
	} else {
		h.unitServiceTime *= 1 + serviceTimeStep
	}
	return h.unitServiceTime * r.Units
}

func (h *reference) observe(n *node, took, part float64, answered bool) {
	part = min(max(part, 0), 1)
	if n.observations.add(h.now, 1, took, part); answered {
		h.allNodes.add(h.now, 1, took, part) // a failure counts at its node alone
	}
}

func (h *reference) updateEstimate(n *node) {
	n.window = min(n.window, maxWindow, max(1, maxWindowAllInstances/h.instancesPerNode))
	weight, lat, part := n.observations.add(h.now, 0, 0, 0)
	all, allLat, allPart := h.allNodes.add(h.now, 0, 0, 0)
	k := priorWeight / max(all, priorWeight)
	weight = max(weight+k*all, 1e-9)
	n.latency, n.pressure = (lat+k*allLat)/weight, (part+k*allPart)/weight
}

func (h *reference) recordOutcome(n *node, a *attempt, e AttemptEnded) {
	took := (h.now - a.sentAt).Seconds()
	switch e.Outcome {
	case OK, Failed:
		n.lastResponseAt, n.open, n.trialInterval, n.consecutiveFailures = h.now, false, 0, 0
		part := took / a.request.class.LatencyObjective.Seconds()
		wait := took - h.serviceTime(took, a.request)
		if e.HasLoadReport && e.ReportedLoad >= 0 && e.ReportedLoad < math.Inf(1) {
			wait = (max(wait, 0) + e.ReportedLoad*h.unitServiceTime*h.settings.MeanUnits) / 2
		}
		h.observe(n, took, wait/a.request.class.LatencyObjective.Seconds(), true)
		h.servedRate(n.Shard, h.now, a.request.Units)
		if part > windowDecreaseAbove && a.sentAt >= n.lastDecreaseAt {
			n.window, n.lastDecreaseAt = max(min(1, n.window), n.window*windowDecreaseFactor), h.now
		} else if part < windowIncreaseBelow && a.filledWindow {
			n.window += min(n.window, 1/n.window)
		}
	case QueueFull:
		h.observe(n, n.latency, 1, false)
		n.lastResponseAt, n.window, n.lastDecreaseAt = h.now, 1/h.instancesPerNode, h.now
	case ConnectFailed, Reset:
		if n.consecutiveFailures++; n.consecutiveFailures >= maxConsecutiveFailures {
			h.openBreaker(n)
		}
	case TimedOut:
		h.observe(n, took, 1, false)
		n.window, n.lastDecreaseAt = 1/h.instancesPerNode, h.now
	}
}

func (h *reference) openBreaker(n *node) {
	if !n.open {
		n.open, n.trialInterval, n.trialAt = true, h.shortestObjective, h.now+h.shortestObjective
		n.window = min(1, n.window)
	}
	if len(n.inFlight) > 0 {
		n.window, n.inFlight = max(1/h.instancesPerNode, min(1, n.window)/2), nil
	}
}

func (h *reference) handleEndpointUpdate(l EndpointUpdate) {
	if l.Failed {
		h.watchAt = h.now + watchRetryDelay
		return
	}
	seen := map[string]bool{}
	for _, e := range l.Endpoints {
		seen[e.Node] = true
		i := slices.IndexFunc(h.nodes, func(n *node) bool { return n.Node == e.Node })
		if i < 0 {
			n := &node{Endpoint: e, window: initialWindow, lastResponseAt: h.now}
			h.nodes = append(h.nodes, n)
			h.beginSlowStart(n)
			continue
		}
		n := h.nodes[i]
		restart := e.Started != n.Started && e.State == Serving
		n.Endpoint = e
		if restart { // what was learned of it is void
			n.window, n.observations, n.lastResponseAt = 1, observations{}, h.now
			n.open, n.trialInterval, n.consecutiveFailures = false, 0, 0
			h.beginSlowStart(n)
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
		if !r.completed {
			h.enqueue(r)
		}
	}
	h.nodes = slices.DeleteFunc(h.nodes, func(n *node) bool { return n.State == Removed && len(n.inFlight) == 0 })
}

func (h *reference) isWarmingUp(n *node) bool {
	return n.Started > 0 && h.settings.SlowStart.WarmupDuration > 0 && h.now < n.Started+h.settings.SlowStart.WarmupDuration
}

func (h *reference) servedRate(shard int, until Time, units float64) float64 {
	f := h.servedByShard[shard]
	if f == nil {
		f = &decayingSum{}
		h.servedByShard[shard] = f
	}
	life := float64(until-h.startedAt) / float64(servedHalfLife)
	if sum := f.add(until, units, servedHalfLife); life > 0 {
		return sum * math.Ln2 / servedHalfLife.Seconds() / (1 - math.Exp2(-life))
	}
	return 0
}

func (h *reference) beginSlowStart(n *node) {
	if !h.isWarmingUp(n) {
		return
	}
	window, units := max(h.settings.SlowStart.OverloadWindow.Seconds(), 1e-3), cmp.Or(h.settings.SlowStart.MinUnits, h.settings.MeanUnits)
	rate := max(slowStartRateFraction*units/float64(h.settings.Instances)/window,
		h.settings.SlowStart.OverloadFactor*h.settings.SlowStart.InitialFraction*h.servedRate(n.Shard, n.Started, 0)/h.nodesOfShard(n))
	n.slowStart = tokenBucket{rate: rate, cap: rate * window * (1 - slowStartRateFraction) / slowStartRateFraction}
	n.slowStart.updatedAt = max(h.now, h.startedAt+h.settings.SlowStart.OverloadWindow)
	n.slowStart.level = n.slowStart.cap - h.random.Float64()*h.settings.MeanUnits
}

func (h *reference) nodesOfShard(started *node) (nodes float64) {
	for _, n := range h.byShard[started.Shard] {
		if n.State != Removed {
			nodes++
		}
	}
	return max(nodes, 1)
}

func (h *reference) slowStartLevel(n *node) tokenBucket {
	grown := 1.0
	if from := h.settings.SlowStart.InitialFraction; from > 0 && from < 1 {
		age := float64(h.now-n.Started-h.settings.SlowStart.OverloadWindow) / float64(h.settings.SlowStart.WarmupDuration)
		grown += max(0, age) * (1 - from) / from
	}
	b := n.slowStart
	if b.rate, b.cap = b.rate*grown, b.cap*grown; h.now > b.updatedAt {
		b.fill(h.now)
		n.slowStart.level, n.slowStart.updatedAt = b.level, b.updatedAt
	}
	return b
}

func (h *reference) slowStartAllows(n *node, units float64) bool {
	if !h.isWarmingUp(n) {
		return true
	}
	b := h.slowStartLevel(n)
	return h.now >= b.updatedAt && b.level >= min(units, b.cap)
}

func (h *reference) expectedLatency(n *node, r *request) time.Duration {
	t := max(n.latency+h.unitServiceTime*(r.Units-h.settings.MeanUnits), 0)
	if len(n.inFlight) > 0 {
		t = max(t, (h.now-n.inFlight[0].sentAt).Seconds()/2)
	}
	return time.Duration(t * float64(time.Second))
}

func (h *reference) allowed(r *request, n *node) bool {
	if h.now < r.notBefore || !h.isNextOfKey(r) || !h.mayRunOn(r, n) {
		return false
	}
	if h.now+h.expectedLatency(n, r) > r.deadline && (len(n.inFlight) > 0 || h.now < n.lastSendAt+maxTrialInterval) {
		return false
	}
	if r.attempts > 0 && !h.retryBudgetAllows() {
		return false
	}
	if r.attempts == 0 && r.volume.plan.Limit > 0 {
		r.volume.limit.fill(h.now)
		if r.volume.limit.level < r.Units {
			return false
		}
	}
	return h.slowStartAllows(n, r.Units)
}

func (h *reference) retryBudgetAllows() bool {
	if h.settings.RetryBudget == nil {
		return true
	}
	h.arrivals = slices.DeleteFunc(h.arrivals, func(t Time) bool { return t <= h.now-h.settings.RetryBudget.Window })
	h.retries = slices.DeleteFunc(h.retries, func(t Time) bool { return t < h.now-h.settings.RetryBudget.Window })
	if h.now <= h.startedAt+h.settings.RetryBudget.Window { // an earlier process may have spent it
		return false
	}
	return float64(len(h.retries)+1) <= h.settings.RetryBudget.MinRetries+h.settings.RetryBudget.Ratio*float64(len(h.arrivals))
}

func (h *reference) shedsForPriority(r *request, n *node, late bool) bool {
	worth, calm := h.priorityWeight(r)/h.maxPriorityWeight, pressureHalfLifeObjectives
	if late {
		worth, calm = worth*r.class.LateWeightFactor, pressureHalfLifeObjectivesLate
	}
	if r.beyondReserve {
		worth *= h.settings.ExcessWeight
	}
	pressure := n.pressure * math.Exp2(-float64(h.now-n.lastResponseAt)/float64(h.shortestObjective)/calm/max(1, 2*r.volume.instances-2))
	if h.isWarmingUp(n) { // what it can bear is kept for high priorities
		b := h.slowStartLevel(n)
		pressure = max(pressure, 1-b.level/max(b.cap, 1e-9))
	}
	return pressure > max(worth, minPressure) && worth < 1
}

func (h *reference) priorityWeight(r *request) float64 {
	return r.class.PriorityWeight * r.volume.plan.PriorityFactor
}

func (h *reference) nextRequest(n *node) (best *request) {
	late := func(r *request) bool { return h.now+h.expectedLatency(n, r) > r.latencyDeadline }
	before := func(a, b *request) bool { // higher priority weight, then earlier latency deadline
		if wa, wb := h.priorityWeight(a), h.priorityWeight(b); wa != wb {
			return wa > wb
		}
		return a.latencyDeadline < b.latencyDeadline || (a.latencyDeadline == b.latencyDeadline && a.sequence < b.sequence)
	}
	var bestLate bool
	var ready []*request
	for _, r := range n.queue {
		if !h.allowed(r, n) {
			continue
		}
		l := late(r)
		if h.shedsForPriority(r, n, l) {
			continue
		}
		ready = append(ready, r)
		if best == nil || (bestLate && !l) || (bestLate == l && (r.startTag < best.startTag ||
			(r.startTag == best.startTag && before(r, best)))) {
			best, bestLate = r, l
		}
	}
	if best == nil {
		return nil
	}
	first := best
	for _, r := range ready {
		if r.volume == first.volume && late(r) == bestLate && before(r, best) {
			best = r
		}
	}
	best.startTag, first.startTag = first.startTag, best.startTag
	best.beyondReserve, first.beyondReserve = first.beyondReserve, best.beyondReserve
	return best
}

func (h *reference) dispatchNode(n *node) {
	n.dirty = false
	h.updateEstimate(n)
	patience := max(unresponsiveObjectives*h.shortestObjective.Seconds(), unresponsiveLatencies*n.latency)
	if len(n.inFlight) > 0 && (h.now-max(n.lastResponseAt, n.inFlight[0].sentAt)).Seconds() >= patience {
		h.openBreaker(n)
	}
	n.queue = h.rejectExpired(n.queue)
	for len(n.queue) > 0 {
		if n.open && h.now < n.trialAt {
			break
		} else if n.open { // half-open: one trial, at growing intervals
			h.openBreaker(n)
		}
		if h.nextSendAt(n) > h.now {
			break
		}
		r := h.nextRequest(n)
		if r == nil {
			break
		}
		if n.open {
			n.trialInterval = min(2*n.trialInterval, maxTrialInterval)
			n.trialAt = h.now + n.trialInterval
		}
		h.send(n, r)
	}
	n.wakeAt = math.MaxInt64
	if len(n.inFlight) > 0 {
		n.wakeAt = h.now + h.shortestObjective/4
	}
	if len(n.queue) > 0 { // time alone may let one go
		n.wakeAt = min(n.wakeAt, h.nextExpiry(n.queue), max(h.nextSendAt(n), h.now+h.shortestObjective/queueChecksPerObjective))
	}
}

func (h *reference) nextSendAt(n *node) Time {
	switch {
	case float64(len(n.inFlight))+1 <= n.window:
		return 0
	case n.window >= 1 || len(n.inFlight) > 0:
		return math.MaxInt64
	}
	return n.lastSendAt + Time(n.pacingJitter*n.latency/n.window*float64(time.Second))
}

func (h *reference) send(n *node, r *request) {
	n.sendCount++
	n.lastSendAt, n.pacingJitter = h.now, 0.5+h.random.Float64()
	n.queue = slices.DeleteFunc(n.queue, func(o *request) bool { return o == r })
	n.virtualTime = max(n.virtualTime, r.startTag)
	if r.attempts == 0 {
		if r.volume.plan.Limit > 0 {
			r.volume.limit.fill(h.now)
			r.volume.limit.level -= r.Units
		}
	} else if h.settings.RetryBudget != nil {
		h.retries = append(h.retries, h.now)
	}
	if h.isWarmingUp(n) {
		n.slowStart.level -= r.Units
	}
	a := &attempt{request: r, node: n, sentAt: h.now, filledWindow: float64(len(n.inFlight))+2 > n.window}
	n.inFlight = append(n.inFlight, a)
	h.attempts[attemptID{r.ID, uint64(r.attempts)}] = a
	r.attempts++
	r.inFlight++
	by := Time(0)
	if r.mayHaveRunOn != nil && r.class.Effect == Idempotent {
		by = r.mayHaveRunSince + r.class.DeduplicationWindow
	}
	h.emit(Send{ID: r.ID, Node: n.Node, StartBefore: by})
}

func (h *reference) rejectExpired(held []*request) []*request {
	return slices.DeleteFunc(held, func(r *request) bool {
		if n := r.node; !r.completed && h.now+expiryMargin >= r.expiresAt && r.expiresAt < r.deadline && n != nil && n.sendCount-r.sendCountAtEnqueue < overtakingSends {
			r.expiresAt = r.deadline
		}
		if !r.completed && h.now+expiryMargin >= r.expiresAt {
			h.rejectOrFail(r)
		}
		return r.completed
	})
}

func (h *reference) nextExpiry(held []*request) Time {
	first := Time(math.MaxInt64)
	for _, r := range held {
		first = min(first, r.expiresAt-expiryMargin)
	}
	return first
}

func (h *reference) dispatch() {
	wake := Time(math.MaxInt64)
	if h.watchAt >= 0 && h.now >= h.watchAt {
		h.emit(WatchEndpoints{})
		h.watchAt = -1
	} else if h.watchAt >= 0 {
		wake = h.watchAt
	}
	if h.now >= h.nextWakeAt { // otherwise only nodes that something happened to
		h.nextWakeAt = math.MaxInt64
		for _, n := range h.nodes {
			if h.now >= n.wakeAt {
				h.markDirty(n)
			} else {
				h.nextWakeAt = min(h.nextWakeAt, n.wakeAt)
			}
		}
	}
	touched := h.dirty
	h.dirty = nil
	for _, n := range touched {
		h.dispatchNode(n)
		h.nextWakeAt = min(h.nextWakeAt, n.wakeAt)
	}
	if wake = min(wake, h.nextWakeAt); len(h.dirty) > 0 { // by what was just done
		wake = h.now
	}
	h.unassigned = h.rejectExpired(h.unassigned)
	wake = min(wake, h.nextExpiry(h.unassigned))
	if h.now >= h.sweptAt+volumeIdleTimeout/2 {
		h.sweep()
	}
	if wake < math.MaxInt64 && (h.timerAt <= h.now || wake < h.timerAt) {
		in := max(wake-h.now+time.Millisecond-1, time.Millisecond).Truncate(time.Millisecond)
		h.timerAt = h.now + in
		h.emit(SetTimer{After: in})
	}
}

func (h *reference) sweep() {
	h.sweptAt = h.now
	for name, v := range h.volumes {
		for n, e := range v.streams {
			if h.now-e.lastUsedAt > volumeIdleTimeout {
				delete(v.streams, n)
			}
		}
		v.limit.fill(h.now)
		if h.now-v.lastUsedAt > volumeIdleTimeout && len(v.streams) == 0 && v.limit.level >= v.limit.cap {
			delete(h.volumes, name)
		}
	}
	for key, t := range h.keyOrders {
		if len(t.requests) == 0 && h.now >= t.cooldownUntil {
			delete(h.keyOrders, key)
		}
	}
	if h.settings.RetryBudget != nil {
		h.arrivals = slices.DeleteFunc(h.arrivals, func(t Time) bool { return t <= h.now-h.settings.RetryBudget.Window })
	}
}

type tokenBucket struct {
	level, rate, cap float64
	updatedAt        Time
}

func (b *tokenBucket) fill(now Time) {
	b.level = min(b.cap, b.level+b.rate*(now-b.updatedAt).Seconds())
	b.updatedAt = now
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

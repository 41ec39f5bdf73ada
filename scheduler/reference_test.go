// This file contains reference, an earlier form of the scheduler in which every choice looks at all
// waiting requests. TestSameAsReference gives reference and Scheduler the same random histories and
// compares their actions. This checks the queues (internal/waitqueue, internal/orderedset) and the
// rules that were rewritten for them. The golden digests record the actions for fixed seeds.
//
// Read this file if TestSameAsReference fails and the first differing action does not explain the
// failure, or before a change that is meant to change decisions. Such a change is made here as well,
// in the most direct form. The reference is not part of the gateway, and its logic is kept as it was
// written. Most constants, types, fields and methods have the name of their counterpart in the
// scheduler and mean the same. One line deviates on purpose from the earlier form and is marked.
// Events that the histories do not contain, AttemptStalled and AttemptResumed, are not handled.
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
	firstAttemptWaitFraction       = 0.5
	minOvertakingSends             = 2
	responseTimeoutObjectives      = 2.0
	responseTimeoutLatencies       = 4.0
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

type attemptID struct{ request, number uint64 }

type stream struct {
	finishTag                float64
	volumeUnitsAtLastRequest float64
	lastUsedAt               Time
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

func (s *observations) add(now Time, weight, latencySeconds, fraction float64) (weightSum, latencySum, fractionSum float64) {
	return s.weight.add(now, weight, observationHalfLife), s.latency.add(now, latencySeconds, observationHalfLife), s.waitingFraction.add(now, fraction, observationHalfLife)
}

type keyOrder struct {
	requests      []*request
	cooldownUntil Time
	cooldownOwner *request
}

// reference has the same Handle method as Scheduler.
type reference struct {
	settings           Settings
	now                Time
	startedAt          Time
	shortestObjective  time.Duration
	totalWeight        float64
	instancesPerNode   float64
	maxPriorityWeight  float64
	sequence           int
	actions            []Action
	nodes              []*node
	byShard            map[int][]*node
	dirty              []*node
	nextWakeAt         Time
	unitServiceTime    float64
	allNodes           observations
	servedUnitsByShard map[int]*decayingSum
	random             *rand.Rand
	requests           map[uint64]*request
	attempts           map[attemptID]*attempt
	volumes            map[string]*volume
	keyOrders          map[string]*keyOrder
	unassigned         []*request
	arrivals           []Time
	retries            []Time
	sweptAt            Time
	watchAt            Time
	timerAt            Time
}

func newReference(s Settings, seed uint64, now Time) (*reference, error) {
	ref := &reference{settings: s, now: now, instancesPerNode: 1, startedAt: now, sweptAt: now, watchAt: -1, timerAt: now,
		requests: map[uint64]*request{}, attempts: map[attemptID]*attempt{}, volumes: map[string]*volume{},
		keyOrders: map[string]*keyOrder{}, servedUnitsByShard: map[int]*decayingSum{}, random: rand.New(rand.NewPCG(seed, seed))}
	ref.shortestObjective = s.Classes[0].LatencyObjective
	for _, c := range s.Classes {
		ref.shortestObjective = min(ref.shortestObjective, c.LatencyObjective)
	}
	for _, p := range s.Plans {
		ref.totalWeight += p.Weight
		for _, c := range s.Classes {
			ref.maxPriorityWeight = max(ref.maxPriorityWeight, c.PriorityWeight*p.PriorityFactor, 1e-9)
		}
	}
	if s.PollDiscovery {
		ref.watchAt = now
	}
	return ref, nil
}

func (ref *reference) Handle(now Time, events []Event) []Action {
	ref.now, ref.actions = max(now, ref.now), nil
	for _, e := range events {
		switch e := e.(type) {
		case Arrival:
			ref.handleArrival(e)
		case EndpointUpdate:
			ref.handleEndpointUpdate(e)
		case AttemptEnded:
			ref.handleAttemptEnded(e)
		case ResponseStarted:
			if r := ref.requests[e.ID]; r != nil {
				r.responding = true
			}
		case ClientDisconnected:
			if r := ref.requests[e.ID]; r != nil {
				ref.complete(r)
			}
		}
	}
	ref.dispatch()
	return ref.actions
}

func (ref *reference) markDirty(n *node) {
	if n != nil && !n.dirty {
		n.dirty = true
		ref.dirty = append(ref.dirty, n)
	}
}

func (ref *reference) emit(a Action) { ref.actions = append(ref.actions, a) }

func (ref *reference) handleArrival(a Arrival) {
	if ref.requests[a.ID] != nil {
		return // duplicate
	}
	if a.Class < 0 || a.Class >= len(ref.settings.Classes) || math.IsNaN(a.Units) {
		ref.emit(Reject{ID: a.ID}) // it did not run
		return
	}
	if ref.settings.RetryBudget != nil {
		ref.arrivals = append(ref.arrivals, ref.now)
	}
	ref.sequence++
	a.Units = max(a.Units, 0)
	r := &request{Arrival: a, sequence: ref.sequence, class: &ref.settings.Classes[a.Class], volume: ref.upsertVolume(a)}
	r.deadline = ref.now + a.TimeRemaining
	r.latencyDeadline = min(ref.now+r.class.LatencyObjective, r.deadline) // deviates on purpose, as the scheduler does: no latency deadline is after the deadline
	r.expiresAt = max(ref.now+Time(firstAttemptWaitFraction*float64(a.TimeRemaining)), r.latencyDeadline)
	if c := r.class; a.ClientRetry && c.Deadline > a.TimeRemaining {
		r.latencyDeadline = min(r.latencyDeadline, ref.now+c.LatencyObjective-(c.Deadline-a.TimeRemaining))
		r.expiresAt = max(ref.now+Time(firstAttemptWaitFraction*float64(a.TimeRemaining)), r.latencyDeadline)
	}
	ref.requests[a.ID] = r
	if r.volume.plan.Limit > 0 && r.volume.limit.cap < a.Units {
		ref.rejectOrFail(r) // larger than this instance's share of the burst
		return
	}
	if r.class.Ordered && a.Key != "" {
		order := ref.keyOrders[a.Key]
		if order == nil {
			order = &keyOrder{}
			ref.keyOrders[a.Key] = order
		}
		order.requests = append(order.requests, r)
	}
	ref.enqueue(r)
}

func (ref *reference) upsertVolume(a Arrival) *volume {
	v := ref.volumes[a.Volume]
	if v == nil {
		p := &ref.settings.Plans[min(max(a.Plan, 0), len(ref.settings.Plans)-1)]
		v = &volume{plan: p, weight: 1 / float64(len(ref.settings.Plans)), streams: map[*node]*stream{}}
		if ref.totalWeight > 0 {
			v.weight = max(p.Weight/ref.totalWeight, 1e-6)
		}
		v.reserve.updatedAt, v.limit.updatedAt = ref.startedAt, ref.startedAt
		ref.volumes[a.Volume] = v
	}
	allInstances, volumeInstances := float64(ref.settings.Instances), float64(a.Instances)
	if volumeInstances < 1 || volumeInstances > allInstances {
		volumeInstances = allInstances
	}
	v.instances, ref.instancesPerNode = volumeInstances, max(ref.instancesPerNode, min(allInstances, instancesPerNodeFactor*volumeInstances))
	if share := min(1, reserveShareFactor/volumeInstances); v.plan.Reserve > 0 {
		v.reserve.rate = share * v.plan.Reserve
		v.reserve.cap = max(share*(v.plan.Reserve+ref.settings.MaxUnits), ref.settings.MaxUnits)
	}
	if v.lastUsedAt == 0 {
		v.reserve.level = v.reserve.cap
	}
	v.limit.rate, v.limit.cap = v.plan.Limit/volumeInstances, v.plan.LimitBurst/volumeInstances
	v.lastUsedAt = ref.now
	return v
}

func (ref *reference) enqueue(r *request) {
	n := ref.selectNode(r)
	if n == nil {
		r.node = nil
		ref.unassigned = append(ref.unassigned, r)
		return
	}
	if r.node != n || r.attempts == 0 {
		ref.tag(r, n)
	}
	r.node, n.queue = n, append(n.queue, r)
	r.sendCountAtEnqueue = n.sendCount
	ref.markDirty(n)
}

func (ref *reference) selectNode(r *request) (best *node) {
	var bestLoad float64
	nodes, start := ref.byShard[r.Shard], 0
	if r.Shard < 0 && len(ref.nodes) > 0 {
		nodes, start = ref.nodes, ref.random.IntN(len(ref.nodes)) // otherwise all instances would select the same node
	}
	for i := range nodes {
		n := nodes[(start+i)%len(nodes)]
		if n.State != Serving || !ref.mayRunOn(r, n) {
			continue
		}
		load := max(n.latency, ref.shortestObjective.Seconds()/10) * (1 + float64(len(n.queue)+len(n.inFlight))) / n.window
		if n.open {
			load += 1e6
		}
		if ref.isWarmingUp(n) {
			load += 1e3
		}
		if best == nil || load < bestLoad {
			best, bestLoad = n, load
		}
	}
	return best
}

func (ref *reference) mayRunOn(r *request, n *node) bool {
	if r.mayHaveRunOn == nil || r.class.Effect == Safe {
		return true
	}
	if r.class.Effect == NonIdempotent || ref.now >= r.mayHaveRunSince+r.class.DeduplicationWindow {
		return false
	}
	return r.class.DeduplicationScope == ScopeAll || (r.class.DeduplicationScope == ScopeZone && n.Zone == r.mayHaveRunOn.Zone) ||
		(r.class.DeduplicationScope == ScopeShard && n.Shard == r.mayHaveRunOn.Shard)
}

func (ref *reference) tag(r *request, n *node) {
	nodeStream := r.volume.streams[n]
	if nodeStream == nil {
		nodeStream = &stream{volumeUnitsAtLastRequest: r.volume.unitsRequested}
		r.volume.streams[n] = nodeStream
	}
	delay := r.volume.unitsRequested - nodeStream.volumeUnitsAtLastRequest
	if phi := r.volume.weight; phi < 1 {
		delay = min(delay, (1/minShareFraction-1)/(1-phi)*r.Units)
	} else {
		delay = 0
	}
	r.volume.unitsRequested += r.Units
	nodeStream.volumeUnitsAtLastRequest, nodeStream.lastUsedAt = r.volume.unitsRequested, ref.now
	r.volume.reserve.fill(ref.now)
	if r.volume.reserve.level >= r.Units {
		r.volume.reserve.level -= r.Units
		r.startTag, r.beyondReserve = n.virtualTime, false
		return
	}
	r.beyondReserve = true
	r.startTag = max(n.virtualTime, nodeStream.finishTag+delay/r.volume.weight)
	nodeStream.finishTag = r.startTag + r.Units/r.volume.weight
}

func (ref *reference) rejectOrFail(r *request) {
	switch {
	case r.completed:
	case r.mayHaveRunOn == nil || r.class.Effect == Safe || (r.class.Effect == Idempotent && r.class.DeduplicationScope == ScopeAll):
		ref.emit(Reject{ID: r.ID, RetryAfter: ref.settings.MaxRetryAfter})
	default:
		ref.emit(Fail{ID: r.ID})
	}
	ref.complete(r)
}

func (ref *reference) complete(r *request) {
	r.completed = true
	delete(ref.requests, r.ID)
	ref.markDirty(r.node)
	ref.removeFromKeyOrder(r)
}

func (ref *reference) removeFromKeyOrder(r *request) {
	order := ref.keyOrders[r.Key]
	if order == nil || !r.completed || r.inFlight > 0 {
		return
	}
	if i := slices.Index(order.requests, r); i >= 0 {
		order.requests = slices.Delete(order.requests, i, i+1)
		for _, next := range order.requests[:min(1, len(order.requests))] {
			ref.markDirty(next.node)
		}
	}
}

func (ref *reference) isNextOfKey(r *request) bool {
	order := ref.keyOrders[r.Key]
	if !r.class.Ordered || order == nil {
		return true
	}
	return len(order.requests) > 0 && order.requests[0] == r && (order.cooldownOwner == r || ref.now >= order.cooldownUntil)
}

func (ref *reference) handleAttemptEnded(e AttemptEnded) {
	id := attemptID{e.ID, uint64(e.Attempt)}
	a := ref.attempts[id]
	if a == nil {
		return
	}
	delete(ref.attempts, id)
	r, n := a.request, a.node
	r.inFlight--
	n.inFlight = slices.DeleteFunc(n.inFlight, func(other *attempt) bool { return other == a })
	ref.markDirty(n)
	ref.recordOutcome(n, a, e)
	provesNotRun := e.Outcome == QueueFull || e.Outcome == ConnectFailed || e.Outcome == NotSent
	if e.Outcome != ConnectFailed && e.Outcome != NotSent {
		r.expiresAt = r.deadline
	}
	if !provesNotRun && e.Outcome != OK && r.mayHaveRunOn == nil {
		r.mayHaveRunOn, r.mayHaveRunSince = n, a.sentAt
	}
	if order := ref.keyOrders[r.Key]; order != nil && r.class.Ordered && !provesNotRun && e.Outcome != OK && e.Outcome != Failed {
		order.cooldownUntil, order.cooldownOwner = ref.now+ref.settings.KeyCooldown, r
	}
	switch {
	case r.completed:
		ref.removeFromKeyOrder(r)
	case e.Responded:
		ref.complete(r)
	case r.inFlight > 0:
	case r.responding || e.BodyConsumed || ref.now+expiryMargin >= r.deadline ||
		(ref.settings.MaxAttempts > 0 && r.attempts >= ref.settings.MaxAttempts):
		ref.rejectOrFail(r)
	case !provesNotRun && (r.class.Effect == NonIdempotent || ref.selectNode(r) == nil):
		ref.rejectOrFail(r)
	default:
		r.notBefore = ref.now + ref.shortestObjective/10
		ref.enqueue(r)
	}
}

func (ref *reference) updateServiceTime(seconds float64, r *request) float64 {
	if perUnit := seconds / max(r.Units, 1); ref.unitServiceTime == 0 {
		ref.unitServiceTime = perUnit
	} else if perUnit < ref.unitServiceTime {
		ref.unitServiceTime *= 1 - 3*serviceTimeStep
	} else {
		ref.unitServiceTime *= 1 + serviceTimeStep
	}
	return ref.unitServiceTime * r.Units
}

func (ref *reference) observe(n *node, latencySeconds, fraction float64, isResponse bool) {
	fraction = min(max(fraction, 0), 1)
	if n.observations.add(ref.now, 1, latencySeconds, fraction); isResponse {
		ref.allNodes.add(ref.now, 1, latencySeconds, fraction) // timeouts and full queues count for their node alone
	}
}

func (ref *reference) updateEstimate(n *node) {
	n.window = min(n.window, maxWindow, max(1, maxWindowAllInstances/ref.instancesPerNode))
	weight, latencySum, waitingSum := n.observations.add(ref.now, 0, 0, 0)
	allWeight, allLatency, allWaiting := ref.allNodes.add(ref.now, 0, 0, 0)
	priorScale := priorWeight / max(allWeight, priorWeight)
	weight = max(weight+priorScale*allWeight, 1e-9)
	n.latency, n.pressure = (latencySum+priorScale*allLatency)/weight, (waitingSum+priorScale*allWaiting)/weight
}

func (ref *reference) recordOutcome(n *node, a *attempt, e AttemptEnded) {
	seconds := (ref.now - a.sentAt).Seconds()
	switch e.Outcome {
	case OK, Failed:
		n.lastResponseAt, n.open, n.trialInterval, n.consecutiveFailures = ref.now, false, 0, 0
		objectiveFraction := seconds / a.request.class.LatencyObjective.Seconds()
		waitedSeconds := seconds - ref.updateServiceTime(seconds, a.request)
		if e.HasLoadReport && e.ReportedLoad >= 0 && e.ReportedLoad < math.Inf(1) {
			waitedSeconds = (max(waitedSeconds, 0) + e.ReportedLoad*ref.unitServiceTime*ref.settings.MeanUnits) / 2
		}
		ref.observe(n, seconds, waitedSeconds/a.request.class.LatencyObjective.Seconds(), true)
		ref.servedRate(n.Shard, ref.now, a.request.Units)
		if objectiveFraction > windowDecreaseAbove && a.sentAt >= n.lastDecreaseAt {
			n.window, n.lastDecreaseAt = max(min(1, n.window), n.window*windowDecreaseFactor), ref.now
		} else if objectiveFraction < windowIncreaseBelow && a.filledWindow {
			n.window += min(n.window, 1/n.window)
		}
	case QueueFull:
		ref.observe(n, n.latency, 1, false)
		n.lastResponseAt, n.window, n.lastDecreaseAt = ref.now, 1/ref.instancesPerNode, ref.now
	case ConnectFailed, Reset:
		if n.consecutiveFailures++; n.consecutiveFailures >= maxConsecutiveFailures {
			ref.openBreaker(n)
		}
	case TimedOut:
		ref.observe(n, seconds, 1, false)
		n.window, n.lastDecreaseAt = 1/ref.instancesPerNode, ref.now
	}
}

func (ref *reference) openBreaker(n *node) {
	if !n.open {
		n.open, n.trialInterval, n.trialAt = true, ref.shortestObjective, ref.now+ref.shortestObjective
		n.window = min(1, n.window)
	}
	if len(n.inFlight) > 0 {
		n.window, n.inFlight = max(1/ref.instancesPerNode, min(1, n.window)/2), nil
	}
}

func (ref *reference) handleEndpointUpdate(update EndpointUpdate) {
	if update.Failed {
		ref.watchAt = ref.now + watchRetryDelay
		return
	}
	listed := map[string]bool{}
	for _, endpoint := range update.Endpoints {
		listed[endpoint.Node] = true
		i := slices.IndexFunc(ref.nodes, func(n *node) bool { return n.Node == endpoint.Node })
		if i < 0 {
			n := &node{Endpoint: endpoint, window: initialWindow, lastResponseAt: ref.now}
			ref.nodes = append(ref.nodes, n)
			ref.beginSlowStart(n)
			continue
		}
		n := ref.nodes[i]
		restarted := endpoint.Started != n.Started && endpoint.State == Serving
		n.Endpoint = endpoint
		if restarted { // estimates from before the restart no longer hold
			n.window, n.observations, n.lastResponseAt = 1, observations{}, ref.now
			n.open, n.trialInterval, n.consecutiveFailures = false, 0, 0
			ref.beginSlowStart(n)
		}
	}
	for _, n := range ref.nodes {
		if update.Full && !listed[n.Node] {
			n.State = Removed
		}
	}
	displaced := ref.unassigned
	ref.unassigned, ref.byShard = nil, map[int][]*node{}
	for _, n := range ref.nodes {
		ref.markDirty(n)
		ref.byShard[n.Shard] = append(ref.byShard[n.Shard], n)
		if n.State != Serving {
			displaced = append(displaced, n.queue...)
			n.queue = nil
		}
	}
	for _, r := range displaced {
		if !r.completed {
			ref.enqueue(r)
		}
	}
	ref.nodes = slices.DeleteFunc(ref.nodes, func(n *node) bool { return n.State == Removed && len(n.inFlight) == 0 })
}

func (ref *reference) isWarmingUp(n *node) bool {
	return n.Started > 0 && ref.settings.SlowStart.WarmupDuration > 0 && ref.now < n.Started+ref.settings.SlowStart.WarmupDuration
}

func (ref *reference) servedRate(shard int, until Time, units float64) float64 {
	served := ref.servedUnitsByShard[shard]
	if served == nil {
		served = &decayingSum{}
		ref.servedUnitsByShard[shard] = served
	}
	halfLives := float64(until-ref.startedAt) / float64(servedHalfLife)
	if sum := served.add(until, units, servedHalfLife); halfLives > 0 {
		return sum * math.Ln2 / servedHalfLife.Seconds() / (1 - math.Exp2(-halfLives))
	}
	return 0
}

func (ref *reference) beginSlowStart(n *node) {
	if !ref.isWarmingUp(n) {
		return
	}
	window, units := max(ref.settings.SlowStart.OverloadWindow.Seconds(), 1e-3), cmp.Or(ref.settings.SlowStart.MinUnits, ref.settings.MeanUnits)
	rate := max(slowStartRateFraction*units/float64(ref.settings.Instances)/window,
		ref.settings.SlowStart.OverloadFactor*ref.settings.SlowStart.InitialFraction*ref.servedRate(n.Shard, n.Started, 0)/ref.nodesOfShard(n))
	n.slowStart = tokenBucket{rate: rate, cap: rate * window * (1 - slowStartRateFraction) / slowStartRateFraction}
	n.slowStart.updatedAt = max(ref.now, ref.startedAt+ref.settings.SlowStart.OverloadWindow)
	n.slowStart.level = n.slowStart.cap - ref.random.Float64()*ref.settings.MeanUnits
}

func (ref *reference) nodesOfShard(started *node) (count float64) {
	for _, n := range ref.byShard[started.Shard] {
		if n.State != Removed {
			count++
		}
	}
	return max(count, 1)
}

func (ref *reference) fillSlowStart(n *node) tokenBucket {
	growth := 1.0
	if initialFraction := ref.settings.SlowStart.InitialFraction; initialFraction > 0 && initialFraction < 1 {
		warmFraction := float64(ref.now-n.Started-ref.settings.SlowStart.OverloadWindow) / float64(ref.settings.SlowStart.WarmupDuration)
		growth += max(0, warmFraction) * (1 - initialFraction) / initialFraction
	}
	bucket := n.slowStart
	if bucket.rate, bucket.cap = bucket.rate*growth, bucket.cap*growth; ref.now > bucket.updatedAt {
		bucket.fill(ref.now)
		n.slowStart.level, n.slowStart.updatedAt = bucket.level, bucket.updatedAt
	}
	return bucket
}

func (ref *reference) slowStartAllows(n *node, units float64) bool {
	if !ref.isWarmingUp(n) {
		return true
	}
	bucket := ref.fillSlowStart(n)
	return ref.now >= bucket.updatedAt && bucket.level >= min(units, bucket.cap)
}

func (ref *reference) expectedLatency(n *node, r *request) time.Duration {
	seconds := max(n.latency+ref.unitServiceTime*(r.Units-ref.settings.MeanUnits), 0)
	if len(n.inFlight) > 0 {
		seconds = max(seconds, (ref.now-n.inFlight[0].sentAt).Seconds()/2)
	}
	return time.Duration(seconds * float64(time.Second))
}

func (ref *reference) canBeSent(r *request, n *node) bool {
	if ref.now < r.notBefore || !ref.isNextOfKey(r) || !ref.mayRunOn(r, n) {
		return false
	}
	if ref.now+ref.expectedLatency(n, r) > r.deadline && (len(n.inFlight) > 0 || ref.now < n.lastSendAt+maxTrialInterval) {
		return false
	}
	if r.attempts > 0 && !ref.retryBudgetAllows() {
		return false
	}
	if r.attempts == 0 && r.volume.plan.Limit > 0 {
		r.volume.limit.fill(ref.now)
		if r.volume.limit.level < r.Units {
			return false
		}
	}
	return ref.slowStartAllows(n, r.Units)
}

func (ref *reference) retryBudgetAllows() bool {
	if ref.settings.RetryBudget == nil {
		return true
	}
	ref.arrivals = slices.DeleteFunc(ref.arrivals, func(t Time) bool { return t <= ref.now-ref.settings.RetryBudget.Window })
	ref.retries = slices.DeleteFunc(ref.retries, func(t Time) bool { return t < ref.now-ref.settings.RetryBudget.Window })
	if ref.now <= ref.startedAt+ref.settings.RetryBudget.Window { // an earlier process may have spent it
		return false
	}
	return float64(len(ref.retries)+1) <= ref.settings.RetryBudget.MinRetries+ref.settings.RetryBudget.Ratio*float64(len(ref.arrivals))
}

func (ref *reference) backpressureBlocks(r *request, n *node, isLate bool) bool {
	priority, halfLife := ref.priorityWeight(r)/ref.maxPriorityWeight, pressureHalfLifeObjectives
	if isLate {
		priority, halfLife = priority*r.class.LateWeightFactor, pressureHalfLifeObjectivesLate
	}
	if r.beyondReserve {
		priority *= ref.settings.ExcessWeight
	}
	pressure := n.pressure * math.Exp2(-float64(ref.now-n.lastResponseAt)/float64(ref.shortestObjective)/halfLife/max(1, 2*r.volume.instances-2))
	if ref.isWarmingUp(n) { // the rest of the bucket is kept for high priorities
		bucket := ref.fillSlowStart(n)
		pressure = max(pressure, 1-bucket.level/max(bucket.cap, 1e-9))
	}
	return pressure > max(priority, minPressure) && priority < 1
}

func (ref *reference) priorityWeight(r *request) float64 {
	return r.class.PriorityWeight * r.volume.plan.PriorityFactor
}

func (ref *reference) nextRequest(n *node) (best *request) {
	isLate := func(r *request) bool { return ref.now+ref.expectedLatency(n, r) > r.latencyDeadline }
	hasPriorityOver := func(a, b *request) bool { // higher priority weight, then earlier latency deadline
		if weightA, weightB := ref.priorityWeight(a), ref.priorityWeight(b); weightA != weightB {
			return weightA > weightB
		}
		return a.latencyDeadline < b.latencyDeadline || (a.latencyDeadline == b.latencyDeadline && a.sequence < b.sequence)
	}
	var bestIsLate bool
	var ready []*request
	for _, r := range n.queue {
		if !ref.canBeSent(r, n) {
			continue
		}
		requestIsLate := isLate(r)
		if ref.backpressureBlocks(r, n, requestIsLate) {
			continue
		}
		ready = append(ready, r)
		if best == nil || (bestIsLate && !requestIsLate) || (bestIsLate == requestIsLate && (r.startTag < best.startTag ||
			(r.startTag == best.startTag && hasPriorityOver(r, best)))) {
			best, bestIsLate = r, requestIsLate
		}
	}
	if best == nil {
		return nil
	}
	first := best
	for _, r := range ready {
		if r.volume == first.volume && isLate(r) == bestIsLate && hasPriorityOver(r, best) {
			best = r
		}
	}
	best.startTag, first.startTag = first.startTag, best.startTag
	best.beyondReserve, first.beyondReserve = first.beyondReserve, best.beyondReserve
	return best
}

func (ref *reference) dispatchNode(n *node) {
	n.dirty = false
	ref.updateEstimate(n)
	responseTimeout := max(responseTimeoutObjectives*ref.shortestObjective.Seconds(), responseTimeoutLatencies*n.latency)
	if len(n.inFlight) > 0 && (ref.now-max(n.lastResponseAt, n.inFlight[0].sentAt)).Seconds() >= responseTimeout {
		ref.openBreaker(n)
	}
	n.queue = ref.completeExpired(n.queue)
	for len(n.queue) > 0 {
		if n.open && ref.now < n.trialAt {
			break
		} else if n.open { // half-open: one trial request at a time, at growing intervals
			ref.openBreaker(n)
		}
		if ref.nextSendAt(n) > ref.now {
			break
		}
		r := ref.nextRequest(n)
		if r == nil {
			break
		}
		if n.open {
			n.trialInterval = min(2*n.trialInterval, maxTrialInterval)
			n.trialAt = ref.now + n.trialInterval
		}
		ref.send(n, r)
	}
	n.wakeAt = math.MaxInt64
	if len(n.inFlight) > 0 {
		n.wakeAt = ref.now + ref.shortestObjective/4
	}
	if len(n.queue) > 0 { // a request may become ready to send by time alone
		n.wakeAt = min(n.wakeAt, ref.nextExpiry(n.queue), max(ref.nextSendAt(n), ref.now+ref.shortestObjective/queueChecksPerObjective))
	}
}

func (ref *reference) nextSendAt(n *node) Time {
	switch {
	case float64(len(n.inFlight))+1 <= n.window:
		return 0
	case n.window >= 1 || len(n.inFlight) > 0:
		return math.MaxInt64
	}
	return n.lastSendAt + Time(n.pacingJitter*n.latency/n.window*float64(time.Second))
}

func (ref *reference) send(n *node, r *request) {
	n.sendCount++
	n.lastSendAt, n.pacingJitter = ref.now, 0.5+ref.random.Float64()
	n.queue = slices.DeleteFunc(n.queue, func(other *request) bool { return other == r })
	n.virtualTime = max(n.virtualTime, r.startTag)
	if r.attempts == 0 {
		if r.volume.plan.Limit > 0 {
			r.volume.limit.fill(ref.now)
			r.volume.limit.level -= r.Units
		}
	} else if ref.settings.RetryBudget != nil {
		ref.retries = append(ref.retries, ref.now)
	}
	if ref.isWarmingUp(n) {
		n.slowStart.level -= r.Units
	}
	a := &attempt{request: r, node: n, sentAt: ref.now, filledWindow: float64(len(n.inFlight))+2 > n.window}
	n.inFlight = append(n.inFlight, a)
	ref.attempts[attemptID{r.ID, uint64(r.attempts)}] = a
	r.attempts++
	r.inFlight++
	arriveBefore := Time(0)
	if r.mayHaveRunOn != nil && r.class.Effect == Idempotent {
		arriveBefore = r.mayHaveRunSince + r.class.DeduplicationWindow
	}
	ref.emit(Send{ID: r.ID, Node: n.Node, ArriveBefore: arriveBefore})
}

func (ref *reference) completeExpired(queue []*request) []*request {
	return slices.DeleteFunc(queue, func(r *request) bool {
		if n := r.node; !r.completed && ref.now+expiryMargin >= r.expiresAt && r.expiresAt < r.deadline && n != nil && n.sendCount-r.sendCountAtEnqueue < minOvertakingSends {
			r.expiresAt = r.deadline
		}
		if !r.completed && ref.now+expiryMargin >= r.expiresAt {
			ref.rejectOrFail(r)
		}
		return r.completed
	})
}

func (ref *reference) nextExpiry(queue []*request) Time {
	first := Time(math.MaxInt64)
	for _, r := range queue {
		first = min(first, r.expiresAt-expiryMargin)
	}
	return first
}

func (ref *reference) dispatch() {
	wakeTime := Time(math.MaxInt64)
	if ref.watchAt >= 0 && ref.now >= ref.watchAt {
		ref.emit(WatchEndpoints{})
		ref.watchAt = -1
	} else if ref.watchAt >= 0 {
		wakeTime = ref.watchAt
	}
	if ref.now >= ref.nextWakeAt { // otherwise no wake time has come, and only nodes affected by events are dispatched
		ref.nextWakeAt = math.MaxInt64
		for _, n := range ref.nodes {
			if ref.now >= n.wakeAt {
				ref.markDirty(n)
			} else {
				ref.nextWakeAt = min(ref.nextWakeAt, n.wakeAt)
			}
		}
	}
	dirtyNodes := ref.dirty
	ref.dirty = nil
	for _, n := range dirtyNodes {
		ref.dispatchNode(n)
		ref.nextWakeAt = min(ref.nextWakeAt, n.wakeAt)
	}
	if wakeTime = min(wakeTime, ref.nextWakeAt); len(ref.dirty) > 0 { // marked by dispatchNode
		wakeTime = ref.now
	}
	ref.unassigned = ref.completeExpired(ref.unassigned)
	wakeTime = min(wakeTime, ref.nextExpiry(ref.unassigned))
	if ref.now >= ref.sweptAt+volumeIdleTimeout/2 {
		ref.sweep()
	}
	if wakeTime < math.MaxInt64 && (ref.timerAt <= ref.now || wakeTime < ref.timerAt) {
		after := max(wakeTime-ref.now+time.Millisecond-1, time.Millisecond).Truncate(time.Millisecond)
		ref.timerAt = ref.now + after
		ref.emit(SetTimer{After: after})
	}
}

func (ref *reference) sweep() {
	ref.sweptAt = ref.now
	for name, v := range ref.volumes {
		for n, nodeStream := range v.streams {
			if ref.now-nodeStream.lastUsedAt > volumeIdleTimeout {
				delete(v.streams, n)
			}
		}
		v.limit.fill(ref.now)
		if ref.now-v.lastUsedAt > volumeIdleTimeout && len(v.streams) == 0 && v.limit.level >= v.limit.cap {
			delete(ref.volumes, name)
		}
	}
	for key, t := range ref.keyOrders {
		if len(t.requests) == 0 && ref.now >= t.cooldownUntil {
			delete(ref.keyOrders, key)
		}
	}
	if ref.settings.RetryBudget != nil {
		ref.arrivals = slices.DeleteFunc(ref.arrivals, func(t Time) bool { return t <= ref.now-ref.settings.RetryBudget.Window })
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
	sum       float64
	updatedAt Time
}

func (d *decayingSum) add(now Time, value float64, halfLife time.Duration) float64 {
	d.sum = d.sum*math.Exp2(-float64(max(now-d.updatedAt, 0))/float64(halfLife)) + value
	d.updatedAt = max(now, d.updatedAt)
	return d.sum
}

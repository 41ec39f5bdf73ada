package scheduler

import (
	"math"

	"maddergap/internal/waitqueue"
)

// Guards: the rules that can refuse a send, each by itself. Dispatch asks them in the order of
// the lists here, the cheapest first, and a request waits while one of them refuses.

// Reason says why a request may not be sent now.
type Reason int

// Reasons, in the order in which they are looked for.
const (
	ReasonAllowed       Reason = iota
	ReasonNoNode               // no node of the list may take it
	ReasonKeyOrder             // another request of its key goes first, or the key rests
	ReasonRetryBackoff         // the pause before another attempt is not over
	ReasonBreakerOpen          // its node is silent or unreachable
	ReasonWindowFull           // as many are out at its node as the window allows
	ReasonRetryBudget          // too many attempts past the first
	ReasonBackpressure         // its node is slow, and others' requests are worth more
	ReasonSlowStart            // its node has just started
	ReasonTooLate              // no answer is expected in time
	ReasonDeduplication        // another attempt might run twice
	ReasonTenantLimit          // its volume is over the limit of its plan
	reasonCount                // how many there are
)

var reasonNames = [reasonCount]string{"allowed", "no-node", "key-order", "retry-backoff", "breaker-open", "window-full",
	"retry-budget", "backpressure", "slow-start", "too-late", "repeat-window", "tenant-limit"}

func (r Reason) String() string {
	if r < 0 || r >= reasonCount {
		return "unknown"
	}
	return reasonNames[r]
}

// sendRule is one rule.
type sendRule struct {
	reason Reason
	blocks func(*Scheduler, candidate) bool
}

// candidate is what a guard judges: requests of one profile at a node, or one of them.
type candidate struct {
	node            *node
	profile         *profile
	missesObjective bool     // it can no longer meet its aim
	request         *request // nil: any of the profile
}

// nodeRules judge a node, whatever waits there.
var nodeRules = []sendRule{
	{ReasonBreakerOpen, func(s *Scheduler, c candidate) bool { return c.node.breaker.open && s.now < c.node.breaker.trialAt }},
	{ReasonWindowFull, func(s *Scheduler, c candidate) bool { return c.node.nextSendAt() > s.now }},
}

// profileRules judge all requests of a profile at a node.
var profileRules = []sendRule{
	{ReasonRetryBudget, func(s *Scheduler, c candidate) bool { return c.profile.retry && !s.retryBudgetAllows() }},
	{ReasonBackpressure, (*Scheduler).shedsForPriority},
	{ReasonSlowStart, func(s *Scheduler, c candidate) bool { return !s.slowStartAllows(c.node, c.profile.units) }},
}

// requestRules judge one request.
var requestRules = []sendRule{
	{ReasonDeduplication, func(s *Scheduler, c candidate) bool { return !s.mayRunOn(c.request, c.node) }},
	{ReasonTenantLimit, func(s *Scheduler, c candidate) bool { return s.limitBlocks(c.profile, c.request.volume) }},
}

// blockedBy asks guards in their order and returns the first refusal.
func (s *Scheduler) blockedBy(guards []sendRule, c candidate) Reason {
	for i := range guards {
		if guards[i].blocks(s, c) {
			return guards[i].reason
		}
	}
	return ReasonAllowed
}

// limitBlocks tells whether its plan's limit keeps a volume's requests of a profile: first
// attempts alone draw on it.
func (s *Scheduler) limitBlocks(p *profile, v *volume) bool {
	return !p.retry && s.overLimit(v, p.units)
}

const (
	// minPressure is the pressure up to which even what earns nothing goes.
	minPressure = 0.02
	// pressureHalfLife is the number of shortest aims without an answer over which pressure halves,
	// pressureHalfLifeLate the same for what is late.
	pressureHalfLife     = 1.5
	pressureHalfLifeLate = 4.0
)

// shedsForPriority tells whether requests stand back for those of other heads at the node, which
// cannot be seen but in how slowly the node answers: what earns least a unit soonest (late,
// beyond the reserve, of a class or plan of little worth). Departure from "no slot idled": a
// slot is left open then.
func (s *Scheduler) shedsForPriority(c candidate) bool {
	p, n := c.profile, c.node
	worth, calm := p.priorityWeight()/s.maxPriorityWeight, pressureHalfLife
	if c.missesObjective {
		worth, calm = worth*p.class.LateWeightFactor, pressureHalfLifeLate
	}
	if p.beyondReserve {
		worth *= s.settings.ExcessWeight
	}
	// All heads of a volume together try a crowded node at the pace of one.
	silentAims := float64(s.now-n.lastResponseAt) / float64(s.shortestObjective)
	pressure := n.pressure * math.Exp2(-silentAims/calm/max(1, 2*p.instances-2))
	if s.isWarmingUp(n) { // what a cold node bears is for what earns most
		pressure = max(pressure, s.slowStartUsed(n))
	}
	return pressure > max(worth, minPressure) && worth < 1
}

// WaitReason tells why a request that waits is not sent now; ReasonAllowed where it is merely not its
// turn among the others of its node, or where it does not wait. Nothing is decided by it, and
// nothing decided later depends on whether it was asked.
func (s *Scheduler) WaitReason(id uint64) Reason {
	r := s.requests[id]
	if r == nil || r.inFlight > 0 {
		return ReasonAllowed
	}
	if r.node == nil {
		return ReasonNoNode
	}
	readyAt, isNext := s.readyAt(r)
	switch {
	case !isNext:
		return ReasonKeyOrder
	case r.notBefore > s.now:
		return ReasonRetryBackoff
	case readyAt > s.now:
		return ReasonKeyOrder
	case r.QueueState() == waitqueue.Suspended:
		return ReasonDeduplication // it was taken out for good
	}
	defer s.saveBuckets(r)()
	return s.sendBlockedBy(r)
}

// sendBlockedBy asks all guards about a request that is ready.
func (s *Scheduler) sendBlockedBy(r *request) Reason {
	n := r.node
	p := r.currentProfile()
	answered := s.now + s.expectedLatency(n, r.Units)
	c := candidate{node: n, profile: &p, request: r, missesObjective: r.LatencyDeadline < answered}
	if reason := s.blockedBy(nodeRules, c); reason != ReasonAllowed {
		return reason
	}
	if reason := s.blockedBy(profileRules, c); reason != ReasonAllowed {
		return reason
	}
	if r.Deadline < answered && !s.idleTrialDue(n) {
		return ReasonTooLate
	}
	return s.blockedBy(requestRules, c)
}

// saveBuckets returns a function that sets back what guards fill. Guards against decisions that
// depend on who looked on: a bucket that is filled in two steps is rounded twice.
func (s *Scheduler) saveBuckets(r *request) (restore func()) {
	n, v := r.node, r.volume
	cold, limit, budget := n.slowStart, v.limit, s.retryUsage
	return func() { n.slowStart, v.limit, s.retryUsage = cold, limit, budget }
}

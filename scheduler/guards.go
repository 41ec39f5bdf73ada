package scheduler

import "math"

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
	reasonsCount               // how many there are
)

var reasonNames = [reasonsCount]string{"allowed", "no-node", "key-order", "retry-backoff", "breaker-open", "window-full",
	"retry-budget", "backpressure", "slow-start", "too-late", "repeat-window", "tenant-limit"}

func (r Reason) String() string {
	if r < 0 || r >= reasonsCount {
		return "unknown"
	}
	return reasonNames[r]
}

// guard is one rule.
type guard struct {
	reason  Reason
	refuses func(*Scheduler, candidate) bool
}

// candidate is what a guard judges: requests of one profile at a node, or one of them.
type candidate struct {
	node    *node
	profile *profile
	late    bool     // it can no longer meet its aim
	request *request // nil: any of the profile
}

// nodeGuards judge a node, whatever waits there.
var nodeGuards = []guard{
	{ReasonBreakerOpen, func(s *Scheduler, c candidate) bool { return c.node.breaker.open && s.now < c.node.breaker.trialAt }},
	{ReasonWindowFull, func(s *Scheduler, c candidate) bool { return c.node.nextSlot() > s.now }},
}

// profileGuards judge all requests of a profile at a node.
var profileGuards = []guard{
	{ReasonRetryBudget, func(s *Scheduler, c candidate) bool { return c.profile.retry && !s.mayRetry() }},
	{ReasonBackpressure, (*Scheduler).standsBack},
	{ReasonSlowStart, func(s *Scheduler, c candidate) bool { return !s.coldBudgetAllows(c.node, c.profile.units) }},
}

// requestGuards judge one request.
var requestGuards = []guard{
	{ReasonDeduplication, func(s *Scheduler, c candidate) bool { return !s.mayRepeat(c.request, c.node) }},
	{ReasonTenantLimit, func(s *Scheduler, c candidate) bool { return s.limitRefuses(c.profile, c.request.volume) }},
}

// firstRefusal asks guards in their order and returns the first refusal.
func (s *Scheduler) firstRefusal(guards []guard, c candidate) Reason {
	for i := range guards {
		if guards[i].refuses(s, c) {
			return guards[i].reason
		}
	}
	return ReasonAllowed
}

// limitRefuses tells whether its plan's limit keeps a volume's requests of a profile: first
// attempts alone draw on it.
func (s *Scheduler) limitRefuses(p *profile, v *volume) bool {
	return !p.retry && s.overLimit(v, p.units)
}

const (
	// leastPressure is the pressure up to which even what earns nothing goes.
	leastPressure = 0.02
	// calmAims is the number of shortest aims without an answer over which pressure halves,
	// calmAimsLate the same for what is late.
	calmAims     = 1.5
	calmAimsLate = 4.0
)

// standsBack tells whether requests stand back for those of other heads at the node, which
// cannot be seen but in how slowly the node answers: what earns least a unit soonest (late,
// beyond the reserve, of a class or plan of little worth). Departure from "no slot idled": a
// slot is left open then.
func (s *Scheduler) standsBack(c candidate) bool {
	p, n := c.profile, c.node
	worth, calm := p.worth()/s.maxWorth, calmAims
	if c.late {
		worth, calm = worth*p.class.LateWeightFactor, calmAimsLate
	}
	if p.excess {
		worth *= s.settings.ExcessWeight
	}
	// All heads of a volume together try a crowded node at the pace of one.
	silentAims := float64(s.now-n.heardAt) / float64(s.shortestAim)
	pressure := n.pressure * math.Exp2(-silentAims/calm/max(1, 2*p.hosts-2))
	if s.isCold(n) { // what a cold node bears is for what earns most
		pressure = max(pressure, s.coldBudgetUsed(n))
	}
	return pressure > max(worth, leastPressure) && worth < 1
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
	case !r.Placed():
		return ReasonDeduplication // it was taken out for good
	}
	defer s.keepBuckets(r)()
	return s.sendRefusal(r)
}

// sendRefusal asks all guards about a request that is ready.
func (s *Scheduler) sendRefusal(r *request) Reason {
	n := r.node
	p := r.currentProfile()
	answered := s.now + s.expected(n, r.Units)
	c := candidate{node: n, profile: &p, request: r, late: r.LatencyDeadline < answered}
	if reason := s.firstRefusal(nodeGuards, c); reason != ReasonAllowed {
		return reason
	}
	if reason := s.firstRefusal(profileGuards, c); reason != ReasonAllowed {
		return reason
	}
	if r.Deadline < answered && !s.lateTrialDue(n) {
		return ReasonTooLate
	}
	return s.firstRefusal(requestGuards, c)
}

// keepBuckets returns a function that sets back what guards fill. Guards against decisions that
// depend on who looked on: a bucket that is filled in two steps is rounded twice.
func (s *Scheduler) keepBuckets(r *request) (restore func()) {
	n, v := r.node, r.volume
	cold, limit, budget := n.coldBudget, v.limit, s.retryBudget
	return func() { n.coldBudget, v.limit, s.retryBudget = cold, limit, budget }
}

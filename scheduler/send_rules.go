package scheduler

// Send rules: the conditions that keep a ready request from being sent. A request waits while a rule
// blocks it. Dispatch evaluates the rules of a node first, then those of a profile, then those of
// single requests. A profile holds the properties of a request that the rules of the second kind
// depend on, and one evaluation holds for all requests with the same profile. Dispatch therefore
// examines only a few of the requests one by one. WaitReason evaluates all rules
// in the order of the reasons, but none of them for a suspended request, which is not ready.

// Reason says why a request is not sent now.
type Reason int

// The reasons, in the order in which WaitReason checks them.
const (
	// ReasonAllowed: nothing keeps the request from being sent.
	ReasonAllowed Reason = iota
	// ReasonNoNode: no node of the endpoint list may take it.
	ReasonNoNode
	// ReasonKeyOrder: an earlier request of its key is not over, or the cooldown of the key is not.
	ReasonKeyOrder
	// ReasonRetryBackoff: the pause before its next attempt is not over.
	ReasonRetryBackoff
	// ReasonBreakerOpen: the circuit breaker of its node is open, because the node does not respond or
	// cannot be connected to.
	ReasonBreakerOpen
	// ReasonWindowFull: its node's concurrency window is full, or its pacing gap is not over.
	ReasonWindowFull
	// ReasonRetryBudget: it is a retry, and the retry budget is spent.
	ReasonRetryBudget
	// ReasonBackpressure: its priority is below the pressure of its node.
	ReasonBackpressure
	// ReasonSlowStart: its node is warming up, and has been sent as much as it can serve at present.
	ReasonSlowStart
	// ReasonTooLate: no response is expected by its deadline.
	ReasonTooLate
	// ReasonDeduplication: another attempt on its node could make it run twice. That is so if the node
	// does not drop repeats of the request, or the deduplication window has ended.
	ReasonDeduplication
	// ReasonTenantLimit: its volume has used up the limit of its plan.
	ReasonTenantLimit
	reasonCount
)

// reasonNames are the values of wait_reason in the log. The log gives the reason of the request that
// expires first at a node, and of a request that was not sent in time.
var reasonNames = [reasonCount]string{
	ReasonAllowed:       "allowed",
	ReasonNoNode:        "no-node",
	ReasonKeyOrder:      "key-order",
	ReasonRetryBackoff:  "retry-backoff",
	ReasonBreakerOpen:   "breaker-open",
	ReasonWindowFull:    "window-full",
	ReasonRetryBudget:   "retry-budget",
	ReasonBackpressure:  "backpressure",
	ReasonSlowStart:     "slow-start",
	ReasonTooLate:       "too-late",
	ReasonDeduplication: "repeat-window",
	ReasonTenantLimit:   "tenant-limit",
}

// String returns the reason's name in the log.
func (r Reason) String() string {
	if r < 0 || r >= reasonCount {
		return "unknown"
	}
	return reasonNames[r]
}

// sendRule blocks candidates for one reason.
type sendRule struct {
	reason Reason
	blocks func(*Scheduler, candidate) bool
}

// candidate is the input of a send rule: a node, and the profile or request that might be sent to it.
type candidate struct {
	node *node
	// profile holds the properties that all requests of the profile share, nil for nodeRules.
	profile *profile
	// request is one request of the profile, nil for nodeRules and profileRules.
	request *request
	// missesObjective reports whether the candidate is expected to miss its latency objective.
	missesObjective bool
}

// nodeRules apply to a node, whatever requests wait for it.
var nodeRules = []sendRule{
	{ReasonBreakerOpen, func(s *Scheduler, c candidate) bool { return c.node.breaker.blocks(s.now) }},
	{ReasonWindowFull, func(s *Scheduler, c candidate) bool { return c.node.nextSendAt() > s.now }},
}

// profileRules apply to all requests of one profile at a node.
var profileRules = []sendRule{
	{ReasonRetryBudget, func(s *Scheduler, c candidate) bool { return c.profile.isRetry && !s.retryBudgetAllows() }},
	{ReasonBackpressure, (*Scheduler).backpressureBlocks},
	{ReasonSlowStart, func(s *Scheduler, c candidate) bool { return !s.slowStartAllows(c.node, c.profile.units) }},
}

// requestRules apply to a single request. Only WaitReason evaluates them. Dispatch checks the same two
// conditions in firstEligible, lowestTagRequest and highestPriorityRequest; a new rule for single
// requests has to be added there too.
var requestRules = []sendRule{
	{ReasonDeduplication, func(s *Scheduler, c candidate) bool { return !s.mayRunOn(c.request, c.node) }},
	{ReasonTenantLimit, func(s *Scheduler, c candidate) bool { return s.limitBlocks(c.profile, c.request.volume) }},
}

// blockedBy returns the reason of the first rule that blocks a candidate, ReasonAllowed if none does.
func (s *Scheduler) blockedBy(rules []sendRule, c candidate) Reason {
	for i := range rules {
		if rules[i].blocks(s, c) {
			return rules[i].reason
		}
	}
	return ReasonAllowed
}

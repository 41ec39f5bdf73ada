package scheduler

// Send rules: what can keep a request that is ready from being sent. A request waits while one of
// them blocks it. Dispatch asks the rules of a node first, then those of a profile, then those of
// single requests, so that most requests need not be looked at. WaitReason asks them all, in the
// order of the reasons, but for requests that are suspended.

// Reason says why a request is not sent now.
type Reason int

// The reasons, in the order in which they are looked for.
const (
	// ReasonAllowed: nothing keeps it from being sent.
	ReasonAllowed Reason = iota
	// ReasonNoNode: no node of the list may take it.
	ReasonNoNode
	// ReasonKeyOrder: an earlier request of its key is not over, or the key cools down.
	ReasonKeyOrder
	// ReasonRetryBackoff: the pause before its next attempt is not over.
	ReasonRetryBackoff
	// ReasonBreakerOpen: its node does not respond or cannot be connected to.
	ReasonBreakerOpen
	// ReasonWindowFull: its node's concurrency window is full, or its pacing gap is not over.
	ReasonWindowFull
	// ReasonRetryBudget: it is a retry, and the retry budget is spent.
	ReasonRetryBudget
	// ReasonBackpressure: its node is under pressure, and its priority is too low for that.
	ReasonBackpressure
	// ReasonSlowStart: its node is warming up and has been sent what it can bear.
	ReasonSlowStart
	// ReasonTooLate: no response is expected by its deadline.
	ReasonTooLate
	// ReasonDeduplication: another attempt could make it run twice.
	ReasonDeduplication
	// ReasonTenantLimit: its volume has used up the limit of its plan.
	ReasonTenantLimit
	reasonCount
)

// reasonNames are the values of wait_reason in the log, which has those of requests that wait at a
// node: never no-node.
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

// sendRule blocks candidates for a reason.
type sendRule struct {
	reason Reason
	blocks func(*Scheduler, candidate) bool
}

// candidate is what a send rule judges.
type candidate struct {
	node *node
	// profile is nil for nodeRules.
	profile *profile
	// request is one request of the profile, nil for nodeRules and profileRules.
	request *request
	// missesObjective is set for requests that are expected to miss their latency objective.
	missesObjective bool
}

// nodeRules judge a node, whatever waits for it.
var nodeRules = []sendRule{
	{ReasonBreakerOpen, func(s *Scheduler, c candidate) bool { return c.node.breaker.blocks(s.now) }},
	{ReasonWindowFull, func(s *Scheduler, c candidate) bool { return c.node.nextSendAt() > s.now }},
}

// profileRules judge all requests of one profile at a node.
var profileRules = []sendRule{
	{ReasonRetryBudget, func(s *Scheduler, c candidate) bool { return c.profile.isRetry && !s.retryBudgetAllows() }},
	{ReasonBackpressure, (*Scheduler).backpressureBlocks},
	{ReasonSlowStart, func(s *Scheduler, c candidate) bool { return !s.slowStartAllows(c.node, c.profile.units) }},
}

// requestRules judge one request. They are for WaitReason: dispatch applies the same two conditions
// where it has the requests at hand, in firstEligible and lowestStartTag. A new rule of single
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

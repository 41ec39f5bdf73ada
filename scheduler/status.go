package scheduler

import (
	"time"

	"maddergap/internal/waitqueue"
)

// NodeStatus is the scheduler's view of a node, for logs and metrics.
type NodeStatus struct {
	Node  string
	State NodeState
	// InFlight is the number of attempts without an outcome. InWindow is the number of those that
	// count against the window; attempts from before the circuit breaker opened do not.
	InFlight int
	InWindow int
	// Queued is the number of requests that wait for the node. WaitReason is why the one that expires
	// first is not sent. It is ReasonAllowed if none waits, or if others are sent first.
	Queued     int
	WaitReason Reason
	// Window is the maximum number of requests in flight; below 1, sends are paced.
	Window float64
	// ExpectedLatency is the estimated latency of a response.
	ExpectedLatency time.Duration
	// Pressure is the estimated time spent waiting at the node as a fraction of the latency objectives,
	// 0 to 1.
	Pressure    float64
	BreakerOpen bool
	WarmingUp   bool
}

// Status returns the status of each known node, in the order in which they joined.
func (s *Scheduler) Status() []NodeStatus {
	inFlight := map[*node]int{}
	for _, a := range s.attempts {
		inFlight[a.node]++
	}
	var all []NodeStatus
	for _, n := range s.members.nodes {
		all = append(all, NodeStatus{
			Node:            n.Node,
			State:           n.State,
			InFlight:        inFlight[n],
			InWindow:        len(n.inFlight),
			Queued:          n.queue.Len(),
			WaitReason:      s.waitReasonAt(n),
			Window:          n.window,
			ExpectedLatency: time.Duration(n.latency * float64(time.Second)),
			Pressure:        n.pressure,
			BreakerOpen:     n.breaker.open,
			WarmingUp:       s.isWarmingUp(n),
		})
	}
	return all
}

// waitReasonAt returns why the request that expires first at a node is not sent.
func (s *Scheduler) waitReasonAt(n *node) Reason {
	r, ok := n.queue.FirstToExpire()
	if !ok {
		return ReasonAllowed
	}
	return s.WaitReason(r.ID)
}

// WaitReason returns why a request is not sent now. It returns ReasonAllowed if other requests at its
// node are sent first, or if the request does not wait. It may be called between events, and has no
// influence on decisions.
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
		return ReasonDeduplication // permanently at this node, see firstEligible
	}
	defer s.saveRuleState(r)()
	return s.sendBlockedBy(r)
}

// ExpiryReason returns the wait reason of a request that the last call of Handle rejected or failed.
// It returns ReasonAllowed if nothing kept the request from being sent: other requests were sent
// first, or its last attempt failed and no further one was allowed.
func (s *Scheduler) ExpiryReason(id uint64) Reason { return s.expiryReasons[id] }

// sendBlockedBy returns the reason of the first send rule that blocks a ready request, ReasonAllowed
// if none does.
func (s *Scheduler) sendBlockedBy(r *request) Reason {
	n := r.node
	p := r.currentProfile()
	expectedResponseAt := s.now + s.expectedLatency(n, r.Units)
	c := candidate{node: n, profile: &p, request: r, missesObjective: r.LatencyDeadline < expectedResponseAt}
	if reason := s.blockedBy(nodeRules, c); reason != ReasonAllowed {
		return reason
	}
	if reason := s.blockedBy(profileRules, c); reason != ReasonAllowed {
		return reason
	}
	if r.Deadline < expectedResponseAt && !s.isIdleTrialDue(n) {
		return ReasonTooLate
	}
	return s.blockedBy(requestRules, c)
}

// saveRuleState returns a function that undoes the changes that evaluating the send rules makes.
// Filling a bucket in two steps rounds twice, so decisions would otherwise depend on whether
// WaitReason was called in between.
func (s *Scheduler) saveRuleState(r *request) (restore func()) {
	n, v := r.node, r.volume
	slowStart, limit, usage := n.slowStart, v.limit, s.retryUsage
	return func() { n.slowStart, v.limit, s.retryUsage = slowStart, limit, usage }
}

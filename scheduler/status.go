package scheduler

import "time"

// NodeStatus is what the scheduler holds of a node, for those who watch it; nothing is decided
// by it.
type NodeStatus struct {
	Node     string
	State    NodeState
	InFlight int // attempts without an outcome, those written off included
	InWindow int // of these, those that take a place in the window
	Queued   int // requests that wait for it
	// WaitReason is why the one of them that expires first is not sent; ReasonAllowed where others go
	// before it, or none waits.
	WaitReason      Reason
	Window          float64
	ExpectedLatency time.Duration // how long an answer is held to take
	Pressure        float64
	BreakerOpen     bool // the breaker
	WarmingUp       bool
}

// Status tells what is held of each node of the list.
func (s *Scheduler) Status() []NodeStatus {
	out := map[*node]int{}
	for _, a := range s.attempts {
		out[a.node]++
	}
	var all []NodeStatus
	for _, n := range s.members.nodes {
		all = append(all, NodeStatus{
			Node:            n.Node,
			State:           n.State,
			InFlight:        out[n],
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

// waitReasonAt is why the request that expires first at a node is not sent.
func (s *Scheduler) waitReasonAt(n *node) Reason {
	r, ok := n.queue.FirstToExpire()
	if !ok {
		return ReasonAllowed
	}
	return s.WaitReason(r.ID)
}

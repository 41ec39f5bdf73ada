package scheduler

import "time"

// NodeStatus is what the scheduler holds of a node, for those who watch it; nothing is decided
// by it.
type NodeStatus struct {
	Node    string
	State   NodeState
	Out     int // attempts without an outcome, those written off included
	Counted int // of these, those that take a place in the window
	Held    int // requests that wait for it
	// Refusal is why the one of them that expires first is not sent; Allowed where others go
	// before it, or none waits.
	Refusal  Reason
	Window   float64
	Answer   time.Duration // how long an answer is held to take
	Pressure float64
	Open     bool // the breaker
	Cold     bool
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
			Node:     n.Node,
			State:    n.State,
			Out:      out[n],
			Counted:  len(n.inFlight),
			Held:     n.queue.Len(),
			Refusal:  s.refusalAt(n),
			Window:   n.window,
			Answer:   time.Duration(n.latency * float64(time.Second)),
			Pressure: n.pressure,
			Open:     n.breaker.open,
			Cold:     s.isCold(n),
		})
	}
	return all
}

// refusalAt is why the request that expires first at a node is not sent.
func (s *Scheduler) refusalAt(n *node) Reason {
	r, ok := n.queue.FirstToExpire()
	if !ok {
		return Allowed
	}
	return s.WaitReason(r.ID)
}

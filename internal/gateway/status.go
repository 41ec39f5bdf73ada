package gateway

import "maddergap/scheduler"

// NodeConnections is what crosses the sockets to a node now.
type NodeConnections struct {
	Active int // attempts on connections, dialling ones included
	Unsent int // of these, not yet written whole
	Idle   int // connections kept
}

// NodeStatus is one node: what the scheduler holds of it, and what is on its sockets.
type NodeStatus struct {
	scheduler.NodeStatus
	NodeConnections
}

// statusReporter is a core that tells what it holds.
type statusReporter interface{ Status() []scheduler.NodeStatus }

// Status compares what the scheduler holds of load and health with the sockets, node by node.
// A node of the sockets that the scheduler has forgotten is told with its name alone.
func (g *Gateway) Status() []NodeStatus {
	on := map[string]NodeConnections{}
	for _, c := range g.conns.slots {
		if c == nil || c.node == nil {
			continue
		}
		s := on[c.node.name]
		if c.attempt == nil {
			s.Idle++
		} else if s.Active++; !c.connected || !c.attempt.requestWritten() {
			s.Unsent++
		}
		on[c.node.name] = s
	}
	var all []NodeStatus
	if v, ok := g.scheduler.(statusReporter); ok {
		for _, n := range v.Status() {
			all = append(all, NodeStatus{n, on[n.Node]})
			delete(on, n.Node)
		}
	}
	for name, s := range on {
		if s.Active > 0 {
			all = append(all, NodeStatus{scheduler.NodeStatus{Node: name}, s})
		}
	}
	return all
}

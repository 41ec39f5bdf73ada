package gateway

import "maddergap/scheduler"

// Sockets is what crosses the sockets to a node now.
type Sockets struct {
	Active int // attempts on connections, dialling ones included
	Unsent int // of these, not yet written whole
	Idle   int // connections kept
}

// NodeStatus is one node: what the scheduler holds of it, and what is on its sockets.
type NodeStatus struct {
	scheduler.NodeStatus
	Sockets
}

// statusTeller is a core that tells what it holds.
type statusTeller interface{ Status() []scheduler.NodeStatus }

// Status compares what the scheduler holds of load and health with the sockets, node by node.
// A node of the sockets that the scheduler has forgotten is told with its name alone.
func (h *Gateway) Status() []NodeStatus {
	on := map[string]Sockets{}
	for _, c := range h.conns.slots {
		if c == nil || c.node == nil {
			continue
		}
		s := on[c.node.name]
		if c.at == nil {
			s.Idle++
		} else if s.Active++; !c.connected || !c.at.out() {
			s.Unsent++
		}
		on[c.node.name] = s
	}
	var all []NodeStatus
	if v, ok := h.scheduler.(statusTeller); ok {
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

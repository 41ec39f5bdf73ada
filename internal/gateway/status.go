package gateway

import "maddergap/scheduler"

// NodeConnections counts the open connections to a node.
type NodeConnections struct {
	Active int // connections with an attempt, including those being dialed
	Unsent int // active connections whose request was not completely written
	Idle   int // connections without an attempt
}

// NodeStatus is the scheduler's status of a node, and the number of connections to it.
type NodeStatus struct {
	scheduler.NodeStatus
	NodeConnections
}

// statusReporter is a Scheduler that reports the status of its nodes.
type statusReporter interface{ Status() []scheduler.NodeStatus }

// Status returns the status of each node that the scheduler knows. Nodes that the scheduler
// has forgotten and that still have an attempt follow, with their name and connections only.
func (g *Gateway) Status() []NodeStatus {
	connections := g.nodeConnections()
	var all []NodeStatus
	if reporter, ok := g.scheduler.impl.(statusReporter); ok {
		for _, status := range reporter.Status() {
			all = append(all, NodeStatus{status, connections[status.Node]})
			delete(connections, status.Node)
		}
	}
	for name, counts := range connections {
		if counts.Active > 0 {
			all = append(all, NodeStatus{scheduler.NodeStatus{Node: name}, counts})
		}
	}
	return all
}

// nodeConnections counts the connections to nodes, by the node's name.
func (g *Gateway) nodeConnections() map[string]NodeConnections {
	connections := map[string]NodeConnections{}
	for _, conn := range g.conns.slots {
		c, ok := conn.(*nodeConn)
		if !ok {
			continue
		}
		counts := connections[c.node.name]
		if c.attempt == nil {
			counts.Idle++
		} else if counts.Active++; c.state == nodeDialing || !c.attempt.requestWritten() {
			counts.Unsent++
		}
		connections[c.node.name] = counts
	}
	return connections
}

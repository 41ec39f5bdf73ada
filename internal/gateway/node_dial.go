package gateway

import "maddergap/scheduler"

// Dials of connections to nodes: their start, their success and the outcome of their failure.

// dialNode opens a connection to a node for an attempt.
func (g *Gateway) dialNode(n *node, attempt *nodeAttempt) {
	c := &nodeConn{node: n, addr: n.addr, incarnation: n.started, attempt: attempt}
	g.openConn(c)
	attempt.conn = c
	g.nodes.connOpened(n)
	g.counts.NodeConnsOpened++
	g.actions.dial(c.id, n.addr)
	g.setDeadline(c, min(g.clock.now+g.config.Timeouts.Dial, attempt.identity.deadline))
}

// handleNodeConnected is called when a connection is established.
func (g *Gateway) handleNodeConnected(c *nodeConn) {
	if c.state != nodeDialing {
		return
	}
	g.nodes.lastConnected = g.clock.now
	if c.attempt == nil {
		g.makeIdle(c)
		return
	}
	g.sendAttempt(c)
}

// dialFailureOutcome returns the outcome of an attempt whose connection was not
// established. The failure counts against the node, unless dialing was delayed by a local
// error. After a local error it counts too if a connection to any node was established since
// the attempt began: the network works, and there may be no route to this node. A dial that
// times out because descriptors, memory or ports have run out never counts: other connections
// may have taken the last of them.
func (g *Gateway) dialFailureOutcome(c *nodeConn, attempt *nodeAttempt) scheduler.Outcome {
	if c.dialShortOfResources || c.dialStalled && g.nodes.lastConnected <= attempt.startedAt {
		return scheduler.NotSent
	}
	return scheduler.ConnectFailed
}

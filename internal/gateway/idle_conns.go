package gateway

import (
	"container/list"
	"slices"
)

// The idle connections to nodes: the lists of them, and the limits that close some of them.
// conn_reuse.go decides which of them is used next.

// canAddConn reports whether a connection to a node can be opened without closing another.
func (g *Gateway) canAddConn(n *node) bool {
	return n.conns < g.config.Limits.ConnsPerNode && g.belowNodeConnLimit()
}

// closeIdleConn closes an idle connection.
func (g *Gateway) closeIdleConn(c *nodeConn) {
	g.nodes.removeIdle(c)
	g.closeConn(c, Close)
}

// belowNodeConnLimit reports whether the number of connections to all nodes is below its
// limit. A limit of 0 means no limit.
func (g *Gateway) belowNodeConnLimit() bool {
	limit := g.config.Limits.NodeConns
	return limit == 0 || g.nodes.conns < limit
}

// ensureNodeConnCapacity reports whether another connection to any node can be opened. At the
// limit, it first closes the connection that has been idle longest, and returns false if there
// is no idle connection.
func (g *Gateway) ensureNodeConnCapacity() bool {
	if g.belowNodeConnLimit() {
		return true
	}
	oldest := g.nodes.idleByAge.oldest()
	if oldest == nil {
		return false
	}
	g.closeIdleConn(oldest)
	return true
}

// makeIdle keeps a connection open for the next request. It closes the connection instead if
// the node has left the endpoint list, or has moved or restarted since the dial.
func (g *Gateway) makeIdle(c *nodeConn) {
	if !c.node.listed || c.closed || !c.isCurrent() {
		g.closeConn(c, Close)
		return
	}
	g.resumeReading(c)
	c.state = nodeIdle
	g.nodes.addIdle(c)
	g.setDeadline(c, g.clock.now+g.config.Timeouts.NodeIdle)
}

// addIdle adds a connection to both lists of idle connections: its node's idleConns, and
// idleByAge of the table. Both lists always contain the same connections.
func (t *nodeTable) addIdle(c *nodeConn) {
	c.node.idleConns = append(c.node.idleConns, c)
	t.idleByAge.add(c)
}

// removeIdle removes a connection from both lists of idle connections, if it is in them.
func (t *nodeTable) removeIdle(c *nodeConn) {
	t.idleByAge.remove(c)
	if i := slices.Index(c.node.idleConns, c); i >= 0 {
		c.node.idleConns = append(c.node.idleConns[:i], c.node.idleConns[i+1:]...)
	}
}

// idleList holds the idle connections of all nodes in the order in which they became idle, so
// that the oldest is found in constant time.
type idleList struct{ conns list.List }

func (l *idleList) add(c *nodeConn) { c.idleElement = l.conns.PushBack(c) }

func (l *idleList) remove(c *nodeConn) {
	if c.idleElement != nil {
		l.conns.Remove(c.idleElement)
		c.idleElement = nil
	}
}

// oldest returns the connection that has been idle longest, or nil if there is none.
func (l *idleList) oldest() *nodeConn {
	if e := l.conns.Front(); e != nil {
		return e.Value.(*nodeConn)
	}
	return nil
}

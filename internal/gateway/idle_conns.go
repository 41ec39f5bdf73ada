package gateway

import (
	"container/list"
	"slices"
	"time"
)

// reuseDelay is how long a connection is left unused after a response before the next request is
// sent on it. HTTP/1.1 responses do not name their request. If a node sends a second response some
// milliseconds after the first, a connection that already carries the next request would deliver
// it to the wrong client. On an idle connection it is recognized as unsolicited, and the
// connection is closed. 20 ms is several times that delay.
const reuseDelay = 20 * time.Millisecond

// reusableIdleConn returns the idle connection to a node on which the next request is sent: the
// most recently used of those that may be reused, so that surplus connections reach their idle
// timeout. If there is none it returns nil; see shouldAwaitIdleConn.
func (n *node) reusableIdleConn(now Time) *nodeConn {
	for _, c := range slices.Backward(n.idleConns) {
		if c.isReusable(now) {
			return c
		}
	}
	return nil
}

// isReusable reports whether the connection had no response yet, or reuseDelay has passed since
// the last one.
func (c *nodeConn) isReusable(now Time) bool {
	return c.respondedAt == 0 || now-c.respondedAt >= reuseDelay
}

// shouldAwaitIdleConn decides for a request, if none of its node's idle connections can be reused
// yet, whether it waits for one of them or gets a new connection. A new connection is dear to the
// node, so that a few requests wait. If requests follow each other more often, new connections are
// opened, until there are enough for each to be idle for reuseDelay.
func (g *Gateway) shouldAwaitIdleConn(n *node) bool {
	if len(n.idleConns) == 0 {
		return false
	}
	return !g.canAddConn(n) || n.reuseWaits.allow(g.clock.now)
}

// reuseWaitLimit limits how many requests wait for an idle connection of a node.
type reuseWaitLimit struct {
	since Time // begin of the present interval
	count int  // number of requests that have waited since then
}

const (
	reuseWaitInterval        = time.Second
	reuseWaitsInEachInterval = 2
)

// allow counts a request and reports whether it may wait.
func (l *reuseWaitLimit) allow(now Time) bool {
	if now-l.since >= reuseWaitInterval {
		*l = reuseWaitLimit{since: now}
	}
	l.count++
	return l.count <= reuseWaitsInEachInterval
}

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

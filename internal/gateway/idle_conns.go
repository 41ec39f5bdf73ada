package gateway

import (
	"container/list"
	"slices"
	"time"

	"maddergap/scheduler"
)

// reuseDelay is how long a connection is left idle before it is reused, if another one can be
// used instead. It guards against nodes that send a second response to a request some
// milliseconds after the first. On a reused connection, that would be taken for the response to
// the next request; on an idle connection it is recognized as unsolicited. 20 ms is several
// times that delay, and short compared with Timeouts.NodeIdle, so that connections are still
// reused.
const reuseDelay = 20 * time.Millisecond

// selectIdleConn returns the idle connection to a node on which a request is sent, or nil if
// the request needs a new connection. It selects the most recently used of the connections
// that have been idle for reuseDelay, so that surplus connections reach their idle timeout. If
// there is none, it selects the connection that has been idle longest. A connection that is
// still open after reuseDelay also proves that the node keeps connections open, which is
// recorded here.
//
// Until that is known of the node, a non-idempotent request gets a new connection, if one can
// be added, instead of a connection that has been idle for less than reuseDelay. This guards
// against nodes that close a connection right after a response: the next request on it would
// fail with a reset, and it would be unknown whether the request was executed.
func (g *Gateway) selectIdleConn(req *request, n *node) *nodeConn {
	if n == nil || len(n.idleConns) == 0 {
		return nil
	}
	if c := n.reusableIdleConn(g.clock.now); c != nil {
		n.keepsConnsOpen = true
		return c
	}
	if !n.keepsConnsOpen && g.class(req).Effect == scheduler.NonIdempotent && g.canAddConn(n) {
		return nil
	}
	return n.idleConns[0]
}

// reusableIdleConn returns the most recently used of the connections that have been idle for
// reuseDelay, or nil if there is none.
func (n *node) reusableIdleConn(now Time) *nodeConn {
	for _, c := range slices.Backward(n.idleConns) {
		if now-c.idleSince >= reuseDelay {
			return c
		}
	}
	return nil
}

// recordEarlyClose is called when a connection to a node is lost. If that was less than
// reuseDelay after the connection was last made idle, the node has closed it right after a
// response, and is no longer assumed to keep connections open. As idleSince stays set when the
// connection is reused, this includes a connection that is already carrying its next attempt.
func (g *Gateway) recordEarlyClose(c *nodeConn) {
	if c.idleSince > 0 && g.clock.now-c.idleSince < reuseDelay {
		c.node.keepsConnsOpen = false
	}
}

// canAddConn reports whether a connection to a node can be opened without closing another.
func (g *Gateway) canAddConn(n *node) bool {
	return n.conns < g.config.Limits.ConnsPerNode && g.belowNodeConnLimit()
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
	g.nodes.removeIdle(oldest)
	g.closeConn(oldest, Close)
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
	g.nodes.addIdle(g.clock.now, c)
	g.setDeadline(c, g.clock.now+g.config.Timeouts.NodeIdle)
}

// addIdle adds a connection to both lists of idle connections: its node's idleConns, and
// idleByAge of the table. Both lists always contain the same connections.
func (t *nodeTable) addIdle(now Time, c *nodeConn) {
	c.idleSince = now
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

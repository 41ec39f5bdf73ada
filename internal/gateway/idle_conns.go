package gateway

import (
	"container/list"
	"slices"
	"time"

	"maddergap/scheduler"
)

// reuseDelay is how long a connection is left idle before it is reused, as long as another
// one can be used. It guards against nodes that respond twice, the second time some
// milliseconds later: the second response would be taken for that of the next request. On
// an idle connection it is recognized as unsolicited. 20 ms is several times those
// milliseconds, and little beside Timeouts.NodeIdle, so that connections are still reused.
const reuseDelay = 20 * time.Millisecond

// selectIdleConn returns the idle connection to a node that a request is sent on, or nil if
// it needs a new one. Of the connections that were idle for reuseDelay it is the one used
// last, so that those not needed reach their idle timeout; if there is none, it is the one
// that was idle longest. To find one that was idle for reuseDelay also shows that the node
// keeps connections open, which is noted here.
//
// A non-idempotent request gets a new connection rather than one that was not idle for
// reuseDelay, until the node is known to keep connections open. That guards against a
// node that closes a connection right behind a response: the next request meets the
// reset, and it is unknown whether it was executed.
func (g *Gateway) selectIdleConn(req *request, n *node) *nodeConn {
	if n == nil || len(n.idleConns) == 0 {
		return nil
	}
	if c := n.longIdleConn(g.clock.now); c != nil {
		n.keepsConnsOpen = true
		return c
	}
	if !n.keepsConnsOpen && g.class(req).Effect == scheduler.NonIdempotent && g.canAddConn(n) {
		return nil
	}
	return n.idleConns[0]
}

// longIdleConn returns the connection used last of those that were idle for reuseDelay, or
// nil if there is none.
func (n *node) longIdleConn(now Time) *nodeConn {
	for _, c := range slices.Backward(n.idleConns) {
		if now-c.idleSince >= reuseDelay {
			return c
		}
	}
	return nil
}

// noteEarlyClose notes that a node may not keep connections open, if it has closed this one
// less than reuseDelay after it was last made idle. The node has closed it right behind a
// response then. As idleSince stays set when the connection is reused, a connection that is
// lost within reuseDelay with its next attempt on it counts too.
func (g *Gateway) noteEarlyClose(c *nodeConn) {
	if c.idleSince > 0 && g.clock.now-c.idleSince < reuseDelay {
		c.node.keepsConnsOpen = false
	}
}

// canAddConn reports whether a connection to a node may be added without closing another.
func (g *Gateway) canAddConn(n *node) bool {
	return n.conns < g.config.Limits.ConnsPerNode && g.belowNodeConnLimit()
}

// belowNodeConnLimit reports whether one more connection fits into the limit over all
// nodes; a limit of 0 is none.
func (g *Gateway) belowNodeConnLimit() bool {
	limit := g.config.Limits.NodeConns
	return limit == 0 || g.nodes.conns < limit
}

// makeRoomForNodeConn reports whether one more connection to any node may be opened. At the
// limit the connection that was idle longest is closed for it.
func (g *Gateway) makeRoomForNodeConn() bool {
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

// makeIdle keeps a connection for the next request. It is closed instead if its node has
// left the list, moved or restarted while a request was under way.
func (g *Gateway) makeIdle(c *nodeConn) {
	if !c.node.listed || c.closed || !c.current() {
		g.closeConn(c, Close)
		return
	}
	g.resumeReading(c)
	c.state = nodeIdle
	g.nodes.addIdle(g.clock.now, c)
	g.setDeadline(c, g.clock.now+g.config.Timeouts.NodeIdle)
}

// addIdle adds a connection to both lists of idle connections: its node's idleConns, and
// idleByAge of the table. makeIdle and removeIdle keep the two in step.
func (t *nodeTable) addIdle(now Time, c *nodeConn) {
	c.idleSince = now
	c.node.idleConns = append(c.node.idleConns, c)
	t.idleByAge.add(c)
}

// removeIdle takes a connection out of both lists of idle connections, if it is in them.
func (t *nodeTable) removeIdle(c *nodeConn) {
	t.idleByAge.remove(c)
	if i := slices.Index(c.node.idleConns, c); i >= 0 {
		c.node.idleConns = append(c.node.idleConns[:i], c.node.idleConns[i+1:]...)
	}
}

// idleList has the idle connections of all nodes in the order in which they became idle,
// so that the oldest is found at once, however many nodes there are.
type idleList struct{ conns list.List }

func (l *idleList) add(c *nodeConn) { c.idleElement = l.conns.PushBack(c) }

func (l *idleList) remove(c *nodeConn) {
	if c.idleElement != nil {
		l.conns.Remove(c.idleElement)
		c.idleElement = nil
	}
}

// oldest returns the connection that was idle longest, or nil if there is none.
func (l *idleList) oldest() *nodeConn {
	if e := l.conns.Front(); e != nil {
		return e.Value.(*nodeConn)
	}
	return nil
}

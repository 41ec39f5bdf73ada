package gateway

import (
	"container/list"
	"slices"
	"time"

	"maddergap/scheduler"
)

// reuseDelay is how long a kept connection rests before it is used again, if another can be.
// Guards against nodes that answer twice, the second time some milliseconds late: such an
// answer would be taken for that of the next request.
const reuseDelay = 20 * time.Millisecond

// reusableConn returns the kept connection that a request goes out on, nil where there is none for
// it: of those that have rested the last used, so that what is not needed ages, or the one that
// has rested longest. Where the node is not known to keep connections open, a request that must
// not run twice gets a new one before one that has not rested. Guards against a node that closes
// a connection right behind an answer: nobody can tell whether a request that met the reset has
// run.
func (g *Gateway) reusableConn(req *request, n *node) *conn {
	if n == nil || len(n.idle) == 0 {
		return nil
	}
	for _, c := range slices.Backward(n.idle) {
		if g.clock.now-c.idleSince >= reuseDelay {
			n.keepsConnsOpen = true
			return c
		}
	}
	if !n.keepsConnsOpen && g.class(req).Effect == scheduler.NonIdempotent && g.canAddConn(n) {
		return nil
	}
	return n.idle[0]
}

// noteClosedByNode notes that a node ended a connection: behind an answer, if it had not rested.
func (g *Gateway) noteClosedByNode(c *conn) {
	if c.idleSince > 0 && g.clock.now-c.idleSince < reuseDelay {
		c.node.keepsConnsOpen = false
	}
}

// canAddConn tells whether a connection to a node may be added without closing another.
func (g *Gateway) canAddConn(n *node) bool {
	return n.conns < g.config.Limits.ConnsPerNode && (g.config.Limits.NodeConns == 0 || g.nodes.conns < g.config.Limits.NodeConns)
}

// makeRoomForNodeConn tells whether one more connection to a node may be opened, after the
// one that was kept longest was closed for it where need be.
func (g *Gateway) makeRoomForNodeConn() bool {
	if g.config.Limits.NodeConns == 0 || g.nodes.conns < g.config.Limits.NodeConns {
		return true
	}
	oldest := g.nodes.idle.oldest()
	if oldest == nil {
		return false
	}
	g.unpark(oldest)
	g.drop(oldest, Close)
	return true
}

// park keeps a connection for the next request, unless it leads to where its node was
// before, or to a life of it that is over: a request was under way when that changed.
func (g *Gateway) park(c *conn) {
	if n := c.node; !n.listed || c.closed || c.addr != n.addr || c.incarnation != n.started {
		g.drop(c, Close)
		return
	}
	g.resume(c)
	c.idleSince = g.clock.now
	c.node.idle = append(c.node.idle, c)
	g.nodes.idle.add(c)
	g.setDeadline(c, g.clock.now+g.config.Timeouts.NodeIdle)
}

func (g *Gateway) unpark(c *conn) {
	g.nodes.idle.remove(c)
	idle := c.node.idle
	for i, o := range idle {
		if o == c {
			c.node.idle = append(idle[:i], idle[i+1:]...)
			return
		}
	}
}

// idleList has the kept connections of all nodes in the order in which they were kept, so
// that the oldest is found at once, however many nodes there are.
type idleList struct{ conns list.List }

func (l *idleList) add(c *conn) { c.idleElement = l.conns.PushBack(c) }

func (l *idleList) remove(c *conn) {
	if c.idleElement != nil {
		l.conns.Remove(c.idleElement)
		c.idleElement = nil
	}
}

// oldest is the connection that was kept first, nil: there is none.
func (l *idleList) oldest() *conn {
	if e := l.conns.Front(); e != nil {
		return e.Value.(*conn)
	}
	return nil
}

package gateway

import (
	"container/list"
	"slices"
	"time"

	"maddergap/scheduler"
)

// restTime is how long a kept connection rests before it is used again, if another can be.
// Guards against nodes that answer twice, the second time some milliseconds late: such an
// answer would be taken for that of the next request.
const restTime = 20 * time.Millisecond

// keptFor returns the kept connection that a request goes out on, nil where there is none for
// it: of those that have rested the last used, so that what is not needed ages, or the one that
// has rested longest. Where the node is not known to keep connections open, a request that must
// not run twice gets a new one before one that has not rested. Guards against a node that closes
// a connection right behind an answer: nobody can tell whether a request that met the reset has
// run.
func (h *Gateway) keptFor(ex *exchange, n *node) *conn {
	if n == nil || len(n.idle) == 0 {
		return nil
	}
	for _, c := range slices.Backward(n.idle) {
		if h.clock.now-c.parked >= restTime {
			n.keepsOpen = true
			return c
		}
	}
	if !n.keepsOpen && h.classOf(ex).Effect == scheduler.NonIdempotent && h.spareFor(n) {
		return nil
	}
	return n.idle[0]
}

// closedByNode notes that a node ended a connection: behind an answer, if it had not rested.
func (h *Gateway) closedByNode(c *conn) {
	if c.parked > 0 && h.clock.now-c.parked < restTime {
		c.node.keepsOpen = false
	}
}

// spareFor tells whether a connection to a node may be added without closing another.
func (h *Gateway) spareFor(n *node) bool {
	return n.conns < h.config.Limits.ConnsPerNode && (h.config.Limits.NodeConns == 0 || h.nodes.conns < h.config.Limits.NodeConns)
}

// roomForNode tells whether one more connection to a node may be opened, after the
// one that was kept longest was closed for it where need be.
func (h *Gateway) roomForNode() bool {
	if h.config.Limits.NodeConns == 0 || h.nodes.conns < h.config.Limits.NodeConns {
		return true
	}
	oldest := h.nodes.idle.oldest()
	if oldest == nil {
		return false
	}
	h.unpark(oldest)
	h.drop(oldest, Close)
	return true
}

// park keeps a connection for the next request, unless it leads to where its node was
// before, or to a life of it that is over: a request was under way when that changed.
func (h *Gateway) park(c *conn) {
	if n := c.node; !n.listed || c.gone || c.addr != n.addr || c.started != n.started {
		h.drop(c, Close)
		return
	}
	h.resume(c)
	c.parked = h.clock.now
	c.node.idle = append(c.node.idle, c)
	h.nodes.idle.add(c)
	h.setDeadline(c, h.clock.now+h.config.Timeouts.NodeIdle)
}

func (h *Gateway) unpark(c *conn) {
	h.nodes.idle.remove(c)
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

func (l *idleList) add(c *conn) { c.idle = l.conns.PushBack(c) }

func (l *idleList) remove(c *conn) {
	if c.idle != nil {
		l.conns.Remove(c.idle)
		c.idle = nil
	}
}

// oldest is the connection that was kept first, nil: there is none.
func (l *idleList) oldest() *conn {
	if e := l.conns.Front(); e != nil {
		return e.Value.(*conn)
	}
	return nil
}

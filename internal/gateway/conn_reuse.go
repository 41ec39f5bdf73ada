package gateway

import (
	"sort"
	"time"
)

// reuseDelay is how long a connection is left unused after a response before the next request is
// sent on it. HTTP/1.1 responses do not name their request. If a node sends a second response some
// milliseconds after the first, a connection that already carries the next request would deliver
// it to the wrong client. On an idle connection it is recognized as unsolicited, and the
// connection is closed. 20 ms is several times that delay.
const reuseDelay = 20 * time.Millisecond

// reusableIdleConn returns the most recently used of a node's idle connections that may be reused, so
// that surplus connections reach their idle timeout. It returns nil if there is none. The node has
// idle connections.
//
// Connections become idle as their responses arrive, so that the reusable ones come first in
// idleConns. Only a connection without a response yet may follow others that cannot be reused; it is
// found if it is the last.
func (n *node) reusableIdleConn(now Time) *nodeConn {
	count := len(n.idleConns)
	if last := n.idleConns[count-1]; last.isReusable(now) {
		return last
	}
	reusable := sort.Search(count, func(i int) bool { return !n.idleConns[i].isReusable(now) })
	if reusable == 0 {
		return nil
	}
	return n.idleConns[reusable-1]
}

// isReusable reports whether the connection had no response yet, or reuseDelay has passed since
// the last one.
func (c *nodeConn) isReusable(now Time) bool {
	return c.respondedAt == 0 || now-c.respondedAt >= reuseDelay
}

// selectIdleConn returns the idle connection to a node that an attempt uses, or nil if it needs a new
// one. If none can be reused yet, the attempt waits for one or needs a new one. A new connection is
// dear to the node, so that a few attempts wait. If requests follow each other more often, new
// connections are opened, until there are enough for each to be idle for reuseDelay.
func (g *Gateway) selectIdleConn(n *node) *nodeConn {
	if len(n.idleConns) == 0 {
		return nil
	}
	if c := n.reusableIdleConn(g.clock.now); c != nil {
		return c
	}
	if !g.canAddConn(n) || n.reuseWaits.allow(g.clock.now) {
		return n.idleConns[0]
	}
	return nil
}

// reuseWaitLimit limits how many requests wait for an idle connection of a node.
type reuseWaitLimit struct {
	since Time // begin of the present interval
	count int  // number of requests that have waited since then
}

const (
	reuseWaitInterval        = time.Second
	maxReuseWaitsPerInterval = 2
)

// allow counts a request and reports whether it may wait.
func (l *reuseWaitLimit) allow(now Time) bool {
	if now-l.since >= reuseWaitInterval {
		*l = reuseWaitLimit{since: now}
	}
	l.count++
	return l.count <= maxReuseWaitsPerInterval
}

// useIdleConn sends an attempt on an idle connection, as soon as the connection can be reused.
func (g *Gateway) useIdleConn(c *nodeConn, attempt *nodeAttempt) {
	g.nodes.removeIdle(c)
	c.attempt = attempt
	attempt.conn = c
	if c.isReusable(g.clock.now) {
		g.sendAttempt(c)
		return
	}
	c.state = nodeCooldown
	g.setDeadline(c, c.respondedAt+reuseDelay)
}

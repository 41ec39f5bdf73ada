package gateway

import (
	"container/list"
	"net/netip"
	"time"

	"maddergap/internal/http1"
	"maddergap/scheduler"
)

// conn is a connection of either kind.
type conn struct {
	id            ConnID
	remote        netip.AddrPort
	unread        []byte // told, and not yet used
	headerScanned int    // bytes of in that hold no end of a header
	out           []byte // to be written
	written       int    // bytes of out that are
	paused        bool
	flushPending  bool // a Flush was asked for
	closed        bool
	timer         connTimer
	ready         bool // stands among Gateway.readyClients

	clientSide
	nodeSide
	feedSide
}

// clientSide is what a connection of a client has beside.
type clientSide struct {
	req                  *request // the request under way
	admitted             bool
	closing              bool     // after what is to be written
	discard              bool     // what it still sends is of no use
	overrun              bool     // it sent more ahead than is kept
	eof                  bool     // it sends no more
	mayHaveUnreadRequest bool     // a read of it failed, and may have left a request behind
	left                 bool     // it has gone
	shut                 bool     // nor does the head
	headerStartedAt      Time     // when the first byte of a header came, 0: none
	owed                 bool     // admission is to be told of its request's end, once the answer went out
	good                 bool     // it was served
	requestCount         int      // that it had
	acceptDelay          Time     // for which it may have waited to be accepted
	upload               progress // of what it sends
	download             progress // of what it takes
	accountedBytes       int      // bytes booked on Gateway.heldBytes
}

// nodeSide is what a connection to a node has beside.
type nodeSide struct {
	node             *node
	addr             string // where it leads, and to which life of the node
	incarnation      Time
	attempt          *nodeAttempt // under way
	connected        bool
	dialStalled      bool          // it could not be begun for a failure of the head's own machine
	used             bool          // it carried a request before
	idleSince        Time          // when it was kept last
	idleElement      *list.Element // among Gateway.kept, nil: it is not kept
	response         http1.Response
	responseBody     http1.BodyDecoder
	inBody           bool
	interimResponses int // 1xx answers that came
}

// feedSide is what a connection to whoever tells the node list has beside.
type feedSide struct {
	feed     bool // a connection to whoever tells the node list
	feedConn int  // as the feed numbers it
}

// progress is how a body or an answer moves.
type progress struct {
	since Time
	bytes int64
}

// deadline is when a mover is given up that keeps less than a rate, after a grace; stall
// is for how long it may stand still. Guards against peers that move a byte now and
// then, which no time-out between bytes ends.
func (p *progress) deadline(now Time, stall, grace time.Duration, rate int64) Time {
	if rate <= 0 {
		return now + stall
	}
	return min(now+stall, p.since+grace+Time(float64(p.bytes)/float64(rate)*float64(time.Second)))
}

// accountClientBytes books what a client connection holds.
func (g *Gateway) accountClientBytes(c *conn) {
	n := len(c.unread) + len(c.out)
	if c.req != nil {
		n += len(c.req.body.data)
		if c.req.listing != nil {
			n += c.req.listing.bytes
		}
	}
	g.buffers.clientBytes += int64(n - c.accountedBytes)
	c.accountedBytes = n
}

func (c *conn) client() bool { return c.node == nil && !c.feed }

func (c *conn) pending() []byte { return c.out[c.written:] }

func (g *Gateway) newConn() *conn {
	c := &conn{timer: stoppedTimer()}
	c.id = g.conns.add(c)
	return c
}

// setDeadline sets when the timer of a connection expires; never stops it.
func (g *Gateway) setDeadline(c *conn, deadline Time) {
	if !c.closed {
		g.timers.set(c, deadline)
	}
}

func (g *Gateway) expired(c *conn) {
	if c.node != nil {
		g.nodeExpired(c)
	} else {
		g.clientExpired(c)
	}
}

// drop ends a connection by Close or Abort.
func (g *Gateway) drop(c *conn, op Op) {
	if !c.closed {
		g.actions.add(op, c.id)
		g.forget(c, true)
	}
}

// forget takes a connection out of all tables. open: the driver has yet to close
// it, and its slot is used again only after that, or the driver would take one
// connection for the other.
func (g *Gateway) forget(c *conn, open bool) {
	if c.closed {
		return
	}
	if c.owedResponse() {
		g.invariants.RecordUnansweredClose(g.clock.now, c.req.id)
	}
	c.closed = true
	g.conns.remove(c.id, !open)
	g.timers.remove(c)
	g.buffers.put(c.unread)
	g.buffers.put(c.out)
	c.unread, c.out, c.written = nil, nil, 0
	g.buffers.clientBytes -= int64(c.accountedBytes)
	c.accountedBytes = 0
	switch {
	case c.feed:
	case c.node != nil:
		g.nodes.connClosed(c.node)
	default:
		g.clientConns--
		if c.admitted {
			g.admission.Closed(g.clock.now, uint64(c.id))
		}
	}
}

// flush asks for what is to be written to be written.
func (g *Gateway) flush(c *conn) {
	if c.client() && !c.closed {
		g.accountClientBytes(c)
	}
	if !c.flushPending && !c.closed && len(c.pending()) > 0 {
		if c.client() && c.download.since == 0 {
			c.download = progress{since: g.clock.now}
		}
		if c.client() && c.timer.deadline == never {
			g.setDeadline(c, g.downloadDeadline(c)) // to take it
		}
		c.flushPending = true
		g.actions.add(Flush, c.id)
	}
}

func (g *Gateway) pause(c *conn) {
	if !c.paused && !c.closed {
		c.paused = true
		g.actions.add(Pause, c.id)
	}
}

func (g *Gateway) resume(c *conn) {
	if c.paused && !c.closed {
		c.paused = false
		g.actions.add(Resume, c.id)
	}
}

// storeUnread stores what was not used of the bytes told: rest is the end of buf.
func (g *Gateway) storeUnread(c *conn, rest []byte) {
	switch {
	case c.closed:
	case len(rest) == 0:
		g.buffers.put(c.unread)
		c.unread = nil
	case len(c.unread) > 0: // rest is its end
		c.unread = c.unread[:copy(c.unread, rest)]
	default:
		c.unread = append(g.buffers.get(), rest...)
	}
}

// Out returns what is to be written to a connection. It is the one place where bytes are
// handed out, and where the guard is asked before the first of an attempt.
func (g *Gateway) Out(now Time, id ConnID) []byte {
	g.clock.advance(now)
	c := g.conns.find(id)
	if c == nil {
		return nil
	}
	c.flushPending = false
	if attempt := c.attempt; attempt != nil && !attempt.firstByteWritten && len(c.pending()) > 0 && !g.mayWriteFirstByte(c) {
		return nil
	}
	return c.pending()
}

// Wrote tells that n bytes of Out were written.
func (g *Gateway) Wrote(now Time, id ConnID, n int) {
	g.clock.advance(now)
	c := g.conns.find(id)
	if c == nil || n <= 0 {
		return
	}
	if c.written += n; c.written == len(c.out) {
		g.buffers.put(c.out)
		c.out, c.written = nil, 0
	} else if c.written > g.config.Limits.ConnBuffer {
		c.out = append(c.out[:0], c.out[c.written:]...)
		c.written = 0
	}
	if !c.client() {
		if c.node != nil {
			g.nodeWrote(c)
		}
		return
	}
	c.download.bytes += int64(n)
	g.accountClientBytes(c)
	g.clientWrote(c)
}

// Data tells bytes read from a connection. They are not kept after the call.
func (g *Gateway) Data(now Time, id ConnID, p []byte) {
	g.clock.advance(now)
	c := g.conns.find(id)
	if c == nil || len(p) == 0 {
		return
	}
	if c.feed {
		g.membership.source.Data(g.clock.now, c.feedConn, p)
		return
	}
	c.mayHaveUnreadRequest = false
	if len(c.unread) > 0 {
		c.unread = append(c.unread, p...)
		p = c.unread
	}
	if c.node != nil {
		g.storeUnread(c, g.nodeData(c, p))
	} else {
		g.storeUnread(c, g.clientData(c, p))
		if !c.closed {
			g.accountClientBytes(c)
		}
	}
}

// Stalled tells that a call on a connection failed for a failure of the head's own machine, and
// is made again later: that is not the other side's doing. A connection asked for with Dial is
// begun later then.
func (g *Gateway) Stalled(now Time, id ConnID) {
	g.clock.advance(now)
	c := g.conns.find(id)
	if c == nil {
		return
	}
	if c.client() {
		c.mayHaveUnreadRequest = true
		return
	}
	c.dialStalled = c.dialStalled || !c.connected
	if attempt := c.attempt; attempt != nil && !attempt.stalled {
		attempt.stalled = true
		g.events = append(g.events, scheduler.AttemptStalled{ID: attempt.req.id, Attempt: attempt.number})
	}
}

// attemptResumed tells the module that an attempt goes on.
func (g *Gateway) attemptResumed(attempt *nodeAttempt) {
	if attempt != nil && attempt.stalled {
		attempt.stalled = false
		g.events = append(g.events, scheduler.AttemptResumed{ID: attempt.req.id, Attempt: attempt.number})
	}
}

// EOF tells that the other side sends no more.
func (g *Gateway) EOF(now Time, id ConnID) {
	g.clock.advance(now)
	c := g.conns.find(id)
	switch {
	case c == nil:
	case c.feed:
		g.discoveryConnClosed(c, true)
	case c.node != nil:
		g.nodeClosed(c, true)
	default:
		g.clientEOF(c)
	}
}

// Closed tells that a connection is lost or could not be made; the driver has
// let go of it.
func (g *Gateway) Closed(now Time, id ConnID) {
	g.clock.advance(now)
	c := g.conns.find(id)
	switch {
	case c == nil:
	case c.feed:
		g.discoveryConnClosed(c, false)
	case c.node != nil:
		g.nodeClosed(c, false)
	default:
		c.left = true
		g.clientGone(c, false)
	}
}

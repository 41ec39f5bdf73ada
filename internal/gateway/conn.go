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
	id       ConnID
	remote   netip.AddrPort
	in       []byte // told, and not yet used
	scanned  int    // bytes of in that hold no end of a header
	out      []byte // to be written
	wrote    int    // bytes of out that are
	paused   bool
	flushing bool // a Flush was asked for
	gone     bool
	timer    connTimer
	ready    bool // stands among Gateway.readyClients

	clientSide
	nodeSide
	feedSide
}

// clientSide is what a connection of a client has beside.
type clientSide struct {
	ex       *exchange // the request under way
	admitted bool
	closing  bool // after what is to be written
	discard  bool // what it still sends is of no use
	overrun  bool // it sent more ahead than is kept
	eof      bool // it sends no more
	unread   bool // a read of it failed, and may have left a request behind
	left     bool // it has gone
	shut     bool // nor does the head
	reading  Time // when the first byte of a header came, 0: none
	owed     bool // admission is to be told of its request's end, once the answer went out
	good     bool // it was served
	requests int  // that it had
	waited   Time // for which it may have waited to be accepted
	body     pace // of what it sends
	answer   pace // of what it takes
	weight   int  // bytes booked on Gateway.heldBytes
}

// nodeSide is what a connection to a node has beside.
type nodeSide struct {
	node      *node
	addr      string // where it leads, and to which life of the node
	started   Time
	at        *attempt // under way
	connected bool
	postponed bool          // it could not be begun for a failure of the head's own machine
	used      bool          // it carried a request before
	parked    Time          // when it was kept last
	idle      *list.Element // among Gateway.kept, nil: it is not kept
	resp      http1.Response
	content   http1.Body
	inBody    bool
	interim   int // 1xx answers that came
}

// feedSide is what a connection to whoever tells the node list has beside.
type feedSide struct {
	feed     bool // a connection to whoever tells the node list
	feedConn int  // as the feed numbers it
}

// pace is how a body or an answer moves.
type pace struct {
	from  Time
	moved int64
}

// by is when a mover is given up that keeps less than a rate, after a grace; stall
// is for how long it may stand still. Guards against peers that move a byte now and
// then, which no time-out between bytes ends.
func (p *pace) by(now Time, stall, grace time.Duration, rate int64) Time {
	if rate <= 0 {
		return now + stall
	}
	return min(now+stall, p.from+grace+Time(float64(p.moved)/float64(rate)*float64(time.Second)))
}

// weigh books what a client connection holds.
func (h *Gateway) weigh(c *conn) {
	n := len(c.in) + len(c.out)
	if c.ex != nil {
		n += len(c.ex.body.held)
		if c.ex.listing != nil {
			n += c.ex.listing.size
		}
	}
	h.buffers.clientBytes += int64(n - c.weight)
	c.weight = n
}

func (c *conn) client() bool { return c.node == nil && !c.feed }

func (c *conn) pending() []byte { return c.out[c.wrote:] }

func (h *Gateway) newConn() *conn {
	c := &conn{timer: stoppedTimer()}
	c.id = h.conns.add(c)
	return c
}

// setDeadline sets when the timer of a connection expires; never stops it.
func (h *Gateway) setDeadline(c *conn, deadline Time) {
	if !c.gone {
		h.timers.set(c, deadline)
	}
}

func (h *Gateway) expired(c *conn) {
	if c.node != nil {
		h.nodeExpired(c)
	} else {
		h.clientExpired(c)
	}
}

// drop ends a connection by Close or Abort.
func (h *Gateway) drop(c *conn, op Op) {
	if !c.gone {
		h.actions.add(op, c.id)
		h.forget(c, true)
	}
}

// forget takes a connection out of all tables. open: the driver has yet to close
// it, and its slot is used again only after that, or the driver would take one
// connection for the other.
func (h *Gateway) forget(c *conn, open bool) {
	if c.gone {
		return
	}
	if c.owes() {
		h.invariants.RecordUnansweredClose(h.clock.now, c.ex.id)
	}
	c.gone = true
	h.conns.remove(c.id, !open)
	h.timers.remove(c)
	h.buffers.put(c.in)
	h.buffers.put(c.out)
	c.in, c.out, c.wrote = nil, nil, 0
	h.buffers.clientBytes -= int64(c.weight)
	c.weight = 0
	switch {
	case c.feed:
	case c.node != nil:
		h.nodes.connClosed(c.node)
	default:
		h.clientConns--
		if c.admitted {
			h.admission.Closed(h.clock.now, uint64(c.id))
		}
	}
}

// flush asks for what is to be written to be written.
func (h *Gateway) flush(c *conn) {
	if c.client() && !c.gone {
		h.weigh(c)
	}
	if !c.flushing && !c.gone && len(c.pending()) > 0 {
		if c.client() && c.answer.from == 0 {
			c.answer = pace{from: h.clock.now}
		}
		if c.client() && c.timer.deadline == never {
			h.setDeadline(c, h.answerBy(c)) // to take it
		}
		c.flushing = true
		h.actions.add(Flush, c.id)
	}
}

func (h *Gateway) pause(c *conn) {
	if !c.paused && !c.gone {
		c.paused = true
		h.actions.add(Pause, c.id)
	}
}

func (h *Gateway) resume(c *conn) {
	if c.paused && !c.gone {
		c.paused = false
		h.actions.add(Resume, c.id)
	}
}

// keep stores what was not used of the bytes told: rest is the end of buf.
func (h *Gateway) keep(c *conn, rest []byte) {
	switch {
	case c.gone:
	case len(rest) == 0:
		h.buffers.put(c.in)
		c.in = nil
	case len(c.in) > 0: // rest is its end
		c.in = c.in[:copy(c.in, rest)]
	default:
		c.in = append(h.buffers.get(), rest...)
	}
}

// Out returns what is to be written to a connection. It is the one place where bytes are
// handed out, and where the guard is asked before the first of an attempt.
func (h *Gateway) Out(now Time, id ConnID) []byte {
	h.clock.advance(now)
	c := h.conns.find(id)
	if c == nil {
		return nil
	}
	c.flushing = false
	if at := c.at; at != nil && !at.written && len(c.pending()) > 0 && !h.mayBegin(c) {
		return nil
	}
	return c.pending()
}

// Wrote tells that n bytes of Out were written.
func (h *Gateway) Wrote(now Time, id ConnID, n int) {
	h.clock.advance(now)
	c := h.conns.find(id)
	if c == nil || n <= 0 {
		return
	}
	if c.wrote += n; c.wrote == len(c.out) {
		h.buffers.put(c.out)
		c.out, c.wrote = nil, 0
	} else if c.wrote > h.config.Limits.ConnBuffer {
		c.out = append(c.out[:0], c.out[c.wrote:]...)
		c.wrote = 0
	}
	if !c.client() {
		if c.node != nil {
			h.nodeWrote(c)
		}
		return
	}
	c.answer.moved += int64(n)
	h.weigh(c)
	h.clientWrote(c)
}

// Data tells bytes read from a connection. They are not kept after the call.
func (h *Gateway) Data(now Time, id ConnID, p []byte) {
	h.clock.advance(now)
	c := h.conns.find(id)
	if c == nil || len(p) == 0 {
		return
	}
	if c.feed {
		h.membership.source.Data(h.clock.now, c.feedConn, p)
		return
	}
	c.unread = false
	if len(c.in) > 0 {
		c.in = append(c.in, p...)
		p = c.in
	}
	if c.node != nil {
		h.keep(c, h.nodeData(c, p))
	} else {
		h.keep(c, h.clientData(c, p))
		if !c.gone {
			h.weigh(c)
		}
	}
}

// Stalled tells that a call on a connection failed for a failure of the head's own machine, and
// is made again later: that is not the other side's doing. A connection asked for with Dial is
// begun later then.
func (h *Gateway) Stalled(now Time, id ConnID) {
	h.clock.advance(now)
	c := h.conns.find(id)
	if c == nil {
		return
	}
	if c.client() {
		c.unread = true
		return
	}
	c.postponed = c.postponed || !c.connected
	if at := c.at; at != nil && !at.stalled {
		at.stalled = true
		h.events = append(h.events, scheduler.AttemptStalled{ID: at.ex.id, Attempt: at.number})
	}
}

// resumed tells the module that an attempt goes on.
func (h *Gateway) resumed(at *attempt) {
	if at != nil && at.stalled {
		at.stalled = false
		h.events = append(h.events, scheduler.AttemptResumed{ID: at.ex.id, Attempt: at.number})
	}
}

// EOF tells that the other side sends no more.
func (h *Gateway) EOF(now Time, id ConnID) {
	h.clock.advance(now)
	c := h.conns.find(id)
	switch {
	case c == nil:
	case c.feed:
		h.feedClosed(c, true)
	case c.node != nil:
		h.nodeClosed(c, true)
	default:
		h.clientEOF(c)
	}
}

// Closed tells that a connection is lost or could not be made; the driver has
// let go of it.
func (h *Gateway) Closed(now Time, id ConnID) {
	h.clock.advance(now)
	c := h.conns.find(id)
	switch {
	case c == nil:
	case c.feed:
		h.feedClosed(c, false)
	case c.node != nil:
		h.nodeClosed(c, false)
	default:
		c.left = true
		h.clientGone(c, false)
	}
}

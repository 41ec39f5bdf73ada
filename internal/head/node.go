package head

import (
	"slices"
	"time"

	"maddergap/internal/http1"
	"maddergap/logic"
)

// attempt is one sending of a request to a node.
type attempt struct {
	ex      *exchange
	n       int
	node    string
	conn    *conn
	began   Time
	by      Time // it must begin before that, 0: at any time
	written bool // something of it went out
	sent    bool // all of it was handed to the connection
	ended   bool
	chunked bool // its body goes out in chunks
	begun   bool // the module was told that its answer streams
	verdict logic.Outcome
	swallow int64 // bytes of an answer that nobody is given
	report  float64
	reports bool
	status  int
	told    time.Duration // for how long it tells the node that it is waited for, 0: it does not
	span    [8]byte
	holds   bool   // its answer is held whole before any of it is passed on
	body    []byte // so much of it
	stall   Time   // for which it may stand still
}

// out tells whether all of it was written.
func (at *attempt) out() bool { return at.sent && len(at.conn.pending()) == 0 }

// swallowMost is how much of an answer that nobody is given is read to keep its
// connection.
const swallowMost = 64 << 10

// send starts an attempt, as the module decided.
func (h *Head) send(ex *exchange, name string, by Time) {
	if ex == nil { // never: the module sends only what it has no final answer for
		return
	}
	at := &attempt{ex: ex, n: ex.sends, node: name, began: h.now, by: by}
	h.randomID(at.span[:])
	ex.last = at
	ex.sends++
	ex.live++
	h.counts.Attempts++
	n := h.nodes[name]
	kept := h.keptFor(ex, n)
	switch {
	case ex.final: // it got its answer in this very turn
		h.end(at, logic.Moot)
	case !h.maySend(at):
		h.end(at, logic.Moot)
	case kept == nil && (n.conns >= h.c.NodeConns || !h.roomForNode()):
		h.end(at, logic.ConnectFailed) // nothing was sent
	case kept != nil:
		h.unpark(kept)
		kept.at, at.conn = at, kept
		h.by(kept, ex.due)
		h.writeRequest(kept)
	default:
		c := h.newConn()
		c.node, c.at, at.conn = n, at, c
		c.addr, c.started = n.addr, n.started
		n.conns++
		h.counts.NodeConns++
		h.acts = append(h.acts, Action{Op: Dial, Conn: c.id, Addr: n.addr})
		h.by(c, min(h.now+h.c.DialTime, ex.due))
	}
}

// restTime is how long a kept connection rests before it is used again, if another can be.
// Guards against nodes that answer twice, the second time some milliseconds late: such an
// answer would be taken for that of the next request.
const restTime = 20 * time.Millisecond

// keptFor returns the kept connection that a request goes out on, nil where there is none for
// it: of those that have rested the last used, so that what is not needed ages, or the one that
// has rested longest. A request that must not run twice gets a new connection before one that
// has not rested. Guards against a node that closes a connection right behind an answer: nobody
// can tell whether a request that met the reset has run.
func (h *Head) keptFor(ex *exchange, n *node) *conn {
	if n == nil || len(n.idle) == 0 {
		return nil
	}
	for _, c := range slices.Backward(n.idle) {
		if h.now-c.parked >= restTime {
			return c
		}
	}
	if h.classOf(ex).Effect == logic.Unsafe && h.spareFor(n) {
		return nil
	}
	return n.idle[0]
}

// spareFor tells whether a connection to a node may be added without closing another.
func (h *Head) spareFor(n *node) bool {
	return n.conns < h.c.NodeConns && (h.c.NodesConns == 0 || h.counts.NodeConns < h.c.NodesConns)
}

// roomForNode tells whether one more connection to a node may be opened, after the
// one that was kept longest was closed for it where need be.
func (h *Head) roomForNode() bool {
	if h.c.NodesConns == 0 || h.counts.NodeConns < h.c.NodesConns {
		return true
	}
	oldest := h.kept.oldest()
	if oldest == nil {
		return false
	}
	h.unpark(oldest)
	h.drop(oldest, Close)
	return true
}

// Connected tells that a connection asked for with Dial stands.
func (h *Head) Connected(now Time, id ConnID) {
	h.tick(now)
	c := h.conn(id)
	if c == nil || c.connected {
		return
	}
	c.connected = true
	if c.feed {
		h.feeding.feed.Connected(h.now, c.feedConn)
		return
	}
	h.lastConnected = h.now
	if c.at == nil {
		h.park(c)
		return
	}
	if by := c.at.by; by > 0 && h.now >= by { // a connection that came up late
		h.withhold(c)
		return
	}
	h.by(c, c.at.ex.due)
	h.writeRequest(c)
}

// writeRequest hands a request's header and what is held of its body to a node.
func (h *Head) writeRequest(c *conn) {
	h.encode(c)
	at, ex := c.at, c.at.ex
	if !ex.whole {
		ex.upload = at
		if cl := ex.client; cl != nil {
			h.invite(cl, ex)
			h.bodyOn(cl)
			h.readOn(cl)
		}
	}
	c.used, c.interim = true, 0
	h.flush(c)
}

// encode writes a request's header and what is held of its body for a connection, in place
// of what was written before.
func (h *Head) encode(c *conn) {
	at := c.at
	ex, r := at.ex, &at.ex.req
	c.out, c.wrote = c.out[:0], 0
	if c.out == nil {
		c.out = h.buffer()
	}
	b := h.way.appendRequest(h, c.out, at)
	switch {
	case ex.whole && (ex.got > 0 || r.Length > 0 || r.Chunked || ex.listing != nil):
		b = http1.AppendInt(b, "Content-Length", int64(len(ex.held)))
	case !ex.whole && r.Length >= 0:
		b = http1.AppendInt(b, "Content-Length", r.Length)
	case !ex.whole:
		b = append(b, "Transfer-Encoding: chunked\r\n"...)
	case ex.method == "PUT":
		b = append(b, "Content-Length: 0\r\n"...)
	}
	c.out = append(b, "\r\n"...)
	at.sent, at.chunked = ex.whole, !ex.whole && r.Length < 0
	if len(ex.held) > 0 {
		appendBody(c, ex.held)
	}
}

func appendBody(c *conn, data []byte) {
	if c.at.chunked {
		c.out = http1.AppendChunk(c.out, data)
	} else {
		c.out = append(c.out, data...)
	}
}

// uploadData sends a piece of a body on as it comes.
func (h *Head) uploadData(at *attempt, data []byte) {
	c, ex := at.conn, at.ex
	if c.out == nil {
		c.out = h.buffer()
	}
	if len(data) > 0 {
		appendBody(c, data)
	}
	if ex.whole {
		if at.chunked {
			c.out = http1.AppendLastChunk(c.out)
		}
		at.sent = true
		ex.upload = nil
	}
	h.flush(c)
}

// readOn resumes a connection and uses what it told before it was paused.
func (h *Head) readOn(c *conn) {
	if !c.paused {
		return
	}
	h.resume(c)
	if p := c.in; len(p) == 0 {
	} else if c.node != nil {
		h.keep(c, h.nodeData(c, p))
	} else {
		h.keep(c, h.clientData(c, p))
	}
}

func (h *Head) nodeWrote(c *conn) {
	at := c.at
	if at == nil {
		return
	}
	if !at.written {
		at.written = true
		h.began(at)
	}
	if cl := at.ex.client; at.ex.upload == at && cl != nil && cl.paused && len(c.pending()) <= h.room()/2 {
		h.bodyOn(cl)
		h.readOn(cl)
	}
}

// nodeData uses bytes of a node and returns those it cannot use yet.
func (h *Head) nodeData(c *conn, p []byte) []byte {
	for len(p) > 0 && !c.gone {
		at := c.at
		if at == nil { // nothing was asked
			h.unpark(c)
			h.drop(c, Close)
			return nil
		}
		if !c.inBody {
			n := h.c.Header.Block(p, &c.scanned)
			if n == 0 {
				return p
			}
			if err := http1.ParseResponse(p[:n], &c.resp, at.ex.method, h.c.Header); err != nil {
				h.broken(c, logic.Failed)
				return nil
			}
			if !h.way.early() && !at.out() { // of an earlier request: this one has not come whole
				h.broken(c, h.way.cut())
				return nil
			}
			p = p[n:]
			if c.resp.Status < 200 {
				if c.interim++; c.interim > http1.InterimMax {
					h.broken(c, logic.Failed)
					return nil
				}
				continue
			}
			c.inBody = true
			c.content.Reset(&c.resp.Message)
			if !h.answerHead(at) {
				h.broken(c, h.way.faulty())
				return nil
			}
		} else {
			if cl := at.ex.client; at.ex.answer == at && cl != nil && len(cl.pending()) > h.room() {
				h.pause(c)
				h.by(c, never) // it waits for the client
				break
			}
			data, rest, err := c.content.Next(p)
			if err != nil {
				h.broken(c, h.way.faulty())
				return nil
			}
			p = rest
			h.answerData(at, data)
		}
		if c.inBody && c.content.Done() && !c.gone {
			h.answerDone(c)
		}
	}
	if at := c.at; at != nil && !c.gone && at.holds {
		h.by(c, min(at.ex.due, h.now+at.stall))
	} else if at != nil && !c.gone && at.ex.answer == at {
		if !at.begun {
			at.begun = true
			h.events = append(h.events, logic.Begun{ID: at.ex.id, Attempt: at.n})
		}
		if !c.paused {
			h.by(c, h.now+h.c.StallTime)
		}
	}
	return p
}

// answerDone ends an attempt whose answer was read whole.
func (h *Head) answerDone(c *conn) {
	at := c.at
	c.at, c.inBody = nil, false
	keep := !c.resp.Close && at.out()
	ex := at.ex
	if ex.upload == at {
		ex.upload = nil
	}
	if at.holds || ex.answer == at {
		h.way.answerDone(h, at)
	} else {
		h.end(at, at.verdict)
	}
	if keep {
		h.park(c)
	} else {
		h.drop(c, Close)
	}
}

// park keeps a connection for the next request, unless it leads to where its node was
// before, or to a life of it that is over: a request was under way when that changed.
func (h *Head) park(c *conn) {
	if n := c.node; !n.listed || c.gone || c.addr != n.addr || c.started != n.started {
		h.drop(c, Close)
		return
	}
	h.resume(c)
	c.parked = h.now
	c.node.idle = append(c.node.idle, c)
	h.kept.add(c)
	h.by(c, h.now+h.c.NodeIdle)
}

func (h *Head) unpark(c *conn) {
	h.kept.remove(c)
	idle := c.node.idle
	for i, o := range idle {
		if o == c {
			c.node.idle = append(idle[:i], idle[i+1:]...)
			return
		}
	}
}

// broken ends a connection that cannot be used further, and its attempt.
func (h *Head) broken(c *conn, o logic.Outcome) {
	at := c.at
	c.at = nil
	h.drop(c, Abort)
	if at != nil {
		if at.verdict != logic.OK && c.inBody {
			o = at.verdict // its status was read
		}
		h.end(at, o)
	}
}

// breakOff ends an attempt that is of no use any more.
func (h *Head) breakOff(at *attempt) {
	if !at.ended {
		h.broken(at.conn, logic.Cancelled)
	}
}

// cancel ends an attempt of which nothing, or not all, has gone out: it never ran, and
// begins for nobody. One that is out goes on to its outcome. A connection that is still
// coming up is kept for the next request.
func (h *Head) cancel(at *attempt) {
	c := at.conn
	switch {
	case at.ended || c == nil || at.out():
	case c.connected:
		h.broken(c, logic.Cancelled)
	default:
		c.at = nil
		h.end(at, logic.Moot)
	}
}

func (h *Head) nodeClosed(c *conn, eof bool) {
	at := c.at
	if at == nil {
		h.unpark(c)
		if eof {
			h.drop(c, Close)
		} else {
			h.forget(c, false)
		}
		return
	}
	if eof && c.inBody && c.content.End() {
		h.answerDone(c)
		return
	}
	c.at = nil
	out := at.out()
	if eof {
		h.drop(c, Close)
	} else {
		h.forget(c, false)
	}
	switch {
	case c.inBody && at.verdict != logic.OK:
		h.end(at, at.verdict)
	case !c.connected:
		h.end(at, h.unconnected(c, at))
	case !at.written: // a kept connection that closed just then: proven not to have run
		h.end(at, logic.Moot)
	case !out:
		h.end(at, h.way.cut())
	default:
		h.end(at, logic.Reset)
	}
}

// unconnected is the outcome of an attempt whose connection did not come up: the node's
// failure, unless the head's own machine held it up. Where others came up meanwhile it is of
// that node all the same, as where there is no route to it.
func (h *Head) unconnected(c *conn, at *attempt) logic.Outcome {
	if c.postponed && h.lastConnected <= at.began {
		return logic.Moot
	}
	return logic.ConnectFailed
}

func (h *Head) nodeExpired(c *conn) {
	at := c.at
	switch {
	case at == nil:
		h.unpark(c)
		h.drop(c, Close)
	case !c.connected:
		c.at = nil
		h.drop(c, Abort)
		h.end(at, h.unconnected(c, at))
	case at.ex.answer == at, at.holds && h.now < at.ex.due: // the answer stopped in its middle
		h.broken(c, h.way.faulty())
	default: // the client's time is up; a later answer is nobody's
		at.ex.timedOut = true
		h.broken(c, logic.TimedOut)
	}
}

// end tells the module how an attempt ended.
func (h *Head) end(at *attempt, o logic.Outcome) {
	if at.ended {
		return
	}
	at.ended = true
	ex := at.ex
	h.mayRun(at, o)
	h.answers -= int64(len(at.body))
	h.release(at.body)
	at.body = nil
	ex.live--
	if ex.upload == at {
		ex.upload = nil
	}
	h.events = append(h.events, logic.Ended{ID: ex.id, Attempt: at.n, Node: at.node, Outcome: o, Took: h.now - at.began,
		Closed: ex.final, Spent: ex.spent, Reported: at.report, Reports: at.reports})
	if h.obs != nil {
		h.span = Span{Request: h.requestID(ex.id), Trace: ex.trace, ID: at.span, Parent: ex.span, Sampled: ex.sampled,
			Start: at.began, End: h.now, Method: ex.method, Path: ex.place.Path, Volume: ex.ask.Arrival.Volume,
			Class: h.c.Logic.Classes[ex.ask.Arrival.Class].Name, Status: at.status, Attempt: at.n, Node: at.node, Ended: o}
		h.obs.Attempt(&h.span)
	}
	h.recycle(ex)
}

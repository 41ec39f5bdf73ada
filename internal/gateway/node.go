package gateway

import (
	"maddergap/internal/http1"
	"maddergap/scheduler"
)

// discardMost is how much of an answer that nobody is given is read to keep its
// connection.
const discardMost = 64 << 10

// Connected tells that a connection asked for with Dial stands.
func (h *Gateway) Connected(now Time, id ConnID) {
	h.clock.advance(now)
	c := h.conns.find(id)
	if c == nil || c.connected {
		return
	}
	c.connected = true
	if c.feed {
		h.membership.source.Connected(h.clock.now, c.feedConn)
		return
	}
	h.nodes.lastConnected = h.clock.now
	if c.at == nil {
		h.park(c)
		return
	}
	if by := c.at.beginBy; by > 0 && h.clock.now >= by { // a connection that came up late
		h.withhold(c)
		return
	}
	h.setDeadline(c, c.at.ex.deadline)
	h.writeRequest(c)
}

// readOn resumes a connection and uses what it told before it was paused.
func (h *Gateway) readOn(c *conn) {
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

func (h *Gateway) nodeWrote(c *conn) {
	at := c.at
	if at == nil {
		return
	}
	h.resumed(at)
	if !at.written {
		at.written = true
		h.began(at)
	}
	if cl := at.ex.client; at.ex.attempts.upload == at && cl != nil && cl.paused && len(c.pending()) <= h.room()/2 {
		h.bodyOn(cl)
		h.readOn(cl)
	}
}

// nodeData uses bytes of a node and returns those it cannot use yet.
func (h *Gateway) nodeData(c *conn, p []byte) []byte {
	h.resumed(c.at)
	for more := true; more && len(p) > 0 && !c.gone; {
		switch {
		case c.at == nil: // nothing was asked
			h.unpark(c)
			h.drop(c, Close)
			return nil
		case !c.inBody:
			p, more = h.nodeHeader(c, p)
		default:
			p, more = h.nodeBody(c, p)
		}
		if c.inBody && c.content.Done() && !c.gone {
			h.answerDone(c)
		}
	}
	if c.at != nil && !c.gone {
		h.answerMoves(c)
	}
	return p
}

// nodeHeader takes the header of a node's answer, if it is whole, and returns what is behind
// it; more tells whether that can be used now.
func (h *Gateway) nodeHeader(c *conn, p []byte) (rest []byte, more bool) {
	at := c.at
	n := h.config.HeaderLimits.Block(p, &c.scanned)
	if n == 0 {
		return p, false
	}
	if err := http1.ParseResponse(p[:n], &c.resp, at.ex.method, h.config.HeaderLimits); err != nil {
		h.broken(c, scheduler.Failed)
		return nil, false
	}
	if !h.protocol.allowsEarlyAnswer() && !at.out() { // of an earlier request: this one has not come whole
		h.broken(c, h.protocol.truncated())
		return nil, false
	}
	p = p[n:]
	if c.resp.Status < 200 {
		if c.interim++; c.interim > http1.InterimMax {
			h.broken(c, scheduler.Failed)
			return nil, false
		}
		return p, true
	}
	c.inBody = true
	c.content.Reset(&c.resp.Message)
	if !h.answerHead(at) {
		h.broken(c, h.protocol.malformed())
		return nil, false
	}
	return p, true
}

// nodeBody takes a piece of the body of a node's answer.
func (h *Gateway) nodeBody(c *conn, p []byte) (rest []byte, more bool) {
	at := c.at
	if cl := at.ex.client; at.ex.answer.from == at && cl != nil && len(cl.pending()) > h.room() {
		h.pause(c)
		h.setDeadline(c, never) // it waits for the client
		return p, false
	}
	data, rest, err := c.content.Next(p)
	if err != nil {
		h.broken(c, h.protocol.malformed())
		return nil, false
	}
	h.answerData(at, data)
	return rest, true
}

// answerMoves sets how long an answer that has begun may stand still.
func (h *Gateway) answerMoves(c *conn) {
	at := c.at
	if at.buffered {
		h.setDeadline(c, min(at.ex.deadline, h.clock.now+at.stall))
		return
	}
	if at.ex.answer.from != at {
		return
	}
	if !at.begun {
		at.begun = true
		h.events = append(h.events, scheduler.ResponseStarted{ID: at.ex.id, Attempt: at.number})
	}
	if !c.paused {
		h.setDeadline(c, h.clock.now+h.config.Timeouts.Stall)
	}
}

// answerDone ends an attempt whose answer was read whole.
func (h *Gateway) answerDone(c *conn) {
	at := c.at
	c.at, c.inBody = nil, false
	keep := !c.resp.Close && at.out()
	ex := at.ex
	if ex.attempts.upload == at {
		ex.attempts.upload = nil
	}
	if at.buffered || ex.answer.from == at {
		h.protocol.answerDone(h, at)
	} else {
		h.end(at, at.verdict)
	}
	if keep {
		h.park(c)
	} else {
		h.drop(c, Close)
	}
}

func (h *Gateway) nodeClosed(c *conn, eof bool) {
	h.closedByNode(c)
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
	case c.inBody && at.verdict != scheduler.OK:
		h.end(at, at.verdict)
	case !c.connected:
		h.end(at, h.unconnected(c, at))
	case !at.written: // a kept connection that closed just then: proven not to have run
		h.end(at, scheduler.Superseded)
	case !out:
		h.end(at, h.protocol.truncated())
	default:
		h.end(at, scheduler.Reset)
	}
}

// unconnected is the outcome of an attempt whose connection did not come up: the node's
// failure, unless the head's own machine held it up. Where others came up meanwhile it is of
// that node all the same, as where there is no route to it.
func (h *Gateway) unconnected(c *conn, at *attempt) scheduler.Outcome {
	if c.postponed && h.nodes.lastConnected <= at.began {
		return scheduler.Superseded
	}
	return scheduler.ConnectFailed
}

func (h *Gateway) nodeExpired(c *conn) {
	at := c.at
	switch {
	case at == nil:
		h.unpark(c)
		h.drop(c, Close)
	case !c.connected:
		c.at = nil
		h.drop(c, Abort)
		h.end(at, h.unconnected(c, at))
	case !at.written: // the head's own machine held it up: it never ran
		c.at = nil
		h.drop(c, Abort)
		h.end(at, scheduler.Superseded)
	case at.ex.answer.from == at, at.buffered && h.clock.now < at.ex.deadline: // the answer stopped in its middle
		h.broken(c, h.protocol.malformed())
	default: // the client's time is up; a later answer is nobody's
		at.ex.attempts.timedOut = true
		h.broken(c, scheduler.TimedOut)
	}
}

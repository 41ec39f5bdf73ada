package gateway

import (
	"time"

	"maddergap/scheduler"
)

// giveUp answers a client whose request's header does not come, and ends with it.
func (h *Gateway) giveUp(c *conn, reason string) {
	ex := h.requests.create()
	ex.client, c.ex, ex.body.whole, ex.answer.reason = c, ex, true, reason
	ex.req.Minor, ex.headerAt = 1, h.clock.now
	c.closing = true
	h.respond(ex, 408, []byte(reason+"\n"), nil)
}

// pipelineMax is how much a client may send ahead of its answer where its end means that it
// has gone: it is read on, as its end stands behind what it sent. What is more is read and
// dropped, and the connection ends with the answer. Guards against a client that has left
// unseen behind requests sent ahead: what it waited for would be sent on for nobody.
const pipelineMax = 16 << 10

// clientData uses bytes of a client and returns those it cannot use yet.
func (h *Gateway) clientData(c *conn, p []byte) []byte {
	for len(p) > 0 && !c.gone {
		ex := c.ex
		switch {
		case c.discard || c.closing && ex == nil || c.overrun:
			return nil
		case ex == nil:
			if p[0] == '\r' || p[0] == '\n' { // RFC 9112 2.2: empty lines before a request
				p, c.scanned = p[1:], 0
				continue
			}
			if c.reading == 0 {
				c.reading = h.clock.now
				h.setDeadline(c, h.clock.now+h.config.Timeouts.Header)
			}
			n := h.config.HeaderLimits.Block(p, &c.scanned)
			if n == 0 {
				return p
			}
			c.reading = 0
			h.begin(c, p[:n])
			p = p[n:]
		case !ex.body.whole:
			if ex.attempts.upload == nil && len(ex.body.held) >= h.config.Limits.BodyBuffer && ex.id != 0 ||
				ex.attempts.upload != nil && len(ex.attempts.upload.conn.pending()) > h.room() {
				h.pause(c)
				h.setDeadline(c, never) // it waits for us
				return p
			}
			c.body.moved += int64(len(p))
			h.setDeadline(c, h.bodyBy(c))
			data, rest, err := ex.body.decoder.Next(p)
			if err != nil {
				h.badBody(c, ex, err)
				return nil
			}
			p = rest
			h.bodyData(c, ex, data)
		case h.protocol.endMeansGone() && len(p) <= pipelineMax: // pipelined: its turn comes with the answer
			return p
		case h.protocol.endMeansGone():
			c.overrun, c.closing = true, true
			return nil
		default:
			h.pause(c)
			return p
		}
	}
	return p
}

// bodyBy and answerBy are when a client is given up that sends its body, or takes
// its answer, too slowly.
func (h *Gateway) bodyBy(c *conn) Time {
	return c.body.by(h.clock.now, h.config.Timeouts.Stall, h.config.MinRates.Grace, h.config.MinRates.Body)
}

func (h *Gateway) answerBy(c *conn) Time {
	return c.answer.by(h.clock.now, h.config.Timeouts.Stall, h.config.MinRates.Grace, h.config.MinRates.Response)
}

// room is how much of an answer or a body a connection may hold now.
func (h *Gateway) room() int {
	return h.admission.BufferAllowance(h.buffers.clientBytes, h.config.Limits.ConnBuffer)
}

func (h *Gateway) clientEOF(c *conn) {
	c.eof, c.left = true, h.protocol.endMeansGone()
	switch {
	case c.discard || c.ex == nil && len(c.pending()) == 0 && !c.ready:
		h.drop(c, Close)
	case c.ex != nil && (!c.ex.body.whole || h.protocol.endMeansGone()): // in the middle of a body, or gone with the last byte
		h.actions.add(Close, c.id)
		h.clientGone(c, true)
	} // else a half-close: what was asked is still owed
}

// clientGone ends what a client that left had under way; open: the driver has yet
// to close its connection.
func (h *Gateway) clientGone(c *conn, open bool) {
	ex := c.ex
	h.forget(c, open)
	if ex == nil {
		return
	}
	c.ex, ex.client = nil, nil
	if !ex.answer.final {
		h.leave(ex)
	}
	h.recycle(ex)
}

// clientDrop resets a client whose answer cannot be brought to its end.
func (h *Gateway) clientDrop(c *conn) {
	if !c.gone {
		h.actions.add(Abort, c.id)
		h.clientGone(c, true)
	}
}

// leave tells the module that a client left before its final answer. What runs
// at a node goes on, and its slot with it, unless the node cannot run it for
// want of its body, or was streaming to nobody.
func (h *Gateway) leave(ex *exchange) {
	if ex.listing != nil && ex.id == 0 {
		ex.listing.parent, ex.answer.final = nil, true
		for i, p := range ex.listing.parts {
			if p != nil && !p.answer.final {
				ex.listing.parts[i] = nil
				h.leave(p)
				h.recycle(p)
			}
		}
		return
	}
	if ex.id == 0 {
		return
	}
	ex.answer.final, ex.clientLeftAt = true, h.clock.now
	h.counts.Disconnected++
	h.events = append(h.events, scheduler.ClientDisconnected{ID: ex.id})
	h.reportEnd(ex, ClientDisconnected)
	if at := ex.attempts.upload; at != nil && !ex.body.whole {
		h.breakOff(at)
	} else if at := ex.answer.from; at != nil {
		h.breakOff(at)
	} else if at := ex.attempts.latest; at != nil {
		h.cancel(at)
	}
}

func (h *Gateway) clientExpired(c *conn) {
	ex := c.ex
	switch {
	case c.discard, len(c.pending()) > 0: // it does not take its answer
		h.clientDrop(c)
	case ex != nil && !ex.body.whole && !ex.answer.final: // it stopped in the middle of a body
		if ex.id != 0 {
			h.leave(ex)
		}
		if ex.answer.from != nil {
			h.clientDrop(c)
			return
		}
		c.closing, ex.body.whole, ex.answer.reason = true, true, "the body stopped"
		h.counts.Malformed++
		h.respond(ex, 408, []byte("the body did not come in time\n"), nil)
	case ex != nil:
	case c.reading > 0:
		h.counts.Malformed++
		h.giveUp(c, "the header did not come in time")
	default:
		h.drop(c, Close)
	}
}

// clientWrote goes on with what waited for room.
func (h *Gateway) clientWrote(c *conn) {
	if len(c.pending()) > 0 {
		h.setDeadline(c, h.answerBy(c))
	} else {
		c.answer = pace{}
		h.endAdmitted(c)
	}
	if ex := c.ex; ex != nil {
		if ex.answer.from != nil && len(c.pending()) <= h.room()/2 {
			h.readOn(ex.answer.from.conn)
		}
		if len(c.pending()) == 0 && !ex.answer.final && ex.body.whole {
			h.setDeadline(c, never)
		}
		return
	}
	if len(c.pending()) == 0 {
		h.clientIdle(c)
	}
}

// answered lets go of a client's request whose answer is whole in the buffers.
func (h *Gateway) answered(ex *exchange) {
	c := ex.client
	if c == nil {
		h.recycle(ex)
		return
	}
	if !ex.body.whole { // RFC 9112 9.3: the rest of the body cannot be told from a request
		c.closing, c.discard = true, true
	}
	c.owed, c.good = true, ex.id != 0 && ex.answer.from != nil && ex.answer.status < 400
	c.ex, ex.client = nil, nil
	h.recycle(ex)
	h.flush(c)
	if len(c.pending()) > 0 {
		h.setDeadline(c, h.answerBy(c))
	} else {
		h.endAdmitted(c)
	}
	if !c.ready && !c.gone {
		c.ready = true
		h.readyClients = append(h.readyClients, c)
	}
}

// linger is how long a client that still sends is listened to after its answer,
// so that a reset does not take the answer from it.
const linger = 2 * time.Second

// idle is a client with no request and nothing to be written.
func (h *Gateway) clientIdle(c *conn) {
	switch {
	case c.ready: // nextRequest looks first
	case c.closing, c.discard, h.phase == stopping, c.eof:
		h.lingeringClose(c)
	default:
		h.setDeadline(c, h.clock.now+h.config.Timeouts.Idle)
	}
}

// lingeringClose ends a client's connection: its sending side first, and what still comes is read
// and dropped until the client has closed too. Guards against a close over bytes that
// were not read, which resets the connection and takes the last answer with it.
func (h *Gateway) lingeringClose(c *conn) {
	switch {
	case c.eof:
		h.drop(c, Close)
	case !c.shut:
		c.discard, c.shut = true, true
		h.actions.add(CloseWrite, c.id)
		h.resume(c)
		h.setDeadline(c, h.clock.now+linger)
	}
}

// nextRequest looks at what a client sent while its last request was under way.
func (h *Gateway) nextRequest(c *conn) {
	c.ready = false
	if c.gone || c.ex != nil {
		return
	}
	if c.closing || h.phase == stopping || c.eof && h.protocol.endMeansGone() { // the last answer was given, or no more is read
		c.in = c.in[:0]
	}
	if !c.discard {
		h.resume(c)
	}
	if p := c.in; len(p) > 0 {
		h.keep(c, h.clientData(c, p))
	}
	if !c.gone && c.ex == nil && len(c.pending()) == 0 {
		h.clientIdle(c)
	}
}

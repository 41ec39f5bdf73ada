package gateway

import (
	"maddergap/internal/http1"
	"maddergap/scheduler"
)

// send starts an attempt, as the module decided.
func (h *Gateway) send(ex *exchange, name string, by Time) {
	if ex == nil { // never: the module sends only what it has no final answer for
		return
	}
	at := &attempt{ex: ex, number: ex.attempts.count, node: name, began: h.clock.now, beginBy: by}
	h.ids.fill(at.span[:])
	ex.attempts.latest = at
	ex.attempts.count++
	ex.attempts.inFlight++
	h.counts.Attempts++
	n := h.nodes.byName[name]
	kept := h.keptFor(ex, n)
	switch {
	case ex.answer.final: // it got its answer in this very turn
		h.end(at, scheduler.Superseded)
	case !h.maySend(at):
		h.end(at, scheduler.Superseded)
	case kept == nil && (n.conns >= h.config.Limits.ConnsPerNode || !h.roomForNode()):
		h.end(at, scheduler.ConnectFailed) // nothing was sent
	case kept != nil:
		h.unpark(kept)
		kept.at, at.conn = at, kept
		h.setDeadline(kept, ex.deadline)
		h.writeRequest(kept)
	default:
		c := h.newConn()
		c.node, c.at, at.conn = n, at, c
		c.addr, c.started = n.addr, n.started
		h.nodes.connOpened(n)
		h.actions.dial(c.id, n.addr)
		h.setDeadline(c, min(h.clock.now+h.config.Timeouts.Dial, ex.deadline))
	}
}

// writeRequest hands a request's header and what is held of its body to a node.
func (h *Gateway) writeRequest(c *conn) {
	h.encode(c)
	at, ex := c.at, c.at.ex
	if !ex.body.whole {
		ex.attempts.upload = at
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
func (h *Gateway) encode(c *conn) {
	at := c.at
	ex, r := at.ex, &at.ex.req
	c.out, c.wrote = c.out[:0], 0
	if c.out == nil {
		c.out = h.buffers.get()
	}
	b := h.protocol.appendRequest(h, c.out, at)
	switch {
	case ex.body.whole && (ex.body.received > 0 || r.Length > 0 || r.Chunked || ex.listing != nil):
		b = http1.AppendInt(b, "Content-Length", int64(len(ex.body.held)))
	case !ex.body.whole && r.Length >= 0:
		b = http1.AppendInt(b, "Content-Length", r.Length)
	case !ex.body.whole:
		b = append(b, "Transfer-Encoding: chunked\r\n"...)
	case ex.method == "PUT":
		b = append(b, "Content-Length: 0\r\n"...)
	}
	c.out = append(b, "\r\n"...)
	at.sent, at.chunked = ex.body.whole, !ex.body.whole && r.Length < 0
	if len(ex.body.held) > 0 {
		appendBody(c, ex.body.held)
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
func (h *Gateway) uploadData(at *attempt, data []byte) {
	c, ex := at.conn, at.ex
	if c.out == nil {
		c.out = h.buffers.get()
	}
	if len(data) > 0 {
		appendBody(c, data)
	}
	if ex.body.whole {
		if at.chunked {
			c.out = http1.AppendLastChunk(c.out)
		}
		at.sent = true
		ex.attempts.upload = nil
	}
	h.flush(c)
}

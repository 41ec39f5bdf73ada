package gateway

import (
	"maddergap/internal/http1"
	"maddergap/scheduler"
)

// startAttempt starts an attempt, as the module decided.
func (g *Gateway) startAttempt(req *request, name string, by Time) {
	if req == nil { // never: the module sends only what it has no final answer for
		return
	}
	attempt := &nodeAttempt{req: req, number: req.attempts.count, nodeName: name, startedAt: g.clock.now, startBefore: by}
	g.ids.fill(attempt.spanID[:])
	req.attempts.latest = attempt
	req.attempts.count++
	req.attempts.inFlight++
	g.counts.Attempts++
	n := g.nodes.byName[name]
	kept := g.reusableConn(req, n)
	switch {
	case req.response.final: // it got its answer in this very turn
		g.endAttempt(attempt, scheduler.Superseded)
	case !g.mayStartAttempt(attempt):
		g.endAttempt(attempt, scheduler.Superseded)
	case kept == nil && (n.conns >= g.config.Limits.ConnsPerNode || !g.makeRoomForNodeConn()):
		g.endAttempt(attempt, scheduler.ConnectFailed) // nothing was sent
	case kept != nil:
		g.unpark(kept)
		kept.attempt, attempt.conn = attempt, kept
		g.setDeadline(kept, req.deadline)
		g.writeRequest(kept)
	default:
		c := g.newConn()
		c.node, c.attempt, attempt.conn = n, attempt, c
		c.addr, c.incarnation = n.addr, n.started
		g.nodes.connOpened(n)
		g.actions.dial(c.id, n.addr)
		g.setDeadline(c, min(g.clock.now+g.config.Timeouts.Dial, req.deadline))
	}
}

// writeRequest hands a request's header and what is held of its body to a node.
func (g *Gateway) writeRequest(c *conn) {
	g.encodeRequest(c)
	attempt, req := c.attempt, c.attempt.req
	if !req.body.complete {
		req.attempts.uploading = attempt
		if cl := req.client; cl != nil {
			g.sendContinue(cl, req)
			g.restartUploadTimer(cl)
			g.resumeReading(cl)
		}
	}
	c.used, c.interimResponses = true, 0
	g.flush(c)
}

// encodeRequest writes a request's header and what is held of its body for a connection, in place
// of what was written before.
func (g *Gateway) encodeRequest(c *conn) {
	attempt := c.attempt
	req, r := attempt.req, &attempt.req.header
	c.out, c.written = c.out[:0], 0
	if c.out == nil {
		c.out = g.buffers.get()
	}
	b := g.protocol.appendRequest(g, c.out, attempt)
	switch {
	case req.body.complete && (req.body.received > 0 || r.ContentLength > 0 || r.Chunked || req.listing != nil):
		b = http1.AppendIntField(b, "Content-Length", int64(len(req.body.data)))
	case !req.body.complete && r.ContentLength >= 0:
		b = http1.AppendIntField(b, "Content-Length", r.ContentLength)
	case !req.body.complete:
		b = append(b, "Transfer-Encoding: chunked\r\n"...)
	case req.method == "PUT":
		b = append(b, "Content-Length: 0\r\n"...)
	}
	c.out = append(b, "\r\n"...)
	attempt.fullyQueued, attempt.chunked = req.body.complete, !req.body.complete && r.ContentLength < 0
	if len(req.body.data) > 0 {
		appendBody(c, req.body.data)
	}
}

func appendBody(c *conn, data []byte) {
	if c.attempt.chunked {
		c.out = http1.AppendChunk(c.out, data)
	} else {
		c.out = append(c.out, data...)
	}
}

// forwardBody sends a piece of a body on as it comes.
func (g *Gateway) forwardBody(attempt *nodeAttempt, data []byte) {
	c, req := attempt.conn, attempt.req
	if c.out == nil {
		c.out = g.buffers.get()
	}
	if len(data) > 0 {
		appendBody(c, data)
	}
	if req.body.complete {
		if attempt.chunked {
			c.out = http1.AppendLastChunk(c.out)
		}
		attempt.fullyQueued = true
		req.attempts.uploading = nil
	}
	g.flush(c)
}

package gateway

import (
	"time"

	"maddergap/scheduler"
)

// respondHeaderTimeout answers a client whose request's header does not come, and ends with it.
func (g *Gateway) respondHeaderTimeout(c *conn, reason string) {
	req := g.requests.create()
	req.client, c.req, req.body.complete, req.response.reason = c, req, true, reason
	req.header.MinorVersion, req.headerReceivedAt = 1, g.clock.now
	c.closing = true
	g.writeLocalResponse(req, 408, []byte(reason+"\n"), nil)
}

// maxPipelinedBytes is how much a client may send ahead of its answer where its end means that it
// has gone: it is read on, as its end stands behind what it sent. What is more is read and
// dropped, and the connection ends with the answer. Guards against a client that has left
// unseen behind requests sent ahead: what it waited for would be sent on for nobody.
const maxPipelinedBytes = 16 << 10

// clientData uses bytes of a client and returns those it cannot use yet.
func (g *Gateway) clientData(c *conn, p []byte) []byte {
	for len(p) > 0 && !c.closed {
		req := c.req
		switch {
		case c.discard || c.closing && req == nil || c.overrun:
			return nil
		case req == nil:
			if p[0] == '\r' || p[0] == '\n' { // RFC 9112 2.2: empty lines before a request
				p, c.headerScanned = p[1:], 0
				continue
			}
			if c.headerStartedAt == 0 {
				c.headerStartedAt = g.clock.now
				g.setDeadline(c, g.clock.now+g.config.Timeouts.Header)
			}
			n := g.config.HeaderLimits.HeaderBlock(p, &c.headerScanned)
			if n == 0 {
				return p
			}
			c.headerStartedAt = 0
			g.beginRequest(c, p[:n])
			p = p[n:]
		case !req.body.complete:
			if req.attempts.uploading == nil && len(req.body.data) >= g.config.Limits.BodyBuffer && req.id != 0 ||
				req.attempts.uploading != nil && len(req.attempts.uploading.conn.pending()) > g.bufferAllowance() {
				g.pause(c)
				g.setDeadline(c, never) // it waits for us
				return p
			}
			c.upload.bytes += int64(len(p))
			g.setDeadline(c, g.uploadDeadline(c))
			data, rest, err := req.body.decoder.Next(p)
			if err != nil {
				g.rejectMalformedBody(c, req, err)
				return nil
			}
			p = rest
			g.receiveBody(c, req, data)
		case g.protocol.eofMeansDisconnect() && len(p) <= maxPipelinedBytes: // pipelined: its turn comes with the answer
			return p
		case g.protocol.eofMeansDisconnect():
			c.overrun, c.closing = true, true
			return nil
		default:
			g.pause(c)
			return p
		}
	}
	return p
}

// uploadDeadline and downloadDeadline are when a client is given up that sends its body, or takes
// its answer, too slowly.
func (g *Gateway) uploadDeadline(c *conn) Time {
	return c.upload.deadline(g.clock.now, g.config.Timeouts.Stall, g.config.MinRates.Grace, g.config.MinRates.Body)
}

func (g *Gateway) downloadDeadline(c *conn) Time {
	return c.download.deadline(g.clock.now, g.config.Timeouts.Stall, g.config.MinRates.Grace, g.config.MinRates.Response)
}

// bufferAllowance is how much of an answer or a body a connection may hold now.
func (g *Gateway) bufferAllowance() int {
	return g.admission.BufferAllowance(g.buffers.clientBytes, g.config.Limits.ConnBuffer)
}

func (g *Gateway) clientEOF(c *conn) {
	c.eof, c.left = true, g.protocol.eofMeansDisconnect()
	switch {
	case c.discard || c.req == nil && len(c.pending()) == 0 && !c.ready:
		g.drop(c, Close)
	case c.req != nil && (!c.req.body.complete || g.protocol.eofMeansDisconnect()): // in the middle of a body, or gone with the last byte
		g.actions.add(Close, c.id)
		g.clientGone(c, true)
	} // else a half-close: what was asked is still owed
}

// clientGone ends what a client that left had under way; open: the driver has yet
// to close its connection.
func (g *Gateway) clientGone(c *conn, open bool) {
	req := c.req
	g.forget(c, open)
	if req == nil {
		return
	}
	c.req, req.client = nil, nil
	if !req.response.final {
		g.abandonRequest(req)
	}
	g.recycle(req)
}

// clientDrop resets a client whose answer cannot be brought to its end.
func (g *Gateway) clientDrop(c *conn) {
	if !c.closed {
		g.actions.add(Abort, c.id)
		g.clientGone(c, true)
	}
}

// abandonRequest tells the module that a client left before its final answer. What runs
// at a node goes on, and its slot with it, unless the node cannot run it for
// want of its body, or was streaming to nobody.
func (g *Gateway) abandonRequest(req *request) {
	if req.listing != nil && req.id == 0 {
		req.listing.parent, req.response.final = nil, true
		for i, p := range req.listing.parts {
			if p != nil && !p.response.final {
				req.listing.parts[i] = nil
				g.abandonRequest(p)
				g.recycle(p)
			}
		}
		return
	}
	if req.id == 0 {
		return
	}
	req.response.final, req.disconnectedAt = true, g.clock.now
	g.counts.Disconnected++
	g.events = append(g.events, scheduler.ClientDisconnected{ID: req.id})
	g.reportRequestEnd(req, ClientDisconnected)
	if attempt := req.attempts.uploading; attempt != nil && !req.body.complete {
		g.abortAttempt(attempt)
	} else if attempt := req.response.source; attempt != nil {
		g.abortAttempt(attempt)
	} else if attempt := req.attempts.latest; attempt != nil {
		g.cancelAttempt(attempt)
	}
}

func (g *Gateway) clientExpired(c *conn) {
	req := c.req
	switch {
	case c.discard, len(c.pending()) > 0: // it does not take its answer
		g.clientDrop(c)
	case req != nil && !req.body.complete && !req.response.final: // it stopped in the middle of a body
		if req.id != 0 {
			g.abandonRequest(req)
		}
		if req.response.source != nil {
			g.clientDrop(c)
			return
		}
		c.closing, req.body.complete, req.response.reason = true, true, "the body stopped"
		g.counts.Malformed++
		g.writeLocalResponse(req, 408, []byte("the body did not come in time\n"), nil)
	case req != nil:
	case c.headerStartedAt > 0:
		g.counts.Malformed++
		g.respondHeaderTimeout(c, "the header did not come in time")
	default:
		g.drop(c, Close)
	}
}

// clientWrote goes on with what waited for room.
func (g *Gateway) clientWrote(c *conn) {
	if len(c.pending()) > 0 {
		g.setDeadline(c, g.downloadDeadline(c))
	} else {
		c.download = progress{}
		g.endAdmittedRequest(c)
	}
	if req := c.req; req != nil {
		if req.response.source != nil && len(c.pending()) <= g.bufferAllowance()/2 {
			g.resumeReading(req.response.source.conn)
		}
		if len(c.pending()) == 0 && !req.response.final && req.body.complete {
			g.setDeadline(c, never)
		}
		return
	}
	if len(c.pending()) == 0 {
		g.clientIdle(c)
	}
}

// responseQueued lets go of a client's request whose answer is whole in the buffers.
func (g *Gateway) responseQueued(req *request) {
	c := req.client
	if c == nil {
		g.recycle(req)
		return
	}
	if !req.body.complete { // RFC 9112 9.3: the rest of the body cannot be told from a request
		c.closing, c.discard = true, true
	}
	c.owed, c.good = true, req.id != 0 && req.response.source != nil && req.response.status < 400
	c.req, req.client = nil, nil
	g.recycle(req)
	g.flush(c)
	if len(c.pending()) > 0 {
		g.setDeadline(c, g.downloadDeadline(c))
	} else {
		g.endAdmittedRequest(c)
	}
	if !c.ready && !c.closed {
		c.ready = true
		g.readyClients = append(g.readyClients, c)
	}
}

// lingerTimeout is how long a client that still sends is listened to after its answer,
// so that a reset does not take the answer from it.
const lingerTimeout = 2 * time.Second

// idle is a client with no request and nothing to be written.
func (g *Gateway) clientIdle(c *conn) {
	switch {
	case c.ready: // startNextRequest looks first
	case c.closing, c.discard, g.phase == stopping, c.eof:
		g.lingeringClose(c)
	default:
		g.setDeadline(c, g.clock.now+g.config.Timeouts.Idle)
	}
}

// lingeringClose ends a client's connection: its sending side first, and what still comes is read
// and dropped until the client has closed too. Guards against a close over bytes that
// were not read, which resets the connection and takes the last answer with it.
func (g *Gateway) lingeringClose(c *conn) {
	switch {
	case c.eof:
		g.drop(c, Close)
	case !c.shut:
		c.discard, c.shut = true, true
		g.actions.add(CloseWrite, c.id)
		g.resume(c)
		g.setDeadline(c, g.clock.now+lingerTimeout)
	}
}

// startNextRequest looks at what a client sent while its last request was under way.
func (g *Gateway) startNextRequest(c *conn) {
	c.ready = false
	if c.closed || c.req != nil {
		return
	}
	if c.closing || g.phase == stopping || c.eof && g.protocol.eofMeansDisconnect() { // the last answer was given, or no more is read
		c.unread = c.unread[:0]
	}
	if !c.discard {
		g.resume(c)
	}
	if p := c.unread; len(p) > 0 {
		g.storeUnread(c, g.clientData(c, p))
	}
	if !c.closed && c.req == nil && len(c.pending()) == 0 {
		g.clientIdle(c)
	}
}

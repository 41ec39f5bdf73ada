package gateway

import (
	"maddergap/internal/http1"
	"maddergap/scheduler"
)

// maxDiscardedBytes is how much of an answer that nobody is given is read to keep its
// connection.
const maxDiscardedBytes = 64 << 10

// Connected tells that a connection asked for with Dial stands.
func (g *Gateway) Connected(now Time, id ConnID) {
	g.clock.advance(now)
	c := g.conns.find(id)
	if c == nil || c.connected {
		return
	}
	c.connected = true
	if c.feed {
		g.membership.source.Connected(g.clock.now, c.feedConn)
		return
	}
	g.nodes.lastConnected = g.clock.now
	if c.attempt == nil {
		g.park(c)
		return
	}
	if by := c.attempt.startBefore; by > 0 && g.clock.now >= by { // a connection that came up late
		g.withholdAttempt(c)
		return
	}
	g.setDeadline(c, c.attempt.req.deadline)
	g.writeRequest(c)
}

// resumeReading resumes a connection and uses what it told before it was paused.
func (g *Gateway) resumeReading(c *conn) {
	if !c.paused {
		return
	}
	g.resume(c)
	if p := c.unread; len(p) == 0 {
	} else if c.node != nil {
		g.storeUnread(c, g.nodeData(c, p))
	} else {
		g.storeUnread(c, g.clientData(c, p))
	}
}

func (g *Gateway) nodeWrote(c *conn) {
	attempt := c.attempt
	if attempt == nil {
		return
	}
	g.attemptResumed(attempt)
	if !attempt.firstByteWritten {
		attempt.firstByteWritten = true
		g.checkFirstByteWritten(attempt)
	}
	if cl := attempt.req.client; attempt.req.attempts.uploading == attempt && cl != nil && cl.paused && len(c.pending()) <= g.bufferAllowance()/2 {
		g.restartUploadTimer(cl)
		g.resumeReading(cl)
	}
}

// nodeData uses bytes of a node and returns those it cannot use yet.
func (g *Gateway) nodeData(c *conn, p []byte) []byte {
	g.attemptResumed(c.attempt)
	for more := true; more && len(p) > 0 && !c.closed; {
		switch {
		case c.attempt == nil: // nothing was asked
			g.unpark(c)
			g.drop(c, Close)
			return nil
		case !c.inBody:
			p, more = g.nodeHeader(c, p)
		default:
			p, more = g.nodeBody(c, p)
		}
		if c.inBody && c.responseBody.Done() && !c.closed {
			g.responseComplete(c)
		}
	}
	if c.attempt != nil && !c.closed {
		g.responseProgressed(c)
	}
	return p
}

// nodeHeader takes the header of a node's answer, if it is whole, and returns what is behind
// it; more tells whether that can be used now.
func (g *Gateway) nodeHeader(c *conn, p []byte) (rest []byte, more bool) {
	attempt := c.attempt
	n := g.config.HeaderLimits.HeaderBlock(p, &c.headerScanned)
	if n == 0 {
		return p, false
	}
	if err := http1.ParseResponse(p[:n], &c.response, attempt.req.method, g.config.HeaderLimits); err != nil {
		g.abortNodeConn(c, scheduler.Failed)
		return nil, false
	}
	if !g.protocol.allowsEarlyResponse() && !attempt.requestWritten() { // of an earlier request: this one has not come whole
		g.abortNodeConn(c, g.protocol.truncatedRequestOutcome())
		return nil, false
	}
	p = p[n:]
	if c.response.Status < 200 {
		if c.interimResponses++; c.interimResponses > http1.MaxInterimResponses {
			g.abortNodeConn(c, scheduler.Failed)
			return nil, false
		}
		return p, true
	}
	c.inBody = true
	c.responseBody.Reset(&c.response.Message)
	if !g.receiveResponseHeader(attempt) {
		g.abortNodeConn(c, g.protocol.malformedResponseOutcome())
		return nil, false
	}
	return p, true
}

// nodeBody takes a piece of the body of a node's answer.
func (g *Gateway) nodeBody(c *conn, p []byte) (rest []byte, more bool) {
	attempt := c.attempt
	if cl := attempt.req.client; attempt.req.response.source == attempt && cl != nil && len(cl.pending()) > g.bufferAllowance() {
		g.pause(c)
		g.setDeadline(c, never) // it waits for the client
		return p, false
	}
	data, rest, err := c.responseBody.Next(p)
	if err != nil {
		g.abortNodeConn(c, g.protocol.malformedResponseOutcome())
		return nil, false
	}
	g.receiveResponseData(attempt, data)
	return rest, true
}

// responseProgressed sets how long an answer that has begun may stand still.
func (g *Gateway) responseProgressed(c *conn) {
	attempt := c.attempt
	if attempt.bufferResponse {
		g.setDeadline(c, min(attempt.req.deadline, g.clock.now+attempt.stallTimeout))
		return
	}
	if attempt.req.response.source != attempt {
		return
	}
	if !attempt.responseStarted {
		attempt.responseStarted = true
		g.events = append(g.events, scheduler.ResponseStarted{ID: attempt.req.id, Attempt: attempt.number})
	}
	if !c.paused {
		g.setDeadline(c, g.clock.now+g.config.Timeouts.Stall)
	}
}

// responseComplete ends an attempt whose answer was read whole.
func (g *Gateway) responseComplete(c *conn) {
	attempt := c.attempt
	c.attempt, c.inBody = nil, false
	keep := !c.response.Close && attempt.requestWritten()
	req := attempt.req
	if req.attempts.uploading == attempt {
		req.attempts.uploading = nil
	}
	if attempt.bufferResponse || req.response.source == attempt {
		g.protocol.endResponse(g, attempt)
	} else {
		g.endAttempt(attempt, attempt.outcome)
	}
	if keep {
		g.park(c)
	} else {
		g.drop(c, Close)
	}
}

func (g *Gateway) nodeClosed(c *conn, eof bool) {
	g.noteClosedByNode(c)
	attempt := c.attempt
	if attempt == nil {
		g.unpark(c)
		if eof {
			g.drop(c, Close)
		} else {
			g.forget(c, false)
		}
		return
	}
	if eof && c.inBody && c.responseBody.InputEnded() {
		g.responseComplete(c)
		return
	}
	c.attempt = nil
	out := attempt.requestWritten()
	if eof {
		g.drop(c, Close)
	} else {
		g.forget(c, false)
	}
	switch {
	case c.inBody && attempt.outcome != scheduler.OK:
		g.endAttempt(attempt, attempt.outcome)
	case !c.connected:
		g.endAttempt(attempt, g.dialFailureOutcome(c, attempt))
	case !attempt.firstByteWritten: // a kept connection that closed just then: proven not to have run
		g.endAttempt(attempt, scheduler.Superseded)
	case !out:
		g.endAttempt(attempt, g.protocol.truncatedRequestOutcome())
	default:
		g.endAttempt(attempt, scheduler.Reset)
	}
}

// dialFailureOutcome is the outcome of an attempt whose connection did not come up: the node's
// failure, unless the head's own machine held it up. Where others came up meanwhile it is of
// that node all the same, as where there is no route to it.
func (g *Gateway) dialFailureOutcome(c *conn, attempt *nodeAttempt) scheduler.Outcome {
	if c.dialStalled && g.nodes.lastConnected <= attempt.startedAt {
		return scheduler.Superseded
	}
	return scheduler.ConnectFailed
}

func (g *Gateway) nodeExpired(c *conn) {
	attempt := c.attempt
	switch {
	case attempt == nil:
		g.unpark(c)
		g.drop(c, Close)
	case !c.connected:
		c.attempt = nil
		g.drop(c, Abort)
		g.endAttempt(attempt, g.dialFailureOutcome(c, attempt))
	case !attempt.firstByteWritten: // the head's own machine held it up: it never ran
		c.attempt = nil
		g.drop(c, Abort)
		g.endAttempt(attempt, scheduler.Superseded)
	case attempt.req.response.source == attempt, attempt.bufferResponse && g.clock.now < attempt.req.deadline: // the answer stopped in its middle
		g.abortNodeConn(c, g.protocol.malformedResponseOutcome())
	default: // the client's time is up; a later answer is nobody's
		attempt.req.attempts.timedOut = true
		g.abortNodeConn(c, scheduler.TimedOut)
	}
}

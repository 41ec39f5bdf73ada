package gateway

import (
	"maddergap/internal/http1"
	"maddergap/scheduler"
)

// consumeNodeData processes bytes received from a node and returns the bytes that cannot be
// processed yet.
func (g *Gateway) consumeNodeData(c *nodeConn, data []byte) []byte {
	g.resumeStalledAttempt(c.attempt)
	for more := true; more && len(data) > 0 && !c.closed; {
		switch {
		case c.attempt == nil, !c.attempt.firstByteWritten: // an unsolicited response
			g.counts.UnsolicitedResponses++
			g.handleNodeConnLost(c, false)
			return nil
		case c.state == nodeReadingBody:
			data, more = g.consumeResponseBody(c, data)
		default:
			data, more = g.consumeResponseHeader(c, data)
		}
		if c.state == nodeReadingBody && c.responseBody.Done() && !c.closed {
			g.handleResponseComplete(c)
		}
	}
	if c.attempt != nil && !c.closed {
		g.handleResponseProgress(c)
	}
	return data
}

// consumeResponseHeader parses the header of a response if data holds all of it. It returns
// the bytes after the header, and whether they can be processed now.
func (g *Gateway) consumeResponseHeader(c *nodeConn, data []byte) (unconsumed []byte, more bool) {
	attempt := c.attempt
	headerLength := attempt.identity.headerLimits.FindHeaderEnd(data, &c.headerScanned)
	if headerLength == 0 {
		return data, false
	}
	err := http1.ParseResponse(data[:headerLength], &c.response, attempt.identity.method, attempt.identity.headerLimits)
	g.buffers.countFields(&c.fieldBytes, c.response.Fields)
	if err != nil {
		g.abortNodeConn(c, scheduler.Failed)
		return nil, false
	}
	// A response that arrives before the complete request was written belongs to an earlier
	// request, to which the node has responded twice.
	if !g.protocol.allowsEarlyResponse() && !attempt.requestWritten() {
		g.abortNodeConn(c, g.protocol.truncatedRequestOutcome())
		return nil, false
	}
	if c.response.Status < 200 {
		if c.interimResponses++; c.interimResponses > http1.MaxInterimResponses {
			g.abortNodeConn(c, scheduler.Failed)
			return nil, false
		}
		return data[headerLength:], true
	}
	c.state = nodeReadingBody
	c.responseBody.Reset(&c.response.Message)
	g.setDeadline(c, attempt.identity.deadline) // the request has arrived; see responseDeadline
	if !g.beginResponse(attempt) {
		g.abortNodeConn(c, g.protocol.brokenResponseOutcome())
		return nil, false
	}
	return data[headerLength:], true
}

// beginResponse evaluates the header of a response. If the outcome is not OK, only the
// scheduler gets it; otherwise the response is forwarded to the client. beginResponse
// returns false if the response cannot be used.
func (g *Gateway) beginResponse(attempt *nodeAttempt) bool {
	response := &attempt.conn.response
	info := g.protocol.parseResponse(response)
	attempt.status = response.Status
	attempt.outcome = info.Outcome
	attempt.reportedLoad = info.ReportedLoad
	attempt.hasLoadReport = info.HasLoadReport
	if info.Outcome != scheduler.OK {
		return true
	}
	req := attempt.req.live()
	if req == nil {
		return g.protocol.beginUnwantedResponse(attempt)
	}
	return g.protocol.beginResponse(g, req, attempt)
}

// consumeResponseBody processes a piece of a response body. If too much of the response is
// still to be written to the client, it pauses reading from the node instead.
func (g *Gateway) consumeResponseBody(c *nodeConn, data []byte) (unconsumed []byte, more bool) {
	attempt := c.attempt
	if client := attempt.streamingClient(); client != nil && len(client.pending()) > g.bufferAllowance() {
		g.pauseReading(c)
		g.setDeadline(c, never) // no timeout while the node waits for the client
		return data, false
	}
	piece, unconsumed, err := c.responseBody.Next(data)
	if err != nil {
		g.abortNodeConn(c, g.protocol.brokenResponseOutcome())
		return nil, false
	}
	g.receiveResponseData(attempt, piece)
	return unconsumed, true
}

// receiveResponseData passes a piece of a response body to the protocol, or counts and
// discards it if no request takes the response. It aborts the connection if the response
// exceeds a limit.
func (g *Gateway) receiveResponseData(attempt *nodeAttempt, data []byte) {
	if len(data) == 0 {
		return
	}
	req := attempt.responseConsumer()
	if req == nil {
		if attempt.discardedBytes += int64(len(data)); attempt.discardedBytes > g.protocol.maxDiscardedBytes() {
			g.abortNodeConn(attempt.conn, attempt.outcome)
		}
		return
	}
	if !g.protocol.forwardResponseData(g, req, attempt, data) {
		g.abortNodeConn(attempt.conn, g.protocol.brokenResponseOutcome())
	}
}

// handleResponseProgress restarts the no-progress timeout of a response that has begun. It
// notifies the scheduler once when the gateway begins to forward a streamed response.
func (g *Gateway) handleResponseProgress(c *nodeConn) {
	attempt := c.attempt
	if attempt.bufferResponse {
		g.setDeadline(c, min(attempt.identity.deadline, g.clock.now+attempt.noProgressTimeout))
		return
	}
	if attempt.responseConsumer() == nil {
		return
	}
	if !attempt.responseStarted {
		attempt.responseStarted = true
		g.scheduler.notify(scheduler.ResponseStarted{ID: attempt.identity.id, Attempt: attempt.number})
	}
	if !c.readingPaused {
		g.setDeadline(c, g.clock.now+g.config.Timeouts.NoProgress)
	}
}

// handleResponseComplete ends an attempt whose response was read completely. It makes the
// connection idle if it can be reused, and closes it otherwise.
func (g *Gateway) handleResponseComplete(c *nodeConn) {
	attempt := c.attempt
	c.attempt = nil
	c.state = nodeIdle
	c.respondedAt = g.clock.now
	reusable := !c.response.Close && attempt.requestWritten()
	if req := attempt.responseConsumer(); req != nil {
		req.stopUpload(attempt)
		g.protocol.endResponse(g, req, attempt)
	} else {
		g.endAttempt(attempt, attempt.outcome)
	}
	if reusable {
		c.releaseFields(g)
		g.makeIdle(c)
	} else {
		g.closeConn(c, Close)
	}
}

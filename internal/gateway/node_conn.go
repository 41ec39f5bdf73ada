package gateway

import (
	"container/list"

	"maddergap/internal/http1"
	"maddergap/scheduler"
)

// nodeConnState is the state of a connection to a node.
type nodeConnState uint8

const (
	nodeDialing          nodeConnState = iota // the connection is not established yet
	nodeIdle                                  // the connection is established and has no attempt
	nodeCooldown                              // an attempt waits until reuseDelay has passed since the last response
	nodeAwaitingResponse                      // a request is being sent, or its response header is incomplete
	nodeReadingBody                           // the response body is being read
)

func (s nodeConnState) String() string {
	return [...]string{"dialing", "idle", "cooldown", "awaiting response", "reading body"}[s]
}

// nodeConn is a connection to a storage node. It carries at most one attempt at a time. It
// is dialed for an attempt; if that attempt is cancelled before the connection is
// established, the connection becomes idle once it is.
type nodeConn struct {
	bufferedConn
	node                 *node
	addr                 string // address that was dialed
	incarnation          Time   // incarnation of the node when it was dialed; see node.started
	state                nodeConnState
	attempt              *nodeAttempt // nil: none
	dialStalled          bool         // dialing was delayed by a local error; see Stalled
	dialShortOfResources bool         // dialing was delayed because descriptors, memory or ports had run out

	respondedAt Time          // when the last response on the connection was complete; 0: there was none
	idleElement *list.Element // element of nodeTable.idleByAge; nil: the connection is not idle

	// body is the rest of a request body that is written after output. It is part of the buffer of the
	// request, which the attempt keeps from being reused.
	body []byte

	response         http1.Response // header of the attempt's response, if state is nodeReadingBody
	fieldBytes       int64          // size of the field table of response, as counted in bufferPool
	responseBody     http1.BodyDecoder
	interimResponses int // number of 1xx responses to the attempt
}

// isCurrent reports whether the connection leads to the present address and incarnation of
// its node.
func (c *nodeConn) isCurrent() bool {
	return c.addr == c.node.addr && c.incarnation == c.node.started
}

// unwritten returns the number of bytes that are still to be written.
func (c *nodeConn) unwritten() int { return len(c.pending()) + len(c.body) }

// nextOutput returns the bytes that are written next.
func (c *nodeConn) nextOutput() []byte {
	if pending := c.pending(); len(pending) > 0 {
		return pending
	}
	return c.body
}

// releaseFields ends the use of the response header. A field table of the usual size is kept for the next
// response, as a part of the connection.
func (c *nodeConn) releaseFields(g *Gateway) {
	g.buffers.countFields(&c.fieldBytes, nil)
	if cap(c.response.Fields) > maxPooledFields {
		c.response.Fields = nil
	}
}

// sendAttempt sends the attempt of a connection that has become ready for it, unless the request
// has its final response or the time to start has passed.
func (g *Gateway) sendAttempt(c *nodeConn) {
	c.state = nodeAwaitingResponse
	arriveBefore := c.attempt.arriveBefore
	req := c.attempt.req.live()
	if req == nil || arriveBefore > 0 && g.clock.now >= arriveBefore {
		g.withholdAttempt(c)
		return
	}
	g.setDeadline(c, c.attempt.responseDeadline())
	g.sendRequest(c, req)
}

// resumeNodeInput resumes reading from a paused connection, and processes the bytes that
// were read before the pause.
func (g *Gateway) resumeNodeInput(c *nodeConn) {
	if !c.readingPaused {
		return
	}
	g.resumeReading(c)
	if len(c.unread) > 0 {
		g.storeUnread(c, g.consumeNodeData(c, c.unread))
	}
}

func (c *nodeConn) handleData(g *Gateway, data []byte) {
	g.storeUnread(c, g.consumeNodeData(c, g.withUnread(&c.bufferedConn, data)))
}

// handleWritten records the first write of an attempt, and resumes a client whose upload
// was paused until the node takes more.
func (c *nodeConn) handleWritten(g *Gateway, _ int) {
	attempt := c.attempt
	if attempt == nil {
		return
	}
	g.resumeStalledAttempt(attempt)
	if !attempt.firstByteWritten {
		attempt.firstByteWritten = true
		g.checkFirstByteWritten(attempt)
	}
	req := attempt.req.live()
	if req == nil || req.attempts.uploading != attempt {
		return
	}
	if client := req.client; client != nil && client.readingPaused && len(c.pending()) <= g.bufferAllowance()/2 {
		g.restartUploadTimer(client)
		g.resumeClientInput(client)
	}
}

func (c *nodeConn) handleEOF(g *Gateway) {
	if c.attempt != nil && c.state == nodeReadingBody && c.responseBody.InputEnded() {
		g.handleResponseComplete(c) // the body ends with the connection
		return
	}
	g.handleNodeConnLost(c, false)
}

func (c *nodeConn) handleClosed(g *Gateway) { g.handleNodeConnLost(c, true) }

// handleNodeConnLost removes a connection that was lost, and ends its attempt. closedByDriver:
// the driver has closed the connection already. Otherwise the connection of an attempt is reset:
// after a close in order, the kernel would go on sending the bytes that have not arrived yet, and
// the node might run the attempt at any later time, also after a retry.
func (g *Gateway) handleNodeConnLost(c *nodeConn, closedByDriver bool) {
	attempt := c.attempt
	if attempt == nil {
		g.nodes.removeIdle(c)
		g.removeLost(c, closedByDriver, Close)
		return
	}
	outcome := g.connLossOutcome(c, attempt)
	c.attempt = nil
	g.removeLost(c, closedByDriver, Abort)
	g.endAttempt(attempt, outcome)
}

// connLossOutcome returns the outcome of an attempt whose connection was just lost.
func (g *Gateway) connLossOutcome(c *nodeConn, attempt *nodeAttempt) scheduler.Outcome {
	switch {
	case c.state == nodeReadingBody && attempt.outcome != scheduler.OK:
		return attempt.outcome
	case c.state == nodeDialing && c.dialShortOfResources: // the delayed dial was made, and refused
		return scheduler.ConnectFailed
	case c.state == nodeDialing:
		return g.dialFailureOutcome(c, attempt)
	case !attempt.firstByteWritten: // the connection was lost before the write: the request was not executed
		return scheduler.NotSent
	case !attempt.requestWritten():
		return g.protocol.truncatedRequestOutcome()
	}
	return scheduler.Reset
}

func (c *nodeConn) handleTimer(g *Gateway) {
	attempt := c.attempt
	switch {
	case attempt == nil:
		g.closeIdleConn(c)
	case c.state == nodeCooldown:
		g.sendAttempt(c)
	case c.state == nodeDialing:
		c.attempt = nil
		g.closeConn(c, Abort)
		g.endAttempt(attempt, g.dialFailureOutcome(c, attempt))
	case !attempt.firstByteWritten: // this machine was too busy to write the request: it was not executed
		c.attempt = nil
		g.closeConn(c, Abort)
		g.endAttempt(attempt, scheduler.NotSent)
	case attempt.responseTimedOut(g.clock.now):
		g.abortNodeConn(c, g.protocol.brokenResponseOutcome())
	case c.state == nodeAwaitingResponse && g.clock.now < attempt.identity.deadline: // arriveBefore has passed
		g.reportGivenUp(attempt)
		g.abortNodeConn(c, scheduler.Cancelled)
	default: // the deadline of the request has passed, so that a later response is useless
		if req := attempt.req.live(); req != nil {
			req.attempts.timedOut = true
		}
		g.abortNodeConn(c, scheduler.TimedOut)
	}
}

func (c *nodeConn) handleRemoved(g *Gateway) {
	c.body = nil
	c.releaseFields(g)
	g.nodes.connClosed(c.node)
}

// handleNodeConnStalled is called when a system call on a connection is delayed by a local
// error; see Stalled. It notifies the scheduler, so that the delay does not count against the
// node.
func (g *Gateway) handleNodeConnStalled(c *nodeConn) {
	if c.state == nodeDialing {
		c.dialStalled = true
	}
	if attempt := c.attempt; attempt != nil && !attempt.stalled {
		attempt.stalled = true
		g.scheduler.notify(scheduler.AttemptStalled{ID: attempt.identity.id, Attempt: attempt.number})
	}
}

// resumeStalledAttempt is called when an attempt has made progress. It notifies the
// scheduler if the attempt was stalled.
func (g *Gateway) resumeStalledAttempt(attempt *nodeAttempt) {
	if attempt != nil && attempt.stalled {
		attempt.stalled = false
		g.scheduler.notify(scheduler.AttemptResumed{ID: attempt.identity.id, Attempt: attempt.number})
	}
}

// abortNodeConn resets a connection that can no longer be used, and ends its attempt with
// the outcome. If the response header has already reported a fault, the attempt ends with
// the outcome from that header instead.
func (g *Gateway) abortNodeConn(c *nodeConn, outcome scheduler.Outcome) {
	attempt := c.attempt
	if attempt == nil {
		g.closeConn(c, Abort)
		return
	}
	awaitedResponse := outcome == scheduler.Cancelled && attempt.awaitsResponse()
	c.attempt = nil
	g.closeConn(c, Abort)
	if attempt.outcome != scheduler.OK && c.state == nodeReadingBody {
		outcome = attempt.outcome
	}
	g.endAttemptAwaiting(attempt, outcome, awaitedResponse)
}

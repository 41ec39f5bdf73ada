package gateway

import (
	"time"

	"maddergap/scheduler"
)

// nodeAttempt is an attempt to have a node execute a request. It begins when the scheduler
// decides to send the request, and ends exactly once, with an outcome that is reported to
// the scheduler.
//
// An attempt may outlive its request: once its response has begun, the gateway reads and discards
// the rest, so that the connection can be reused; see requestRef.
type nodeAttempt struct {
	req      requestRef
	identity requestIdentity
	number   int // index among the request's attempts, from 0
	nodeName string
	// conn is nil if the attempt ended before it had a connection. While the attempt is in
	// flight, conn.attempt is this attempt; afterwards the connection may carry another one.
	conn         *nodeConn
	spanID       [8]byte
	startedAt    Time
	arriveBefore Time // see scheduler.Send; 0: no limit
	ended        bool

	// State of the request on the connection.
	fullyQueued      bool // the whole request is in the connection's output buffer, or was written
	firstByteWritten bool
	chunked          bool          // the request body is sent with chunked transfer coding
	stalled          bool          // AttemptStalled was sent to the scheduler, AttemptResumed not yet
	announcedTimeout time.Duration // timeout sent to the node with the request; 0: none

	// State of the response.
	outcome           scheduler.Outcome // as the response header reports it
	hasLoadReport     bool
	responseStarted   bool          // ResponseStarted was sent to the scheduler
	bufferResponse    bool          // the protocol forwards the response only when it is complete
	status            int           // HTTP status; 0: no response header was read
	reportedLoad      float64       // number of requests at the node by its load report, if hasLoadReport
	discardedBytes    int64         // number of body bytes read and discarded
	responseBody      []byte        // body read so far, if bufferResponse
	noProgressTimeout time.Duration // how long the response may make no progress, if bufferResponse
}

// responseDeadline returns the time at which the attempt is given up if its response has not begun.
func (a *nodeAttempt) responseDeadline() Time {
	if a.arriveBefore > 0 {
		return min(a.identity.deadline, a.arriveBefore)
	}
	return a.identity.deadline
}

// requestWritten reports whether the whole request was written to the connection.
func (a *nodeAttempt) requestWritten() bool {
	return a.fullyQueued && a.conn.unwritten() == 0
}

// awaitsResponse reports whether the whole request was written and no response has begun.
func (a *nodeAttempt) awaitsResponse() bool {
	return a.conn.state == nodeAwaitingResponse && a.requestWritten()
}

// responseConsumer returns the request that takes the attempt's response, or nil if the
// response is read and discarded. A buffered response has a consumer until the request gets
// its final response, a streamed one only while it is being forwarded.
func (a *nodeAttempt) responseConsumer() *request {
	req := a.req.live()
	if req == nil || !a.bufferResponse && req.response.source != a {
		return nil
	}
	return req
}

// streamingClient returns the client that the attempt's response is streamed to, or nil if
// there is none.
func (a *nodeAttempt) streamingClient() *clientConn {
	if req := a.req.live(); req != nil && req.response.source == a {
		return req.client
	}
	return nil
}

// responseTimedOut is called when the timer of the attempt's connection has expired. It
// reports whether a response that has begun made no progress. Otherwise the deadline of the
// request has passed, which also bounds the timer of a buffered response.
func (a *nodeAttempt) responseTimedOut(now Time) bool {
	if a.bufferResponse {
		return now < a.identity.deadline
	}
	return a.responseConsumer() != nil
}

// newAttempt begins an attempt of a request at a node, and counts it. The attempt has no
// connection yet.
func (g *Gateway) newAttempt(req *request, nodeName string, arriveBefore Time) *nodeAttempt {
	attempt := &nodeAttempt{
		req:          refTo(req),
		identity:     identityOf(req),
		number:       req.attempts.count,
		nodeName:     nodeName,
		startedAt:    g.clock.now,
		arriveBefore: arriveBefore,
	}
	g.ids.fillRandom(attempt.spanID[:])
	req.attempts.latest = attempt
	req.attempts.count++
	req.attempts.inFlight++
	g.counts.Attempts++
	return attempt
}

// endAttempt ends an attempt and reports its outcome to the scheduler and the observer. A
// second call is ignored.
func (g *Gateway) endAttempt(attempt *nodeAttempt, outcome scheduler.Outcome) {
	g.endAttemptAwaiting(attempt, outcome, false)
}

// endAttemptAwaiting is like endAttempt. awaitedResponse reports whether the attempt was given up
// while the gateway waited for its response; see scheduler.AttemptEnded.
func (g *Gateway) endAttemptAwaiting(attempt *nodeAttempt, outcome scheduler.Outcome, awaitedResponse bool) {
	if attempt.ended {
		return
	}
	attempt.ended = true
	g.buffers.responseBytes -= int64(cap(attempt.responseBody))
	g.buffers.release(&attempt.responseBody)
	event := scheduler.AttemptEnded{
		ID:             attempt.identity.id,
		Attempt:        attempt.number,
		Node:           attempt.nodeName,
		Outcome:        outcome,
		Duration:       g.clock.now - attempt.startedAt,
		Responded:      true,
		GivenUpWaiting: awaitedResponse,
		ReportedLoad:   attempt.reportedLoad,
		HasLoadReport:  attempt.hasLoadReport,
	}
	if req := attempt.req.live(); req != nil {
		g.recordPossibleExecution(req, attempt, outcome)
		req.stopUpload(attempt)
		g.withdrawResponse(req, attempt)
		event.Responded = false
		event.BodyConsumed = req.body.consumed
	}
	g.scheduler.notify(event)
	g.reportAttempt(attempt, outcome)
	g.releaseRequest(attempt)
}

// releaseRequest ends an attempt's use of its request, and recycles the request if nothing
// else uses it.
func (g *Gateway) releaseRequest(attempt *nodeAttempt) {
	req := attempt.req.request
	req.attempts.inFlight--
	g.recycle(req)
}

// stopUpload stops forwarding the request body to an attempt, if that attempt receives it.
func (r *request) stopUpload(attempt *nodeAttempt) {
	if r.attempts.uploading == attempt {
		r.attempts.uploading = nil
	}
}

// cancelAttempts is called when a request is about to end without a complete response of a
// node. It aborts an attempt that the node cannot execute because the body is incomplete,
// and one whose response was being forwarded.
func (g *Gateway) cancelAttempts(req *request) {
	switch attempts := &req.attempts; {
	case attempts.uploading != nil && !req.body.complete:
		g.abortAttempt(attempts.uploading)
	case req.response.source != nil:
		g.abortAttempt(req.response.source)
	case attempts.latest != nil:
		g.cancelAttempt(attempts.latest)
	}
}

// abortAttempt ends an attempt whose response is no longer needed, and resets its connection.
func (g *Gateway) abortAttempt(attempt *nodeAttempt) {
	if !attempt.ended {
		g.abortNodeConn(attempt.conn, scheduler.Cancelled)
	}
}

// cancelAttempt ends an attempt whose request is about to end, unless its response has begun. Only a
// response proves that the request has arrived: what the kernel has taken may still be on its way, and
// the node would execute it long after the client has left. A reset discards it. A connection that is
// still being dialed, or that cannot be reused yet, is kept for the next request.
func (g *Gateway) cancelAttempt(attempt *nodeAttempt) {
	c := attempt.conn
	switch {
	case attempt.ended || c == nil || c.state == nodeReadingBody:
	case c.state == nodeDialing:
		c.attempt = nil
		g.endAttempt(attempt, scheduler.NotSent)
	case c.state == nodeCooldown:
		g.withholdAttempt(c)
	default:
		g.abortNodeConn(c, scheduler.Cancelled)
	}
}

package gateway

import (
	"time"

	"maddergap/scheduler"
)

// nodeAttempt is one sending of a request to a node. It begins when the scheduler decides
// to send, and ends exactly once, with an outcome that the scheduler is notified of. conn
// is nil if the attempt ended before it had a connection. While it is in flight,
// conn.attempt is this attempt; afterwards the connection may carry another one.
//
// An attempt may outlive its request: a node that may be executing it is waited for. Its
// response is read and dropped then; see requestRef.
type nodeAttempt struct {
	req         requestRef
	identity    requestIdentity
	number      int // of the request's attempts, from 0
	nodeName    string
	conn        *nodeConn
	spanID      [8]byte
	startedAt   Time
	startBefore Time // its first byte has to be written before this; 0: at any time
	ended       bool

	// The request, on the connection.
	fullyQueued      bool // the whole request is in the connection's buffer, or was written
	firstByteWritten bool
	chunked          bool          // the request body is sent in chunks
	stalled          bool          // the scheduler was notified that this machine holds it up
	announcedTimeout time.Duration // the timeout sent to the node with the request; 0: none

	// The response.
	outcome           scheduler.Outcome // by its header
	hasLoadReport     bool
	responseStarted   bool          // the scheduler was notified that the response streams
	bufferResponse    bool          // the response is buffered until it is complete
	status            int           // 0: there is none
	reportedLoad      float64       // requests that the node said it has, if hasLoadReport
	discardedBytes    int64         // of a response that is not passed on
	responseBody      []byte        // of a buffered response
	noProgressTimeout time.Duration // of a buffered response
}

// requestWritten reports whether the whole request was written.
func (a *nodeAttempt) requestWritten() bool {
	return a.fullyQueued && len(a.conn.pending()) == 0
}

// responseConsumer returns the request that the attempt's response is for, as it has none
// yet or this one is being passed on. nil: the response is read and dropped.
func (a *nodeAttempt) responseConsumer() *request {
	req := a.req.live()
	if req == nil || !a.bufferResponse && req.response.source != a {
		return nil
	}
	return req
}

// streamingClient returns the client that the attempt's response is streamed to, or nil if it is
// not streamed to one.
func (a *nodeAttempt) streamingClient() *clientConn {
	if req := a.req.live(); req != nil && req.response.source == a {
		return req.client
	}
	return nil
}

// responseTimedOut reports whether the timer of the attempt's connection, which has expired,
// was that of a response that has begun and makes no progress. If not, it was that of the
// request's deadline, which also bounds the timer of a buffered response.
func (a *nodeAttempt) responseTimedOut(now Time) bool {
	if a.bufferResponse {
		return now < a.identity.deadline
	}
	return a.responseConsumer() != nil
}

// newAttempt begins an attempt.
func (g *Gateway) newAttempt(req *request, nodeName string, startBefore Time) *nodeAttempt {
	attempt := &nodeAttempt{
		req:         refTo(req),
		identity:    g.identityOf(req),
		number:      req.attempts.count,
		nodeName:    nodeName,
		startedAt:   g.clock.now,
		startBefore: startBefore,
	}
	g.ids.fill(attempt.spanID[:])
	req.attempts.latest = attempt
	req.attempts.count++
	req.attempts.inFlight++
	g.counts.Attempts++
	return attempt
}

// endAttempt ends an attempt and notifies the scheduler of its outcome. A second call is
// ignored.
func (g *Gateway) endAttempt(attempt *nodeAttempt, outcome scheduler.Outcome) {
	if attempt.ended {
		return
	}
	attempt.ended = true
	g.buffers.responseBytes -= int64(len(attempt.responseBody))
	g.buffers.put(attempt.responseBody)
	attempt.responseBody = nil
	event := scheduler.AttemptEnded{
		ID:            attempt.identity.id,
		Attempt:       attempt.number,
		Node:          attempt.nodeName,
		Outcome:       outcome,
		Duration:      g.clock.now - attempt.startedAt,
		Responded:     true,
		ReportedLoad:  attempt.reportedLoad,
		HasLoadReport: attempt.hasLoadReport,
	}
	if req := attempt.req.live(); req != nil {
		g.notePossibleExecution(req, attempt, outcome)
		req.stopUpload(attempt)
		g.withdrawResponse(req, attempt)
		event.Responded = false
		event.BodyConsumed = req.body.consumed
	}
	g.scheduler.notify(event)
	g.reportAttempt(attempt, outcome)
	g.releaseRequest(attempt)
}

// releaseRequest ends an attempt's use of its request's object.
func (g *Gateway) releaseRequest(attempt *nodeAttempt) {
	req := attempt.req.request
	req.attempts.inFlight--
	g.recycle(req)
}

// stopUpload ends the forwarding of the body to an attempt, if it is forwarded to that one.
func (r *request) stopUpload(attempt *nodeAttempt) {
	if r.attempts.uploading == attempt {
		r.attempts.uploading = nil
	}
}

// cancelAttempts ends the attempts of a request that is about to end without a node's response.
// One that a node may be executing is left to its outcome, as it occupies the node's
// capacity until then. One is ended if the node cannot execute it, because the body is
// incomplete, or if its response was being passed on.
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

// abortAttempt ends an attempt that is of no use any more, with its connection.
func (g *Gateway) abortAttempt(attempt *nodeAttempt) {
	if !attempt.ended {
		g.abortNodeConn(attempt.conn, scheduler.Cancelled)
	}
}

// cancelAttempt ends an attempt whose client has left, unless the complete request was
// written: then the node may be executing it, and its outcome is awaited. An incomplete
// request is never executed. A connection that is still being dialed is kept for the next
// request.
func (g *Gateway) cancelAttempt(attempt *nodeAttempt) {
	c := attempt.conn
	switch {
	case attempt.ended || c == nil || attempt.requestWritten():
	case c.state == nodeDialing:
		c.attempt = nil
		g.endAttempt(attempt, scheduler.NotSent)
	default:
		g.abortNodeConn(c, scheduler.Cancelled)
	}
}

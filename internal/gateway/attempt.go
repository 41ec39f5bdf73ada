package gateway

import (
	"time"

	"maddergap/scheduler"
)

// nodeAttempt is one sending of a request to a node. It begins when the scheduler decides
// to send, and ends exactly once, with an outcome that the scheduler is notified of. conn
// is nil if the attempt ended before it had a connection. While it is in flight,
// conn.attempt is this attempt; afterwards the connection may carry another one.
type nodeAttempt struct {
	req         *request
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

// responseWanted reports whether the body of its response is for a client or a listing.
func (a *nodeAttempt) responseWanted() bool {
	if a.bufferResponse {
		return true
	}
	return a.req.response.source == a && (a.req.listing != nil || a.req.client != nil)
}

// responseTimedOut reports whether the timer of the attempt's connection, which has expired,
// was that of a response that has begun and makes no progress. If not, it was that of the
// request's deadline, which also bounds the timer of a buffered response.
func (a *nodeAttempt) responseTimedOut(now Time) bool {
	streaming := a.req.response.source == a
	buffering := a.bufferResponse && now < a.req.deadline
	return streaming || buffering
}

// newAttempt begins an attempt.
func (g *Gateway) newAttempt(req *request, nodeName string, startBefore Time) *nodeAttempt {
	attempt := &nodeAttempt{
		req:         req,
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
	req := attempt.req
	g.notePossibleExecution(attempt, outcome)
	g.buffers.responseBytes -= int64(len(attempt.responseBody))
	g.buffers.put(attempt.responseBody)
	attempt.responseBody = nil
	req.attempts.inFlight--
	if req.attempts.uploading == attempt {
		req.attempts.uploading = nil
	}
	g.scheduler.notify(scheduler.AttemptEnded{
		ID:            req.id,
		Attempt:       attempt.number,
		Node:          attempt.nodeName,
		Outcome:       outcome,
		Duration:      g.clock.now - attempt.startedAt,
		Responded:     req.response.final,
		BodyConsumed:  req.body.consumed,
		ReportedLoad:  attempt.reportedLoad,
		HasLoadReport: attempt.hasLoadReport,
	})
	g.reportAttempt(attempt, outcome)
	g.recycle(req)
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

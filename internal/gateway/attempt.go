package gateway

import (
	"time"

	"maddergap/scheduler"
)

// nodeAttempt is one sending of a request to a node.
type nodeAttempt struct {
	req              *request
	number           int
	nodeName         string
	conn             *conn
	startedAt        Time
	startBefore      Time // it must begin before that, 0: at any time
	firstByteWritten bool // something of it went out
	fullyQueued      bool // all of it was handed to the connection
	ended            bool
	stalled          bool // the head's own machine holds it up
	chunked          bool // its body goes out in chunks
	responseStarted  bool // the module was told that its answer streams
	outcome          scheduler.Outcome
	discardedBytes   int64 // bytes of an answer that nobody is given
	reportedLoad     float64
	hasLoadReport    bool
	status           int
	announcedTimeout time.Duration // for how long it tells the node that it is waited for, 0: it does not
	spanID           [8]byte
	bufferResponse   bool   // its answer is held whole before any of it is passed on
	responseBody     []byte // so much of it
	stallTimeout     Time   // for which it may stand still
}

// requestWritten tells whether all of it was written.
func (attempt *nodeAttempt) requestWritten() bool {
	return attempt.fullyQueued && len(attempt.conn.pending()) == 0
}

// endAttempt tells the module how an attempt ended.
func (g *Gateway) endAttempt(attempt *nodeAttempt, o scheduler.Outcome) {
	if attempt.ended {
		return
	}
	attempt.ended = true
	req := attempt.req
	g.notePossibleExecution(attempt, o)
	g.buffers.responseBytes -= int64(len(attempt.responseBody))
	g.buffers.put(attempt.responseBody)
	attempt.responseBody = nil
	req.attempts.inFlight--
	if req.attempts.uploading == attempt {
		req.attempts.uploading = nil
	}
	g.events = append(g.events, scheduler.AttemptEnded{ID: req.id, Attempt: attempt.number, Node: attempt.nodeName, Outcome: o, Duration: g.clock.now - attempt.startedAt,
		Responded: req.response.final, BodyConsumed: req.body.consumed, ReportedLoad: attempt.reportedLoad, HasLoadReport: attempt.hasLoadReport})
	if g.observer != nil {
		g.span = Span{Request: g.ids.requestID(req.id), Trace: req.trace.id, ID: attempt.spanID, Parent: req.trace.span, Sampled: req.trace.sampled,
			Start: attempt.startedAt, End: g.clock.now, Method: req.method, Path: req.location.Path, Volume: req.info.Arrival.Volume,
			Class: g.config.Scheduler.Classes[req.info.Arrival.Class].Name, Status: attempt.status, Attempt: attempt.number, Node: attempt.nodeName, AttemptOutcome: o}
		g.observer.Attempt(&g.span)
	}
	g.recycle(req)
}

// abortNodeConn ends a connection that cannot be used further, and its attempt.
func (g *Gateway) abortNodeConn(c *conn, o scheduler.Outcome) {
	attempt := c.attempt
	c.attempt = nil
	g.drop(c, Abort)
	if attempt != nil {
		if attempt.outcome != scheduler.OK && c.inBody {
			o = attempt.outcome // its status was read
		}
		g.endAttempt(attempt, o)
	}
}

// abortAttempt ends an attempt that is of no use any more.
func (g *Gateway) abortAttempt(attempt *nodeAttempt) {
	if !attempt.ended {
		g.abortNodeConn(attempt.conn, scheduler.Cancelled)
	}
}

// cancelAttempt ends an attempt of which nothing, or not all, has gone out: it never ran, and
// begins for nobody. One that is out goes on to its outcome. A connection that is still
// coming up is kept for the next request.
func (g *Gateway) cancelAttempt(attempt *nodeAttempt) {
	c := attempt.conn
	switch {
	case attempt.ended || c == nil || attempt.requestWritten():
	case c.connected:
		g.abortNodeConn(c, scheduler.Cancelled)
	default:
		c.attempt = nil
		g.endAttempt(attempt, scheduler.Superseded)
	}
}

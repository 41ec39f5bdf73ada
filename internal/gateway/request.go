package gateway

import (
	"maddergap/internal/config"
	"maddergap/internal/http1"
	"maddergap/internal/route"
	"maddergap/scheduler"
)

// request is a request of a client, from its header to its final response. When it is
// submitted to the scheduler it gets an id and enters the request table; from then on it
// has to get exactly one final response. The object is reused once neither a client, nor an attempt, nor the scheduler
// refers to it; see inUse.
type request struct {
	id     uint64      // 0: not submitted
	client *clientConn // nil: it has left, or has the complete response in its buffers
	method string

	rawHeader      []byte // that header points into
	header         http1.Request
	location       route.Location
	classification route.Classification
	volume         *config.Volume // of the configuration that was in force when it arrived
	info           RequestInfo    // of the protocol; info.Arrival is the event for the scheduler

	headerReceivedAt Time
	submittedAt      Time
	deadline         Time // of the final response
	cancelledAt      Time // when cancelRequest ended it; 0: it did not

	body     requestBody
	attempts requestAttempts
	response clientResponse
	trace    traceContext

	listing     *listing // that the request begins, or is a part of; nil: none
	listingPart int      // its index in listing.parts

	recycled bool // it is in requestTable.free, or left to the garbage collector
}

// requestBody is the body of a request, as far as it was received. Its data is sent again
// with each attempt, unless consumed is set.
type requestBody struct {
	decoder         http1.BodyDecoder
	data            []byte // the beginning of the body, at most Limits.BodyBuffer and one read
	received        int64  // bytes
	complete        bool   // all of it was received
	consumed        bool   // more of it was forwarded than is in data: no retry is possible
	continueHandled bool   // the client was sent 100 (Continue), or does not wait for it
	bufferFully     bool   // the request is submitted when all of it is in data
}

// requestAttempts describes the attempts of a request.
type requestAttempts struct {
	count           int
	inFlight        int          // without an outcome
	latest          *nodeAttempt // nil: none
	uploading       *nodeAttempt // that the body is forwarded to as it comes; nil: none
	mayHaveExecuted possibleExecution
	timedOut        bool // one had no response by the request's deadline
}

// possibleExecution describes the first attempt of a request that may have been executed.
// A retry of an idempotent request has to reach a node that still deduplicates it.
type possibleExecution struct {
	known       bool // there is one
	zone, shard int  // of its node
	startedAt   Time
}

// clientResponse is a request's final response.
type clientResponse struct {
	final    bool         // it is decided; no other may be given
	reported bool         // the request's end was reported
	source   *nodeAttempt // whose response it is; nil: the gateway's own, or none yet
	chunked  bool         // it is sent in chunks
	// outputStart is the position in the client's output at which source's response begins; see
	// outputEnd.
	outputStart int64
	status      int
	reason      string // why the gateway itself responded; empty: it did not
	// waitReason is what kept the request from being sent when the scheduler ended it.
	waitReason scheduler.Reason
}

// decide makes a response of the gateway's own the final one. The client gets it unless the
// header of a node's response was sent already; see finishRequest.
func (r *clientResponse) decide(status int, reason string) {
	r.final = true
	r.status = status
	r.reason = reason
}

// traceContext is a request's part of a trace (W3C Trace Context).
type traceContext struct {
	id      [16]byte
	span    [8]byte // of the request at the gateway
	parent  [8]byte // of the client; zero: the gateway began the trace
	sampled bool
}

// inUse reports whether a client, an attempt or the scheduler still refers to the request, or
// its end is still to be reported.
func (r *request) inUse() bool {
	endDue := !r.response.reported
	if r.id == 0 { // a listing, or one that the gateway answers at once
		endDue = r.listing != nil && !r.response.final
	}
	return r.client != nil || r.attempts.inFlight > 0 || endDue
}

// recycle takes back a request if it is no longer in use. It may be called more than once.
func (g *Gateway) recycle(req *request) {
	if req.recycled || req.inUse() {
		return
	}
	g.buffers.put(req.rawHeader)
	g.buffers.put(req.body.data)
	g.requests.recycle(req)
}

package gateway

import (
	"maddergap/internal/config"
	"maddergap/internal/http1"
	"maddergap/internal/route"
	"maddergap/scheduler"
)

// request is a client's request, from its header to its final response. When it is
// submitted to the scheduler it gets an id and enters the request table; from then on it
// has to get exactly one final response. The object is reused once neither a client, nor an
// attempt, nor the scheduler refers to it; see inUse.
type request struct {
	id uint64 // 0: not submitted
	// client is nil if the client has disconnected, if the complete response is in its output
	// buffer, and for a part of a listing.
	client *clientConn
	method string

	rawHeader  []byte // buffer that header points into
	header     http1.Request
	fieldBytes int64 // size of the field table of header, as counted in bufferPool
	// config and routes were in force when the header of the request was read. All that the request
	// takes from a configuration is from these, since an index or a limit of one configuration means
	// nothing in another.
	config         *config.Config
	routes         *route.Table
	location       route.Location
	classification route.Classification
	volume         *config.Volume
	info           RequestInfo // from the protocol; info.Arrival is the event for the scheduler

	headerReceivedAt Time
	submittedAt      Time
	deadline         Time // time by which the final response is due
	cancelledAt      Time // time at which cancelRequest ended the request; 0: it did not

	body     requestBody
	attempts requestAttempts
	response clientResponse
	trace    traceContext

	listing     *listing // listing that the request asks for or is a part of; nil: none
	listingPart int      // index of a part in listing.parts

	recycled bool // the object is in requestTable.free, or left to the garbage collector
}

// requestBody is the part of a request body that was received. Each attempt sends data
// first. Once consumed is set, data is no longer enough for another attempt.
type requestBody struct {
	decoder         http1.BodyDecoder
	data            []byte // beginning of the body, at most Limits.BodyBuffer and one read
	received        int64  // number of bytes received
	complete        bool   // the whole body was received
	consumed        bool   // bytes beyond data were forwarded and not kept: no retry is possible
	continueHandled bool   // the client was sent 100 (Continue), or does not wait for it
	bufferFully     bool   // the request is submitted only when data holds the whole body
}

// requestAttempts describes the attempts of a request.
type requestAttempts struct {
	count           int
	inFlight        int          // number of attempts without an outcome
	latest          *nodeAttempt // nil: none
	uploading       *nodeAttempt // attempt that the body is forwarded to as it arrives; nil: none
	mayHaveExecuted possibleExecution
	timedOut        bool // an attempt had no response by the request's deadline
}

// possibleExecution describes the first attempt of a request that may have been executed.
// A retry of an idempotent request has to reach a node that still remembers that attempt,
// so that the retry is deduplicated.
type possibleExecution struct {
	known       bool // there is such an attempt
	zone, shard int  // zone and shard of its node
	startedAt   Time
}

// clientResponse is the state of the final response to a request.
type clientResponse struct {
	// final is set when no other response may follow: a node's response is complete, the
	// gateway has decided on a response of its own, or the request was cancelled.
	final    bool
	reported bool         // the end of the request was reported
	source   *nodeAttempt // attempt whose response is forwarded; nil: the gateway responds, or no response yet
	chunked  bool         // the response is sent with chunked transfer coding
	// outputStart is the position in the client's output at which source's response begins; see
	// outputEnd.
	outputStart int64
	status      int
	reason      string // why the gateway itself responded; empty: it did not
	// waitReason is what kept the request from being sent when the scheduler ended it.
	waitReason scheduler.Reason
}

// decide makes a response of the gateway itself the final one. The client gets it unless the
// header of a node's response was sent already; see finishRequest.
func (r *clientResponse) decide(status int, reason string) {
	r.final = true
	r.status = status
	r.reason = reason
}

// traceContext is a request's position in a trace (W3C Trace Context).
type traceContext struct {
	id      [16]byte
	span    [8]byte // span id of the request at the gateway
	parent  [8]byte // span id of the client; zero: the gateway began the trace
	sampled bool
}

// inUse reports whether a client, an attempt or the scheduler still refers to the request, or
// its end is still to be reported.
func (r *request) inUse() bool {
	endUnreported := !r.response.reported
	if r.id == 0 { // a listing, or a request that the gateway answers at once
		endUnreported = r.listing != nil && !r.response.final
	}
	return r.client != nil || r.attempts.inFlight > 0 || endUnreported
}

// recycle takes back the object of a request, and its buffers, if it is no longer in use. It
// may be called more than once.
func (g *Gateway) recycle(req *request) {
	if req.recycled || req.inUse() {
		return
	}
	g.buffers.release(&req.rawHeader)
	g.buffers.release(&req.body.data)
	g.buffers.countFields(&req.fieldBytes, nil)
	g.requests.recycle(req)
}

package gateway

import (
	"time"

	"maddergap/internal/config"
	"maddergap/internal/http1"
	"maddergap/internal/route"
)

// request is a request of a client and what becomes of it.
type request struct {
	id     uint64 // 0: not given to the module
	client *conn  // nil: it left, or has its answer whole
	method string

	rawHeader      []byte
	header         http1.Request
	location       route.Location
	classification route.Classification
	volume         *config.Volume // as the configuration was when it came
	info           RequestInfo    // what the module is told of it

	headerReceivedAt Time // when its header was whole
	submittedAt      Time // when the module was told
	deadline         Time // by when its answer must go out
	disconnectedAt   Time // when its client was seen to go, 0: it is there

	body     requestBody
	attempts requestAttempts
	response clientResponse
	trace    traceContext

	listing     *listing
	listingPart int // of the listing

	recycled bool // kept for use again
}

// requestBody is what was read of a request's body.
type requestBody struct {
	decoder         http1.BodyDecoder
	data            []byte // for sending it (again)
	received        int64  // bytes of it
	complete        bool   // it was read to its end
	consumed        bool   // more of it was sent on than is held: it cannot be sent again
	continueHandled bool   // the client was told 100, or need not be
	bufferFully     bool   // it is held whole before the request is taken, up to BodyHold
}

// requestAttempts is what is known of a request's attempts.
type requestAttempts struct {
	count           int
	inFlight        int // without an outcome
	latest          *nodeAttempt
	uploading       *nodeAttempt // that the body is sent on to as it comes
	mayHaveExecuted possibleExecution
	timedOut        bool // one had no answer in time
}

// possibleExecution is where and when an attempt of a request began that may have run.
type possibleExecution struct {
	known       bool
	zone, shard int
	startedAt   Time
}

// clientResponse is a request's final answer, on its way to the client.
type clientResponse struct {
	final    bool
	reported bool         // the request's end was reported
	source   *nodeAttempt // whose answer it is, nil: the head's own or none yet
	chunked  bool         // it goes out in chunks
	status   int
	reason   string // why the head itself answered
}

// traceContext is a request's part of a trace (W3C Trace Context).
type traceContext struct {
	id      [16]byte
	span    [8]byte
	parent  [8]byte
	sampled bool
}

// recycle takes back an exchange that is no longer in use, if it is. It may be
// called more often than once.
func (g *Gateway) recycle(req *request) {
	if req.recycled || req.inUse() {
		return
	}
	g.buffers.put(req.rawHeader)
	g.buffers.put(req.body.data)
	g.requests.recycle(req)
}

// inUse tells whether a client, an attempt or the module still speaks of it.
func (req *request) inUse() bool {
	owed := !req.response.final && (req.id != 0 || req.listing != nil)
	return req.client != nil || req.attempts.inFlight > 0 || owed
}

// timeRemaining is for how long an attempt that is sent now is waited for.
func (req *request) timeRemaining(now Time) time.Duration {
	return max(req.deadline-now, time.Millisecond)
}

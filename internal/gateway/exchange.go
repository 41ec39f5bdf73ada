package gateway

import (
	"time"

	"maddergap/internal/config"
	"maddergap/internal/http1"
	"maddergap/internal/route"
)

// exchange is a request of a client and what becomes of it.
type exchange struct {
	id     uint64 // 0: not given to the module
	client *conn  // nil: it left, or has its answer whole
	method string

	headerBytes []byte
	req         http1.Request
	place       route.Location
	job         route.Classification
	volume      *config.Volume // as the configuration was when it came
	ask         RequestInfo    // what the module is told of it

	headerAt     Time // when its header was whole
	takenAt      Time // when the module was told
	deadline     Time // by when its answer must go out
	clientLeftAt Time // when its client was seen to go, 0: it is there

	body     requestBody
	attempts requestAttempts
	answer   clientAnswer
	trace    traceContext

	listing *listing
	part    int // of the listing

	recycled bool // kept for use again
}

// requestBody is what was read of a request's body.
type requestBody struct {
	decoder  http1.Body
	held     []byte // for sending it (again)
	received int64  // bytes of it
	whole    bool   // it was read to its end
	spent    bool   // more of it was sent on than is held: it cannot be sent again
	invited  bool   // the client was told 100, or need not be
	buffered bool   // it is held whole before the request is taken, up to BodyHold
}

// requestAttempts is what is known of a request's attempts.
type requestAttempts struct {
	count      int
	inFlight   int // without an outcome
	latest     *attempt
	upload     *attempt // that the body is sent on to as it comes
	mayHaveRun attemptRun
	timedOut   bool // one had no answer in time
}

// attemptRun is where and when an attempt of a request began that may have run.
type attemptRun struct {
	known       bool
	zone, shard int
	began       Time
}

// clientAnswer is a request's final answer, on its way to the client.
type clientAnswer struct {
	final    bool
	reported bool     // the request's end was reported
	from     *attempt // whose answer it is, nil: the head's own or none yet
	chunked  bool     // it goes out in chunks
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
func (h *Gateway) recycle(ex *exchange) {
	if ex.recycled || ex.inUse() {
		return
	}
	h.buffers.put(ex.headerBytes)
	h.buffers.put(ex.body.held)
	h.requests.recycle(ex)
}

// inUse tells whether a client, an attempt or the module still speaks of it.
func (ex *exchange) inUse() bool {
	owed := !ex.answer.final && (ex.id != 0 || ex.listing != nil)
	return ex.client != nil || ex.attempts.inFlight > 0 || owed
}

// timeLeft is for how long an attempt that is sent now is waited for.
func (ex *exchange) timeLeft(now Time) time.Duration {
	return max(ex.deadline-now, time.Millisecond)
}

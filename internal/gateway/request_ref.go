package gateway

import (
	"time"

	"maddergap/internal/http1"
	"maddergap/scheduler"
)

// requestRef is an attempt's reference to its request. It gives access to the request only
// until the final response is decided: from then on, an attempt that is still in flight has no
// access to the client, the response or the report of the request. After the attempt has ended,
// the object may be reused for another request.
type requestRef struct {
	request *request
	id      uint64 // id of the request; ids are never reused, so it differs from that of a reused object
}

func refTo(req *request) requestRef { return requestRef{request: req, id: req.id} }

// live returns the request, or nil if its final response is decided or the object was recycled.
func (r requestRef) live() *request {
	if r.request.id != r.id || r.request.response.final {
		return nil
	}
	return r.request
}

// cancelledAt returns when the request was cancelled; 0: it was not. It must be called only
// while the attempt is in flight, as the object may be reused afterwards.
func (r requestRef) cancelledAt() Time { return r.request.cancelledAt }

// requestIdentity holds the properties of a request that an attempt needs also after the
// request has ended. They do not change during the attempt.
type requestIdentity struct {
	id     uint64
	method string
	path   string
	volume string
	class  *scheduler.Class
	// headerLimits bounds the header of the response.
	headerLimits http1.Limits
	trace        traceContext
	deadline     Time
}

func identityOf(req *request) requestIdentity {
	return requestIdentity{
		id:           req.id,
		method:       req.method,
		path:         req.location.Path,
		volume:       req.info.Arrival.Volume,
		class:        req.class(),
		headerLimits: req.config.HeaderLimits,
		trace:        req.trace,
		deadline:     req.deadline,
	}
}

// timeRemaining returns how long the gateway waits for the response to an attempt that is
// sent now: until the deadline, and 1ms at least.
func (r *requestIdentity) timeRemaining(now Time) time.Duration {
	return max(r.deadline-now, time.Millisecond)
}

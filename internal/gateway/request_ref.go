package gateway

import (
	"time"

	"maddergap/scheduler"
)

// requestRef is an attempt's reference to its request. It leads to the request only up to the
// request's final response: from then on, an attempt that is still in flight has no way to the
// client, the response or the report of the request, and the object may serve another request.
type requestRef struct {
	request *request
	id      uint64 // ids are not reused, so that a reused object is told from the request
}

func refTo(req *request) requestRef { return requestRef{request: req, id: req.id} }

// live returns the request, or nil once its final response is decided.
func (r requestRef) live() *request {
	if r.request.id != r.id || r.request.response.final {
		return nil
	}
	return r.request
}

// cancelledAt returns when the request was cancelled, 0 if it was not. It may be called while the
// attempt is in flight, for so long the object is in use.
func (r requestRef) cancelledAt() Time { return r.request.cancelledAt }

// requestIdentity is what an attempt keeps of its request, and needs also after its end. None
// of it changes.
type requestIdentity struct {
	id       uint64
	method   string
	path     string
	volume   string
	class    *scheduler.Class
	trace    traceContext
	deadline Time
}

func (g *Gateway) identityOf(req *request) requestIdentity {
	return requestIdentity{
		id:       req.id,
		method:   req.method,
		path:     req.location.Path,
		volume:   req.info.Arrival.Volume,
		class:    g.class(req),
		trace:    req.trace,
		deadline: req.deadline,
	}
}

// timeRemaining returns for how long the gateway waits for an attempt that is sent now.
func (r *requestIdentity) timeRemaining(now Time) time.Duration {
	return max(r.deadline-now, time.Millisecond)
}

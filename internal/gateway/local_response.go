package gateway

import (
	"time"

	"maddergap/internal/http1"
	"maddergap/internal/webdav"
)

// maxLocalHeaderBytes is more than the header of any response of the gateway's own.
const maxLocalHeaderBytes = 512

// Texts of the gateway's own responses to requests that the scheduler rejects or fails.
const (
	reasonRejected = "not now; trying again does no harm"
	reasonFailed   = "the storage node failed; whether the request took effect is not known"
	reasonTimedOut = "no answer in time; whether the request took effect is not known"
)

// recordWaitReason records, for the report to the observer, what kept a request from being sent
// before the scheduler decided to reject or fail it.
func (g *Gateway) recordWaitReason(id uint64) {
	if req := g.requests.byID[id]; req != nil {
		req.response.waitReason = g.scheduler.waitReasonOf(id)
	}
}

// reject ends a request with 503: it was not executed, or executing it again does no harm. The
// client may retry it. If retryAfter is not 0, the response asks the client to wait that long.
func (g *Gateway) reject(req *request, retryAfter time.Duration) {
	if req == nil || req.response.final {
		return
	}
	g.cancelAttempts(req)
	req.response.decide(503, reasonRejected)
	g.counts.Rejected++
	g.finishRequest(req, Rejected, retryAfter)
}

// fail ends a request with 504 after a timeout, and with 502 otherwise: it is unknown whether
// the request was executed.
func (g *Gateway) fail(req *request) {
	if req == nil || req.response.final {
		return
	}
	g.cancelAttempts(req)
	if req.attempts.timedOut {
		req.response.decide(504, reasonTimedOut)
	} else {
		req.response.decide(502, reasonFailed)
	}
	g.counts.Failed++
	g.finishRequest(req, Failed, 0)
}

// finishRequest reports the end of a request for which the gateway itself has decided the final
// response, and sends that response if it still can.
func (g *Gateway) finishRequest(req *request, outcome Outcome, retryAfter time.Duration) {
	g.reportRequestEnd(req, outcome)
	switch {
	case req.listing != nil:
		req.listing.retryAfter = max(req.listing.retryAfter, retryAfter)
		g.endPart(req)
		g.recycle(req)
	case req.client == nil:
		g.recycle(req)
	case req.response.source != nil:
		// A part of a node's response was sent. Only a reset can tell the client that the rest is missing.
		g.dropClient(req.client, Abort, Dropped)
	default:
		g.writeLocalResponse(req, req.response.status, []byte(req.response.reason+"\n"), func(b []byte) []byte {
			return g.protocol.appendRetryAfter(b, retryAfter)
		})
	}
}

// appendRetryAfter appends a Retry-After field in whole seconds, rounded up (RFC 9110
// section 10.2.3). It appends nothing if after is not positive.
func appendRetryAfter(b []byte, after time.Duration) []byte {
	if after <= 0 {
		return b
	}
	return http1.AppendIntField(b, "Retry-After", int64((after+time.Second-1)/time.Second))
}

// respondLocally answers a request that is not submitted to the scheduler. The reason is the
// body of the response.
func (g *Gateway) respondLocally(req *request, status int, reason string) {
	g.counts.Local++
	req.response.reason = reason
	g.writeLocalResponse(req, status, []byte(reason+"\n"), func(b []byte) []byte {
		if status == 405 {
			b = http1.AppendField(b, "Allow", []byte(webdav.Allow))
		}
		return b
	})
}

// writeLocalResponse writes a complete response of the gateway's own. appendFields appends
// further header fields; it may be nil. The caller must not use req afterwards, as the object
// may be reused.
func (g *Gateway) writeLocalResponse(req *request, status int, body []byte, appendFields func([]byte) []byte) {
	c := req.client
	req.response.status = status
	req.response.final = true
	if req.id == 0 {
		g.reportRequestEnd(req, AnsweredLocally)
	}
	if c == nil {
		g.recycle(req)
		return
	}
	b := http1.AppendStatus(g.buffers.orNew(c.output, maxLocalHeaderBytes+len(body)), status)
	if req.id != 0 {
		b = g.appendRequestIDField(b, req)
	}
	b = g.clock.appendDate(b)
	if len(body) > 0 {
		b = http1.AppendField(b, "Content-Type", []byte(localContentType(status)))
	}
	b = http1.AppendIntField(b, "Content-Length", int64(len(body)))
	if appendFields != nil {
		b = appendFields(b)
	}
	b = g.appendHeaderEnd(b, c, req)
	if req.method != "HEAD" {
		b = append(b, body...)
	}
	g.buffers.set(&c.output, b)
	g.handleResponseQueued(req)
}

// localContentType returns the media type of a response of the gateway's own: XML for a listing
// (207), and plain text otherwise.
func localContentType(status int) string {
	if status == 207 {
		return "application/xml; charset=utf-8"
	}
	return "text/plain; charset=utf-8"
}

func (g *Gateway) appendRequestIDField(b []byte, req *request) []byte {
	b = append(b, "X-Request-Id: "...)
	return append(g.ids.appendRequestID(b, req.id), "\r\n"...)
}

// appendHeaderEnd appends the Connection field, where it is needed, and the empty line that
// ends the header of a response. It also decides that the connection is closed after the
// response if the gateway drains, or has not received the complete request body.
func (g *Gateway) appendHeaderEnd(b []byte, c *clientConn, req *request) []byte {
	if g.intake >= intakeDraining || !req.body.complete {
		c.advancePhase(clientClosing)
	}
	if c.phase >= clientClosing {
		b = append(b, "Connection: close\r\n"...)
	} else if req.header.MinorVersion == 0 {
		b = append(b, "Connection: keep-alive\r\n"...)
	}
	return append(b, "\r\n"...)
}

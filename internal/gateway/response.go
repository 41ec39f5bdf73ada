package gateway

import (
	"bytes"
	"strconv"
	"time"

	"maddergap/internal/http1"
	"maddergap/internal/webdav"
	"maddergap/scheduler"
)

// ExecutedHeader says in a node's 503 that the request was turned away before it
// ran. A 503 without it promises nothing.
const ExecutedHeader = "Maddergap-Ran"

// receiveResponseHeader looks at the header of a node's answer and begins the client's.
func (g *Gateway) receiveResponseHeader(attempt *nodeAttempt) bool {
	r := &attempt.conn.response
	attempt.status = r.Status
	v := g.protocol.parseResponse(r)
	attempt.outcome, attempt.reportedLoad, attempt.hasLoadReport = v.Outcome, v.ReportedLoad, v.HasLoadReport
	if v.Outcome != scheduler.OK {
		return true // for the module alone; the body is swallowed
	}
	return g.protocol.beginResponse(g, attempt)
}

// appendHeaderEnd ends a client's answer header, saying whether it is the last.
func (g *Gateway) appendHeaderEnd(b []byte, cl *conn, req *request) []byte {
	cl.closing = cl.closing || g.phase >= draining || !req.body.complete
	if cl.closing {
		b = append(b, "Connection: close\r\n"...)
	} else if req.header.MinorVersion == 0 {
		b = append(b, "Connection: keep-alive\r\n"...)
	}
	return append(b, "\r\n"...)
}

// receiveResponseData passes a piece of an answer's body on.
func (g *Gateway) receiveResponseData(attempt *nodeAttempt, data []byte) {
	req := attempt.req
	switch {
	case len(data) == 0:
	case !attempt.bufferResponse && (req.response.source != attempt || req.listing == nil && req.client == nil):
		if attempt.discardedBytes += int64(len(data)); attempt.discardedBytes > maxDiscardedBytes {
			g.abortNodeConn(attempt.conn, attempt.outcome)
		}
	case !g.protocol.responseData(g, attempt, data):
		g.abortNodeConn(attempt.conn, g.protocol.malformedResponseOutcome())
	}
}

// reject and fail give the final answers that the module decided.
func (g *Gateway) reject(req *request, after time.Duration) {
	if req == nil || req.response.final {
		return
	}
	req.response.final, req.response.status, req.response.reason = true, 503, "not now; trying again does no harm"
	g.counts.Rejected++
	g.finishRequest(req, Rejected, after)
}

func (g *Gateway) fail(req *request) {
	if req == nil || req.response.final {
		return
	}
	req.response.final, req.response.status, req.response.reason = true, 502, "the storage node failed; whether the request took effect is not known"
	if req.attempts.timedOut {
		req.response.status, req.response.reason = 504, "no answer in time; whether the request took effect is not known"
	}
	g.counts.Failed++
	g.finishRequest(req, Failed, 0)
}

func (g *Gateway) finishRequest(req *request, o Outcome, after time.Duration) {
	g.reportRequestEnd(req, o)
	switch {
	case req.listing != nil:
		req.listing.retryAfter = max(req.listing.retryAfter, after)
		g.endPart(req)
		g.recycle(req)
	case req.client == nil:
		g.recycle(req)
	case req.response.source != nil: // its header is out: all that is left is to cut it short
		g.clientDrop(req.client)
	default:
		g.writeLocalResponse(req, req.response.status, []byte(req.response.reason+"\n"), func(b []byte) []byte { return g.protocol.appendRetryAfter(b, after) })
	}
}

// appendRetryAfter writes whole seconds, rounded up (RFC 9110 10.2.3).
func appendRetryAfter(b []byte, after time.Duration) []byte {
	if after <= 0 {
		return b
	}
	return http1.AppendIntField(b, "Retry-After", int64((after+time.Second-1)/time.Second))
}

// own answers a request that the module is not asked about.
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

// writeLocalResponse writes a whole answer of the head's own; ex must not be used after it.
func (g *Gateway) writeLocalResponse(req *request, status int, text []byte, extra func([]byte) []byte) {
	c := req.client
	req.response.status, req.response.final = status, true
	if req.id == 0 {
		g.reportRequestEnd(req, Served)
	}
	if c == nil {
		g.recycle(req)
		return
	}
	if c.out == nil {
		c.out = g.buffers.get()
	}
	b := http1.AppendStatus(c.out, status)
	if req.id != 0 {
		b = append(g.ids.appendRequestID(append(b, "X-Request-Id: "...), req.id), "\r\n"...)
	}
	b = g.clock.appendDate(b)
	kind := "text/plain; charset=utf-8"
	if status == 207 {
		kind = "application/xml; charset=utf-8"
	}
	if len(text) > 0 {
		b = http1.AppendField(b, "Content-Type", []byte(kind))
	}
	b = http1.AppendIntField(b, "Content-Length", int64(len(text)))
	if extra != nil {
		b = extra(b)
	}
	b = g.appendHeaderEnd(b, c, req)
	if req.method != "HEAD" {
		b = append(b, text...)
	}
	c.out = b
	g.responseQueued(req)
}

// originForm turns an absolute target into a path.
func originForm(target []byte) []byte {
	if target[0] == '/' {
		return target
	}
	if i := bytes.Index(target, []byte("://")); i >= 0 {
		if j := bytes.IndexByte(target[i+3:], '/'); j >= 0 {
			return target[i+3+j:]
		}
	}
	return []byte("/")
}

// loadReport reads ORCA's text form of endpoint-load-metrics; what counts is
// the named metric inflight, the requests that the node holds.
func loadReport(v []byte) (float64, bool) {
	v, ok := bytes.CutPrefix(v, []byte("TEXT "))
	if !ok {
		return 0, false
	}
	for part := range http1.ListElements(v) {
		if x, ok := bytes.CutPrefix(part, []byte("named_metrics.inflight=")); ok {
			if n, ok := http1.ParseDecimal(x); ok {
				return float64(n), true
			}
			f, err := strconv.ParseFloat(string(x), 64)
			return f, err == nil && f >= 0 && f < 1e9
		}
	}
	return 0, false
}

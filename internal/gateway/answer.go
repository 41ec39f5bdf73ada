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

// answerHead looks at the header of a node's answer and begins the client's.
func (h *Gateway) answerHead(at *attempt) bool {
	r := &at.conn.resp
	at.status = r.Status
	v := h.protocol.verdict(r)
	at.verdict, at.report, at.reports = v.Outcome, v.ReportedLoad, v.HasLoadReport
	if v.Outcome != scheduler.OK {
		return true // for the module alone; the body is swallowed
	}
	return h.protocol.answerHead(h, at)
}

// endHeader ends a client's answer header, saying whether it is the last.
func (h *Gateway) endHeader(b []byte, cl *conn, ex *exchange) []byte {
	cl.closing = cl.closing || h.phase >= draining || !ex.body.whole
	if cl.closing {
		b = append(b, "Connection: close\r\n"...)
	} else if ex.req.Minor == 0 {
		b = append(b, "Connection: keep-alive\r\n"...)
	}
	return append(b, "\r\n"...)
}

// answerData passes a piece of an answer's body on.
func (h *Gateway) answerData(at *attempt, data []byte) {
	ex := at.ex
	switch {
	case len(data) == 0:
	case !at.buffered && (ex.answer.from != at || ex.listing == nil && ex.client == nil):
		if at.discarded += int64(len(data)); at.discarded > discardMost {
			h.broken(at.conn, at.verdict)
		}
	case !h.protocol.answerData(h, at, data):
		h.broken(at.conn, h.protocol.malformed())
	}
}

// refuse and fail give the final answers that the module decided.
func (h *Gateway) refuse(ex *exchange, after time.Duration) {
	if ex == nil || ex.answer.final {
		return
	}
	ex.answer.final, ex.answer.status, ex.answer.reason = true, 503, "not now; trying again does no harm"
	h.counts.Rejected++
	h.finish(ex, Rejected, after)
}

func (h *Gateway) fail(ex *exchange) {
	if ex == nil || ex.answer.final {
		return
	}
	ex.answer.final, ex.answer.status, ex.answer.reason = true, 502, "the storage node failed; whether the request took effect is not known"
	if ex.attempts.timedOut {
		ex.answer.status, ex.answer.reason = 504, "no answer in time; whether the request took effect is not known"
	}
	h.counts.Failed++
	h.finish(ex, Failed, 0)
}

func (h *Gateway) finish(ex *exchange, o Outcome, after time.Duration) {
	h.reportEnd(ex, o)
	switch {
	case ex.listing != nil:
		ex.listing.after = max(ex.listing.after, after)
		h.partDone(ex)
		h.recycle(ex)
	case ex.client == nil:
		h.recycle(ex)
	case ex.answer.from != nil: // its header is out: all that is left is to cut it short
		h.clientDrop(ex.client)
	default:
		h.respond(ex, ex.answer.status, []byte(ex.answer.reason+"\n"), func(b []byte) []byte { return h.protocol.retryAfter(b, after) })
	}
}

// appendRetryAfter writes whole seconds, rounded up (RFC 9110 10.2.3).
func appendRetryAfter(b []byte, after time.Duration) []byte {
	if after <= 0 {
		return b
	}
	return http1.AppendInt(b, "Retry-After", int64((after+time.Second-1)/time.Second))
}

// own answers a request that the module is not asked about.
func (h *Gateway) answerOwn(ex *exchange, status int, reason string) {
	h.counts.Local++
	ex.answer.reason = reason
	h.respond(ex, status, []byte(reason+"\n"), func(b []byte) []byte {
		if status == 405 {
			b = http1.AppendField(b, "Allow", []byte(webdav.Allow))
		}
		return b
	})
}

// respond writes a whole answer of the head's own; ex must not be used after it.
func (h *Gateway) respond(ex *exchange, status int, text []byte, extra func([]byte) []byte) {
	c := ex.client
	ex.answer.status, ex.answer.final = status, true
	if ex.id == 0 {
		h.reportEnd(ex, Served)
	}
	if c == nil {
		h.recycle(ex)
		return
	}
	if c.out == nil {
		c.out = h.buffers.get()
	}
	b := http1.AppendStatus(c.out, status)
	if ex.id != 0 {
		b = append(h.ids.appendRequestID(append(b, "X-Request-Id: "...), ex.id), "\r\n"...)
	}
	b = h.clock.appendDate(b)
	kind := "text/plain; charset=utf-8"
	if status == 207 {
		kind = "application/xml; charset=utf-8"
	}
	if len(text) > 0 {
		b = http1.AppendField(b, "Content-Type", []byte(kind))
	}
	b = http1.AppendInt(b, "Content-Length", int64(len(text)))
	if extra != nil {
		b = extra(b)
	}
	b = h.endHeader(b, c, ex)
	if ex.method != "HEAD" {
		b = append(b, text...)
	}
	c.out = b
	h.answered(ex)
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
	for part := range http1.Parts(v) {
		if x, ok := bytes.CutPrefix(part, []byte("named_metrics.inflight=")); ok {
			if n, ok := http1.Number(x); ok {
				return float64(n), true
			}
			f, err := strconv.ParseFloat(string(x), 64)
			return f, err == nil && f >= 0 && f < 1e9
		}
	}
	return 0, false
}

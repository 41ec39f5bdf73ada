package gateway

import (
	"time"

	"maddergap/internal/http1"
	"maddergap/scheduler"
)

// SetProtocol has clients and nodes spoken to in another protocol than WebDAV. It is
// called before anything is told.
func (h *Gateway) SetProtocol(p Protocol) { h.protocol = buffered{p} }

// buffered carries a Protocol whose messages are held whole.
type buffered struct{ p Protocol }

func (w buffered) begin(h *Gateway, c *conn, ex *exchange) {
	a := w.p.ParseRequest(&ex.req)
	if a.Status != 0 {
		c.closing = c.closing || a.Close
		h.answerOwn(ex, a.Status, a.Reason)
		return
	}
	ex.ask, ex.body.buffered = a, true
	if ex.req.Length > int64(h.config.Limits.BodyBuffer) {
		h.tooLong(c, ex)
		return
	}
	h.invite(c, ex)
	if ex.body.whole {
		h.take(ex)
	}
}

func (w buffered) arrival(h *Gateway, ex *exchange) *http1.Error { return w.p.BeginRequest(&ex.ask) }

func (w buffered) appendRequest(h *Gateway, b []byte, at *attempt) []byte {
	at.timeout = at.ex.timeLeft(h.clock.now)
	return w.p.AppendRequest(b, &at.ex.req, at.timeout)
}

func (w buffered) verdict(r *http1.Response) ResponseInfo { return w.p.ParseResponse(r) }

// answerHead begins to hold an answer. One without a length of its own is whole when its
// node ends the connection in order; a reset, or silence, is no end.
func (w buffered) answerHead(h *Gateway, at *attempt) bool {
	r := &at.conn.resp
	if one, _ := w.p.MaxResponseBytes(); r.Length > one {
		return false
	}
	at.buffered, at.stall, at.body = true, w.p.ResponseStallTimeout(), h.buffers.get()
	return true
}

func (w buffered) answerData(h *Gateway, at *attempt, data []byte) bool {
	one, all := w.p.MaxResponseBytes()
	h.buffers.responseBytes += int64(len(data)) // given back when the attempt ends
	at.body = append(at.body, data...)
	return int64(len(at.body)) <= one && h.buffers.responseBytes <= all
}

func (w buffered) answerDone(h *Gateway, at *attempt) {
	ex := at.ex
	if ex.answer.final { // its client has left: the node did its part
		h.end(at, scheduler.OK)
		return
	}
	ex.answer.final, ex.answer.from, ex.answer.status = true, at, at.conn.resp.Status
	h.counts.Served++
	if cl := ex.client; cl != nil {
		if cl.out == nil {
			cl.out = h.buffers.get()
		}
		b := http1.AppendInt(http1.AppendStatus(cl.out, ex.answer.status), "Content-Length", int64(len(at.body)))
		cl.out = append(h.endHeader(b, cl, ex), at.body...)
	}
	h.end(at, scheduler.OK)
	h.reportEnd(ex, Served)
	h.answered(ex)
}

// truncated: what did not come whole was not run.
func (w buffered) truncated() scheduler.Outcome { return scheduler.ConnectFailed }

func (w buffered) allowsEarlyAnswer() bool { return false }

func (w buffered) malformed() scheduler.Outcome { return scheduler.Failed }

func (w buffered) retryAfter(b []byte, after time.Duration) []byte {
	return w.p.AppendRetryAfter(b, after)
}

func (w buffered) endMeansGone() bool { return true }

func (w buffered) finished(ex *exchange, o Outcome) {
	if ex.id != 0 {
		w.p.EndRequest(ex.ask.ID, o)
	}
}

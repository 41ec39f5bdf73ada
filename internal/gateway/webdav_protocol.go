package gateway

import (
	"errors"
	"time"

	"maddergap/internal/http1"
	"maddergap/internal/route"
	"maddergap/internal/webdav"
	"maddergap/scheduler"
)

// webdavProtocol is the protocol of the head's own front: bodies and answers stream, a
// PROPFIND may be gathered from several nodes.
type webdavProtocol struct{}

func (webdavProtocol) begin(h *Gateway, c *conn, ex *exchange) {
	r := &ex.req
	h.traceOf(ex)
	if ex.method == "OPTIONS" && string(r.Target) == "*" {
		h.judged(c, ex, webdav.Decision{Handling: webdav.Options})
		return
	}
	path, _, err := route.Path(string(r.Target))
	if err == nil {
		ex.place, err = h.routes.Locate(path)
	}
	if err != nil {
		status := 400
		if errors.Is(err, route.ErrNoVolume) {
			status = 404
		}
		h.answerOwn(ex, status, err.Error())
		return
	}
	h.judged(c, ex, webdav.Decide(h.routes, ex.method, ex.place, string(r.Get("depth")), string(r.Get("destination")), string(r.Host)))
}

func (webdavProtocol) arrival(h *Gateway, ex *exchange) *http1.Error {
	if ex.listing == nil && ex.body.whole && ex.req.Length < 0 { // now its length is known
		ex.job = h.job(ex, ex.body.received)
	}
	v, j := ex.volume, &ex.job
	ex.ask.Arrival = scheduler.Arrival{Shard: ex.place.Shard, Plan: v.Plan, Class: j.Class, Key: j.Key, Volume: v.Name, TimeRemaining: j.Timeout,
		Units: j.Units, Instances: v.Instances}
	return nil
}

func (webdavProtocol) appendRequest(h *Gateway, b []byte, at *attempt) []byte {
	ex, r := at.ex, &at.ex.req
	b = append(append(b, ex.method...), ' ')
	b = append(append(b, originForm(r.Target)...), " HTTP/1.1\r\n"...)
	b = http1.AppendPassed(b, &r.Message, "expect", "traceparent", "x-request-id", "maddergap-attempt")
	if len(r.Host) == 0 { // HTTP/1.0 may leave it out, HTTP/1.1 may not
		b = http1.AppendField(b, "Host", []byte(at.conn.node.addr))
	}
	b = append(b, "Via: 1.1 maddergap\r\nX-Request-Id: "...)
	b = append(h.ids.appendRequestID(b, ex.id), "\r\n"...)
	b = http1.AppendInt(b, "Maddergap-Attempt", int64(at.number))
	return append(appendTrace(append(b, "traceparent: "...), ex.trace.id, at.span, ex.trace.sampled), "\r\n"...)
}

func (webdavProtocol) verdict(r *http1.Response) (v ResponseInfo) {
	v.ReportedLoad, v.HasLoadReport = loadReport(r.Get("endpoint-load-metrics"))
	switch r.Status {
	case 503:
		v.Outcome = scheduler.Failed
		if http1.Is(r.Get(ExecutedHeader), "no") {
			v.Outcome = scheduler.QueueFull
		}
	case 500, 502, 504:
		v.Outcome = scheduler.Failed
	}
	return v
}

func (webdavProtocol) answerHead(h *Gateway, at *attempt) bool {
	ex, r := at.ex, &at.conn.resp
	if ex.answer.final || ex.answer.from != nil {
		return true // swallowed
	}
	ex.answer.from = at
	ex.answer.status = r.Status
	if ex.attempts.upload == at { // it answers before it has the body: no more is sent
		ex.attempts.upload = nil
		at.sent = false
	}
	if ex.listing != nil || ex.client == nil {
		return true
	}
	cl := ex.client
	if cl.out == nil {
		cl.out = h.buffers.get()
	}
	b := http1.AppendStatus(cl.out, r.Status)
	b = http1.AppendPassed(b, &r.Message, "x-request-id")
	b = append(h.ids.appendRequestID(append(b, "X-Request-Id: "...), ex.id), "\r\n"...)
	switch {
	case ex.method == "HEAD" || r.Status == 304:
		if l := r.Get("content-length"); l != nil {
			b = http1.AppendField(b, "Content-Length", l)
		}
	case r.Status == 204:
	case r.Length >= 0:
		b = http1.AppendInt(b, "Content-Length", r.Length)
	case ex.req.Minor == 1:
		ex.answer.chunked = true
		b = append(b, "Transfer-Encoding: chunked\r\n"...)
	default:
		cl.closing = true // the body ends with the connection
	}
	cl.out = h.endHeader(b, cl, ex)
	h.flush(cl)
	return true
}

func (webdavProtocol) answerData(h *Gateway, at *attempt, data []byte) bool {
	ex := at.ex
	switch {
	case ex.listing != nil:
		if !h.partData(ex, data) {
			h.broken(at.conn, scheduler.Cancelled)
		}
	default:
		cl := ex.client
		if cl.out == nil {
			cl.out = h.buffers.get()
		}
		if ex.answer.chunked {
			cl.out = http1.AppendChunk(cl.out, data)
		} else {
			cl.out = append(cl.out, data...)
		}
		h.flush(cl)
	}
	return true
}

func (webdavProtocol) answerDone(h *Gateway, at *attempt) {
	ex, c := at.ex, at.conn
	ex.answer.final = true
	h.counts.Served++
	if ex.listing != nil {
		h.reportEnd(ex, Served)
		h.partDone(ex)
		h.end(at, scheduler.OK)
		return
	}
	h.learn(ex, c)
	if ex.answer.chunked {
		ex.client.out = http1.AppendLastChunk(ex.client.out)
	}
	h.end(at, scheduler.OK)
	h.reportEnd(ex, Served)
	h.answered(ex)
}

func (webdavProtocol) truncated() scheduler.Outcome { return scheduler.Reset }

func (webdavProtocol) allowsEarlyAnswer() bool { return true }

func (webdavProtocol) malformed() scheduler.Outcome { return scheduler.Reset }

func (webdavProtocol) retryAfter(b []byte, after time.Duration) []byte {
	return appendRetryAfter(b, after)
}

func (webdavProtocol) endMeansGone() bool { return false }

func (webdavProtocol) finished(*exchange, Outcome) {}

// learn remembers how large a resource is.
func (h *Gateway) learn(ex *exchange, c *conn) {
	switch {
	case ex.method == "GET" && c.resp.Status == 200 && c.resp.Length >= 0:
		h.routes.LearnSize(ex.place.Path, c.resp.Length)
	case ex.method == "PUT" && c.resp.Status < 300:
		h.routes.LearnSize(ex.place.Path, ex.body.received)
	}
}

func (h *Gateway) judged(c *conn, ex *exchange, v webdav.Decision) {
	switch v.Handling {
	case webdav.Answer:
		h.answerOwn(ex, v.Status, v.Reason)
	case webdav.Options:
		ex.answer.reason = "options"
		h.counts.Local++
		h.respond(ex, 200, nil, func(b []byte) []byte {
			b = http1.AppendField(b, "Allow", []byte(webdav.Allow))
			b = http1.AppendField(b, "DAV", []byte(webdav.Compliance))
			return http1.AppendField(b, "MS-Author-Via", []byte("DAV"))
		})
	case webdav.ListRoot, webdav.MergeListings:
		if ex.req.Length > int64(h.config.Limits.BodyBuffer) {
			h.answerOwn(ex, 413, "the body of a PROPFIND is longer than can be held")
			return
		}
		ex.listing = &listing{volumes: v.Handling == webdav.ListRoot}
		h.invite(c, ex)
		if ex.body.whole {
			h.list(ex)
		}
	case webdav.Forward:
		ex.volume = &h.config.Volumes[ex.place.Volume]
		ex.job = h.job(ex, ex.req.Length)
		if ex.req.Length > int64(h.config.Limits.BodyBuffer) && ex.req.Expect {
			h.take(ex) // the body is invited when a node takes it
			return
		}
		h.invite(c, ex)
		if ex.body.whole {
			h.take(ex)
		}
	}
}

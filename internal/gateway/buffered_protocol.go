package gateway

import (
	"time"

	"maddergap/internal/http1"
	"maddergap/scheduler"
)

// SetProtocol has clients and nodes spoken to in another protocol than WebDAV. It is
// called before anything is told.
func (g *Gateway) SetProtocol(p Protocol) { g.protocol = bufferedProtocol{p} }

// bufferedProtocol carries a Protocol whose messages are held whole.
type bufferedProtocol struct{ p Protocol }

func (w bufferedProtocol) beginRequest(g *Gateway, c *conn, req *request) {
	a := w.p.ParseRequest(&req.header)
	if a.Status != 0 {
		c.closing = c.closing || a.Close
		g.respondLocally(req, a.Status, a.Reason)
		return
	}
	req.info, req.body.bufferFully = a, true
	if req.header.ContentLength > int64(g.config.Limits.BodyBuffer) {
		g.rejectLongBody(c, req)
		return
	}
	g.sendContinue(c, req)
	if req.body.complete {
		g.submit(req)
	}
}

func (w bufferedProtocol) prepareArrival(g *Gateway, req *request) *http1.Error {
	return w.p.BeginRequest(&req.info)
}

func (w bufferedProtocol) appendRequest(g *Gateway, b []byte, attempt *nodeAttempt) []byte {
	attempt.announcedTimeout = attempt.req.timeRemaining(g.clock.now)
	return w.p.AppendRequest(b, &attempt.req.header, attempt.announcedTimeout)
}

func (w bufferedProtocol) parseResponse(r *http1.Response) ResponseInfo { return w.p.ParseResponse(r) }

// beginResponse begins to hold an answer. One without a length of its own is whole when its
// node ends the connection in order; a reset, or silence, is no end.
func (w bufferedProtocol) beginResponse(g *Gateway, attempt *nodeAttempt) bool {
	r := &attempt.conn.response
	if one, _ := w.p.MaxResponseBytes(); r.ContentLength > one {
		return false
	}
	attempt.bufferResponse, attempt.stallTimeout, attempt.responseBody = true, w.p.ResponseStallTimeout(), g.buffers.get()
	return true
}

func (w bufferedProtocol) responseData(g *Gateway, attempt *nodeAttempt, data []byte) bool {
	one, all := w.p.MaxResponseBytes()
	g.buffers.responseBytes += int64(len(data)) // given back when the attempt ends
	attempt.responseBody = append(attempt.responseBody, data...)
	return int64(len(attempt.responseBody)) <= one && g.buffers.responseBytes <= all
}

func (w bufferedProtocol) endResponse(g *Gateway, attempt *nodeAttempt) {
	req := attempt.req
	if req.response.final { // its client has left: the node did its part
		g.endAttempt(attempt, scheduler.OK)
		return
	}
	req.response.final, req.response.source, req.response.status = true, attempt, attempt.conn.response.Status
	g.counts.Served++
	if cl := req.client; cl != nil {
		if cl.out == nil {
			cl.out = g.buffers.get()
		}
		b := http1.AppendIntField(http1.AppendStatus(cl.out, req.response.status), "Content-Length", int64(len(attempt.responseBody)))
		cl.out = append(g.appendHeaderEnd(b, cl, req), attempt.responseBody...)
	}
	g.endAttempt(attempt, scheduler.OK)
	g.reportRequestEnd(req, Served)
	g.responseQueued(req)
}

// truncated: what did not come whole was not run.
func (w bufferedProtocol) truncatedRequestOutcome() scheduler.Outcome { return scheduler.ConnectFailed }

func (w bufferedProtocol) allowsEarlyResponse() bool { return false }

func (w bufferedProtocol) malformedResponseOutcome() scheduler.Outcome { return scheduler.Failed }

func (w bufferedProtocol) appendRetryAfter(b []byte, after time.Duration) []byte {
	return w.p.AppendRetryAfter(b, after)
}

func (w bufferedProtocol) eofMeansDisconnect() bool { return true }

func (w bufferedProtocol) requestEnded(req *request, o Outcome) {
	if req.id != 0 {
		w.p.EndRequest(req.info.ID, o)
	}
}

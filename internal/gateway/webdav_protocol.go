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

func (webdavProtocol) beginRequest(g *Gateway, c *conn, req *request) {
	r := &req.header
	g.startTrace(req)
	if req.method == "OPTIONS" && string(r.Target) == "*" {
		g.applyWebDAVDecision(c, req, webdav.Decision{Handling: webdav.Options})
		return
	}
	path, _, err := route.SplitTarget(string(r.Target))
	if err == nil {
		req.location, err = g.routes.Locate(path)
	}
	if err != nil {
		status := 400
		if errors.Is(err, route.ErrUnknownVolume) {
			status = 404
		}
		g.respondLocally(req, status, err.Error())
		return
	}
	g.applyWebDAVDecision(c, req, webdav.Decide(g.routes, req.method, req.location, string(r.Get("depth")), string(r.Get("destination")), string(r.Host)))
}

func (webdavProtocol) prepareArrival(g *Gateway, req *request) *http1.Error {
	if req.listing == nil && req.body.complete && req.header.ContentLength < 0 { // now its length is known
		req.classification = g.classify(req, req.body.received)
	}
	v, j := req.volume, &req.classification
	req.info.Arrival = scheduler.Arrival{Shard: req.location.Shard, Plan: v.Plan, Class: j.Class, Key: j.OrderingKey, Volume: v.Name, TimeRemaining: j.Timeout,
		Units: j.Units, Instances: v.Instances}
	return nil
}

func (webdavProtocol) appendRequest(g *Gateway, b []byte, attempt *nodeAttempt) []byte {
	req, r := attempt.req, &attempt.req.header
	b = append(append(b, req.method...), ' ')
	b = append(append(b, originForm(r.Target)...), " HTTP/1.1\r\n"...)
	b = http1.AppendEndToEndFields(b, &r.Message, "expect", "traceparent", "x-request-id", "maddergap-attempt")
	if len(r.Host) == 0 { // HTTP/1.0 may leave it out, HTTP/1.1 may not
		b = http1.AppendField(b, "Host", []byte(attempt.conn.node.addr))
	}
	b = append(b, "Via: 1.1 maddergap\r\nX-Request-Id: "...)
	b = append(g.ids.appendRequestID(b, req.id), "\r\n"...)
	b = http1.AppendIntField(b, "Maddergap-Attempt", int64(attempt.number))
	return append(appendTraceparent(append(b, "traceparent: "...), req.trace.id, attempt.spanID, req.trace.sampled), "\r\n"...)
}

func (webdavProtocol) parseResponse(r *http1.Response) (v ResponseInfo) {
	v.ReportedLoad, v.HasLoadReport = loadReport(r.Get("endpoint-load-metrics"))
	switch r.Status {
	case 503:
		v.Outcome = scheduler.Failed
		if http1.EqualFold(r.Get(ExecutedHeader), "no") {
			v.Outcome = scheduler.QueueFull
		}
	case 500, 502, 504:
		v.Outcome = scheduler.Failed
	}
	return v
}

func (webdavProtocol) beginResponse(g *Gateway, attempt *nodeAttempt) bool {
	req, r := attempt.req, &attempt.conn.response
	if req.response.final || req.response.source != nil {
		return true // swallowed
	}
	req.response.source = attempt
	req.response.status = r.Status
	if req.attempts.uploading == attempt { // it answers before it has the body: no more is sent
		req.attempts.uploading = nil
		attempt.fullyQueued = false
	}
	if req.listing != nil || req.client == nil {
		return true
	}
	cl := req.client
	if cl.out == nil {
		cl.out = g.buffers.get()
	}
	b := http1.AppendStatus(cl.out, r.Status)
	b = http1.AppendEndToEndFields(b, &r.Message, "x-request-id")
	b = append(g.ids.appendRequestID(append(b, "X-Request-Id: "...), req.id), "\r\n"...)
	switch {
	case req.method == "HEAD" || r.Status == 304:
		if l := r.Get("content-length"); l != nil {
			b = http1.AppendField(b, "Content-Length", l)
		}
	case r.Status == 204:
	case r.ContentLength >= 0:
		b = http1.AppendIntField(b, "Content-Length", r.ContentLength)
	case req.header.MinorVersion == 1:
		req.response.chunked = true
		b = append(b, "Transfer-Encoding: chunked\r\n"...)
	default:
		cl.closing = true // the body ends with the connection
	}
	cl.out = g.appendHeaderEnd(b, cl, req)
	g.flush(cl)
	return true
}

func (webdavProtocol) responseData(g *Gateway, attempt *nodeAttempt, data []byte) bool {
	req := attempt.req
	switch {
	case req.listing != nil:
		if !g.receivePartData(req, data) {
			g.abortNodeConn(attempt.conn, scheduler.Cancelled)
		}
	default:
		cl := req.client
		if cl.out == nil {
			cl.out = g.buffers.get()
		}
		if req.response.chunked {
			cl.out = http1.AppendChunk(cl.out, data)
		} else {
			cl.out = append(cl.out, data...)
		}
		g.flush(cl)
	}
	return true
}

func (webdavProtocol) endResponse(g *Gateway, attempt *nodeAttempt) {
	req, c := attempt.req, attempt.conn
	req.response.final = true
	g.counts.Served++
	if req.listing != nil {
		g.reportRequestEnd(req, Served)
		g.endPart(req)
		g.endAttempt(attempt, scheduler.OK)
		return
	}
	g.learnSize(req, c)
	if req.response.chunked {
		req.client.out = http1.AppendLastChunk(req.client.out)
	}
	g.endAttempt(attempt, scheduler.OK)
	g.reportRequestEnd(req, Served)
	g.responseQueued(req)
}

func (webdavProtocol) truncatedRequestOutcome() scheduler.Outcome { return scheduler.Reset }

func (webdavProtocol) allowsEarlyResponse() bool { return true }

func (webdavProtocol) malformedResponseOutcome() scheduler.Outcome { return scheduler.Reset }

func (webdavProtocol) appendRetryAfter(b []byte, after time.Duration) []byte {
	return appendRetryAfter(b, after)
}

func (webdavProtocol) eofMeansDisconnect() bool { return false }

func (webdavProtocol) requestEnded(*request, Outcome) {}

// learnSize remembers how large a resource is.
func (g *Gateway) learnSize(req *request, c *conn) {
	switch {
	case req.method == "GET" && c.response.Status == 200 && c.response.ContentLength >= 0:
		g.routes.LearnSize(req.location.Path, c.response.ContentLength)
	case req.method == "PUT" && c.response.Status < 300:
		g.routes.LearnSize(req.location.Path, req.body.received)
	}
}

func (g *Gateway) applyWebDAVDecision(c *conn, req *request, v webdav.Decision) {
	switch v.Handling {
	case webdav.Respond:
		g.respondLocally(req, v.Status, v.Reason)
	case webdav.Options:
		req.response.reason = "options"
		g.counts.Local++
		g.writeLocalResponse(req, 200, nil, func(b []byte) []byte {
			b = http1.AppendField(b, "Allow", []byte(webdav.Allow))
			b = http1.AppendField(b, "DAV", []byte(webdav.Compliance))
			return http1.AppendField(b, "MS-Author-Via", []byte("DAV"))
		})
	case webdav.ListRoot, webdav.MergeListings:
		if req.header.ContentLength > int64(g.config.Limits.BodyBuffer) {
			g.respondLocally(req, 413, "the body of a PROPFIND is longer than can be held")
			return
		}
		req.listing = &listing{ofVolumes: v.Handling == webdav.ListRoot}
		g.sendContinue(c, req)
		if req.body.complete {
			g.beginListing(req)
		}
	case webdav.Forward:
		req.volume = &g.config.Volumes[req.location.Volume]
		req.classification = g.classify(req, req.header.ContentLength)
		if req.header.ContentLength > int64(g.config.Limits.BodyBuffer) && req.header.ExpectContinue {
			g.submit(req) // the body is invited when a node takes it
			return
		}
		g.sendContinue(c, req)
		if req.body.complete {
			g.submit(req)
		}
	}
}

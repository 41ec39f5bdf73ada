package gateway

import (
	"errors"

	"maddergap/internal/http1"
	"maddergap/internal/route"
)

// beginRequest takes a request's header.
func (g *Gateway) beginRequest(c *conn, block []byte) {
	req := g.requests.create()
	req.client, c.req, req.headerReceivedAt = c, req, g.clock.now
	req.rawHeader = append(g.buffers.get(), block...)
	g.setDeadline(c, never)
	if err := http1.ParseRequest(req.rawHeader, &req.header, g.config.HeaderLimits); err != nil {
		g.rejectMalformedHeader(c, req, err)
		return
	}
	r := &req.header
	req.method = internMethod(r.Method)
	req.body.decoder.Reset(&r.Message)
	req.body.complete = req.body.decoder.Done()
	req.body.continueHandled = !r.ExpectContinue
	if g.phase >= draining {
		c.closing = true
	}
	if r.Close {
		c.closing = true
	}
	if c.requestCount++; g.config.Limits.RequestsPerConn > 0 && c.requestCount >= g.config.Limits.RequestsPerConn {
		c.closing = true // the last that this connection may have
	}
	g.endAdmittedRequest(c)
	if ok, why := g.admission.BeginRequest(g.clock.now, uint64(c.id), g.buffers.clientBytes, req.body.complete); !ok {
		c.closing = true
		g.recordRejection(c.remote, why, true)
		g.respondLocally(req, 503, rejectionText(why))
		return
	}
	g.protocol.beginRequest(g, c, req)
}

// internMethod returns a known method without allocating.
func internMethod(b []byte) string {
	for _, m := range [...]string{"GET", "HEAD", "PUT", "PROPFIND", "OPTIONS", "DELETE", "MKCOL", "COPY", "MOVE", "PROPPATCH", "LOCK", "UNLOCK"} {
		if string(b) == m {
			return m
		}
	}
	return string(b)
}

// classify classifies a request whose body has the length, -1 where it is not told.
func (g *Gateway) classify(req *request, length int64) route.Classification {
	return g.routes.Classify(route.RequestHeader{Method: req.method, Location: req.location, ContentLength: length, Range: string(req.header.Get("range")),
		Prefer: string(req.header.Get("prefer")), IdempotencyKey: string(req.header.Get("idempotency-key"))})
}

// sendContinue lets a client that waits for it send its body (RFC 9110 10.1.1).
func (g *Gateway) sendContinue(c *conn, req *request) {
	if !req.body.continueHandled && !req.body.complete {
		c.out = append(c.out, "HTTP/1.1 100 Continue\r\n\r\n"...)
		g.flush(c)
	}
	req.body.continueHandled = true
	if !req.body.complete {
		g.restartUploadTimer(c)
	}
}

// restartUploadTimer begins to wait for a client's body, or goes on after it waited for us.
func (g *Gateway) restartUploadTimer(c *conn) {
	c.upload = progress{since: g.clock.now}
	g.setDeadline(c, g.uploadDeadline(c))
}

// receiveBody takes a piece of a request's body.
func (g *Gateway) receiveBody(c *conn, req *request, data []byte) {
	req.body.received += int64(len(data))
	req.body.complete = req.body.decoder.Done()
	req.body.continueHandled = true
	if req.body.complete {
		g.setDeadline(c, never)
	}
	if req.listing != nil && req.id == 0 {
		if len(req.body.data)+len(data) > g.config.Limits.BodyBuffer {
			g.respondLocally(req, 413, "the body of a PROPFIND is longer than can be held")
			return
		}
		if req.body.data = append(req.body.data, data...); req.body.complete {
			g.beginListing(req)
		}
		return
	}
	if req.attempts.uploading == nil {
		req.body.data = append(req.body.data, data...)
	} else {
		req.body.consumed = true
		g.forwardBody(req.attempts.uploading, data)
	}
	switch {
	case req.id != 0 || req.response.final:
	case req.body.bufferFully && len(req.body.data) > g.config.Limits.BodyBuffer:
		g.rejectLongBody(c, req)
	case req.body.complete || !req.body.bufferFully && len(req.body.data) >= g.config.Limits.BodyBuffer:
		g.submit(req)
	}
}

// rejectLongBody answers a body that is held whole and too long for it.
func (g *Gateway) rejectLongBody(c *conn, req *request) {
	c.closing = true
	g.respondLocally(req, 413, "the body is longer than any may be")
}

// submit gives a request to the module: from here on it is owed one final answer.
func (g *Gateway) submit(req *request) {
	if fault := g.protocol.prepareArrival(g, req); fault != nil {
		g.respondLocally(req, fault.Status, fault.Reason)
		return
	}
	g.requests.assignID(req)
	req.submittedAt = g.clock.now
	a := &req.info.Arrival
	a.ID, a.TimeRemaining = req.id, g.clientTimeLeft(a.TimeRemaining)
	if c := req.client; c != nil && c.requestCount == 1 {
		a.TimeRemaining = max(a.TimeRemaining-c.acceptDelay, 0)
	}
	req.deadline = g.clock.now + a.TimeRemaining
	g.counts.Received++
	if req.client != nil {
		g.admission.RequestAccepted(g.clock.now, uint64(req.client.id))
	}
	g.events = append(g.events, *a)
}

// rejectMalformedBody ends a request whose body is malformed: nothing of it may run.
func (g *Gateway) rejectMalformedBody(c *conn, req *request, err error) {
	g.counts.Malformed++
	if req.id != 0 && !req.response.final {
		g.abandonRequest(req)
	}
	c.closing, req.body.complete = true, true
	var e *http1.Error
	if errors.As(err, &e) && req.response.source == nil {
		req.response.reason = e.Reason
		g.writeLocalResponse(req, e.Status, []byte(e.Reason+"\n"), nil)
		return
	}
	g.clientDrop(c)
}

// rejectMalformedHeader answers a header that does not parse; what follows it cannot be read.
func (g *Gateway) rejectMalformedHeader(c *conn, req *request, err error) {
	g.counts.Malformed++
	c.closing = true
	req.body.complete = true
	req.method, req.header.MinorVersion = "", 1
	status, reason := 400, err.Error()
	if e := (*http1.Error)(nil); errors.As(err, &e) {
		status, reason = e.Status, e.Reason
	}
	req.response.reason = reason
	c.discard = true
	g.writeLocalResponse(req, status, []byte(reason+"\n"), nil)
}

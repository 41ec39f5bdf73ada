package gateway

import (
	"errors"

	"maddergap/internal/http1"
	"maddergap/internal/route"
	"maddergap/scheduler"
)

// beginRequest takes the header of a request.
func (g *Gateway) beginRequest(c *clientConn, header []byte) {
	req := g.requests.create()
	req.client = c
	c.req = req
	req.headerReceivedAt = g.clock.now
	req.rawHeader = append(g.buffers.get(), header...)
	g.setDeadline(c, never)
	if err := http1.ParseRequest(req.rawHeader, &req.header, g.config.HeaderLimits); err != nil {
		g.rejectMalformedHeader(c, req, err)
		return
	}
	req.method = internMethod(req.header.Method)
	req.body.decoder.Reset(&req.header.Message)
	req.body.complete = req.body.decoder.Done()
	req.body.continueHandled = !req.header.ExpectContinue
	c.requestCount++
	if g.isLastRequest(c, req) {
		c.enter(clientClosing)
	}
	// The response before this request may still be in the write buffer. Admission counts one
	// request of a connection at a time, so that the earlier one ends here.
	g.reportAdmittedRequestEnd(c)
	if ok, reason := g.admission.BeginRequest(g.clock.now, uint64(c.id), g.buffers.clientBytes, req.body.complete); !ok {
		c.enter(clientClosing)
		// Counted and logged as a rejected connection: the connection ends with the response.
		g.recordRejection(c.remote, reason, true)
		g.respondLocally(req, 503, rejectionText(reason))
		return
	}
	g.protocol.beginRequest(g, c, req)
}

// isLastRequest reports whether a client connection is closed after the response to a
// request: the instance drains, the client asks for it, or the connection has had its
// number of requests.
func (g *Gateway) isLastRequest(c *clientConn, req *request) bool {
	limit := g.config.Limits.RequestsPerConn
	return g.intake >= intakeLastRequests || req.header.Close || limit > 0 && c.requestCount >= limit
}

// internMethod returns a method; a known one does not allocate.
func internMethod(method []byte) string {
	for _, m := range [...]string{"GET", "HEAD", "PUT", "PROPFIND", "OPTIONS", "DELETE", "MKCOL", "COPY", "MOVE", "PROPPATCH", "LOCK", "UNLOCK"} {
		if string(method) == m {
			return m
		}
	}
	return string(method)
}

// classify finds the class, key, deadline and cost of a request whose body has the length
// in bytes; -1: the length is not known.
func (g *Gateway) classify(req *request, length int64) route.Classification {
	return g.routes.Classify(route.RequestHeader{
		Method:         req.method,
		Location:       req.location,
		ContentLength:  length,
		Range:          string(req.header.Get("range")),
		Prefer:         string(req.header.Get("prefer")),
		IdempotencyKey: string(req.header.Get("idempotency-key")),
	})
}

// sendContinue asks a client that waits for it to send the body (RFC 9110 section
// 10.1.1).
func (g *Gateway) sendContinue(c *clientConn, req *request) {
	if !req.body.continueHandled && !req.body.complete {
		c.out = append(c.out, "HTTP/1.1 100 Continue\r\n\r\n"...)
		g.flushClient(c)
	}
	req.body.continueHandled = true
	if !req.body.complete {
		g.restartUploadTimer(c)
	}
}

// restartUploadTimer begins to wait for the body of a client, or does so anew after the
// client was paused.
func (g *Gateway) restartUploadTimer(c *clientConn) {
	c.upload = transferProgress{since: g.clock.now}
	g.setDeadline(c, g.uploadDeadline(c))
}

// receiveBody takes a piece of the body of a request.
func (g *Gateway) receiveBody(c *clientConn, req *request, data []byte) {
	g.noteBodyReceived(c, req, len(data))
	if req.listing != nil && req.id == 0 {
		g.receiveListingBody(req, data)
		return
	}
	g.bufferOrForwardBody(req, data)
	g.submitWhenBuffered(c, req)
}

// noteBodyReceived counts n decoded bytes of a body, and stops the upload's timer at its
// end.
func (g *Gateway) noteBodyReceived(c *clientConn, req *request, n int) {
	req.body.received += int64(n)
	req.body.complete = req.body.decoder.Done()
	req.body.continueHandled = true // a client that sends its body does not wait for 100
	if req.body.complete {
		g.stopUploadTimer(c)
	}
}

// bufferOrForwardBody forwards a piece of a body to the node that the body is uploaded to,
// or buffers it until there is one. Forwarded bytes are not kept, so that there can be no
// retry.
func (g *Gateway) bufferOrForwardBody(req *request, data []byte) {
	if req.attempts.uploading != nil {
		req.body.consumed = true
		g.forwardBody(req, data)
		return
	}
	req.body.data = append(req.body.data, data...)
}

// submitWhenBuffered submits a request whose body is complete or fills its buffer. If the
// body has to be buffered as a whole, one that is longer than the buffer is rejected.
func (g *Gateway) submitWhenBuffered(c *clientConn, req *request) {
	limit := g.config.Limits.BodyBuffer
	switch {
	case req.id != 0 || req.response.final:
	case req.body.bufferFully && len(req.body.data) > limit:
		g.rejectLongBody(c, req)
	case req.body.complete || !req.body.bufferFully && len(req.body.data) >= limit:
		g.submit(req)
	}
}

// rejectLongBody answers a request whose body has to be buffered and is too long for it.
func (g *Gateway) rejectLongBody(c *clientConn, req *request) {
	c.enter(clientClosing)
	g.respondLocally(req, 413, "the body is longer than any may be")
}

// submit hands a request to the scheduler. From then on it has to get exactly one final
// response.
func (g *Gateway) submit(req *request) {
	if err := g.protocol.prepareArrival(g, req); err != nil {
		g.respondLocally(req, err.Status, err.Reason)
		return
	}
	g.requests.assignID(req)
	req.submittedAt = g.clock.now
	arrival := &req.info.Arrival
	arrival.ID = req.id
	arrival.TimeRemaining = g.clientTimeRemaining(arrival.TimeRemaining)
	if c := req.client; c != nil && c.requestCount == 1 {
		arrival.TimeRemaining = max(arrival.TimeRemaining-c.acceptDelay, 0)
	}
	req.deadline = g.clock.now + arrival.TimeRemaining
	g.counts.Received++
	if req.client != nil {
		g.admission.RequestAccepted(g.clock.now, uint64(req.client.id))
	}
	g.scheduler.notify(*arrival)
}

// cancelRequest ends a request before its final response. It is called
//
//   - when the client has left;
//   - when the gateway drops the client, for instance as it does not read its response, or
//     has closed its sending side within the body;
//   - when the body is malformed or too slow, which the gateway answers itself;
//   - for the parts of a listing whose parent is cancelled.
//
// The outcome says which. The scheduler does not distinguish these: it is notified that the
// client has disconnected.
func (g *Gateway) cancelRequest(req *request, outcome Outcome) {
	if req.id == 0 {
		if req.listing != nil {
			g.cancelListing(req, outcome)
		}
		return
	}
	g.scheduler.notify(scheduler.ClientDisconnected{ID: req.id})
	g.cancelAttempts(req)
	if outcome == AnsweredLocally && req.response.source != nil { // a part of a node's response was written
		outcome = Dropped
	}
	req.response.final = true
	req.cancelledAt = g.clock.now
	g.counts.Disconnected++
	if outcome != ClientDisconnected {
		g.counts.Dropped++
	}
	g.reportRequestEnd(req, outcome)
}

// errBodyCutOff is the error of a body whose client has closed its sending side within it.
var errBodyCutOff = &http1.Error{Status: 400, Reason: "the body ended early"}

// rejectMalformedBody ends a request whose body is malformed, so that none of it is
// executed.
func (g *Gateway) rejectMalformedBody(c *clientConn, req *request, err error) {
	g.counts.Malformed++
	if req.id != 0 && !req.response.final {
		g.cancelRequest(req, AnsweredLocally)
	}
	c.enter(clientClosing)
	req.body.complete = true
	var malformed *http1.Error
	if errors.As(err, &malformed) && req.response.source == nil {
		req.response.reason = malformed.Reason
		g.writeLocalResponse(req, malformed.Status, []byte(malformed.Reason+"\n"), nil)
		return
	}
	g.dropClient(c, Abort, Dropped)
}

// rejectMalformedHeader answers a request whose header is malformed. What follows it
// cannot be read.
func (g *Gateway) rejectMalformedHeader(c *clientConn, req *request, err error) {
	g.counts.Malformed++
	c.enter(clientDiscarding)
	req.body.complete = true
	req.method = ""
	req.header.MinorVersion = 1
	status, reason := 400, err.Error()
	var malformed *http1.Error
	if errors.As(err, &malformed) {
		status, reason = malformed.Status, malformed.Reason
	}
	req.response.reason = reason
	g.writeLocalResponse(req, status, []byte(reason+"\n"), nil)
}

package gateway

import (
	"errors"

	"maddergap/internal/admission"
	"maddergap/internal/http1"
	"maddergap/internal/route"
	"maddergap/scheduler"
)

// beginRequest is called with the complete header of a request. It parses the header,
// asks admission whether to accept the request, and passes an accepted one to the protocol.
func (g *Gateway) beginRequest(c *clientConn, header []byte) {
	req := g.requests.create(g.config, g.routes)
	req.client = c
	c.req = req
	req.headerReceivedAt = g.clock.now
	c.turn.Begin(g.clock.now)
	g.buffers.set(&req.rawHeader, append(g.buffers.get(len(header)), header...))
	g.setDeadline(c, never)
	err := http1.ParseRequest(req.rawHeader, &req.header, req.config.HeaderLimits)
	g.buffers.countFields(&req.fieldBytes, req.header.Fields)
	if err != nil {
		g.rejectMalformedHeader(c, req, err)
		return
	}
	req.method = internMethod(req.header.Method)
	req.body.decoder.Reset(&req.header.Message)
	req.body.complete = req.body.decoder.Done()
	req.body.continueHandled = !req.header.ExpectContinue
	c.requestCount++
	if g.isLastRequest(c, req) {
		c.advancePhase(clientClosing)
	}
	if g.intake >= intakeAborted {
		g.respondLocally(req, 503, reasonStopped)
		return
	}
	// The response to the previous request may still be in the output buffer. Admission counts
	// at most one request of a connection, so the previous one ends here.
	g.reportAdmittedRequestEnd(c)
	newRequest := admission.NewRequest{
		Complete: req.body.complete,
		Long:     req.header.Chunked || req.header.ContentLength > int64(g.config.Admission.Buffers.MinConnBytes),
		Buffered: g.buffers.totalBytes(),
	}
	if ok, reason := g.admission.BeginRequest(g.clock.now, uint64(c.id), newRequest); !ok {
		c.advancePhase(clientClosing)
		// Counted and logged as a rejected connection, as the connection ends with the response.
		g.recordRejection(c.remote, reason, true)
		g.respondLocally(req, 503, rejectionText(reason))
		return
	}
	g.protocol.beginRequest(g, c, req)
}

// isLastRequest reports whether a client connection is closed after the response to a
// request: the instance is draining, the client asked for it, or the connection has reached
// its limit of requests.
func (g *Gateway) isLastRequest(c *clientConn, req *request) bool {
	limit := g.config.Limits.RequestsPerConn
	return g.intake >= intakeDraining || req.header.Close || limit > 0 && c.requestCount >= limit
}

// internMethod returns a method as a string, without allocating if it is a known one.
func internMethod(method []byte) string {
	for _, m := range [...]string{"GET", "HEAD", "PUT", "PROPFIND", "OPTIONS", "DELETE", "MKCOL", "COPY", "MOVE", "PROPPATCH", "LOCK", "UNLOCK"} {
		if string(method) == m {
			return m
		}
	}
	return string(method)
}

// classify returns the class, ordering key, timeout and cost of a request. length is that of
// its body in bytes; -1: not known.
func (r *request) classify(length int64) route.Classification {
	return r.routes.Classify(route.RequestHeader{
		Method:         r.method,
		Location:       r.location,
		ContentLength:  length,
		Range:          string(r.header.Get("range")),
		Prefer:         string(r.header.Get("prefer")),
		IdempotencyKey: string(r.header.Get("idempotency-key")),
	})
}

const continueResponse = "HTTP/1.1 100 Continue\r\n\r\n"

// sendContinue sends 100 (Continue) to a client that waits for it (RFC 9110 section 10.1.1),
// and starts the timer for the body if that is not complete yet.
func (g *Gateway) sendContinue(c *clientConn, req *request) {
	if !req.body.continueHandled && !req.body.complete {
		output := g.buffers.orNew(c.output, len(continueResponse))
		g.buffers.set(&c.output, append(output, continueResponse...))
		g.flushClient(c)
	}
	req.body.continueHandled = true
	if !req.body.complete {
		g.restartUploadTimer(c)
	}
}

// restartUploadTimer starts the timer and the minimum rate for the upload of a body, or
// restarts them after the client was paused.
func (g *Gateway) restartUploadTimer(c *clientConn) {
	c.upload = transferProgress{startedAt: g.clock.now}
	g.setDeadline(c, g.uploadDeadline(c))
}

// receiveBody processes a piece of a request body.
func (g *Gateway) receiveBody(c *clientConn, req *request, data []byte) {
	g.recordBodyReceived(c, req, len(data))
	if req.listing != nil && req.id == 0 {
		g.receiveListingBody(req, data)
		return
	}
	g.bufferOrForwardBody(req, data)
	g.submitWhenBuffered(c, req)
}

// recordBodyReceived counts n decoded bytes of a body, and stops the upload timer at the end of
// the body.
func (g *Gateway) recordBodyReceived(c *clientConn, req *request, n int) {
	req.body.received += int64(n)
	req.body.complete = req.body.decoder.Done()
	req.body.continueHandled = true // a client that sends its body does not wait for 100 (Continue)
	if req.body.complete {
		g.stopUploadTimer(c)
	}
}

// bufferOrForwardBody forwards a piece of a body to the node that the body is uploaded to, or
// buffers it if there is none yet. Forwarded bytes are not kept, so that the request cannot
// be retried.
func (g *Gateway) bufferOrForwardBody(req *request, data []byte) {
	if req.attempts.uploading != nil {
		req.body.consumed = true
		g.forwardBody(req, data)
		return
	}
	g.appendToBody(req, data)
}

// appendToBody adds a piece to the buffered part of a request body.
func (g *Gateway) appendToBody(req *request, data []byte) {
	g.buffers.append(&req.body.data, data, req.header.ContentLength)
}

// submitWhenBuffered submits a request once its body is complete or fills the buffer. If the
// whole body has to be buffered, a body that is longer than the buffer is rejected.
func (g *Gateway) submitWhenBuffered(c *clientConn, req *request) {
	limit := req.config.Limits.BodyBuffer
	switch {
	case req.id != 0 || req.response.final:
	case req.body.bufferFully && len(req.body.data) > limit:
		g.rejectLongBody(c, req)
	case req.body.complete || !req.body.bufferFully && len(req.body.data) >= limit:
		g.submit(req)
	}
}

// rejectLongBody responds with 413 to a request whose body has to be buffered and is longer
// than the buffer.
func (g *Gateway) rejectLongBody(c *clientConn, req *request) {
	c.advancePhase(clientClosing)
	g.respondLocally(req, 413, "the body is longer than any may be")
}

// submit hands a request to the scheduler. From then on the request has to get exactly one
// final response.
func (g *Gateway) submit(req *request) {
	if c := req.client; c != nil && c.peer == peerDisconnected {
		g.dropClient(c, Close, ClientDisconnected)
		return
	}
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

// cancelRequest ends a request that has no final response yet. It is called when
//
//   - the client has disconnected;
//   - the gateway drops the client, for instance because the client does not read its
//     response;
//   - the body is malformed, cut off or too slow, and the gateway itself responds;
//   - the request is a part of a listing whose parent is cancelled.
//
// The outcome is for the observer. The scheduler does not distinguish these cases: it is
// notified that the client has disconnected.
func (g *Gateway) cancelRequest(req *request, outcome Outcome) {
	if req.id == 0 {
		if req.listing != nil {
			g.cancelListing(req, outcome)
		}
		return
	}
	g.scheduler.notify(scheduler.ClientDisconnected{ID: req.id})
	g.cancelAttempts(req)
	if outcome == AnsweredLocally && req.response.source != nil {
		outcome = Dropped // part of a node's response was written to the client
	}
	req.response.final = true
	req.cancelledAt = g.clock.now
	g.counts.Disconnected++
	if outcome != ClientDisconnected {
		g.counts.Dropped++
	}
	g.reportRequestEnd(req, outcome)
}

// errBodyIncomplete reports that the client closed its sending side before the end of the body.
var errBodyIncomplete = &http1.Error{Status: 400, Reason: "the body ended early"}

// rejectMalformedBody ends a request whose body is malformed. As no node gets the complete
// request, it is not executed. The client gets an error response, or is dropped if part of a
// node's response was written to it.
func (g *Gateway) rejectMalformedBody(c *clientConn, req *request, err error) {
	g.counts.Malformed++
	if req.id != 0 && !req.response.final {
		g.cancelRequest(req, AnsweredLocally)
	}
	c.advancePhase(clientClosing)
	req.body.complete = true
	var malformed *http1.Error
	if errors.As(err, &malformed) && req.response.source == nil {
		req.response.reason = malformed.Reason
		g.writeLocalResponse(req, malformed.Status, []byte(malformed.Reason+"\n"), nil)
		return
	}
	g.dropClient(c, Abort, Dropped)
}

// rejectMalformedHeader responds to a request whose header is malformed. The bytes that follow
// cannot be parsed, and are discarded.
func (g *Gateway) rejectMalformedHeader(c *clientConn, req *request, err error) {
	g.counts.Malformed++
	c.advancePhase(clientDiscarding)
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

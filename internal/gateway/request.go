package gateway

import (
	"errors"

	"maddergap/internal/http1"
	"maddergap/internal/route"
)

// begin takes a request's header.
func (h *Gateway) begin(c *conn, block []byte) {
	ex := h.requests.create()
	ex.client, c.ex, ex.headerAt = c, ex, h.clock.now
	ex.headerBytes = append(h.buffers.get(), block...)
	h.setDeadline(c, never)
	if err := http1.ParseRequest(ex.headerBytes, &ex.req, h.config.HeaderLimits); err != nil {
		h.malformed(c, ex, err)
		return
	}
	r := &ex.req
	ex.method = method(r.Method)
	ex.body.decoder.Reset(&r.Message)
	ex.body.whole = ex.body.decoder.Done()
	ex.body.invited = !r.Expect
	if h.phase >= draining {
		c.closing = true
	}
	if r.Close {
		c.closing = true
	}
	if c.requests++; h.config.Limits.RequestsPerConn > 0 && c.requests >= h.config.Limits.RequestsPerConn {
		c.closing = true // the last that this connection may have
	}
	h.endAdmitted(c)
	if ok, why := h.admission.BeginRequest(h.clock.now, uint64(c.id), h.buffers.clientBytes, ex.body.whole); !ok {
		c.closing = true
		h.turned(c.remote, why, true)
		h.answerOwn(ex, 503, notAdmitted(why))
		return
	}
	h.protocol.begin(h, c, ex)
}

// method returns a known method without allocating.
func method(b []byte) string {
	for _, m := range [...]string{"GET", "HEAD", "PUT", "PROPFIND", "OPTIONS", "DELETE", "MKCOL", "COPY", "MOVE", "PROPPATCH", "LOCK", "UNLOCK"} {
		if string(b) == m {
			return m
		}
	}
	return string(b)
}

// job classifies a request whose body has the length, -1 where it is not told.
func (h *Gateway) job(ex *exchange, length int64) route.Classification {
	return h.routes.Classify(route.RequestHeader{Method: ex.method, Location: ex.place, Length: length, Range: string(ex.req.Get("range")),
		Prefer: string(ex.req.Get("prefer")), Key: string(ex.req.Get("idempotency-key"))})
}

// invite lets a client that waits for it send its body (RFC 9110 10.1.1).
func (h *Gateway) invite(c *conn, ex *exchange) {
	if !ex.body.invited && !ex.body.whole {
		c.out = append(c.out, "HTTP/1.1 100 Continue\r\n\r\n"...)
		h.flush(c)
	}
	ex.body.invited = true
	if !ex.body.whole {
		h.bodyOn(c)
	}
}

// bodyOn begins to wait for a client's body, or goes on after it waited for us.
func (h *Gateway) bodyOn(c *conn) {
	c.body = pace{from: h.clock.now}
	h.setDeadline(c, h.bodyBy(c))
}

// bodyData takes a piece of a request's body.
func (h *Gateway) bodyData(c *conn, ex *exchange, data []byte) {
	ex.body.received += int64(len(data))
	ex.body.whole = ex.body.decoder.Done()
	ex.body.invited = true
	if ex.body.whole {
		h.setDeadline(c, never)
	}
	if ex.listing != nil && ex.id == 0 {
		if len(ex.body.held)+len(data) > h.config.Limits.BodyBuffer {
			h.answerOwn(ex, 413, "the body of a PROPFIND is longer than can be held")
			return
		}
		if ex.body.held = append(ex.body.held, data...); ex.body.whole {
			h.list(ex)
		}
		return
	}
	if ex.attempts.upload == nil {
		ex.body.held = append(ex.body.held, data...)
	} else {
		ex.body.spent = true
		h.uploadData(ex.attempts.upload, data)
	}
	switch {
	case ex.id != 0 || ex.answer.final:
	case ex.body.buffered && len(ex.body.held) > h.config.Limits.BodyBuffer:
		h.tooLong(c, ex)
	case ex.body.whole || !ex.body.buffered && len(ex.body.held) >= h.config.Limits.BodyBuffer:
		h.take(ex)
	}
}

// tooLong answers a body that is held whole and too long for it.
func (h *Gateway) tooLong(c *conn, ex *exchange) {
	c.closing = true
	h.answerOwn(ex, 413, "the body is longer than any may be")
}

// take gives a request to the module: from here on it is owed one final answer.
func (h *Gateway) take(ex *exchange) {
	if fault := h.protocol.arrival(h, ex); fault != nil {
		h.answerOwn(ex, fault.Status, fault.Reason)
		return
	}
	h.requests.assignID(ex)
	ex.takenAt = h.clock.now
	a := &ex.ask.Arrival
	a.ID, a.TimeRemaining = ex.id, h.clientTimeLeft(a.TimeRemaining)
	if c := ex.client; c != nil && c.requests == 1 {
		a.TimeRemaining = max(a.TimeRemaining-c.waited, 0)
	}
	ex.deadline = h.clock.now + a.TimeRemaining
	h.counts.Received++
	if ex.client != nil {
		h.admission.RequestAccepted(h.clock.now, uint64(ex.client.id))
	}
	h.events = append(h.events, *a)
}

// badBody ends a request whose body is malformed: nothing of it may run.
func (h *Gateway) badBody(c *conn, ex *exchange, err error) {
	h.counts.Malformed++
	if ex.id != 0 && !ex.answer.final {
		h.leave(ex)
	}
	c.closing, ex.body.whole = true, true
	var e *http1.Error
	if errors.As(err, &e) && ex.answer.from == nil {
		ex.answer.reason = e.Reason
		h.respond(ex, e.Status, []byte(e.Reason+"\n"), nil)
		return
	}
	h.clientDrop(c)
}

// malformed answers a header that does not parse; what follows it cannot be read.
func (h *Gateway) malformed(c *conn, ex *exchange, err error) {
	h.counts.Malformed++
	c.closing = true
	ex.body.whole = true
	ex.method, ex.req.Minor = "", 1
	status, reason := 400, err.Error()
	if e := (*http1.Error)(nil); errors.As(err, &e) {
		status, reason = e.Status, e.Reason
	}
	ex.answer.reason = reason
	c.discard = true
	h.respond(ex, status, []byte(reason+"\n"), nil)
}

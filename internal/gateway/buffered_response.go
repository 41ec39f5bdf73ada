package gateway

// appendToResponse adds a piece to a response that is buffered until it is complete. A short response is
// given a buffer for all of it.
func (g *Gateway) appendToResponse(attempt *nodeAttempt, data []byte) {
	body, length := &attempt.responseBody, attempt.conn.response.ContentLength
	before := cap(*body)
	if before == 0 && length > 0 && length <= maxPooledBuffer {
		g.buffers.set(body, g.buffers.get(int(length)))
	}
	g.buffers.append(body, data, length)
	g.buffers.responseBytes += int64(cap(*body) - before) // subtracted when the attempt ends
}

// limitResponses is called when a buffered response has grown. While all of them exceed limit, or the
// memory for all buffers is used up, it gives up the longest: a response without an end must not keep
// other requests from theirs. It returns false if that is the response of attempt, whose connection the
// caller then aborts.
func (g *Gateway) limitResponses(attempt *nodeAttempt, limit int64) bool {
	for g.buffers.responseBytes > limit || !g.admission.MayBufferResponse(g.buffers.totalBytes()) {
		longest := g.longestResponse()
		if longest == nil || longest == attempt {
			return false
		}
		g.abortNodeConn(longest.conn, g.protocol.brokenResponseOutcome())
	}
	return true
}

// longestResponse returns the attempt with the longest buffered response, or nil if there is none.
func (g *Gateway) longestResponse() *nodeAttempt {
	var longest *nodeAttempt
	for _, conn := range g.conns.slots {
		c, ok := conn.(*nodeConn)
		if !ok || c.attempt == nil || cap(c.attempt.responseBody) == 0 {
			continue
		}
		if longest == nil || len(c.attempt.responseBody) > len(longest.responseBody) {
			longest = c.attempt
		}
	}
	return longest
}

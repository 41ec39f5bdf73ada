package gateway

// A node's response that breaks off is withdrawn as long as nothing of it was written to the
// client: the request may then have another attempt, and a response of the gateway's own. Guards
// against a client whose connection is reset though a status could still be sent to it.

// outputEnd returns the position of the next byte that is queued for the client, counted from the
// first byte of the connection.
func (c *clientConn) outputEnd() int64 { return c.outputWritten + int64(len(c.pending())) }

// withdrawResponse takes back what was queued of an attempt's incomplete response, if nothing of
// it was written.
func (g *Gateway) withdrawResponse(req *request, attempt *nodeAttempt) {
	switch {
	case req.response.source != attempt:
		return
	case req.listing != nil:
		req.listing.discardPart(req.listingPart)
	case req.client == nil || !g.withdrawOutput(req.client, req.response.outputStart):
		return
	}
	req.response.source = nil
	req.response.status = 0
	req.response.chunked = false
}

// withdrawOutput drops what is queued for a client from a position on. It returns false if some
// of that was written.
func (g *Gateway) withdrawOutput(c *clientConn, start int64) bool {
	if c.outputWritten > start {
		return false
	}
	c.out = c.out[:c.written+int(start-c.outputWritten)]
	if len(c.pending()) > 0 {
		return true // of the response before
	}
	g.discardOutput(c)
	c.download = transferProgress{}
	if c.req.body.complete || c.paused {
		g.setDeadline(c, never)
	}
	return true
}

// discardPart drops what was received for a part.
func (l *listing) discardPart(index int) {
	l.bytes -= len(l.bodies[index])
	l.bodies[index] = nil
}

package gateway

// If a node's response breaks off before any byte of it was written to the client, it is
// withdrawn. The request can then have another attempt, or a response of the gateway's own.
// Without this, the gateway would have to reset the client's connection although it could still
// send a status.

// outputEnd returns the number of bytes that were written to the client or are pending, since the
// connection was accepted. That is the position of the next byte to be queued.
func (c *clientConn) outputEnd() int64 { return c.totalWritten + int64(len(c.pending())) }

// withdrawResponse removes the queued part of an attempt's incomplete response, if no byte of it
// was written.
func (g *Gateway) withdrawResponse(req *request, attempt *nodeAttempt) {
	switch {
	case req.response.source != attempt:
		return
	case req.listing != nil:
		req.listing.discardPart(&g.buffers, req.listingPart)
	case req.client == nil || !g.withdrawOutput(req.client, req.response.outputStart):
		return
	}
	req.response.source = nil
	req.response.status = 0
	req.response.chunked = false
}

// withdrawOutput removes the output of a client from the position start on. It returns false, and
// removes nothing, if some of that output was already written.
func (g *Gateway) withdrawOutput(c *clientConn, start int64) bool {
	if c.totalWritten > start {
		return false
	}
	c.output = c.output[:c.written+int(start-c.totalWritten)]
	if len(c.pending()) > 0 {
		return true // the rest belongs to the previous response
	}
	g.discardOutput(c)
	c.download = transferProgress{}
	if c.req.body.complete || c.readingPaused {
		g.setDeadline(c, never)
	}
	return true
}

// discardPart discards the bytes received in response to a part of the listing. A part is the request
// that the gateway sends for the entries of one shard; index is its index in l.parts.
func (l *listing) discardPart(buffers *bufferPool, index int) {
	l.bytes -= len(l.bodies[index])
	buffers.release(&l.bodies[index])
}

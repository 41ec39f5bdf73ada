package gateway

import (
	"maddergap/internal/http1"
	"maddergap/scheduler"
)

// startAttempt starts an attempt of a request at a node, as the scheduler decided; see
// scheduler.Send for arriveBefore. An attempt that may not start, or that gets no connection, ends
// at once as not sent, and the scheduler decides again.
func (g *Gateway) startAttempt(req *request, nodeName string, arriveBefore Time) {
	if req == nil { // not expected: the scheduler sends no request that has its final response
		return
	}
	attempt := g.newAttempt(req, nodeName, arriveBefore)
	n := g.nodes.byName[nodeName]
	if req.response.final || !g.mayStartAttempt(attempt) { // the final response may have come since the scheduler decided
		g.endAttempt(attempt, scheduler.NotSent)
		return
	}
	if idle := g.selectIdleConn(n); idle != nil {
		g.useIdleConn(idle, attempt)
		return
	}
	if n.conns >= g.config.Limits.ConnsPerNode || !g.ensureNodeConnCapacity() {
		// A limit of this instance was reached. That is no fault of the node.
		g.endAttempt(attempt, scheduler.NotSent)
		return
	}
	g.dialNode(n, attempt)
}

// sendRequest sends the request of an attempt on its established connection: the header, and
// as much of the body as is buffered. The rest of the body is forwarded as it arrives.
func (g *Gateway) sendRequest(c *nodeConn, req *request) {
	g.encodeRequest(c, req)
	c.state = nodeAwaitingResponse
	c.interimResponses = 0
	if !req.body.complete {
		req.attempts.uploading = c.attempt
		if client := req.client; client != nil {
			g.sendContinue(client, req)
			g.restartUploadTimer(client)
			g.resumeClientInput(client)
		}
	}
	if c.respondedAt > 0 {
		// The process may have been held up since the driver last looked for input. Without this, a
		// second response that arrived meanwhile would be taken for the response to this request.
		g.actions.add(Read, c.id)
	}
	g.flush(c)
}

// maxCopiedBody is the size in bytes of the largest complete body that is copied behind its header, so
// that both are sent with one write.
const maxCopiedBody = 2 << 10

// encodeRequest encodes the header of the request that a connection carries, and as much of
// the body as is buffered. It replaces the content of the connection's output buffer. A long body that
// is complete does not change any more, and is sent from the request's own buffer.
func (g *Gateway) encodeRequest(c *nodeConn, req *request) {
	attempt := c.attempt
	c.output = c.output[:0]
	c.written = 0
	c.body = nil
	size := len(req.rawHeader) + maxAddedHeaderBytes
	b := g.protocol.appendRequest(g, g.buffers.orNew(c.output, size), req, attempt)
	g.buffers.set(&c.output, append(appendRequestFraming(b, req), "\r\n"...))
	attempt.fullyQueued = req.body.complete
	attempt.chunked = !req.body.complete && req.header.ContentLength < 0
	switch body := req.body.data; {
	case len(body) == 0:
	case req.body.complete && len(body) > maxCopiedBody:
		c.body = body
	default:
		g.appendBody(c, body)
	}
}

// maxAddedHeaderBytes is about the size of the header fields that the gateway adds to a request.
const maxAddedHeaderBytes = 512

// appendRequestFraming appends the header field that delimits the body of a request, if one
// is needed: Content-Length or Transfer-Encoding.
func appendRequestFraming(b []byte, req *request) []byte {
	header, body := &req.header, &req.body
	hasBody := body.received > 0 || header.ContentLength > 0 || header.Chunked || req.listing != nil
	switch {
	case body.complete && hasBody:
		return http1.AppendIntField(b, "Content-Length", int64(len(body.data)))
	case !body.complete && header.ContentLength >= 0:
		return http1.AppendIntField(b, "Content-Length", header.ContentLength)
	case !body.complete:
		return append(b, "Transfer-Encoding: chunked\r\n"...)
	case req.method == "PUT":
		return append(b, "Content-Length: 0\r\n"...)
	}
	return b
}

// appendBody appends a piece of a request body to the output buffer of a connection, as a chunk
// if the attempt uses chunked transfer coding.
func (g *Gateway) appendBody(c *nodeConn, data []byte) {
	if c.attempt.chunked {
		g.buffers.set(&c.output, http1.AppendChunk(c.output, data))
	} else {
		g.buffers.set(&c.output, append(c.output, data...))
	}
}

// forwardBody forwards a piece of a request body to the node that the body is uploaded to, and
// ends the upload if the body is complete.
func (g *Gateway) forwardBody(req *request, data []byte) {
	attempt := req.attempts.uploading
	c := attempt.conn
	g.buffers.set(&c.output, g.buffers.orNew(c.output, len(data)))
	if len(data) > 0 {
		g.appendBody(c, data)
	}
	if req.body.complete {
		if attempt.chunked {
			g.buffers.set(&c.output, http1.AppendLastChunk(c.output))
		}
		attempt.fullyQueued = true
		req.attempts.uploading = nil
	}
	g.flush(c)
}

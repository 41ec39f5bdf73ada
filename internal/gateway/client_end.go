package gateway

import "time"

// The functions in this file end a client's request or connection on the gateway's initiative.

// lingerTimeout is how long the gateway waits for a client to close its connection after the
// last response; see lingeringClose.
const lingerTimeout = 2 * time.Second

// handleUploadTimeout ends a request whose body makes no progress, or is slower than the minimum
// rate. A submitted request is cancelled. The client is answered with 408, or its connection
// is reset if a part of a node's response was already written.
func (g *Gateway) handleUploadTimeout(c *clientConn, req *request) {
	if req.id != 0 {
		g.cancelRequest(req, AnsweredLocally)
	}
	if req.response.source != nil {
		g.dropClient(c, Abort, Dropped)
		return
	}
	c.advancePhase(clientClosing)
	req.body.complete = true
	req.response.reason = "the body did not come in time"
	g.counts.Malformed++
	g.writeLocalResponse(req, 408, []byte("the body did not come in time\n"), nil)
}

// respondWithoutHeader answers a client that has not sent the complete header of its request, and
// ends the connection. As there is no request yet, it creates one for the response.
func (g *Gateway) respondWithoutHeader(c *clientConn, status int, reason string) {
	req := g.requests.create(g.config, g.routes)
	req.client = c
	c.req = req
	req.body.complete = true
	req.response.reason = reason
	req.header.MinorVersion = 1
	req.headerReceivedAt = g.clock.now
	c.advancePhase(clientClosing)
	g.writeLocalResponse(req, status, []byte(reason+"\n"), nil)
}

// dropClient closes a client connection with op, which is Close or Abort, and ends its
// request with the outcome.
func (g *Gateway) dropClient(c *clientConn, op Op, outcome Outcome) {
	if !c.closed {
		g.closeConn(c, op)
		g.cancelClientRequest(c, outcome)
	}
}

// cancelClientRequest ends the request, if any, of a client connection that was closed.
func (g *Gateway) cancelClientRequest(c *clientConn, outcome Outcome) {
	req := c.req
	if req == nil {
		return
	}
	c.req, req.client = nil, nil
	if !req.response.final {
		g.cancelRequest(req, outcome)
	}
	g.recycle(req)
}

// lingeringClose shuts down the sending side of a client connection. Further input is read
// and discarded until the client closes the connection too, or lingerTimeout has passed. If
// the gateway closed a socket with unread bytes in it, the connection would be reset, and the
// client would lose the last response.
func (g *Gateway) lingeringClose(c *clientConn) {
	switch {
	case c.peer != peerConnected:
		g.closeConn(c, Close)
	case c.phase != clientLingering:
		c.advancePhase(clientLingering)
		g.actions.add(CloseWrite, c.id)
		g.resumeReading(c)
		g.setDeadline(c, g.clock.now+lingerTimeout)
	}
}

package gateway

import "time"

// How the gateway ends a client's request, or its connection, before the client does.

// lingerTimeout is how long a client that does not close is still read after the last
// response; see lingeringClose.
const lingerTimeout = 2 * time.Second

// uploadTimedOut ends a request whose body has stopped, or is too slow. A request that was
// submitted is cancelled, and the client is answered here.
func (g *Gateway) uploadTimedOut(c *clientConn, req *request) {
	if req.id != 0 {
		g.cancelRequest(req, AnsweredLocally)
	}
	if req.response.source != nil {
		g.dropClient(c, Abort, Dropped)
		return
	}
	c.enter(clientClosing)
	req.body.complete = true
	req.response.reason = "the body stopped"
	g.counts.Malformed++
	g.writeLocalResponse(req, 408, []byte("the body did not come in time\n"), nil)
}

// respondHeaderTimeout answers a client that has not sent the header of its request in
// time, and ends the connection. As there is no request yet, one is made for the response.
func (g *Gateway) respondHeaderTimeout(c *clientConn) {
	const reason = "the header did not come in time"
	req := g.requests.create()
	req.client = c
	c.req = req
	req.body.complete = true
	req.response.reason = reason
	req.header.MinorVersion = 1
	req.headerReceivedAt = g.clock.now
	c.enter(clientClosing)
	g.writeLocalResponse(req, 408, []byte(reason+"\n"), nil)
}

// dropClient closes a client connection by op, and ends its request with the outcome.
func (g *Gateway) dropClient(c *clientConn, op Op, outcome Outcome) {
	if !c.closed {
		g.closeConn(c, op)
		g.cancelClientRequest(c, outcome)
	}
}

// cancelClientRequest ends the request of a client connection that is closed.
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

// lingeringClose shuts down the sending side of a client connection, and reads and drops
// what still comes until the client has closed too, or lingerTimeout has passed. A close
// with unread bytes in the socket would reset the connection, and the client would lose
// the last response.
func (g *Gateway) lingeringClose(c *clientConn) {
	switch {
	case c.peer != peerConnected:
		g.closeConn(c, Close)
	case c.phase != clientLingering:
		c.enter(clientLingering)
		g.actions.add(CloseWrite, c.id)
		g.resumeReading(c)
		g.setDeadline(c, g.clock.now+lingerTimeout)
	}
}

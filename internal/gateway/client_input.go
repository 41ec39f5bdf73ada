package gateway

// maxPipelinedBytes limits what a client may pipeline if its EOF means that it has left.
// Such a client is not paused while its request is under way, as the EOF is behind what
// it has pipelined: unread, a client that has left would go unnoticed, and its request
// would be sent all the same. Beyond the limit its input is dropped, and the connection
// ends with the response. 16 KiB has room for several requests with headers of the usual
// size, and bounds what such a client can have buffered beside its request.
const maxPipelinedBytes = 16 << 10

// clientInput is what the next bytes of a client connection are.
type clientInput uint8

const (
	inputDiscarded clientInput = iota // not to be used
	inputHeader                       // the header of a request
	inputBody                         // the body of the request under way
	inputPipelined                    // requests behind the request under way
)

func (i clientInput) String() string {
	return [...]string{"discarded", "header", "body", "pipelined"}[i]
}

// nextInput returns what the next bytes of the connection are.
func (c *clientConn) nextInput() clientInput {
	switch {
	case c.phase >= clientOverflowed, c.phase >= clientClosing && c.req == nil:
		return inputDiscarded
	case c.req == nil:
		return inputHeader
	case !c.req.body.complete:
		return inputBody
	}
	return inputPipelined
}

// consumeClientData uses the bytes of a client and returns those that cannot be used yet.
func (g *Gateway) consumeClientData(c *clientConn, data []byte) []byte {
	for more := true; more && len(data) > 0 && !c.closed; {
		switch c.nextInput() {
		case inputDiscarded:
			return nil
		case inputHeader:
			data, more = g.consumeHeader(c, data)
		case inputBody:
			data, more = g.consumeBody(c, data)
		case inputPipelined:
			return g.holdPipelined(c, data)
		}
	}
	return data
}

// consumeHeader takes the header of a request, if it is complete. It returns what is
// behind it, and whether that can be used now.
func (g *Gateway) consumeHeader(c *clientConn, data []byte) (rest []byte, more bool) {
	if data[0] == '\r' || data[0] == '\n' { // RFC 9112 section 2.2: empty lines before a request
		c.headerScanned = 0
		return data[1:], true
	}
	if c.headerStartedAt == 0 {
		c.headerStartedAt = g.clock.now
		g.setDeadline(c, g.clock.now+g.config.Timeouts.Header)
	}
	n := g.config.HeaderLimits.HeaderBlock(data, &c.headerScanned)
	if n == 0 {
		return data, false
	}
	c.headerStartedAt = 0
	g.beginRequest(c, data[:n])
	return data[n:], true
}

// consumeBody takes a piece of the body of the request under way, or pauses the client
// if there is no room for it.
func (g *Gateway) consumeBody(c *clientConn, data []byte) (rest []byte, more bool) {
	req := c.req
	if g.uploadBlocked(req) {
		g.pauseReading(c)
		g.stopUploadTimer(c) // the client waits for the gateway
		return data, false
	}
	c.upload.bytes += int64(len(data))
	g.setDeadline(c, g.uploadDeadline(c))
	piece, rest, err := req.body.decoder.Next(data)
	if err != nil {
		g.rejectMalformedBody(c, req, err)
		return nil, false
	}
	g.receiveBody(c, req, piece)
	return rest, true
}

// uploadBlocked reports whether there is no room for more of a request body: a submitted
// request has filled its buffer, or the node takes the body more slowly than it comes.
func (g *Gateway) uploadBlocked(req *request) bool {
	if uploading := req.attempts.uploading; uploading != nil {
		return len(uploading.conn.pending()) > g.bufferAllowance()
	}
	return req.id != 0 && len(req.body.data) >= g.config.Limits.BodyBuffer
}

// holdPipelined keeps what a client has pipelined, or drops what is beyond the limit.
func (g *Gateway) holdPipelined(c *clientConn, data []byte) (rest []byte) {
	switch {
	case !g.protocol.eofMeansDisconnect():
		g.pauseReading(c)
		return data
	case len(data) <= maxPipelinedBytes:
		return data
	}
	c.enter(clientOverflowed)
	return nil
}

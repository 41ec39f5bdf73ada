package gateway

import "bytes"

// maxPipelinedBytes limits the pipelined input of a client in protocols where EOF means that
// the client has disconnected. Reading from such a client is not paused while its request is
// under way: the EOF arrives behind the pipelined input, and while that is unread, the
// gateway would not notice the disconnect and would still send the request. Input beyond the
// limit is discarded, and the connection is closed after the response. 16 KiB has room for
// several requests with headers of the usual size, and bounds the memory that such a client
// takes up in addition to its request.
const maxPipelinedBytes = 16 << 10

// clientInput is the kind of the next bytes of a client connection.
type clientInput uint8

const (
	inputDiscarded clientInput = iota // input that is read and ignored
	inputHeader                       // the header of a request
	inputBody                         // the body of the request under way
	inputPipelined                    // requests that follow the request under way
)

func (i clientInput) String() string {
	return [...]string{"discarded", "header", "body", "pipelined"}[i]
}

// nextInput returns the kind of the next bytes of the connection.
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

// consumeClientData processes bytes from a client, and returns the rest that cannot be
// processed yet.
func (g *Gateway) consumeClientData(c *clientConn, data []byte) []byte {
	for more := true; more && len(data) > 0 && !c.closed; {
		switch c.nextInput() {
		case inputDiscarded:
			return nil
		case inputHeader:
			if !g.mayBeginRequest(c) {
				return data
			}
			data, more = g.consumeHeader(c, data)
		case inputBody:
			data, more = g.consumeBody(c, data)
		case inputPipelined:
			return g.bufferPipelined(c, data)
		}
	}
	return data
}

// consumeHeader processes the header of a request, if it is complete. It returns the unconsumed
// part of data, and whether this part can be processed now.
func (g *Gateway) consumeHeader(c *clientConn, data []byte) (unconsumed []byte, more bool) {
	if data[0] == '\r' || data[0] == '\n' { // RFC 9112 section 2.2: empty lines before a request
		c.headerScanned = 0
		return bytes.TrimLeft(data, "\r\n"), true
	}
	if c.headerStartedAt == 0 {
		c.headerStartedAt = g.clock.now
		g.setDeadline(c, g.clock.now+g.config.Timeouts.Header)
	}
	n := g.config.HeaderLimits.FindHeaderEnd(data, &c.headerScanned)
	if n == 0 {
		return data, false
	}
	c.headerStartedAt = 0
	g.beginRequest(c, data[:n])
	return data[n:], true
}

// consumeBody processes a piece of the body of the request under way, or pauses reading from
// the client if there is no room for it. It returns the same as consumeHeader.
func (g *Gateway) consumeBody(c *clientConn, data []byte) (unconsumed []byte, more bool) {
	req := c.req
	if g.isUploadBlocked(req) {
		g.pauseReading(c)
		g.stopUploadTimer(c) // the client waits for the gateway
		return data, false
	}
	c.upload.bytes += int64(len(data))
	g.setDeadline(c, g.uploadDeadline(c))
	piece, unconsumed, err := req.body.decoder.Next(data)
	if err != nil {
		g.rejectMalformedBody(c, req, err)
		return nil, false
	}
	g.receiveBody(c, req, piece)
	return unconsumed, true
}

// isUploadBlocked reports whether there is no room for more of a request body: a submitted
// request has filled its buffer, or the node takes the body more slowly than the client
// sends it.
func (g *Gateway) isUploadBlocked(req *request) bool {
	if uploading := req.attempts.uploading; uploading != nil {
		return len(uploading.conn.pending()) > g.bufferAllowance()
	}
	return req.id != 0 && len(req.body.data) >= req.config.Limits.BodyBuffer
}

// bufferPipelined returns the input that a client has pipelined, which is processed after the
// current request. It pauses reading from the client, or discards the input if EOF means a
// disconnect and the input exceeds maxPipelinedBytes or the memory for it is used up.
func (g *Gateway) bufferPipelined(c *clientConn, data []byte) (unconsumed []byte) {
	switch {
	case !g.protocol.eofMeansDisconnect():
		g.pauseReading(c)
		return data
	case len(data) <= maxPipelinedBytes && g.admission.MayBufferPipelined(g.buffers.totalBytes()):
		return data
	}
	c.advancePhase(clientOverflowed)
	return nil
}

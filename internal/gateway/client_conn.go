package gateway

import (
	"net/netip"
	"time"

	"maddergap/internal/invariant"
)

// firstRequestGrace is how long a connection that may have a request on its way has
// to deliver it when the instance is stopping.
const firstRequestGrace = 200 * time.Millisecond

// clientPhase is the phase of a client connection. It only advances.
type clientPhase uint8

const (
	clientOpen       clientPhase = iota // requests are read
	clientClosing                       // the connection ends after the response to the current request
	clientOverflowed                    // closing, and the client has pipelined too much: its input is dropped
	clientDiscarding                    // closing, and the input cannot be parsed as requests any more
	clientLingering                     // the sending side is shut down; input is dropped until the client closes
)

func (p clientPhase) String() string {
	return [...]string{"open", "closing", "overflowed", "discarding", "lingering"}[p]
}

// peerState is the state of the client's end of a connection.
type peerState uint8

const (
	peerConnected    peerState = iota
	peerHalfClosed             // it sends no more, and still reads
	peerDisconnected           // it has left
)

func (s peerState) String() string {
	return [...]string{"connected", "half-closed", "disconnected"}[s]
}

// clientConn is a connection of a client. It carries one request at a time: what the
// client pipelines is left in unread until the complete response to the request is in the
// write buffer.
type clientConn struct {
	bufferedConn
	remote netip.AddrPort
	phase  clientPhase
	peer   peerState

	req             *request // under way; nil: none
	requestCount    int      // requests read so far
	headerStartedAt Time     // when the first byte of a header arrived; 0: none
	inReadyClients  bool     // it is in Gateway.readyClients
	acceptDelay     Time     // how long it may have waited to be accepted

	admitted bool // admission counts it
	// requestEndDue: admission is to be notified of the end of its request as soon as
	// the response was written; requestServed is its result.
	requestEndDue, requestServed bool

	// mayHaveUnreadRequest: a system call on the connection was deferred for lack of
	// local resources, and nothing was read since, so that a request may be waiting in
	// the socket. The driver does not say whether the call was a read or a write. After
	// a write the flag is set without need; the only consequence is that a stopping
	// instance gives the connection firstRequestGrace before it closes it.
	mayHaveUnreadRequest bool

	upload         transferProgress // of the request body
	download       transferProgress // of the response
	readBy         Time             // when the client has to have read more of what is pending, if anything is
	outputWritten  int64            // bytes written since the connection was accepted
	accountedBytes int              // its part of bufferPool.clientBytes
}

// enter moves the connection on to a phase, unless it is further already.
func (c *clientConn) enter(phase clientPhase) { c.phase = max(c.phase, phase) }

// responseDue reports whether the connection has a submitted request without a final
// response, and a client that waits for it.
func (c *clientConn) responseDue() bool {
	return c.req != nil && c.req.id != 0 && !c.req.response.final && c.peer != peerDisconnected
}

func (c *clientConn) handleData(g *Gateway, data []byte) {
	c.mayHaveUnreadRequest = false
	g.storeUnread(c, g.consumeClientData(c, c.withUnread(data)))
	if !c.closed {
		g.accountClientBytes(c)
	}
}

// handleWritten resumes the node if it was paused for the client, and detects that a
// response was written completely.
func (c *clientConn) handleWritten(g *Gateway, n int) {
	c.outputWritten += int64(n)
	c.download.bytes += int64(n)
	g.accountClientBytes(c)
	allWritten := len(c.pending()) == 0
	if allWritten {
		c.download = transferProgress{}
		g.reportAdmittedRequestEnd(c)
	} else {
		c.readBy = g.downloadDeadline(c)
		g.setDeadline(c, c.readBy)
	}
	if req := c.req; req != nil {
		if req.response.source != nil && len(c.pending()) <= g.bufferAllowance()/2 {
			g.resumeNodeInput(req.response.source.conn)
		}
		if len(c.pending()) == 0 && !req.response.final && req.body.complete {
			g.setDeadline(c, never)
		}
	} else if allWritten {
		g.clientIdle(c)
	}
}

func (c *clientConn) handleEOF(g *Gateway) {
	c.peer = peerHalfClosed
	if g.protocol.eofMeansDisconnect() {
		c.peer = peerDisconnected
	}
	switch {
	case c.phase >= clientDiscarding, c.req == nil && len(c.pending()) == 0 && !c.inReadyClients:
		g.closeConn(c, Close)
	case c.req != nil && c.peer == peerDisconnected:
		g.dropClient(c, Close, ClientDisconnected) // nobody reads the response
	case c.req != nil && !c.req.body.complete:
		g.rejectMalformedBody(c, c.req, errBodyCutOff)
	default: // a half-close: the response is still due
	}
}

func (c *clientConn) handleClosed(g *Gateway) {
	c.peer = peerDisconnected
	g.removeConn(c, true)
	g.cancelClientRequest(c, ClientDisconnected)
}

func (c *clientConn) handleTimer(g *Gateway) {
	req := c.req
	switch {
	case c.phase >= clientDiscarding, len(c.pending()) > 0 && g.clock.now >= c.readBy: // the client does not read its response
		g.dropClient(c, Abort, Dropped)
	case req != nil && !req.body.complete && !req.response.final:
		g.uploadTimedOut(c, req)
	case len(c.pending()) > 0: // the timer was that of the body
		g.setDeadline(c, c.readBy)
	case req != nil: // the scheduler's deadline for the request applies
	case c.headerStartedAt > 0:
		g.counts.Malformed++
		g.respondHeaderTimeout(c)
	default: // the idle timeout
		g.closeConn(c, Close)
	}
}

// handleRemoved has a close while a response is due checked against ResponseBeforeClose.
func (c *clientConn) handleRemoved(g *Gateway) {
	if c.responseDue() {
		g.invariants.CheckUnansweredClose(g.clock.now, &invariant.UnansweredClose{
			Request:   c.req.id,
			Unwritten: len(c.pending()),
			ReadBy:    c.readBy,
		})
	}
	g.buffers.clientBytes -= int64(c.accountedBytes)
	c.accountedBytes = 0
	g.clientConns--
	if c.admitted {
		g.admission.Closed(g.clock.now, uint64(c.id))
	}
}

// responseQueued ends the request of a client whose response is complete in the buffers.
func (g *Gateway) responseQueued(req *request) {
	c := req.client
	if c == nil {
		g.recycle(req)
		return
	}
	if !req.body.complete { // RFC 9112 section 9.3: the rest of the body cannot be distinguished from a request
		c.enter(clientDiscarding)
	}
	c.requestEndDue = true
	c.requestServed = req.id != 0 && req.response.source != nil && req.response.status < 400
	c.req, req.client = nil, nil
	g.recycle(req)
	g.flushClient(c)
	if len(c.pending()) > 0 {
		c.readBy = g.downloadDeadline(c)
		g.setDeadline(c, c.readBy)
	} else {
		g.reportAdmittedRequestEnd(c)
	}
	if !c.inReadyClients && !c.closed {
		c.inReadyClients = true
		g.readyClients = append(g.readyClients, c)
	}
}

// startNextRequest parses what a client has pipelined behind its last request.
func (g *Gateway) startNextRequest(c *clientConn) {
	c.inReadyClients = false
	if c.closed || c.req != nil {
		return
	}
	if c.phase >= clientClosing || g.intake == intakeClosed || c.peer == peerDisconnected {
		// No further request is read. What the client has pipelined is dropped without a
		// response; it may repeat that on another connection (RFC 9112 section 9.3.2).
		c.unread = c.unread[:0]
	}
	if c.phase < clientDiscarding {
		g.resumeReading(c)
	}
	if len(c.unread) > 0 {
		g.storeUnread(c, g.consumeClientData(c, c.unread))
	}
	if !c.closed && c.req == nil && len(c.pending()) == 0 {
		g.clientIdle(c)
	}
}

// clientIdle is called for a client that has no request and nothing to be written.
func (g *Gateway) clientIdle(c *clientConn) {
	switch {
	case c.inReadyClients: // startNextRequest looks first
	case c.phase >= clientClosing, g.intake == intakeClosed, c.peer != peerConnected:
		g.lingeringClose(c)
	default:
		g.setDeadline(c, g.clock.now+g.config.Timeouts.Idle)
	}
}

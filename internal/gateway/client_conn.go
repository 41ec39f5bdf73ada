package gateway

import (
	"net/netip"
	"time"

	"maddergap/internal/admission"
	"maddergap/internal/invariant"
)

// firstRequestGrace is how long an instance that is shutting down waits for a request on a
// connection that may have one on its way.
const firstRequestGrace = 200 * time.Millisecond

// clientPhase is the phase of a client connection. Phases are entered in ascending order only.
type clientPhase uint8

const (
	clientOpen       clientPhase = iota // requests are read
	clientClosing                       // the connection is closed after the response to the current request
	clientOverflowed                    // closing after exceeding maxPipelinedBytes; input is discarded
	clientDiscarding                    // closing, and the input can no longer be parsed as requests
	clientLingering                     // the sending side is shut down; input is discarded until the client closes
)

func (p clientPhase) String() string {
	return [...]string{"open", "closing", "overflowed", "discarding", "lingering"}[p]
}

// peerState is the state of the client's side of a connection.
type peerState uint8

const (
	peerConnected    peerState = iota
	peerHalfClosed             // the client has shut down its sending side, but still reads
	peerDisconnected           // the client has disconnected
)

func (s peerState) String() string {
	return [...]string{"connected", "half-closed", "disconnected"}[s]
}

// clientConn is a connection from a client. It processes one request at a time: pipelined
// requests stay in unread until the complete response to the current one is in the output
// buffer.
type clientConn struct {
	bufferedConn
	remote netip.AddrPort
	phase  clientPhase
	peer   peerState

	req             *request       // request under way; nil: none
	requestCount    int            // number of requests read so far
	headerStartedAt Time           // time at which the first byte of an incomplete header arrived; 0: none
	inReadyClients  bool           // set while the connection is in Gateway.readyClients
	turn            admission.Turn // counts the requests that begin
	waitsForTurn    bool           // set while the connection is in Gateway.waitingForTurn
	acceptDelay     Time           // how long the connection may have waited to be accepted

	admitted bool // set while admission counts the connection
	// requestEndUnreported is set if admission has yet to be notified of the end of a request; see
	// reportAdmittedRequestEnd. requestServed is the result to report.
	requestEndUnreported, requestServed bool

	// mayHaveUnreadRequest is set when a system call on the connection is delayed by a local
	// error (see Stalled), and reset when data is read. While it is set, a request may be
	// waiting in the socket. The driver does not say whether the call was a read or a write.
	// After a write the flag is set without need; the only consequence is that Shutdown gives
	// the connection firstRequestGrace before it closes it.
	mayHaveUnreadRequest bool

	upload       transferProgress // progress of the request body
	download     transferProgress // progress of the response
	readDeadline Time             // time by which the client has to read more of the pending bytes, if there are any
	totalWritten int64            // number of bytes written since the connection was accepted
	receiving    receivingState   // place in Gateway.receiving, while a request arrives
}

// advancePhase advances the connection to a phase, unless it is already past that phase.
func (c *clientConn) advancePhase(phase clientPhase) { c.phase = max(c.phase, phase) }

// awaitsResponse reports whether the client waits for the response to a submitted request that
// has no final response yet.
func (c *clientConn) awaitsResponse() bool {
	return c.req != nil && c.req.id != 0 && !c.req.response.final && c.peer != peerDisconnected
}

func (c *clientConn) handleData(g *Gateway, data []byte) {
	c.mayHaveUnreadRequest = false
	g.storeUnread(c, g.consumeClientData(c, g.withUnread(&c.bufferedConn, data)))
	if !c.closed && c.nextInput() == inputDiscarded {
		g.actions.add(Discard, c.id)
	}
	g.updateReceiving(c)
	g.limitReceiving()
}

// handleWritten restarts the timeout for reading the response, or stops it if everything is
// written. It resumes the node's connection if that was paused because the client reads slowly.
func (c *clientConn) handleWritten(g *Gateway, n int) {
	c.totalWritten += int64(n)
	c.download.bytes += int64(n)
	allWritten := len(c.pending()) == 0
	if allWritten {
		c.download = transferProgress{}
		g.reportAdmittedRequestEnd(c)
	} else {
		c.readDeadline = g.downloadDeadline(c)
		g.setDeadline(c, c.readDeadline)
	}
	if req := c.req; req != nil {
		if req.response.source != nil && len(c.pending()) <= g.bufferAllowance()/2 {
			g.resumeNodeInput(req.response.source.conn)
		}
		if len(c.pending()) == 0 && !req.response.final && req.body.complete {
			g.setDeadline(c, never)
		}
		return
	}
	if c.readingPaused && len(c.pending()) <= g.bufferAllowance()/2 {
		g.startNextRequest(c) // it waited until the client has read the responses
	}
	if allWritten && !c.closed && c.req == nil {
		g.handleClientIdle(c)
	}
}

func (c *clientConn) handleEOF(g *Gateway) {
	c.peer = peerHalfClosed
	if g.protocol.eofMeansDisconnect() {
		c.peer = peerDisconnected
	}
	switch {
	case c.phase >= clientDiscarding, c.req == nil && len(c.pending()) == 0 && !c.inReadyClients && !c.waitsForTurn:
		g.closeConn(c, Close)
	case c.req != nil && c.peer == peerDisconnected:
		g.dropClient(c, Close, ClientDisconnected) // no one would read the response
	case c.req != nil && !c.req.body.complete:
		g.rejectMalformedBody(c, c.req, errBodyIncomplete)
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
	case c.phase >= clientDiscarding, len(c.pending()) > 0 && g.clock.now >= c.readDeadline:
		// The client does not read its response.
		g.dropClient(c, Abort, Dropped)
	case req != nil && !req.body.complete && !req.response.final:
		g.handleUploadTimeout(c, req)
	case len(c.pending()) > 0: // the timer had been set for the request body
		g.setDeadline(c, c.readDeadline)
	case req != nil: // the scheduler's deadline for the request applies
	case c.headerStartedAt > 0:
		g.counts.Malformed++
		g.respondWithoutHeader(c, 408, "the header did not come in time")
	default: // the idle timeout
		g.closeConn(c, Close)
	}
}

// handleRemoved removes the connection from the counts. A close while a response is due is
// checked against the invariant ResponseBeforeClose.
func (c *clientConn) handleRemoved(g *Gateway) {
	if c.awaitsResponse() {
		g.invariants.CheckUnansweredClose(g.clock.now, &invariant.UnansweredClose{
			Request:      c.req.id,
			Unwritten:    len(c.pending()),
			ReadDeadline: c.readDeadline,
		})
	}
	g.receiving.remove(c)
	g.clientConns--
	if c.admitted {
		g.admission.Closed(g.clock.now, uint64(c.id))
	}
}

// handleResponseQueued is called when the complete response to a request has been queued. If the
// client is still connected, it detaches the request from the connection, and schedules the
// connection's next request.
func (g *Gateway) handleResponseQueued(req *request) {
	c := req.client
	if c == nil {
		g.recycle(req)
		return
	}
	if !req.body.complete {
		// RFC 9112 section 9.3: the rest of the body cannot be distinguished from a next request.
		c.advancePhase(clientDiscarding)
	}
	c.requestEndUnreported = true
	c.requestServed = req.id != 0 && req.response.source != nil && req.response.status < 400
	c.req, req.client = nil, nil
	g.recycle(req)
	g.flushClient(c)
	if len(c.pending()) > 0 {
		c.readDeadline = g.downloadDeadline(c)
		g.setDeadline(c, c.readDeadline)
	} else {
		g.reportAdmittedRequestEnd(c)
	}
	if !c.inReadyClients && !c.closed {
		c.inReadyClients = true
		g.readyClients = append(g.readyClients, c)
	}
}

// startNextRequest processes the input that a client has pipelined behind its last request.
func (g *Gateway) startNextRequest(c *clientConn) {
	c.inReadyClients = false
	if c.closed || c.req != nil || c.waitsForTurn {
		return
	}
	if c.phase >= clientClosing || g.intake >= intakeClosed || c.peer == peerDisconnected {
		// No further request is read. Pipelined requests are discarded without a response; the
		// client may repeat them on another connection (RFC 9112 section 9.3.2).
		g.buffers.release(&c.unread)
	}
	if c.phase < clientDiscarding {
		g.resumeReading(c)
	}
	if len(c.unread) > 0 {
		g.storeUnread(c, g.consumeClientData(c, c.unread))
	}
	g.updateReceiving(c)
	if !c.closed && c.req == nil && len(c.pending()) == 0 {
		g.handleClientIdle(c)
	}
}

// handleClientIdle is called for a client connection without a request and without pending output.
// It starts the idle timeout, or ends the connection if no further request is read from it.
func (g *Gateway) handleClientIdle(c *clientConn) {
	switch {
	case c.inReadyClients, c.waitsForTurn: // startNextRequest processes pipelined input first
	case c.phase >= clientClosing, g.intake >= intakeClosed, c.peer != peerConnected:
		g.lingeringClose(c)
	default:
		g.setDeadline(c, g.clock.now+g.config.Timeouts.Idle)
	}
}

package gateway

// connection is a connection of any role: from a client (clientConn), to a storage node
// (nodeConn) or to discovery (discoveryConn). Its methods handle the events of an open
// connection.
type connection interface {
	// base returns the state that connections of all roles have in common.
	base() *bufferedConn
	// handleData processes bytes that were read. They are valid only during the call.
	handleData(g *Gateway, data []byte)
	// handleWritten is called when n bytes were written.
	handleWritten(g *Gateway, n int)
	// handleEOF is called when the peer has shut down its sending side.
	handleEOF(g *Gateway)
	// handleClosed is called when the connection is lost, or could not be established.
	handleClosed(g *Gateway)
	// handleTimer is called when the connection's timer has expired.
	handleTimer(g *Gateway)
	// handleRemoved removes the connection from the counts of its role. It is called
	// once, when the connection is closed. It must not close connections itself: the caller
	// of closeConn may be iterating over the connection table (Shutdown) or over the idle
	// connections of a node (closeIdleConns), which must not change in the meantime.
	handleRemoved(g *Gateway)
}

// bufferedConn is the common part of connections of all roles: buffers for reading and
// writing, flow control, and a timer. Once closed is set, the connection is in no table,
// has no buffers and no timer, and no action is requested for it.
type bufferedConn struct {
	id            ConnID
	unread        []byte // bytes received and not consumed yet
	headerScanned int    // number of bytes of unread already searched for the end of a header
	output        []byte // output buffer, including bytes that are already written
	written       int    // number of bytes at the start of output that are already written
	readingPaused bool   // set while the driver is asked not to read
	flushPending  bool   // set from the request of a Flush to the next call of PendingOutput
	closed        bool
	timer         connTimer
}

func (c *bufferedConn) base() *bufferedConn { return c }

// pending returns the bytes that are still to be written.
func (c *bufferedConn) pending() []byte { return c.output[c.written:] }

// withUnread returns the bytes that were received before and not consumed, followed by data.
func (g *Gateway) withUnread(c *bufferedConn, data []byte) []byte {
	if len(c.unread) == 0 {
		return data
	}
	g.buffers.append(&c.unread, data, -1)
	return c.unread
}

// storeUnread keeps the unconsumed bytes, which are the tail of the slice that withUnread returned. A few
// bytes do not stay in a large buffer.
func (g *Gateway) storeUnread(c connection, unconsumed []byte) {
	base := c.base()
	switch {
	case base.closed:
	case len(unconsumed) == 0:
		g.buffers.release(&base.unread)
	case len(base.unread) == 0:
		g.buffers.set(&base.unread, append(g.buffers.get(len(unconsumed)), unconsumed...))
	case cap(base.unread) > maxSmallBuffer && len(unconsumed) <= initialBufferBytes:
		small := append(g.buffers.get(len(unconsumed)), unconsumed...)
		g.buffers.release(&base.unread)
		g.buffers.set(&base.unread, small)
	default:
		base.unread = base.unread[:copy(base.unread, unconsumed)]
	}
}

// removeWritten removes n written bytes from the pending output. To save copies, the rest is
// moved to the front of the buffer only if more than ConnBuffer written bytes precede it.
func (g *Gateway) removeWritten(c connection, n int) {
	base := c.base()
	if base.written += n; base.written == len(base.output) {
		g.discardOutput(c)
	} else if base.written > g.config.Limits.ConnBuffer {
		base.output = append(base.output[:0], base.pending()...)
		base.written = 0
	}
}

// discardOutput discards the pending output, and releases its buffer.
func (g *Gateway) discardOutput(c connection) {
	base := c.base()
	g.buffers.release(&base.output)
	base.written = 0
}

// flush asks the driver to write the pending output, if there is any.
func (g *Gateway) flush(c connection) {
	base := c.base()
	if !base.flushPending && !base.closed && len(base.pending()) > 0 {
		base.flushPending = true
		g.actions.add(Flush, base.id)
	}
}

// pauseReading asks the driver to stop reading from a connection (flow control).
func (g *Gateway) pauseReading(c connection) {
	base := c.base()
	if !base.readingPaused && !base.closed {
		base.readingPaused = true
		g.actions.add(Pause, base.id)
	}
}

// resumeReading asks the driver to read from a paused connection again. Bytes that were read
// before the pause stay in unread; resumeClientInput and resumeNodeInput process those too.
func (g *Gateway) resumeReading(c connection) {
	base := c.base()
	if base.readingPaused && !base.closed {
		base.readingPaused = false
		g.actions.add(Resume, base.id)
	}
}

// setDeadline sets when the timer of a connection expires. If deadline is the constant never,
// the timer is stopped.
func (g *Gateway) setDeadline(c connection, deadline Time) {
	base := c.base()
	if !base.closed {
		g.timers.set(&base.timer, deadline)
	}
}

// openConn adds a new connection to the table, and initializes its id and timer.
func (g *Gateway) openConn(c connection) {
	base := c.base()
	base.timer = newConnTimer(c)
	base.id = g.conns.add(c)
}

// closeConn removes a connection, and has the driver close it with op, which is Close or
// Abort. It does nothing if the connection is already closed.
func (g *Gateway) closeConn(c connection, op Op) {
	base := c.base()
	if base.closed {
		return
	}
	g.actions.add(op, base.id)
	g.removeConn(c, false)
}

// removeLost removes a connection that was lost. closedByDriver is true after a reset or a
// failed dial, when the driver has already closed the connection. It is false after an EOF, when
// the driver closes the connection with op.
func (g *Gateway) removeLost(c connection, closedByDriver bool, op Op) {
	if closedByDriver {
		g.removeConn(c, true)
	} else {
		g.closeConn(c, op)
	}
}

// removeConn removes a connection from all tables, and releases its buffers. If closedByDriver
// is true, the driver has already closed the connection, and its slot is free at once.
func (g *Gateway) removeConn(c connection, closedByDriver bool) {
	base := c.base()
	if base.closed {
		return
	}
	base.closed = true
	c.handleRemoved(g)
	g.conns.remove(base.id, closedByDriver)
	g.timers.remove(&base.timer)
	g.buffers.release(&base.unread)
	g.discardOutput(c)
}

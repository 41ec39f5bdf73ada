package gateway

// connection is a connection of any role: of a client (clientConn), to a storage node
// (nodeConn) or to discovery (discoveryConn). The connection table and the timers
// dispatch the events of an open connection to it.
type connection interface {
	// base returns the state that connections of all roles have.
	base() *bufferedConn
	// handleData takes bytes that were read; they are valid during the call alone.
	handleData(g *Gateway, data []byte)
	// handleWritten is called when n bytes were written.
	handleWritten(g *Gateway, n int)
	// handleEOF is called when the peer sends no more.
	handleEOF(g *Gateway)
	// handleClosed is called when the connection is lost, or could not be made.
	handleClosed(g *Gateway)
	// handleTimer is called when the connection's timer has expired.
	handleTimer(g *Gateway)
	// handleRemoved takes the connection out of the counts of its role. It is called
	// once, when the connection is closed. It must not close connections itself: the caller
	// of closeConn may be ranging over the connection table (Shutdown) or over the idle
	// connections of a node (closeIdleConns), which would change under it.
	handleRemoved(g *Gateway)
}

// bufferedConn is what connections of all roles have: buffers for reading and writing,
// flow control, and a timer. Once closed is set, the connection is in no table,
// has no buffers and no timer, and no action is requested for it.
type bufferedConn struct {
	id            ConnID
	unread        []byte // received and not consumed yet
	headerScanned int    // bytes of unread that were searched for the end of a header
	out           []byte // to be written
	written       int    // bytes of out that are written
	paused        bool   // the driver was asked to read no more
	flushPending  bool   // a Flush was requested, and Out was not called since
	closed        bool
	timer         connTimer
}

func (c *bufferedConn) base() *bufferedConn { return c }

// pending returns the bytes that are still to be written.
func (c *bufferedConn) pending() []byte { return c.out[c.written:] }

// withUnread returns data behind the bytes that were received before and not consumed.
func (c *bufferedConn) withUnread(data []byte) []byte {
	if len(c.unread) == 0 {
		return data
	}
	c.unread = append(c.unread, data...)
	return c.unread
}

// storeUnread keeps what was not consumed of withUnread's bytes; rest is their end.
func (g *Gateway) storeUnread(c connection, rest []byte) {
	base := c.base()
	switch {
	case base.closed:
	case len(rest) == 0:
		g.buffers.put(base.unread)
		base.unread = nil
	case len(base.unread) > 0:
		base.unread = base.unread[:copy(base.unread, rest)]
	default:
		base.unread = append(g.buffers.get(), rest...)
	}
}

// removeWritten removes n written bytes from what is pending. The rest is moved to the
// front of the buffer only if more than ConnBuffer bytes are free there.
func (g *Gateway) removeWritten(c connection, n int) {
	base := c.base()
	if base.written += n; base.written == len(base.out) {
		g.discardOutput(c)
	} else if base.written > g.config.Limits.ConnBuffer {
		base.out = append(base.out[:0], base.pending()...)
		base.written = 0
	}
}

// discardOutput drops what was to be written.
func (g *Gateway) discardOutput(c connection) {
	base := c.base()
	g.buffers.put(base.out)
	base.out, base.written = nil, 0
}

// flush asks the driver to write what is pending.
func (g *Gateway) flush(c connection) {
	base := c.base()
	if !base.flushPending && !base.closed && len(base.pending()) > 0 {
		base.flushPending = true
		g.actions.add(Flush, base.id)
	}
}

// pauseReading asks the driver to read no more from a connection (flow control).
func (g *Gateway) pauseReading(c connection) {
	base := c.base()
	if !base.paused && !base.closed {
		base.paused = true
		g.actions.add(Pause, base.id)
	}
}

// resumeReading asks the driver to read from a paused connection again. Bytes that were
// read before the pause stay in unread: resumeClientInput and resumeNodeInput use those too.
func (g *Gateway) resumeReading(c connection) {
	base := c.base()
	if base.paused && !base.closed {
		base.paused = false
		g.actions.add(Resume, base.id)
	}
}

// setDeadline sets when the timer of a connection expires; never stops it.
func (g *Gateway) setDeadline(c connection, deadline Time) {
	base := c.base()
	if !base.closed {
		g.timers.set(&base.timer, deadline)
	}
}

// openConn gives a new connection its id and timer.
func (g *Gateway) openConn(c connection) {
	base := c.base()
	base.timer = newConnTimer(c)
	base.id = g.conns.add(c)
}

// closeConn has the driver close a connection by op, Close or Abort.
func (g *Gateway) closeConn(c connection, op Op) {
	base := c.base()
	if base.closed {
		return
	}
	g.actions.add(op, base.id)
	g.removeConn(c, false)
}

// removeLost removes a connection that was lost. After a reset, and if it could not be made,
// the driver has closed it already; after an EOF it has not.
func (g *Gateway) removeLost(c connection, closedByDriver bool) {
	if closedByDriver {
		g.removeConn(c, true)
	} else {
		g.closeConn(c, Close)
	}
}

// removeConn takes a connection out of all tables. closedByDriver: the driver has closed
// it already, so that its slot is free at once.
func (g *Gateway) removeConn(c connection, closedByDriver bool) {
	base := c.base()
	if base.closed {
		return
	}
	base.closed = true
	c.handleRemoved(g)
	g.conns.remove(base.id, closedByDriver)
	g.timers.remove(&base.timer)
	g.buffers.put(base.unread)
	g.buffers.put(base.out)
	base.unread, base.out, base.written = nil, nil, 0
}

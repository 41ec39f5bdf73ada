package gateway

// Connected is called when a connection requested by Dial is established.
func (g *Gateway) Connected(now Time, id ConnID) {
	g.clock.advance(now)
	switch c := g.conns.find(id).(type) {
	case *nodeConn:
		g.nodeConnected(c)
	case *discoveryConn:
		g.discoveryConnected(c)
	}
}

// Data is called with bytes that were read from a connection. They are not used after
// the call.
func (g *Gateway) Data(now Time, id ConnID, data []byte) {
	g.clock.advance(now)
	if c := g.conns.find(id); c != nil && len(data) > 0 {
		c.handleData(g, data)
	}
}

// Out returns the bytes that are to be written to a connection, and nil if there are
// none. It is the one place where bytes are handed out. The invariants, checked when an attempt was
// decided, are checked here once more before its first byte.
func (g *Gateway) Out(now Time, id ConnID) []byte {
	g.clock.advance(now)
	c := g.conns.find(id)
	if c == nil {
		return nil
	}
	base := c.base()
	base.flushPending = false
	if node, ok := c.(*nodeConn); ok && !g.mayWrite(node) {
		return nil
	}
	return base.pending()
}

// Wrote is called when the first n bytes of Out were written.
func (g *Gateway) Wrote(now Time, id ConnID, n int) {
	g.clock.advance(now)
	c := g.conns.find(id)
	if c == nil || n <= 0 {
		return
	}
	g.removeWritten(c, n)
	c.handleWritten(g, n)
}

// EOF is called when the peer of a connection sends no more.
func (g *Gateway) EOF(now Time, id ConnID) {
	g.clock.advance(now)
	if c := g.conns.find(id); c != nil {
		c.handleEOF(g)
	}
}

// Closed is called when a connection is lost or could not be made. The driver has
// closed it.
func (g *Gateway) Closed(now Time, id ConnID) {
	g.clock.advance(now)
	if c := g.conns.find(id); c != nil {
		c.handleClosed(g)
	}
}

// DialShort is Stalled for a dial that is deferred as descriptors, memory or ports are short. No
// peer can cause that.
func (g *Gateway) DialShort(now Time, id ConnID) {
	g.Stalled(now, id)
	if c, ok := g.conns.find(id).(*nodeConn); ok {
		c.dialShort = true
	}
}

// Stalled is called when a system call on a connection (dialing, reading or writing)
// failed for lack of local resources, such as descriptors, ports or memory, and is retried
// later. The peer is not to blame for the delay. Only this is called a stall here: a peer
// that sends or takes nothing makes no progress, and a late call of Advance is lag.
func (g *Gateway) Stalled(now Time, id ConnID) {
	g.clock.advance(now)
	switch c := g.conns.find(id).(type) {
	case *clientConn:
		c.mayHaveUnreadRequest = true
	case *nodeConn:
		g.nodeConnStalled(c)
	}
}

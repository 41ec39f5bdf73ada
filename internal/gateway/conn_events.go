package gateway

// Connected is called when a connection requested by Dial is established.
func (g *Gateway) Connected(now Time, id ConnID) {
	g.clock.advance(now)
	switch c := g.conns.find(id).(type) {
	case *nodeConn:
		g.handleNodeConnected(c)
	case *discoveryConn:
		g.handleDiscoveryConnected(c)
	}
}

// Data is called with bytes that were read from a connection. The gateway does not keep data
// after the call.
func (g *Gateway) Data(now Time, id ConnID, data []byte) {
	g.clock.advance(now)
	if c := g.conns.find(id); c != nil && len(data) > 0 {
		c.handleData(g, data)
	}
}

// PendingOutput returns the bytes that are to be written to a connection, or nil if there are
// none. After a write that took all of them, there may be more. The driver gets all output from it. Before the first byte of an attempt, it repeats the
// invariant checks that were made when the attempt was started. If a check fails now, the
// attempt is withheld, and PendingOutput returns nil.
func (g *Gateway) PendingOutput(now Time, id ConnID) []byte {
	g.clock.advance(now)
	c := g.conns.find(id)
	if c == nil {
		return nil
	}
	base := c.base()
	base.flushPending = false
	node, ok := c.(*nodeConn)
	switch {
	case !ok:
		return base.pending()
	case !g.mayWrite(node):
		return nil
	}
	return node.nextOutput()
}

// Wrote is called when the first n of the bytes that PendingOutput returned were written.
func (g *Gateway) Wrote(now Time, id ConnID, n int) {
	g.clock.advance(now)
	c := g.conns.find(id)
	if c == nil || n <= 0 {
		return
	}
	if node, ok := c.(*nodeConn); ok && len(node.pending()) == 0 {
		node.body = node.body[min(n, len(node.body)):]
	} else {
		g.removeWritten(c, n)
	}
	c.handleWritten(g, n)
}

// PeerShutDown is called when the peer of a connection has shut down its sending side and there may be
// bytes that were not read yet. EOF is called when they were. There may be megabytes of them, which take
// a while to read. Where the shutdown means that the client has disconnected, its request ends at once,
// and none that follows is submitted. It reports whether the driver has to read on.
func (g *Gateway) PeerShutDown(now Time, id ConnID) (readOn bool) {
	g.clock.advance(now)
	c := g.conns.findClient(id)
	if c == nil {
		return false
	}
	c.peer = peerDisconnected
	if c.req != nil {
		g.dropClient(c, Close, ClientDisconnected) // no one would read the response
	}
	return !c.closed
}

// WantsPeerShutDown reports whether PeerShutDown is to be called for connections of clients, also for those
// that are paused.
func (g *Gateway) WantsPeerShutDown() bool { return g.protocol.eofMeansDisconnect() }

// EOF is called when the peer of a connection has shut down its sending side.
func (g *Gateway) EOF(now Time, id ConnID) {
	g.clock.advance(now)
	if c := g.conns.find(id); c != nil {
		c.handleEOF(g)
	}
}

// Closed is called when a connection is lost or could not be established. The driver has
// already closed it.
func (g *Gateway) Closed(now Time, id ConnID) {
	g.clock.advance(now)
	if c := g.conns.find(id); c != nil {
		c.handleClosed(g)
	}
}

// DialShortOfResources is called instead of Stalled for a dial that is delayed because descriptors,
// memory or ports have run out. No peer can cause such a shortage.
func (g *Gateway) DialShortOfResources(now Time, id ConnID) {
	g.Stalled(now, id)
	if c, ok := g.conns.find(id).(*nodeConn); ok {
		c.dialShortOfResources = true
	}
}

// Stalled is called when a system call on a connection (connect, read or write) has failed
// with a local error, such as a lack of memory or an unreachable network, and will be retried
// later. The peer is not to blame for the delay. This package calls only such a delay a stall: a
// peer that sends or reads nothing is said to make no progress, and the lateness of a call of
// Advance is called lag.
func (g *Gateway) Stalled(now Time, id ConnID) {
	g.clock.advance(now)
	switch c := g.conns.find(id).(type) {
	case *clientConn:
		c.mayHaveUnreadRequest = true
	case *nodeConn:
		g.handleNodeConnStalled(c)
	}
}

package gateway

import "maddergap/internal/membership"

// MembershipSource is a client of the discovery service, which provides the endpoint list.
// Like the gateway it does no I/O: it takes clock readings and bytes, and returns operations
// and updates of the endpoint list. It chooses the numbers of its connections itself.
type MembershipSource interface {
	// Step returns the next operation, and the time by which Step has to be called again.
	// The gateway calls it until it returns no operation.
	Step(now Time) (SourceOp, Time)
	// Connected is called when connection conn is established.
	Connected(now Time, conn int)
	// Data is called with bytes read from connection conn. They are valid during the call only.
	Data(now Time, conn int, p []byte)
	// Closed is called when connection conn is lost or could not be established. It is not
	// called for a connection that the source itself has closed.
	Closed(now Time, conn int)
	// TakeUpdate returns the changes of the endpoint list since the last call. ok is false if there
	// were none.
	TakeUpdate() (update membership.Update, ok bool)
}

// SourceOp is an operation on a connection of a MembershipSource. At most one of Dial,
// Write and Close is set; if none is, there is no operation.
type SourceOp struct {
	Conn  int    // number of the connection
	Dial  string // host:port to connect to
	Write []byte // bytes to write
	Close bool   // close the connection
}

// membershipClient holds the membership source and its connections.
type membershipClient struct {
	source MembershipSource       // nil: the endpoint list is set by SetNodes
	conns  map[int]*discoveryConn // by the source's numbers
}

// SetMembershipSource makes the gateway take its endpoint list from source.
func (g *Gateway) SetMembershipSource(source MembershipSource) {
	g.membership = membershipClient{source: source, conns: map[int]*discoveryConn{}}
}

// advanceMembershipSource carries out the operations of the membership source and applies
// its updates. It returns the time by which it has to be called again.
func (g *Gateway) advanceMembershipSource() Time {
	client := &g.membership
	if client.source == nil {
		return never
	}
	for {
		if update, ok := client.source.TakeUpdate(); ok {
			g.updateMembership(update)
		}
		op, next := client.source.Step(g.clock.now)
		c := client.conns[op.Conn]
		switch {
		case op.Dial != "":
			g.dialDiscovery(op)
		case op.Close:
			delete(client.conns, op.Conn)
			if c != nil {
				g.closeConn(c, Close)
			}
		case len(op.Write) > 0:
			if c != nil {
				g.writeToDiscovery(c, op.Write)
			}
		default:
			return next
		}
	}
}

// discoveryConn is a connection of the membership source to the discovery service. Its
// timer is never set: the source has its own timeouts.
type discoveryConn struct {
	bufferedConn
	sourceConnID int // number that the source gave to the connection
	connected    bool
}

func (g *Gateway) dialDiscovery(op SourceOp) {
	c := &discoveryConn{sourceConnID: op.Conn}
	g.openConn(c)
	g.membership.conns[op.Conn] = c
	g.actions.dial(c.id, op.Dial)
}

func (g *Gateway) handleDiscoveryConnected(c *discoveryConn) {
	if !c.connected {
		c.connected = true
		g.membership.source.Connected(g.clock.now, c.sourceConnID)
	}
}

func (g *Gateway) writeToDiscovery(c *discoveryConn, data []byte) {
	g.buffers.set(&c.output, append(g.buffers.orNew(c.output, len(data)), data...))
	g.flush(c)
}

// handleDiscoveryConnLost removes a connection that was lost, and notifies the source.
func (g *Gateway) handleDiscoveryConnLost(c *discoveryConn, closedByDriver bool) {
	g.removeLost(c, closedByDriver, Close)
	if g.membership.conns[c.sourceConnID] == c {
		delete(g.membership.conns, c.sourceConnID)
		g.membership.source.Closed(g.clock.now, c.sourceConnID)
	}
}

func (c *discoveryConn) handleData(g *Gateway, data []byte) {
	g.membership.source.Data(g.clock.now, c.sourceConnID, data)
}

func (c *discoveryConn) handleWritten(*Gateway, int) {}

func (c *discoveryConn) handleEOF(g *Gateway) { g.handleDiscoveryConnLost(c, false) }

func (c *discoveryConn) handleClosed(g *Gateway) { g.handleDiscoveryConnLost(c, true) }

func (c *discoveryConn) handleTimer(*Gateway) {}

func (c *discoveryConn) handleRemoved(*Gateway) {}

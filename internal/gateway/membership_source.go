package gateway

import "maddergap/internal/membership"

// MembershipSource is a client of discovery, from which the endpoint list comes. Like the
// gateway it does no I/O: it takes clock readings and bytes, and returns operations and
// watch events. It numbers its connections itself.
type MembershipSource interface {
	// Step returns the next operation, and the time by which Step has to be called again.
	// The gateway calls it until it returns the zero SourceOp.
	Step(now Time) (SourceOp, Time)
	Connected(now Time, conn int)
	Data(now Time, conn int, p []byte)
	Closed(now Time, conn int)
	// TakeUpdate returns the watch event since the last call, if there was one.
	TakeUpdate() (update membership.Update, ok bool)
}

// SourceOp is an operation on connection Conn of a MembershipSource: to dial an address,
// to write bytes, or to close it. The zero value of the other fields is no operation.
type SourceOp struct {
	Conn  int
	Dial  string
	Write []byte
	Close bool
}

// membershipClient is the membership source and its connections.
type membershipClient struct {
	source MembershipSource // nil: the endpoint list is set by SetNodes
	conns  map[int]*discoveryConn
}

// SetMembershipSource has the endpoint list come from a source.
func (g *Gateway) SetMembershipSource(source MembershipSource) {
	g.membership = membershipClient{source: source, conns: map[int]*discoveryConn{}}
}

// advanceMembershipSource carries out what the source wants, and returns when it has to
// be called again.
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

// discoveryConn is a connection of the membership source. It has no timer: the source
// has its own timeouts.
type discoveryConn struct {
	bufferedConn
	sourceConn int // the source's number for it
	connected  bool
}

func (g *Gateway) dialDiscovery(op SourceOp) {
	c := &discoveryConn{sourceConn: op.Conn}
	g.openConn(c)
	g.membership.conns[op.Conn] = c
	g.actions.dial(c.id, op.Dial)
}

func (g *Gateway) discoveryConnected(c *discoveryConn) {
	if !c.connected {
		c.connected = true
		g.membership.source.Connected(g.clock.now, c.sourceConn)
	}
}

func (g *Gateway) writeToDiscovery(c *discoveryConn, data []byte) {
	c.out = append(g.buffers.orNew(c.out), data...)
	g.flush(c)
}

// discoveryConnLost notifies the source that a connection was lost.
func (g *Gateway) discoveryConnLost(c *discoveryConn, closedByDriver bool) {
	g.removeLost(c, closedByDriver)
	if g.membership.conns[c.sourceConn] == c {
		delete(g.membership.conns, c.sourceConn)
		g.membership.source.Closed(g.clock.now, c.sourceConn)
	}
}

func (c *discoveryConn) handleData(g *Gateway, data []byte) {
	g.membership.source.Data(g.clock.now, c.sourceConn, data)
}

func (c *discoveryConn) handleWritten(*Gateway, int) {}

func (c *discoveryConn) handleEOF(g *Gateway) { g.discoveryConnLost(c, false) }

func (c *discoveryConn) handleClosed(g *Gateway) { g.discoveryConnLost(c, true) }

func (c *discoveryConn) handleTimer(*Gateway) {}

func (c *discoveryConn) handleRemoved(*Gateway) {}

package gateway

import "maddergap/internal/membership"

// MembershipSource is a client of whoever tells the node list, driven by the head: bytes and
// clock readings in, bytes and lists out. It numbers its connections itself.
type MembershipSource interface {
	// Step tells what is to be done next, and when to ask again.
	Step(now Time) (SourceOp, Time)
	Connected(now Time, conn int)
	Data(now Time, conn int, p []byte)
	Closed(now Time, conn int)
	// TakeUpdate returns the news since it was last asked for.
	TakeUpdate() (news membership.Update, ok bool)
}

// SourceOp is what a feed wants done: a connection made, bytes written to it, or it closed.
type SourceOp struct {
	Conn  int
	Dial  string
	Write []byte
	Close bool
}

// membershipClient is a feed and the connections it has.
type membershipClient struct {
	source MembershipSource // nil: the node list is told
	conns  map[int]*conn
}

// SetMembershipSource has the node list come from a feed.
func (g *Gateway) SetMembershipSource(f MembershipSource) {
	g.membership = membershipClient{source: f, conns: map[int]*conn{}}
}

// advanceMembershipSource lets the feed go on, and returns when it is to be asked again.
func (g *Gateway) advanceMembershipSource() Time {
	f := &g.membership
	if f.source == nil {
		return never
	}
	for {
		if news, ok := f.source.TakeUpdate(); ok {
			g.updateMembership(news)
		}
		op, next := f.source.Step(g.clock.now)
		c := f.conns[op.Conn]
		switch {
		case op.Dial != "":
			g.dialMembershipSource(op)
		case op.Close:
			delete(f.conns, op.Conn)
			if c != nil {
				g.drop(c, Close)
			}
		case len(op.Write) > 0:
			if c != nil {
				g.writeToMembershipSource(c, op.Write)
			}
		default:
			return next
		}
	}
}

func (g *Gateway) dialMembershipSource(op SourceOp) {
	c := g.newConn()
	c.feed, c.feedConn = true, op.Conn
	g.membership.conns[op.Conn] = c
	g.actions.dial(c.id, op.Dial)
}

func (g *Gateway) writeToMembershipSource(c *conn, p []byte) {
	if c.out == nil {
		c.out = g.buffers.get()
	}
	c.out = append(c.out, p...)
	g.flush(c)
}

func (g *Gateway) discoveryConnClosed(c *conn, open bool) {
	if open {
		g.drop(c, Close)
	} else {
		g.forget(c, false)
	}
	if g.membership.conns[c.feedConn] == c {
		delete(g.membership.conns, c.feedConn)
		g.membership.source.Closed(g.clock.now, c.feedConn)
	}
}

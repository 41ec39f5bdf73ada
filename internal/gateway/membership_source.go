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
func (h *Gateway) SetMembershipSource(f MembershipSource) {
	h.membership = membershipClient{source: f, conns: map[int]*conn{}}
}

// advanceFeed lets the feed go on, and returns when it is to be asked again.
func (h *Gateway) advanceFeed() Time {
	f := &h.membership
	if f.source == nil {
		return never
	}
	for {
		if news, ok := f.source.TakeUpdate(); ok {
			h.updateMembership(news)
		}
		op, next := f.source.Step(h.clock.now)
		c := f.conns[op.Conn]
		switch {
		case op.Dial != "":
			h.dialFeed(op)
		case op.Close:
			delete(f.conns, op.Conn)
			if c != nil {
				h.drop(c, Close)
			}
		case len(op.Write) > 0:
			if c != nil {
				h.writeFeed(c, op.Write)
			}
		default:
			return next
		}
	}
}

func (h *Gateway) dialFeed(op SourceOp) {
	c := h.newConn()
	c.feed, c.feedConn = true, op.Conn
	h.membership.conns[op.Conn] = c
	h.actions.dial(c.id, op.Dial)
}

func (h *Gateway) writeFeed(c *conn, p []byte) {
	if c.out == nil {
		c.out = h.buffers.get()
	}
	c.out = append(c.out, p...)
	h.flush(c)
}

func (h *Gateway) feedClosed(c *conn, open bool) {
	if open {
		h.drop(c, Close)
	} else {
		h.forget(c, false)
	}
	if h.membership.conns[c.feedConn] == c {
		delete(h.membership.conns, c.feedConn)
		h.membership.source.Closed(h.clock.now, c.feedConn)
	}
}

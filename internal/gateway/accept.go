package gateway

import (
	"net/netip"
	"time"

	"maddergap/internal/admission"
	"maddergap/internal/http1"
)

// AcceptResult says what becomes of a new connection.
type AcceptResult struct {
	ID       ConnID // of one that is admitted
	Admitted bool
	// Answer is written to one that is not, as far as it goes at once; then its
	// sending side is shut, and it is closed after Linger, read or not. It is good
	// until the next call. With none the connection is closed without a word.
	Answer []byte
	Linger time.Duration
}

// Accept tells a new client connection of a listener. One that is not admitted
// gets no slot, no timer and no event more: turning it away is cheap.
func (g *Gateway) Accept(now Time, remote netip.AddrPort, listener int) AcceptResult {
	g.clock.advance(now)
	id := g.conns.nextID()
	v := g.admission.Admit(g.clock.now, uint64(id), listener, remote.Addr())
	if v.Preempt {
		if idle := g.conns.find(ConnID(v.PreemptID)); idle != nil {
			idle.admitted = false
			g.preempt(idle)
		}
	}
	if !v.Accept {
		g.recordRejection(remote, v.Reason, v.SendRejection)
		if !v.SendRejection {
			return AcceptResult{}
		}
		return AcceptResult{Answer: g.rejectionResponse(v.Reason), Linger: lingerTimeout}
	}
	c := g.newConn()
	c.remote, c.admitted = remote, true
	g.clientConns++
	g.setDeadline(c, g.clock.now+g.config.Timeouts.Header)
	if g.phase == stopping {
		g.setDeadline(c, g.clock.now+firstRequestGrace)
	}
	for id, ok := g.admission.NextToPreempt(g.clock.now); ok; id, ok = g.admission.NextToPreempt(g.clock.now) {
		g.preempt(g.conns.find(ConnID(id)))
	}
	return AcceptResult{ID: c.id, Admitted: true}
}

// SetAcceptDelay tells that a new connection, and the request on it, may have waited so long to be
// accepted: its client's time runs since then.
func (g *Gateway) SetAcceptDelay(id ConnID, d time.Duration) {
	if c := g.conns.find(id); c != nil {
		c.acceptDelay = d
	}
}

// preempt closes a connection for room: idle, or with a request that was not taken.
func (g *Gateway) preempt(c *conn) {
	g.counts.Preempted++
	if c.req != nil {
		g.actions.add(Close, c.id)
		g.clientGone(c, true)
		return
	}
	g.drop(c, Close)
}

// recordRejection counts what was not admitted.
func (g *Gateway) recordRejection(client netip.AddrPort, why admission.Reason, told bool) {
	g.counts.ConnectionsRejected[why]++
	if g.observer != nil {
		g.observer.ConnectionRejected(client, why, told)
	}
}

// rejectionResponse is the whole answer to a connection that is turned away (RFC 9110
// 15.6.4). It is made anew for each reason once a second, for its date.
func (g *Gateway) rejectionResponse(why admission.Reason) []byte {
	t := &g.rejections[why]
	if s := g.clock.dateSecond(); t.text == nil || t.of != s {
		text := rejectionText(why) + "\n"
		b := g.clock.appendDate(http1.AppendStatus(t.text[:0], 503))
		b = http1.AppendField(b, "Content-Type", []byte("text/plain; charset=utf-8"))
		b = appendRetryAfter(http1.AppendIntField(b, "Content-Length", int64(len(text))), time.Second)
		t.text, t.of = append(append(b, "Connection: close\r\n\r\n"...), text...), s
	}
	return t.text
}

// rejectionResponses caches the rejection response of each reason.
type rejectionResponses [admission.ReasonCount]struct {
	text []byte
	of   int64 // wall-clock second of its Date field
}

func rejectionText(why admission.Reason) string {
	return "too many connections (" + why.String() + "); trying again does no harm"
}

// endAdmittedRequest tells admission that a request's answer went out, or that the next
// request has come. Not before: what is still to be written must not be closed for room.
func (g *Gateway) endAdmittedRequest(c *conn) {
	if c.owed {
		c.owed = false
		g.admission.EndRequest(g.clock.now, uint64(c.id), c.good)
	}
}

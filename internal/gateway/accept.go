package gateway

import (
	"net/netip"
	"time"

	"maddergap/internal/admission"
	"maddergap/internal/http1"
)

// AcceptResult is the decision on a new connection.
type AcceptResult struct {
	ID       ConnID // of a connection that is admitted
	Admitted bool
	// Answer is the response to a connection that is not admitted. The driver writes as
	// much of it as goes at once, shuts down the sending side, and closes the connection
	// after Linger. It is valid until the next call. Empty: the connection is closed
	// without a response.
	Answer []byte
	Linger time.Duration
}

// Accept is called with a new client connection of a listener. A connection that is not
// admitted gets no slot, no timer and no further event, so that rejecting it is cheap.
func (g *Gateway) Accept(now Time, remote netip.AddrPort, listener int) AcceptResult {
	g.clock.advance(now)
	decision := g.admission.Admit(g.clock.now, uint64(g.conns.nextID()), listener, remote.Addr())
	if decision.Preempt {
		if preempted := g.conns.findClient(ConnID(decision.PreemptID)); preempted != nil {
			preempted.admitted = false // admission has counted its end already
			g.preempt(preempted)
		}
	}
	if !decision.Accept {
		g.recordRejection(remote, decision.Reason, decision.SendRejection)
		if !decision.SendRejection {
			return AcceptResult{}
		}
		return AcceptResult{Answer: g.rejectionResponse(decision.Reason), Linger: lingerTimeout}
	}
	c := &clientConn{remote: remote, admitted: true}
	g.openConn(c)
	g.clientConns++
	firstRequestTimeout := g.config.Timeouts.Header
	if g.intake == intakeClosed {
		firstRequestTimeout = firstRequestGrace
	}
	g.setDeadline(c, g.clock.now+firstRequestTimeout)
	for id, ok := g.admission.NextToPreempt(g.clock.now); ok; id, ok = g.admission.NextToPreempt(g.clock.now) {
		g.preempt(g.conns.findClient(ConnID(id)))
	}
	return AcceptResult{ID: c.id, Admitted: true}
}

// SetAcceptDelay sets how long a new connection, and the first request on it, may have
// waited to be accepted. The time of its client runs since then.
func (g *Gateway) SetAcceptDelay(id ConnID, delay time.Duration) {
	if c := g.conns.findClient(id); c != nil {
		c.acceptDelay = delay
	}
}

// preempt closes a connection to make room: for a new one, or before there is none left. It is
// idle, or has a request that was not submitted.
func (g *Gateway) preempt(c *clientConn) {
	g.counts.Preempted++
	g.dropClient(c, Close, Dropped)
}

// recordRejection counts and reports a connection that was not admitted, or a request that
// was not, which ends its connection too.
func (g *Gateway) recordRejection(client netip.AddrPort, reason admission.Reason, responseSent bool) {
	g.counts.ConnectionsRejected[reason]++
	if g.observer != nil {
		g.observer.ConnectionRejected(client, reason, responseSent)
	}
}

// rejectionResponses caches the response to connections that are not admitted, by reason.
type rejectionResponses [admission.ReasonCount]struct {
	text       []byte
	dateSecond int64 // of its Date field
}

// rejectionResponse returns the response to a connection that is not admitted (RFC 9110
// section 15.6.4). It is formatted once a second for each reason.
func (g *Gateway) rejectionResponse(reason admission.Reason) []byte {
	cached := &g.rejections[reason]
	if second := g.clock.dateSecond(); cached.text == nil || cached.dateSecond != second {
		text := rejectionText(reason) + "\n"
		b := g.clock.appendDate(http1.AppendStatus(cached.text[:0], 503))
		b = http1.AppendField(b, "Content-Type", []byte("text/plain; charset=utf-8"))
		b = appendRetryAfter(http1.AppendIntField(b, "Content-Length", int64(len(text))), time.Second)
		b = append(b, "Connection: close\r\n\r\n"...)
		cached.text, cached.dateSecond = append(b, text...), second
	}
	return cached.text
}

func rejectionText(reason admission.Reason) string {
	return "too many connections (" + reason.String() + "); trying again does no harm"
}

// reportAdmittedRequestEnd notifies admission that the response to a request was written,
// or that the next request has arrived. Until then the connection is not preempted, as
// that would lose what is still to be written.
func (g *Gateway) reportAdmittedRequestEnd(c *clientConn) {
	if c.requestEndDue {
		c.requestEndDue = false
		g.admission.EndRequest(g.clock.now, uint64(c.id), c.requestServed)
	}
}

package gateway

import (
	"net/netip"
	"time"

	"maddergap/internal/admission"
	"maddergap/internal/http1"
)

// AcceptResult tells the driver whether to keep a new client connection.
type AcceptResult struct {
	ID       ConnID // id of the connection; set if it is admitted
	Admitted bool
	// Response is the response to a rejected connection, valid until the next call of Accept.
	// The driver writes it with a single write, even if that takes only a part of it. Then it
	// shuts down the sending side, and closes the connection after Linger. If Response is
	// empty, the driver closes the connection at once.
	Response []byte
	Linger   time.Duration
}

// Accept decides whether to admit a new client connection of a listener. A rejected
// connection gets no slot, no timer and no further event, so that rejecting it is cheap.
func (g *Gateway) Accept(now Time, remote netip.AddrPort, listener int) AcceptResult {
	g.clock.advance(now)
	decision := g.admission.Admit(g.clock.now, uint64(g.conns.nextID()), listener, remote.Addr())
	if decision.Preempt {
		if preempted := g.conns.findClient(ConnID(decision.PreemptID)); preempted != nil {
			preempted.admitted = false // admission has already removed it
			g.preempt(preempted)
		}
	}
	if !decision.Accept {
		g.recordRejection(remote, decision.Reason, decision.SendRejection)
		if !decision.SendRejection {
			return AcceptResult{}
		}
		return AcceptResult{Response: g.rejectionResponse(decision.Reason), Linger: lingerTimeout}
	}
	c := &clientConn{remote: remote, admitted: true}
	g.openConn(c)
	g.clientConns++
	firstRequestTimeout := g.config.Timeouts.Header
	if g.intake >= intakeClosed {
		firstRequestTimeout = firstRequestGrace
	}
	g.setDeadline(c, g.clock.now+firstRequestTimeout)
	for id, ok := g.admission.NextToPreempt(g.clock.now); ok; id, ok = g.admission.NextToPreempt(g.clock.now) {
		g.preempt(g.conns.findClient(ConnID(id)))
	}
	return AcceptResult{ID: c.id, Admitted: true}
}

// SetAcceptDelay sets how long a new connection may have waited to be accepted. The delay is
// subtracted from the time remaining for the first request, which may have waited as long.
func (g *Gateway) SetAcceptDelay(id ConnID, delay time.Duration) {
	if c := g.conns.findClient(id); c != nil {
		c.acceptDelay = delay
	}
}

// preempt closes a client connection to make room for a new one, or to keep some connections
// free for later ones. The connection is idle, or its request was not submitted yet.
func (g *Gateway) preempt(c *clientConn) {
	g.counts.Preempted++
	g.dropClient(c, Close, Dropped)
}

// recordRejection counts a connection that was not admitted, and reports it to the observer.
// A request that was not admitted is recorded in the same way, as its connection is closed too.
func (g *Gateway) recordRejection(client netip.AddrPort, reason admission.Reason, responseSent bool) {
	g.counts.ConnectionsRejected[reason]++
	if g.observer != nil {
		g.observer.ConnectionRejected(client, reason, responseSent)
	}
}

// rejectionResponses caches the responses to rejected connections, by the reason.
type rejectionResponses [admission.ReasonCount]struct {
	text       []byte
	unixSecond int64 // wall-clock second in the Date field of text
}

// rejectionResponse returns the 503 response to a rejected connection (RFC 9110 section
// 15.6.4). For each reason, it is formatted at most once a second.
func (g *Gateway) rejectionResponse(reason admission.Reason) []byte {
	cached := &g.rejections[reason]
	if second := g.clock.unixSecond(); cached.text == nil || cached.unixSecond != second {
		text := rejectionText(reason) + "\n"
		b := g.clock.appendDate(http1.AppendStatus(cached.text[:0], 503))
		b = http1.AppendField(b, "Content-Type", []byte("text/plain; charset=utf-8"))
		b = appendRetryAfter(http1.AppendIntField(b, "Content-Length", int64(len(text))), time.Second)
		b = append(b, "Connection: close\r\n\r\n"...)
		cached.text, cached.unixSecond = append(b, text...), second
	}
	return cached.text
}

func rejectionText(reason admission.Reason) string {
	return "too many connections (" + reason.String() + "); trying again does no harm"
}

// reportAdmittedRequestEnd notifies admission that the response to a request was written,
// or that the next request has arrived. Until then the connection is not preempted, as
// closing it would lose the unwritten part of the response.
func (g *Gateway) reportAdmittedRequestEnd(c *clientConn) {
	if c.requestEndUnreported {
		c.requestEndUnreported = false
		g.admission.EndRequest(g.clock.now, uint64(c.id), c.requestServed)
	}
}

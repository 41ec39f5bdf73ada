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
func (h *Gateway) Accept(now Time, remote netip.AddrPort, listener int) AcceptResult {
	h.clock.advance(now)
	id := h.conns.nextID()
	v := h.admission.Admit(h.clock.now, uint64(id), listener, remote.Addr())
	if v.Preempt {
		if idle := h.conns.find(ConnID(v.PreemptID)); idle != nil {
			idle.admitted = false
			h.preempt(idle)
		}
	}
	if !v.Accept {
		h.turned(remote, v.Reason, v.SendRejection)
		if !v.SendRejection {
			return AcceptResult{}
		}
		return AcceptResult{Answer: h.turnAnswer(v.Reason), Linger: linger}
	}
	c := h.newConn()
	c.remote, c.admitted = remote, true
	h.clientConns++
	h.setDeadline(c, h.clock.now+h.config.Timeouts.Header)
	if h.phase == stopping {
		h.setDeadline(c, h.clock.now+firstTime)
	}
	for id, ok := h.admission.NextToPreempt(h.clock.now); ok; id, ok = h.admission.NextToPreempt(h.clock.now) {
		h.preempt(h.conns.find(ConnID(id)))
	}
	return AcceptResult{ID: c.id, Admitted: true}
}

// SetAcceptDelay tells that a new connection, and the request on it, may have waited so long to be
// accepted: its client's time runs since then.
func (h *Gateway) SetAcceptDelay(id ConnID, d time.Duration) {
	if c := h.conns.find(id); c != nil {
		c.waited = d
	}
}

// preempt closes a connection for room: idle, or with a request that was not taken.
func (h *Gateway) preempt(c *conn) {
	h.counts.Preempted++
	if c.ex != nil {
		h.actions.add(Close, c.id)
		h.clientGone(c, true)
		return
	}
	h.drop(c, Close)
}

// turned counts what was not admitted.
func (h *Gateway) turned(client netip.AddrPort, why admission.Reason, told bool) {
	h.counts.ConnectionsRejected[why]++
	if h.observer != nil {
		h.observer.ConnectionRejected(client, why, told)
	}
}

// turnAnswer is the whole answer to a connection that is turned away (RFC 9110
// 15.6.4). It is made anew for each reason once a second, for its date.
func (h *Gateway) turnAnswer(why admission.Reason) []byte {
	t := &h.rejections[why]
	if s := h.clock.dateSecond(); t.text == nil || t.of != s {
		text := notAdmitted(why) + "\n"
		b := h.clock.appendDate(http1.AppendStatus(t.text[:0], 503))
		b = http1.AppendField(b, "Content-Type", []byte("text/plain; charset=utf-8"))
		b = appendRetryAfter(http1.AppendInt(b, "Content-Length", int64(len(text))), time.Second)
		t.text, t.of = append(append(b, "Connection: close\r\n\r\n"...), text...), s
	}
	return t.text
}

// rejectionResponses caches the rejection response of each reason.
type rejectionResponses [admission.ReasonCount]struct {
	text []byte
	of   int64 // wall-clock second of its Date field
}

func notAdmitted(why admission.Reason) string {
	return "too many connections (" + why.String() + "); trying again does no harm"
}

// endAdmitted tells admission that a request's answer went out, or that the next
// request has come. Not before: what is still to be written must not be closed for room.
func (h *Gateway) endAdmitted(c *conn) {
	if c.owed {
		c.owed = false
		h.admission.EndRequest(h.clock.now, uint64(c.id), c.good)
	}
}

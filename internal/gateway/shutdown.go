package gateway

import (
	"time"

	"maddergap/scheduler"
)

// shutdownPhase is how far the graceful shutdown of an instance has come. It only
// moves on.
type shutdownPhase uint8

const (
	running  shutdownPhase = iota
	draining               // each response asks its client to close the connection; requests are still taken
	stopping               // no new request is read; requests under way are answered
)

func (p shutdownPhase) String() string { return [...]string{"running", "draining", "stopping"}[p] }

// Drain tells clients with their next answer that their connection ends; requests go on
// being taken. Guards against a stop that loses what is on its way to the head.
func (h *Gateway) Drain(now Time) {
	h.clock.advance(now)
	h.phase = max(h.phase, draining)
}

// Shutdown begins the end: requests taken get their answers, connections without
// one are closed, and no new request is read.
func (h *Gateway) Shutdown(now Time) {
	h.clock.advance(now)
	h.phase = stopping
	for _, c := range h.conns.slots {
		switch {
		case c == nil || !c.client() || c.ex != nil || len(c.pending()) > 0 || c.reading > 0:
		case c.requests == 0 || c.unread: // a request may be on its way, or come and not be read
			h.setDeadline(c, min(c.timer.deadline, h.clock.now+firstTime))
		default:
			h.lingeringClose(c)
		}
	}
}

// firstTime is how long a connection that was accepted at the very end has for its request.
const firstTime = 200 * time.Millisecond

// AbortRemaining gives every request that has no final answer one: refused where no attempt was made,
// failed else.
func (h *Gateway) AbortRemaining(now Time) {
	h.clock.advance(now)
	for _, id := range h.requests.sortedIDs() {
		ex := h.requests.byID[id]
		if ex.answer.final {
			continue
		}
		h.events = append(h.events, scheduler.ClientDisconnected{ID: ex.id})
		if ex.attempts.latest != nil {
			h.cancel(ex.attempts.latest)
		}
		if ex.attempts.count == 0 {
			h.refuse(ex, 0)
		} else {
			h.fail(ex)
		}
	}
}

// Idle tells whether nothing is under way: no request, and no answer unsent.
func (h *Gateway) Idle() bool { return len(h.requests.byID) == 0 && h.clientConns == 0 }

// EachPendingRequest tells the ids and ages of requests that have no final answer.
func (h *Gateway) EachPendingRequest(tell func(id, method, path string, age time.Duration)) {
	for _, ex := range h.requests.byID {
		if !ex.answer.final {
			tell(h.ids.requestID(ex.id), ex.method, ex.place.Path, h.clock.now-ex.takenAt)
		}
	}
}

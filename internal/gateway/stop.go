package gateway

import (
	"maps"
	"slices"
	"time"

	"maddergap/scheduler"
)

// Drain tells clients with their next answer that their connection ends; requests go on
// being taken. Guards against a stop that loses what is on its way to the head.
func (h *Gateway) Drain(now Time) {
	h.tick(now)
	h.leaving = true
}

// Shutdown begins the end: requests taken get their answers, connections without
// one are closed, and no new request is read.
func (h *Gateway) Shutdown(now Time) {
	h.tick(now)
	h.stopping, h.leaving = true, true
	for _, c := range h.slots {
		switch {
		case c == nil || !c.client() || c.ex != nil || len(c.pending()) > 0 || c.reading > 0:
		case c.requests == 0 || c.unread: // a request may be on its way, or come and not be read
			h.setDeadline(c, min(c.deadline, h.now+firstTime))
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
	h.tick(now)
	for _, id := range slices.Sorted(maps.Keys(h.requests)) {
		ex := h.requests[id]
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
func (h *Gateway) Idle() bool { return len(h.requests) == 0 && h.counts.Clients == 0 }

// EachPendingRequest tells the ids and ages of requests that have no final answer.
func (h *Gateway) EachPendingRequest(tell func(id, method, path string, age time.Duration)) {
	for _, ex := range h.requests {
		if !ex.answer.final {
			tell(h.requestID(ex.id), ex.method, ex.place.Path, h.now-ex.takenAt)
		}
	}
}

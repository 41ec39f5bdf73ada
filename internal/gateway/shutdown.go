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
func (g *Gateway) Drain(now Time) {
	g.clock.advance(now)
	g.phase = max(g.phase, draining)
}

// Shutdown begins the end: requests taken get their answers, connections without
// one are closed, and no new request is read.
func (g *Gateway) Shutdown(now Time) {
	g.clock.advance(now)
	g.phase = stopping
	for _, c := range g.conns.slots {
		switch {
		case c == nil || !c.client() || c.req != nil || len(c.pending()) > 0 || c.headerStartedAt > 0:
		case c.requestCount == 0 || c.mayHaveUnreadRequest: // a request may be on its way, or come and not be read
			g.setDeadline(c, min(c.timer.deadline, g.clock.now+firstRequestGrace))
		default:
			g.lingeringClose(c)
		}
	}
}

// firstRequestGrace is how long a connection that was accepted at the very end has for its request.
const firstRequestGrace = 200 * time.Millisecond

// AbortRemaining gives every request that has no final answer one: refused where no attempt was made,
// failed else.
func (g *Gateway) AbortRemaining(now Time) {
	g.clock.advance(now)
	for _, id := range g.requests.sortedIDs() {
		req := g.requests.byID[id]
		if req.response.final {
			continue
		}
		g.events = append(g.events, scheduler.ClientDisconnected{ID: req.id})
		if req.attempts.latest != nil {
			g.cancelAttempt(req.attempts.latest)
		}
		if req.attempts.count == 0 {
			g.reject(req, 0)
		} else {
			g.fail(req)
		}
	}
}

// Idle tells whether nothing is under way: no request, and no answer unsent.
func (g *Gateway) Idle() bool { return len(g.requests.byID) == 0 && g.clientConns == 0 }

// EachPendingRequest tells the ids and ages of requests that have no final answer.
func (g *Gateway) EachPendingRequest(tell func(id, method, path string, age time.Duration)) {
	for _, req := range g.requests.byID {
		if !req.response.final {
			tell(g.ids.requestID(req.id), req.method, req.location.Path, g.clock.now-req.submittedAt)
		}
	}
}

package gateway

import (
	"time"

	"maddergap/scheduler"
)

// intakePhase says which requests an instance takes. It only advances: to
// intakeLastRequests by Drain, and to intakeClosed by Shutdown.
type intakePhase uint8

const (
	intakeOpen         intakePhase = iota
	intakeLastRequests             // each response asks its client to close the connection; requests are still taken
	intakeClosed                   // requests under way are answered; new ones are read for firstRequestGrace at most
)

func (p intakePhase) String() string { return [...]string{"open", "last requests", "closed"}[p] }

// Drain asks clients, with the next response to each, to close their connections. Requests
// are still taken, so that none is lost that is on its way to the instance before its
// clients know that it stops.
func (g *Gateway) Drain(now Time) {
	g.clock.advance(now)
	g.intake = max(g.intake, intakeLastRequests)
}

// Shutdown stops reading requests. Requests under way are answered, and connections
// without one are closed. A connection that may have a request on its way, or unread in
// its socket, has firstRequestGrace to deliver it.
func (g *Gateway) Shutdown(now Time) {
	g.clock.advance(now)
	g.intake = intakeClosed
	for _, conn := range g.conns.slots {
		c, ok := conn.(*clientConn)
		switch {
		case !ok || c.req != nil || len(c.pending()) > 0 || c.headerStartedAt > 0:
		case c.requestCount == 0 || c.mayHaveUnreadRequest:
			g.setDeadline(c, min(c.timer.deadline, g.clock.now+firstRequestGrace))
		default:
			g.lingeringClose(c)
		}
	}
}

// AbortRemaining gives every request that has no final response one: it is rejected if no
// attempt of it was made, and failed otherwise.
func (g *Gateway) AbortRemaining(now Time) {
	g.clock.advance(now)
	for _, id := range g.requests.sortedIDs() {
		req := g.requests.byID[id]
		if req.response.final {
			continue
		}
		g.scheduler.notify(scheduler.ClientDisconnected{ID: req.id})
		if req.attempts.count == 0 {
			g.reject(req, 0)
		} else {
			g.fail(req)
		}
	}
}

// Idle reports whether nothing is under way: there is no request and no client connection.
func (g *Gateway) Idle() bool { return len(g.requests.byID) == 0 && g.clientConns == 0 }

// EachPendingRequest calls report with the id and age of each request that has no final
// response, in no particular order.
func (g *Gateway) EachPendingRequest(report func(id, method, path string, age time.Duration)) {
	for _, req := range g.requests.byID {
		if !req.response.final {
			report(g.ids.requestID(req.id), req.method, req.location.Path, g.clock.now-req.submittedAt)
		}
	}
}

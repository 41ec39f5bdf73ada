package gateway

import (
	"time"

	"maddergap/scheduler"
)

// intakePhase tells which requests an instance accepts. Drain advances it to
// intakeDraining, and Shutdown to intakeClosed. It never goes back.
type intakePhase uint8

const (
	intakeOpen     intakePhase = iota
	intakeDraining             // each response asks its client to close the connection; requests are still accepted
	intakeClosed               // requests under way are answered; new ones are accepted for firstRequestGrace at most
)

func (p intakePhase) String() string { return [...]string{"open", "last requests", "closed"}[p] }

// Drain asks each client, in the next response to it, to close its connection. Requests are
// still accepted: some may be on their way from clients that do not know yet that the
// instance is going to stop, and must not be lost.
func (g *Gateway) Drain(now Time) {
	g.clock.advance(now)
	g.intake = max(g.intake, intakeDraining)
}

// Shutdown stops accepting requests. Requests under way are answered, and client connections
// without a request are closed. If a request may be on its way on a connection, or unread in
// its socket, the gateway waits firstRequestGrace for it.
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

// AbortRemaining ends every submitted request that has no final response yet. The request is
// rejected if no attempt of it was made, and failed otherwise. It also aborts every attempt: when
// the process exits, the kernel would go on sending the bytes that have not arrived yet.
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
	for _, conn := range g.conns.slots {
		if c, ok := conn.(*nodeConn); ok && c.attempt != nil {
			g.abortNodeConn(c, scheduler.Cancelled)
		}
	}
}

// Idle reports whether there is neither a submitted request nor a client connection.
func (g *Gateway) Idle() bool { return len(g.requests.byID) == 0 && g.clientConns == 0 }

// EachPendingRequest calls report for each submitted request that has no final response, in
// no particular order. The age is the time since the request was submitted.
func (g *Gateway) EachPendingRequest(report func(id, method, path string, age time.Duration)) {
	for _, req := range g.requests.byID {
		if !req.response.final {
			report(g.ids.requestID(req.id), req.method, req.location.Path, g.clock.now-req.submittedAt)
		}
	}
}

package gateway

import (
	"time"

	"maddergap/scheduler"
)

// intakePhase tells which requests an instance accepts. Drain advances it to
// intakeDraining, Shutdown to intakeClosed, and AbortRemaining to intakeAborted. It never goes back.
type intakePhase uint8

const (
	intakeOpen     intakePhase = iota
	intakeDraining             // each response asks its client to close the connection; requests are still accepted
	intakeClosed               // requests under way are answered; new ones are accepted for firstRequestGrace at most
	intakeAborted              // every request is rejected at once, also before it is complete
)

func (p intakePhase) String() string {
	return [...]string{"open", "last requests", "closed", "aborted"}[p]
}

// reasonStopped is the text of the response to a request that was not complete when the instance
// aborted the remaining ones.
const reasonStopped = "stopping; trying again does no harm"

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

// AbortRemaining ends every request that has no final response yet, shortly before the process
// exits. A submitted request is rejected if no attempt of it was made, and failed otherwise. A request
// that is still arriving is rejected at once: it could become complete up to the exit, when there is
// no time left to have it executed and to respond. AbortRemaining also aborts every attempt: when the
// process exits, the kernel would go on sending the bytes that have not arrived yet. It returns the
// number of requests that were rejected while they arrived.
func (g *Gateway) AbortRemaining(now Time) (incomplete int) {
	g.clock.advance(now)
	g.intake = intakeAborted
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
		switch c := conn.(type) {
		case *nodeConn:
			if c.attempt != nil {
				g.abortNodeConn(c, scheduler.Cancelled)
			}
		case *clientConn:
			if g.rejectIncompleteRequest(c, reasonStopped) {
				incomplete++
			}
		}
	}
	return incomplete
}

// rejectIncompleteRequest rejects the request that is arriving on a connection, if there is one. It
// ends a connection on which no request has begun.
func (g *Gateway) rejectIncompleteRequest(c *clientConn, reason string) (rejected bool) {
	switch {
	case c.phase >= clientClosing && c.req == nil: // its last response is being written, or was written
		return false
	case c.req != nil:
		if c.req.id != 0 || c.req.body.complete || c.req.response.final {
			return false // it was submitted, or is a listing whose parts were submitted
		}
		g.respondLocally(c.req, 503, reason)
		return true
	case c.headerStartedAt > 0:
		g.respondWithoutHeader(c, 503, reason)
		return true
	case len(c.pending()) == 0:
		g.lingeringClose(c)
	}
	return false
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

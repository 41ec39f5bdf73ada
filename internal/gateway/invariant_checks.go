package gateway

import (
	"maddergap/internal/invariant"
	"maddergap/scheduler"
)

// invariantAttempt describes an attempt to the invariants.
func (g *Gateway) invariantAttempt(attempt *nodeAttempt) invariant.Attempt {
	a := invariant.Attempt{
		Request:              attempt.identity.id,
		Node:                 attempt.nodeName,
		Number:               attempt.number,
		MembershipKnown:      g.nodes.known,
		ClientDisconnectedAt: attempt.req.cancelledAt(),
		Deadline:             attempt.identity.deadline,
		Timeout:              attempt.announcedTimeout,
	}
	if req := attempt.req.live(); req != nil {
		a.Prior = g.priorAttempts(req, attempt)
	}
	n := g.nodes.byName[attempt.nodeName]
	if n == nil {
		return a
	}
	a.Serving = n.listed && n.state == scheduler.Serving
	a.StateChangedAt = n.stateChangedAt
	if c := attempt.conn; c != nil && (c.node != n || !c.current()) {
		a.Serving = false
	}
	return a
}

// class returns the configured class of a request.
func (g *Gateway) class(req *request) *scheduler.Class {
	return &g.config.Scheduler.Classes[req.info.Arrival.Class]
}

// priorAttempts describes what became of a request's attempts before this one.
func (g *Gateway) priorAttempts(req *request, attempt *nodeAttempt) invariant.PriorAttempts {
	executed, class := &req.attempts.mayHaveExecuted, attempt.identity.class
	prior := invariant.PriorAttempts{
		Effect:     class.Effect,
		InFlight:   req.attempts.inFlight - 1,
		MayHaveRun: executed.known,
	}
	if class.Effect != scheduler.Idempotent || !executed.known {
		return prior
	}
	prior.RetryBefore = executed.startedAt + class.DeduplicationWindow
	n := g.nodes.byName[attempt.nodeName]
	switch class.DeduplicationScope {
	case scheduler.ScopeZone:
		prior.SameDeduplicationScope = n != nil && n.zone == executed.zone
	case scheduler.ScopeShard:
		prior.SameDeduplicationScope = n != nil && n.shard == executed.shard
	default:
		prior.SameDeduplicationScope = true
	}
	return prior
}

// notePossibleExecution notes that an attempt may have been executed, by its outcome.
func (g *Gateway) notePossibleExecution(req *request, attempt *nodeAttempt, outcome scheduler.Outcome) {
	executed := &req.attempts.mayHaveExecuted
	if executed.known || outcome.ProvesNotRun() {
		return
	}
	*executed = possibleExecution{known: true, startedAt: attempt.startedAt}
	if n := g.nodes.byName[attempt.nodeName]; n != nil {
		executed.zone, executed.shard = n.zone, n.shard
	}
}

// reportViolation reports a violated invariant, with the request id that the client knows.
func (g *Gateway) reportViolation(v invariant.Violation) {
	if req := g.requests.byID[v.Request]; req != nil {
		v.RequestID = g.clientRequestID(req)
	}
	g.observer.InvariantViolated(v)
}

// clientRequestID returns the client's id of a request, or the gateway's if it has none.
func (g *Gateway) clientRequestID(req *request) string {
	if req.info.ID != "" {
		return req.info.ID
	}
	return g.ids.requestID(req.id)
}

// mayStartAttempt reports whether an attempt may start, when the scheduler has decided it.
func (g *Gateway) mayStartAttempt(attempt *nodeAttempt) bool {
	a := g.invariantAttempt(attempt)
	return g.invariants.CheckBeforeWrite(g.clock.now, &a) == invariant.None
}

// mayWrite reports whether bytes may be written to a node's connection. Before the first
// byte of an attempt the invariants are checked again, as time has passed since the
// scheduler decided: the connection was dialed, or its socket was full. An attempt that
// may not start any more is withheld.
func (g *Gateway) mayWrite(c *nodeConn) bool {
	attempt := c.attempt
	if attempt == nil || attempt.firstByteWritten || len(c.pending()) == 0 {
		return true
	}
	a := g.invariantAttempt(attempt)
	req := attempt.req.live()
	if req != nil && g.announcedTimeoutOutdated(attempt) {
		g.encodeRequest(c, req)
		a.Timeout = attempt.announcedTimeout
	}
	if g.invariants.CheckBeforeWrite(g.clock.now, &a) == invariant.None && req != nil {
		return true
	}
	g.withholdAttempt(c)
	return false
}

// announcedTimeoutOutdated reports whether an attempt would announce more time to its node
// than is left, so that it has to be encoded anew.
func (g *Gateway) announcedTimeoutOutdated(attempt *nodeAttempt) bool {
	timeout, deadline := attempt.announcedTimeout, attempt.identity.deadline
	return timeout > 0 && g.clock.now < deadline && invariant.TimeoutOutdated(g.clock.now, deadline, timeout)
}

// withholdAttempt ends an attempt of which nothing was written. Its connection is kept for
// the next one.
func (g *Gateway) withholdAttempt(c *nodeConn) {
	attempt := c.attempt
	c.attempt = nil
	g.discardOutput(c)
	g.endAttempt(attempt, scheduler.NotSent)
	g.makeIdle(c)
}

// checkFirstByteWritten checks the invariants again when the first byte of an attempt was
// written, which finds violations by what happened between mayWrite and the write.
func (g *Gateway) checkFirstByteWritten(attempt *nodeAttempt) {
	a := g.invariantAttempt(attempt)
	g.invariants.CheckAfterWrite(g.clock.now, &a)
}

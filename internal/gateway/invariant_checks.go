package gateway

import (
	"maddergap/internal/invariant"
	"maddergap/scheduler"
)

// invariantAttempt returns the state of an attempt that the invariants are checked against.
func (g *Gateway) invariantAttempt(attempt *nodeAttempt) invariant.Attempt {
	a := invariant.Attempt{
		Request:              attempt.identity.id,
		Node:                 attempt.nodeName,
		Number:               attempt.number,
		MembershipKnown:      g.nodes.membershipKnown,
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
	if c := attempt.conn; c != nil && (c.node != n || !c.isCurrent()) {
		a.Serving = false
	}
	return a
}

// class returns the configured class of a request.
func (r *request) class() *scheduler.Class {
	return &r.config.Scheduler.Classes[r.info.Arrival.Class]
}

// priorAttempts returns the state of the attempts that a request had before this one.
func (g *Gateway) priorAttempts(req *request, attempt *nodeAttempt) invariant.PriorAttempts {
	execution, class := &req.attempts.mayHaveExecuted, attempt.identity.class
	prior := invariant.PriorAttempts{
		Effect:     class.Effect,
		InFlight:   req.attempts.inFlight - 1,
		MayHaveRun: execution.known,
	}
	if class.Effect != scheduler.Idempotent || !execution.known {
		return prior
	}
	prior.RetryBefore = execution.startedAt + class.DeduplicationWindow
	n := g.nodes.byName[attempt.nodeName]
	switch class.DeduplicationScope {
	case scheduler.ScopeZone:
		prior.SameDeduplicationScope = n != nil && n.zone == execution.zone
	case scheduler.ScopeShard:
		prior.SameDeduplicationScope = n != nil && n.shard == execution.shard
	default:
		prior.SameDeduplicationScope = true
	}
	return prior
}

// recordPossibleExecution records that an attempt may have been executed, unless its outcome
// proves that it was not. Only the first such attempt of a request is recorded.
func (g *Gateway) recordPossibleExecution(req *request, attempt *nodeAttempt, outcome scheduler.Outcome) {
	execution := &req.attempts.mayHaveExecuted
	if execution.known || outcome.ProvesNotRun() {
		return
	}
	*execution = possibleExecution{known: true, startedAt: attempt.startedAt}
	if n := g.nodes.byName[attempt.nodeName]; n != nil {
		execution.zone, execution.shard = n.zone, n.shard
	}
}

// reportViolation notifies the observer of a violated invariant, and adds the request id
// that the client knows.
func (g *Gateway) reportViolation(v invariant.Violation) {
	if req := g.requests.byID[v.Request]; req != nil {
		v.RequestID = g.clientRequestID(req)
	}
	g.observer.InvariantViolated(v)
}

// clientRequestID returns the id that the client gave to a request, or the gateway's id if
// the client gave none.
func (g *Gateway) clientRequestID(req *request) string {
	if req.info.ID != "" {
		return req.info.ID
	}
	return g.ids.requestID(req.id)
}

// mayStartAttempt reports whether the invariants permit an attempt that the scheduler has
// decided on.
func (g *Gateway) mayStartAttempt(attempt *nodeAttempt) bool {
	a := g.invariantAttempt(attempt)
	return g.invariants.CheckBeforeWrite(g.clock.now, &a) == invariant.None
}

// mayWrite reports whether the pending bytes of a node's connection may be written. Before
// the first byte of an attempt it checks the invariants again, because time has passed
// since the scheduler's decision: the connection had to be dialed, or its socket was full.
// An attempt that may no longer start is withheld.
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

// announcedTimeoutOutdated reports whether the timeout in an encoded request exceeds the
// time that is left until the deadline, so that the request has to be encoded again.
func (g *Gateway) announcedTimeoutOutdated(attempt *nodeAttempt) bool {
	timeout, deadline := attempt.announcedTimeout, attempt.identity.deadline
	return timeout > 0 && g.clock.now < deadline && invariant.TimeoutOutdated(g.clock.now, deadline, timeout)
}

// withholdAttempt ends an attempt of which no byte was written. Its connection is kept for
// the next attempt.
func (g *Gateway) withholdAttempt(c *nodeConn) {
	attempt := c.attempt
	c.attempt = nil
	g.discardOutput(c)
	c.body = nil
	g.endAttempt(attempt, scheduler.NotSent)
	g.makeIdle(c)
}

// checkFirstByteWritten checks the invariants again after the first byte of an attempt was
// written. It detects violations by a change between mayWrite and the write.
func (g *Gateway) checkFirstByteWritten(attempt *nodeAttempt) {
	a := g.invariantAttempt(attempt)
	g.invariants.CheckAfterWrite(g.clock.now, &a)
}

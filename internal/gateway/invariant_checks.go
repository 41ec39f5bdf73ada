package gateway

import (
	"maddergap/internal/invariant"
	"maddergap/scheduler"
)

// invariantAttempt describes an attempt to the guard.
func (g *Gateway) invariantAttempt(attempt *nodeAttempt) invariant.Attempt {
	req := attempt.req
	a := invariant.Attempt{Request: req.id, Node: attempt.nodeName, Number: attempt.number, MembershipKnown: g.nodes.known, ClientDisconnectedAt: req.disconnectedAt, Deadline: req.deadline,
		Timeout: attempt.announcedTimeout, Prior: g.priorAttempts(attempt)}
	n := g.nodes.byName[attempt.nodeName]
	if n == nil {
		return a
	}
	a.Serving, a.StateChangedAt = n.listed && n.state == scheduler.Serving, n.stateChangedAt
	if c := attempt.conn; c != nil && (c.node != n || c.addr != n.addr || c.incarnation != n.started) {
		a.Serving = false
	}
	return a
}

// class is the class of a request, as it is configured.
func (g *Gateway) class(req *request) *scheduler.Class {
	return &g.config.Scheduler.Classes[req.info.Arrival.Class]
}

// priorAttempts tells what became of a request's attempts before this one.
func (g *Gateway) priorAttempts(attempt *nodeAttempt) invariant.PriorAttempts {
	req, class := attempt.req, g.class(attempt.req)
	e := invariant.PriorAttempts{Effect: class.Effect, InFlight: req.attempts.inFlight - 1, MayHaveRun: req.attempts.mayHaveExecuted.known}
	if class.Effect != scheduler.Idempotent || !e.MayHaveRun {
		return e
	}
	e.RetryBefore = req.attempts.mayHaveExecuted.startedAt + class.DeduplicationWindow
	n := g.nodes.byName[attempt.nodeName]
	switch class.DeduplicationScope {
	case scheduler.ScopeZone:
		e.SameDeduplicationScope = n != nil && n.zone == req.attempts.mayHaveExecuted.zone
	case scheduler.ScopeShard:
		e.SameDeduplicationScope = n != nil && n.shard == req.attempts.mayHaveExecuted.shard
	default:
		e.SameDeduplicationScope = true
	}
	return e
}

// reportViolation reports what the guard found, with the client's name for the request.
func (g *Gateway) reportViolation(v invariant.Violation) {
	if req := g.requests.byID[v.Request]; req != nil {
		v.RequestID = g.clientRequestID(req)
	}
	g.observer.InvariantViolated(v)
}

// clientRequestID is the client's name for a request, or the head's own.
func (g *Gateway) clientRequestID(req *request) string {
	if req.info.ID != "" {
		return req.info.ID
	}
	return g.ids.requestID(req.id)
}

// mayStartAttempt asks whether an attempt may begin, as the module decides on it.
func (g *Gateway) mayStartAttempt(attempt *nodeAttempt) bool {
	a := g.invariantAttempt(attempt)
	return g.invariants.CheckBeforeWrite(g.clock.now, &a) == invariant.None
}

// mayWriteFirstByte asks whether the attempt of a connection may begin, as its first byte is about to
// be written. One that would tell its node more time than is left is written anew.
func (g *Gateway) mayWriteFirstByte(c *conn) bool {
	attempt := c.attempt
	a := g.invariantAttempt(attempt)
	if attempt.announcedTimeout > 0 && g.clock.now < attempt.req.deadline && invariant.TimeoutOutdated(g.clock.now, attempt.req.deadline, attempt.announcedTimeout) {
		g.encodeRequest(c)
		a.Timeout = attempt.announcedTimeout
	}
	if g.invariants.CheckBeforeWrite(g.clock.now, &a) == invariant.None {
		return true
	}
	g.withholdAttempt(c)
	return false
}

// withholdAttempt takes an attempt of which nothing was written back from its connection, which
// serves the next one.
func (g *Gateway) withholdAttempt(c *conn) {
	attempt := c.attempt
	c.attempt = nil
	g.buffers.put(c.out)
	c.out, c.written = nil, 0
	g.endAttempt(attempt, scheduler.Superseded)
	g.park(c)
}

// checkFirstByteWritten tells the guard that the first byte of an attempt was written.
func (g *Gateway) checkFirstByteWritten(attempt *nodeAttempt) {
	a := g.invariantAttempt(attempt)
	g.invariants.CheckAfterWrite(g.clock.now, &a)
}

// notePossibleExecution notes that an attempt may have run, by how it ended.
func (g *Gateway) notePossibleExecution(attempt *nodeAttempt, o scheduler.Outcome) {
	req := attempt.req
	if req.attempts.mayHaveExecuted.known || o.ProvesNotRun() {
		return
	}
	req.attempts.mayHaveExecuted = possibleExecution{known: true, startedAt: attempt.startedAt}
	if n := g.nodes.byName[attempt.nodeName]; n != nil {
		req.attempts.mayHaveExecuted.zone, req.attempts.mayHaveExecuted.shard = n.zone, n.shard
	}
}

// owedResponse tells whether a client's connection has a request that is owed its final answer.
func (c *conn) owedResponse() bool {
	return c.client() && c.req != nil && c.req.id != 0 && !c.req.response.final && !c.left
}

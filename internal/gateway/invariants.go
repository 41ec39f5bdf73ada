package gateway

import (
	"maddergap/internal/invariant"
	"maddergap/scheduler"
)

// guarded describes an attempt to the guard.
func (h *Gateway) guarded(at *attempt) invariant.Attempt {
	ex := at.ex
	a := invariant.Attempt{Request: ex.id, Node: at.node, Number: at.number, MembershipKnown: h.nodes.known, ClientDisconnectedAt: ex.clientLeftAt, Deadline: ex.deadline,
		Timeout: at.timeout, Prior: h.earlier(at)}
	n := h.nodes.byName[at.node]
	if n == nil {
		return a
	}
	a.Serving, a.StateChangedAt = n.listed && n.state == scheduler.Serving, n.changed
	if c := at.conn; c != nil && (c.node != n || c.addr != n.addr || c.started != n.started) {
		a.Serving = false
	}
	return a
}

// classOf is the class of a request, as it is configured.
func (h *Gateway) classOf(ex *exchange) *scheduler.Class {
	return &h.config.Scheduler.Classes[ex.ask.Arrival.Class]
}

// earlier tells what became of a request's attempts before this one.
func (h *Gateway) earlier(at *attempt) invariant.PriorAttempts {
	ex, class := at.ex, h.classOf(at.ex)
	e := invariant.PriorAttempts{Effect: class.Effect, InFlight: ex.attempts.inFlight - 1, MayHaveRun: ex.attempts.mayHaveRun.known}
	if class.Effect != scheduler.Idempotent || !e.MayHaveRun {
		return e
	}
	e.RetryBefore = ex.attempts.mayHaveRun.began + class.DeduplicationWindow
	n := h.nodes.byName[at.node]
	switch class.DeduplicationScope {
	case scheduler.ScopeZone:
		e.SameDeduplicationScope = n != nil && n.zone == ex.attempts.mayHaveRun.zone
	case scheduler.ScopeShard:
		e.SameDeduplicationScope = n != nil && n.shard == ex.attempts.mayHaveRun.shard
	default:
		e.SameDeduplicationScope = true
	}
	return e
}

// violated reports what the guard found, with the client's name for the request.
func (h *Gateway) violated(v invariant.Violation) {
	if ex := h.requests.byID[v.Request]; ex != nil {
		v.RequestID = h.nameOf(ex)
	}
	h.observer.InvariantViolated(v)
}

// nameOf is the client's name for a request, or the head's own.
func (h *Gateway) nameOf(ex *exchange) string {
	if ex.ask.ID != "" {
		return ex.ask.ID
	}
	return h.ids.requestID(ex.id)
}

// maySend asks whether an attempt may begin, as the module decides on it.
func (h *Gateway) maySend(at *attempt) bool {
	a := h.guarded(at)
	return h.invariants.CheckBeforeWrite(h.clock.now, &a) == invariant.None
}

// mayBegin asks whether the attempt of a connection may begin, as its first byte is about to
// be written. One that would tell its node more time than is left is written anew.
func (h *Gateway) mayBegin(c *conn) bool {
	at := c.at
	a := h.guarded(at)
	if at.timeout > 0 && h.clock.now < at.ex.deadline && invariant.TimeoutOutdated(h.clock.now, at.ex.deadline, at.timeout) {
		h.encode(c)
		a.Timeout = at.timeout
	}
	if h.invariants.CheckBeforeWrite(h.clock.now, &a) == invariant.None {
		return true
	}
	h.withhold(c)
	return false
}

// withhold takes an attempt of which nothing was written back from its connection, which
// serves the next one.
func (h *Gateway) withhold(c *conn) {
	at := c.at
	c.at = nil
	h.buffers.put(c.out)
	c.out, c.wrote = nil, 0
	h.end(at, scheduler.Superseded)
	h.park(c)
}

// began tells the guard that the first byte of an attempt was written.
func (h *Gateway) began(at *attempt) {
	a := h.guarded(at)
	h.invariants.CheckAfterWrite(h.clock.now, &a)
}

// mayRun notes that an attempt may have run, by how it ended.
func (h *Gateway) mayRun(at *attempt, o scheduler.Outcome) {
	ex := at.ex
	if ex.attempts.mayHaveRun.known || o.ProvesNotRun() {
		return
	}
	ex.attempts.mayHaveRun = attemptRun{known: true, began: at.began}
	if n := h.nodes.byName[at.node]; n != nil {
		ex.attempts.mayHaveRun.zone, ex.attempts.mayHaveRun.shard = n.zone, n.shard
	}
}

// owes tells whether a client's connection has a request that is owed its final answer.
func (c *conn) owes() bool {
	return c.client() && c.ex != nil && c.ex.id != 0 && !c.ex.answer.final && !c.left
}

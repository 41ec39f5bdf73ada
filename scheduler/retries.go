package scheduler

// Whether a request may be attempted again, where, and from when on.

// retryBackoffFraction is the pause between an attempt and the next, as a fraction of the shortest
// latency objective. It does not grow: attempts, deadline and retry budget bound the retries.
const retryBackoffFraction = 0.1

func (s *Scheduler) retryBackoff() Time {
	return Time(retryBackoffFraction * float64(s.shortestObjective))
}

// recordPossibleExecution notes whether an attempt may have run and where. The first such attempt
// counts: its node, and those that share its idempotency keys, know the request from then on.
func (s *Scheduler) recordPossibleExecution(r *request, a *attempt, o Outcome) {
	if !o.ProvesNotRun() && o != OK && r.mayHaveRunOn == nil {
		r.mayHaveRunOn, r.mayHaveRunSince = a.node, a.sentAt
	}
}

// extendExpiryOnceSent lets a request that has reached a node wait up to its deadline: the earlier
// expiry (see setDeadlines) is for those that no node has taken.
func extendExpiryOnceSent(r *request, o Outcome) {
	if o != ConnectFailed && o != NotSent {
		r.ExpiresAt = r.Deadline
	}
}

// noFurtherAttempt reports whether a request whose attempt ended without a response for the client
// gets no further attempt.
func (s *Scheduler) noFurtherAttempt(r *request, e AttemptEnded) bool {
	maxAttempts := s.settings.MaxAttempts
	switch {
	case r.state == responding, e.BodyConsumed:
		return true
	case s.now+expiryMargin >= r.Deadline:
		return true
	case maxAttempts > 0 && r.attempts >= maxAttempts:
		return true
	case e.Outcome.ProvesNotRun():
		return false // it may wait for a node, as before its first attempt
	case r.class.Effect == NonIdempotent:
		return true
	}
	// enqueue selects again, by another random draw for a new object. Whichever node it selects may
	// run the request, so what matters here is only that there is one.
	return s.selectNode(r) == nil
}

// clientMayRetry reports whether a client that tries again cannot make the request run twice. An
// idempotent request has to be dropped by all nodes for that: the client's next try may come
// through another instance, which does not know where this one may have run.
func (s *Scheduler) clientMayRetry(r *request) bool {
	class := r.class
	return r.mayHaveRunOn == nil ||
		class.Effect == Safe ||
		(class.Effect == Idempotent && class.DeduplicationScope == ScopeAll)
}

// mayRunOn reports whether an attempt at a node cannot make the request run twice, given where an
// earlier attempt may have run.
func (s *Scheduler) mayRunOn(r *request, n *node) bool {
	class := r.class
	switch {
	case r.mayHaveRunOn == nil || class.Effect == Safe:
		return true
	case class.Effect == NonIdempotent || s.now >= r.mayHaveRunSince+class.DeduplicationWindow:
		return false
	}
	switch class.DeduplicationScope {
	case ScopeAll:
		return true
	case ScopeZone:
		return n.Zone == r.mayHaveRunOn.Zone
	case ScopeShard:
		return n.Shard == r.mayHaveRunOn.Shard
	}
	return false
}

// deduplicationEnd returns Send.StartBefore. The deduplication window could end while a connection is
// being made; the node would then run the request a second time.
func (r *request) deduplicationEnd() Time {
	if r.mayHaveRunOn == nil || r.class.Effect != Idempotent {
		return 0
	}
	return r.mayHaveRunSince + r.class.DeduplicationWindow
}

package scheduler

// Rules for retries: whether a request may be attempted again, on which nodes, and when.

// retryBackoffFraction is the pause between an attempt and the next, as a fraction of the shortest
// latency objective. The pause does not grow, because MaxAttempts, the deadline and the retry budget
// bound the retries.
const retryBackoffFraction = 0.1

func (s *Scheduler) retryBackoff() Time {
	return Time(retryBackoffFraction * float64(s.shortestObjective))
}

// recordPossibleExecution records the node and time of an attempt that may have run. Only the first
// such attempt counts: from then on its node, and the nodes that share its idempotency keys, know the
// request.
func (s *Scheduler) recordPossibleExecution(r *request, a *attempt, o Outcome) {
	if !o.ProvesNotRun() && o != OK && r.mayHaveRunOn == nil {
		r.mayHaveRunOn, r.mayHaveRunSince = a.node, a.sentAt
	}
}

// extendExpiryOnceSent extends the expiry of a request that has reached a node to its deadline. The
// earlier expiry of setDeadlines applies only to requests that no node has received.
func extendExpiryOnceSent(r *request, o Outcome) {
	if o != ConnectFailed && o != NotSent {
		r.ExpiresAt = r.Deadline
	}
}

// noFurtherAttempt reports whether a request gets no further attempt, after an attempt that ended
// without a response for the client.
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
		return false // it did not run, so it may wait for a node as before its first attempt
	case r.class.Effect == NonIdempotent:
		return true
	}
	// enqueue selects a node again, for a new object by another random draw. Any node that it selects
	// may run the request, so it only matters here whether there is one.
	return s.selectNode(r) == nil
}

// clientMayRetry reports whether a retry by the client cannot make the request run twice. For an
// idempotent request this requires that all nodes drop repeats of it, because the client's retry may
// come through another instance, which does not know where this one may have run.
func (s *Scheduler) clientMayRetry(r *request) bool {
	class := r.class
	return r.mayHaveRunOn == nil ||
		class.Effect == Safe ||
		(class.Effect == Idempotent && class.DeduplicationScope == ScopeAll)
}

// mayRunOn reports whether an attempt on a node cannot make the request run twice, given the node on
// which an earlier attempt may have run.
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

// deduplicationEnd returns the value of Send.ArriveBefore for the next attempt. Without it the
// deduplication window could end while a connection is being made, or while the attempt is on its way
// through a network that is cut, and the node would run the request a second time.
func (r *request) deduplicationEnd() Time {
	if r.mayHaveRunOn == nil || r.class.Effect != Idempotent {
		return 0
	}
	return r.mayHaveRunSince + r.class.DeduplicationWindow
}

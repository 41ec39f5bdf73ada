package scheduler

// Retry policy and retry budget.

const (
	// retryBackoffPart is the pause before another attempt, as a part of the shortest aim.
	retryBackoffPart = 10
)

// recordPossibleRun books what an attempt's outcome says of where the request has been.
func (s *Scheduler) recordPossibleRun(r *request, a *attempt, o Outcome) {
	if o != ConnectFailed && o != Superseded {
		r.ExpiresAt = r.Deadline // a node had it
	}
	if !o.ProvesNotRun() && o != OK && r.mayHaveRunOn == nil {
		r.mayHaveRunOn, r.mayHaveRunSince = a.node, a.sentAt
	}
}

// isFinalOutcome tells whether a request whose attempt ended gets its final answer now.
func (s *Scheduler) isFinalOutcome(r *request, e AttemptEnded) bool {
	most := s.settings.MaxAttempts
	switch {
	case r.streaming, e.BodyConsumed:
		return true
	case s.now+expiryMargin >= r.Deadline:
		return true
	case most > 0 && r.attempts >= most:
		return true
	case e.Outcome.ProvesNotRun():
		return false
	default:
		return r.class.Effect == NonIdempotent || s.selectNode(r) == nil
	}
}

// clientMayRetry tells whether a client that tries again does no harm.
func (s *Scheduler) clientMayRetry(r *request) bool {
	class := r.class
	return r.mayHaveRunOn == nil || class.Effect == Safe || (class.Effect == Idempotent && class.DeduplicationScope == ScopeAll)
}

// mayRunOn tells whether another attempt may go to a node, given where an earlier one may
// have run.
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

// startBefore is when an attempt must have begun, 0: at any time. It keeps the window of repeats
// also where a connection comes up late.
func (r *request) startBefore() Time {
	if r.mayHaveRunOn == nil || r.class.Effect != Idempotent {
		return 0
	}
	return r.mayHaveRunSince + r.class.DeduplicationWindow
}

// retryUsage bounds attempts past the first by the requests taken in a window of time.
type retryUsage struct {
	arrivals []Time
	retries  []Time
}

// recordArrival books an arrival, which earns a part of an attempt.
func (s *Scheduler) recordArrival() {
	if s.settings.RetryBudget != nil {
		s.retryUsage.arrivals = append(s.retryUsage.arrivals, s.now)
	}
}

// recordRetry books an attempt past the first.
func (s *Scheduler) recordRetry() {
	if s.settings.RetryBudget != nil {
		s.retryUsage.retries = append(s.retryUsage.retries, s.now)
	}
}

// retryBudgetAllows tells whether the budget has room for an attempt past the first.
func (s *Scheduler) retryBudgetAllows() bool {
	if s.settings.RetryBudget == nil {
		return true
	}
	if s.retryBudgetUnknown() {
		return false
	}
	budget := &s.retryUsage
	s.trimRetryUsage()
	// An attempt just at the edge still counts, an arrival there does not.
	budget.retries = since(budget.retries, s.now-s.settings.RetryBudget.Window)
	most := s.settings.RetryBudget.MinRetries + s.settings.RetryBudget.Ratio*float64(len(budget.arrivals))
	return float64(len(budget.retries)+1) <= most
}

// retryBudgetUnknown tells whether the head's life before may have spent the budget of this window.
// Guards against a head that restarts and spends again, within one window, what it had spent.
func (s *Scheduler) retryBudgetUnknown() bool {
	return s.now <= s.startedAt+s.settings.RetryBudget.Window
}

// trimRetryUsage forgets arrivals that are out of the budget's window.
func (s *Scheduler) trimRetryUsage() {
	if s.settings.RetryBudget == nil {
		return
	}
	s.retryUsage.arrivals = since(s.retryUsage.arrivals, s.now-s.settings.RetryBudget.Window+1)
}

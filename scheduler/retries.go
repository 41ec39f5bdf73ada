package scheduler

// Retry policy and retry budget.

const (
	// retryBackoffPart is the pause before another attempt, as a part of the shortest aim.
	retryBackoffPart = 10
)

// noteMayHaveRun books what an attempt's outcome says of where the request has been.
func (s *Scheduler) noteMayHaveRun(r *request, a *attempt, o Outcome) {
	if o != ConnectFailed && o != Superseded {
		r.ExpiresAt = r.Deadline // a node had it
	}
	if !o.ProvesNotRun() && o != OK && r.mayHaveRunAt == nil {
		r.mayHaveRunAt, r.firstRunAt = a.node, a.sentAt
	}
}

// isFinal tells whether a request whose attempt ended gets its final answer now.
func (s *Scheduler) isFinal(r *request, e AttemptEnded) bool {
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
		return r.class.Effect == NonIdempotent || s.chooseNode(r) == nil
	}
}

// repeatsAreHarmless tells whether a client that tries again does no harm.
func (s *Scheduler) repeatsAreHarmless(r *request) bool {
	class := r.class
	return r.mayHaveRunAt == nil || class.Effect == Safe || (class.Effect == Idempotent && class.DeduplicationScope == ScopeAll)
}

// mayRepeat tells whether another attempt may go to a node, given where an earlier one may
// have run.
func (s *Scheduler) mayRepeat(r *request, n *node) bool {
	class := r.class
	switch {
	case r.mayHaveRunAt == nil || class.Effect == Safe:
		return true
	case class.Effect == NonIdempotent || s.now >= r.firstRunAt+class.DeduplicationWindow:
		return false
	}
	switch class.DeduplicationScope {
	case ScopeAll:
		return true
	case ScopeZone:
		return n.Zone == r.mayHaveRunAt.Zone
	case ScopeShard:
		return n.Shard == r.mayHaveRunAt.Shard
	}
	return false
}

// repeatBy is when an attempt must have begun, 0: at any time. It keeps the window of repeats
// also where a connection comes up late.
func (r *request) repeatBy() Time {
	if r.mayHaveRunAt == nil || r.class.Effect != Idempotent {
		return 0
	}
	return r.firstRunAt + r.class.DeduplicationWindow
}

// retryBudget bounds attempts past the first by the requests taken in a window of time.
type retryBudget struct {
	arrivals []Time
	retries  []Time
}

// bookArrival books an arrival, which earns a part of an attempt.
func (s *Scheduler) bookArrival() {
	if s.settings.RetryBudget != nil {
		s.retryBudget.arrivals = append(s.retryBudget.arrivals, s.now)
	}
}

// spendRetry books an attempt past the first.
func (s *Scheduler) spendRetry() {
	if s.settings.RetryBudget != nil {
		s.retryBudget.retries = append(s.retryBudget.retries, s.now)
	}
}

// mayRetry tells whether the budget has room for an attempt past the first.
func (s *Scheduler) mayRetry() bool {
	if s.settings.RetryBudget == nil {
		return true
	}
	if s.budgetUnknown() {
		return false
	}
	budget := &s.retryBudget
	s.trimArrivals()
	// An attempt just at the edge still counts, an arrival there does not.
	budget.retries = since(budget.retries, s.now-s.settings.RetryBudget.Window)
	most := s.settings.RetryBudget.MinRetries + s.settings.RetryBudget.Ratio*float64(len(budget.arrivals))
	return float64(len(budget.retries)+1) <= most
}

// budgetUnknown tells whether the head's life before may have spent the budget of this window.
// Guards against a head that restarts and spends again, within one window, what it had spent.
func (s *Scheduler) budgetUnknown() bool {
	return s.now <= s.startedAt+s.settings.RetryBudget.Window
}

// trimArrivals forgets arrivals that are out of the budget's window.
func (s *Scheduler) trimArrivals() {
	if s.settings.RetryBudget == nil {
		return
	}
	s.retryBudget.arrivals = since(s.retryBudget.arrivals, s.now-s.settings.RetryBudget.Window+1)
}

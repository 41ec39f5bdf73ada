package scheduler

import "slices"

// retryUsage is what counts against Settings.RetryBudget: the arrivals and the retries of the last
// window, in order of time. Without a budget both stay empty.
type retryUsage struct {
	arrivals []Time
	retries  []Time
}

// recordArrival counts an arrival, which allows a fraction of a retry.
func (s *Scheduler) recordArrival() {
	if s.settings.RetryBudget != nil {
		s.retryUsage.arrivals = append(s.retryUsage.arrivals, s.now)
	}
}

// recordRetry counts an attempt past the first.
func (s *Scheduler) recordRetry() {
	if s.settings.RetryBudget != nil {
		s.retryUsage.retries = append(s.retryUsage.retries, s.now)
	}
}

// retryBudgetAllows reports whether the budget has room for one more retry.
func (s *Scheduler) retryBudgetAllows() bool {
	budget := s.settings.RetryBudget
	if budget == nil {
		return true
	}
	if s.retryBudgetUnknown() {
		return false
	}
	usage := &s.retryUsage
	s.trimArrivals()
	// At the very edge of the window a retry still counts, and an arrival no longer does.
	usage.retries = dropBefore(usage.retries, s.now-budget.Window)
	allowed := budget.MinRetries + budget.Ratio*float64(len(usage.arrivals))
	return float64(len(usage.retries)+1) <= allowed
}

// retryBudgetUnknown reports whether an earlier process of this instance may have used the budget
// of the present window. One that restarts would otherwise spend it twice.
func (s *Scheduler) retryBudgetUnknown() bool {
	return s.now <= s.startedAt+s.settings.RetryBudget.Window
}

// trimArrivals forgets the arrivals before the window.
func (s *Scheduler) trimArrivals() {
	if budget := s.settings.RetryBudget; budget != nil {
		s.retryUsage.arrivals = dropBefore(s.retryUsage.arrivals, s.now-budget.Window+1)
	}
}

// dropBefore returns the part of a rising list of times that is not before t.
func dropBefore(times []Time, t Time) []Time {
	i, _ := slices.BinarySearch(times, t)
	return times[i:]
}

package scheduler

import "slices"

// retryUsage holds the times of the arrivals and retries in the last window of Settings.RetryBudget,
// in ascending order. Without a budget both are empty.
type retryUsage struct {
	arrivals []Time
	retries  []Time
}

// recordArrival counts an arrival, which allows RetryBudget.Ratio more retries.
func (s *Scheduler) recordArrival() {
	if s.settings.RetryBudget != nil {
		s.retryUsage.arrivals = append(s.retryUsage.arrivals, s.now)
	}
}

// recordRetry counts a retry.
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
	// A retry exactly one window ago still counts, and an arrival at that time no longer does.
	usage.retries = dropBefore(usage.retries, s.now-budget.Window)
	allowed := budget.MinRetries + budget.Ratio*float64(len(usage.arrivals))
	return float64(len(usage.retries)+1) <= allowed
}

// retryBudgetUnknown reports whether an earlier process of this instance may have used the budget of
// the current window. An instance that restarts would otherwise spend it twice.
func (s *Scheduler) retryBudgetUnknown() bool {
	return s.now <= s.startedAt+s.settings.RetryBudget.Window
}

// trimArrivals deletes the arrivals before the window.
func (s *Scheduler) trimArrivals() {
	if budget := s.settings.RetryBudget; budget != nil {
		s.retryUsage.arrivals = dropBefore(s.retryUsage.arrivals, s.now-budget.Window+1)
	}
}

// dropBefore returns the part of an ascending list of times that is not before t.
func dropBefore(times []Time, t Time) []Time {
	i, _ := slices.BinarySearch(times, t)
	return times[i:]
}

package audit

import (
	"slices"
	"strconv"
)

// minBudget keeps a retry from being divided by a budget of 0, and a rounding error from being a
// violation.
const minBudget = 1e-9

// judgeRetryBudget judges RuleRetryBudget. Its figure is the most retries in any window, as a
// fraction of what the budget allows in it.
func (r *run) judgeRetryBudget() Verdict {
	v := Verdict{Rule: RuleRetryBudget, Bound: 1}
	if r.input.Config.Scheduler.RetryBudget == nil {
		return v
	}
	arrivals := r.arrivalsByInstance()
	for instance, retries := range r.retriesByInstance() {
		r.checkRetryBudget(&v, instance, retries, arrivals[instance])
	}
	return v
}

// arrivalsByInstance returns when the requests of each instance were sent, in order of time.
func (r *run) arrivalsByInstance() map[int][]int64 {
	arrivals := map[int][]int64{}
	for _, request := range r.requests {
		if !request.Incomplete {
			arrivals[request.Instance] = append(arrivals[request.Instance], request.SentAt)
		}
	}
	for _, times := range arrivals {
		slices.Sort(times)
	}
	return arrivals
}

// retriesByInstance returns when the attempts past the first of each instance arrived at nodes, in
// order of time.
func (r *run) retriesByInstance() map[int][]int64 {
	retries := map[int][]int64{}
	for id, attempts := range r.attemptsByTrace {
		request := r.requests[id]
		if request == nil {
			continue
		}
		for _, attempt := range attempts[1:] {
			retries[request.Instance] = append(retries[request.Instance], attempt.ReceivedAt)
		}
	}
	for _, times := range retries {
		slices.Sort(times)
	}
	return retries
}

// checkRetryBudget checks the window that ends with each retry of an instance.
func (r *run) checkRetryBudget(v *Verdict, instance int, retries, arrivals []int64) {
	budget := r.input.Config.Scheduler.RetryBudget
	window := budget.Window.Microseconds()
	first := 0 // retry of the window
	for i, end := range retries {
		for retries[first] < end-window {
			first++
		}
		from, _ := slices.BinarySearch(arrivals, end-window-r.clockTolerance())
		to, _ := slices.BinarySearch(arrivals, end+r.clockTolerance())
		allowed := budget.MinRetries + budget.Ratio*float64(to-from)
		made := float64(i - first + 1)
		v.Figure = max(v.Figure, made/max(allowed, minBudget))
		if made > allowed+minBudget {
			v.violated(strconv.Itoa(instance), "head %d made %.0f further attempts in %v, with %d requests %.1f are allowed",
				instance, made, budget.Window, to-from, allowed)
		}
	}
}

package audit

import (
	"slices"
	"strconv"
)

// budgetEpsilon avoids a division by a budget of 0, and tolerates rounding errors.
const budgetEpsilon = 1e-9

// judgeRetryBudget judges RuleRetryBudget. Its figure is the highest number of retries in any window,
// as a fraction of the number that the budget allows in that window.
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

// arrivalsByInstance returns the times at which the requests of each instance were sent, sorted.
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

// retriesByInstance returns the times at which the retries of each instance arrived at nodes, sorted.
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

// checkRetryBudget checks, for each retry of an instance, the window that ends with it.
func (r *run) checkRetryBudget(v *Verdict, instance int, retries, arrivals []int64) {
	budget := r.input.Config.Scheduler.RetryBudget
	window := budget.Window.Microseconds()
	first := 0 // index of the first retry in the window
	for i, end := range retries {
		for retries[first] < end-window {
			first++
		}
		from, _ := slices.BinarySearch(arrivals, end-window-r.clockTolerance())
		to, _ := slices.BinarySearch(arrivals, end+r.clockTolerance())
		allowed := budget.MinRetries + budget.Ratio*float64(to-from)
		made := float64(i - first + 1)
		v.Figure = max(v.Figure, made/max(allowed, budgetEpsilon))
		if made > allowed+budgetEpsilon {
			v.addViolation(strconv.Itoa(instance), "head %d made %.0f further attempts in %v, with %d requests %.1f are allowed",
				instance, made, budget.Window, to-from, allowed)
		}
	}
}

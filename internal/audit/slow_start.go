package audit

import (
	"math"
	"slices"
	"time"

	"maddergap/internal/fakenode"
)

// fewRequests is a number of requests under which chance is allowed more for.
const fewRequests = 30

// judgeSlowStart judges RuleSlowStart. Its figure is the highest load in any window, as a fraction
// of what the node bears.
func (r *run) judgeSlowStart() Verdict {
	limits := &r.input.SlowStart
	v := Verdict{Rule: RuleSlowStart, Bound: limits.OverloadFactor}
	if limits.MeanUnits > 0 {
		v.Bound = 1
	}
	for _, start := range r.input.NodeStarts {
		r.checkNodeStart(&v, start)
	}
	for _, attempt := range r.attempts {
		if attempt.Overloaded {
			v.violated(attempt.Node, "%s fell over with %s", attempt.Node, attempt.Path)
		}
	}
	return v
}

// checkNodeStart checks what a node was sent in each window of its warm-up.
func (r *run) checkNodeStart(v *Verdict, start Interval) {
	limits := &r.input.SlowStart
	var window []*fakenode.Entry
	units := 0.0 // of the window
	for _, attempt := range r.attempts {
		age := between(start.From, attempt.ReceivedAt)
		if attempt.Node != start.Name || age < 0 || age > limits.WarmupDuration {
			continue
		}
		window = append(window, attempt)
		units += attempt.Units
		for window[0].ReceivedAt < attempt.ReceivedAt-limits.OverloadWindow.Microseconds() {
			units -= window[0].Units
			window = window[1:]
		}
		load := limits.load(units, age)
		v.Figure = max(v.Figure, load)
		if limits.MeanUnits > 0 && load > 1 && r.causedByNotified(start, window) {
			v.violated(attempt.Node, "%s got %.0f requests of mean work within %v, %v after its start",
				attempt.Node, units/limits.MeanUnits, limits.OverloadWindow, age)
		}
	}
}

// causedByNotified reports whether more than two thirds of what a node was sent in a window is of
// instances that were notified of its start: the others know of no start to be careful with.
// Without StartNotices all of them were notified.
func (r *run) causedByNotified(start Interval, window []*fakenode.Entry) bool {
	if len(r.input.StartNotices) == 0 {
		return true
	}
	notified, total := 0.0, 0.0
	for _, attempt := range window {
		total += attempt.Units
		if r.startNotified(start, attempt) {
			notified += attempt.Units
		}
	}
	return notified > total*2/3
}

// startNotified reports whether the instance of an attempt had been notified of a node's start.
func (r *run) startNotified(start Interval, attempt *fakenode.Entry) bool {
	request := r.requestOf(attempt)
	return request != nil && slices.ContainsFunc(r.input.StartNotices, func(n Notice) bool {
		return n.Instance == request.Instance && n.Node == start.Name && n.From >= start.From && n.From <= attempt.ReceivedAt
	})
}

// load returns the units that a node was sent in a window, as a fraction of what it bears at an age
// or, without MeanUnits, of its capacity.
func (s *SlowStart) load(units float64, age time.Duration) float64 {
	fraction := s.InitialFraction + (1-s.InitialFraction)*float64(age)/float64(s.WarmupDuration)
	if s.MeanUnits <= 0 {
		return units / (fraction * s.Capacity * s.OverloadWindow.Seconds())
	}
	units /= s.MeanUnits
	requests := max(s.MinUnits, s.OverloadFactor*fraction*s.Capacity*s.OverloadWindow.Seconds()) / s.MeanUnits
	return units / (requests + chanceAllowance(requests))
}

// chanceAllowance is how far beyond a mean a number of requests may go by chance: about two
// standard deviations, and three of few requests.
func chanceAllowance(requests float64) float64 {
	if requests < fewRequests {
		return 3*math.Sqrt(requests) + 3
	}
	return 2*math.Sqrt(requests) + 2
}

package audit

import (
	"math"
	"slices"
	"time"

	"maddergap/internal/fakenode"
)

// smallRequestCount is the mean below which chanceAllowance allows three standard deviations.
const smallRequestCount = 30

// judgeSlowStart judges RuleSlowStart. Its figure is the highest load of a node in any window, as
// returned by SlowStart.load.
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
			v.addViolation(attempt.Node, "%s fell over with %s", attempt.Node, attempt.Path)
		}
	}
	return v
}

// checkNodeStart checks the load of a node in each window of its warm-up. A window ends with each
// attempt.
func (r *run) checkNodeStart(v *Verdict, start Interval) {
	limits := &r.input.SlowStart
	var window []*fakenode.Entry
	units := 0.0 // in the window
	for _, attempt := range r.attempts {
		age := durationBetween(start.From, attempt.ReceivedAt)
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
			v.addViolation(attempt.Node, "%s got %.0f requests of mean work within %v, %v after its start",
				attempt.Node, units/limits.MeanUnits, limits.OverloadWindow, age)
		}
	}
}

// causedByNotified reports whether more than two thirds of the work in a window came from instances that
// were notified of the node's start. Instances that were not notified cannot limit their load on the
// node. If there are no StartNotices, all instances count as notified.
func (r *run) causedByNotified(start Interval, window []*fakenode.Entry) bool {
	if len(r.input.StartNotices) == 0 {
		return true
	}
	notified, total := 0.0, 0.0
	for _, attempt := range window {
		total += attempt.Units
		if r.wasNotifiedOfStart(start, attempt) {
			notified += attempt.Units
		}
	}
	return notified > total*2/3
}

// wasNotifiedOfStart reports whether the instance that sent an attempt had been notified of the node's
// start when the attempt arrived.
func (r *run) wasNotifiedOfStart(start Interval, attempt *fakenode.Entry) bool {
	request := r.requestOf(attempt)
	return request != nil && slices.ContainsFunc(r.input.StartNotices, func(n Notice) bool {
		return n.Instance == request.Instance && n.Node == start.Name && n.From >= start.From && n.From <= attempt.ReceivedAt
	})
}

// load returns the load of a node that received some units in a window, at an age (time since its
// start). With MeanUnits, the load is a fraction of the limit, otherwise a multiple of the node's
// present capacity.
func (s *SlowStart) load(units float64, age time.Duration) float64 {
	fraction := s.InitialFraction + (1-s.InitialFraction)*float64(age)/float64(s.WarmupDuration)
	if s.MeanUnits <= 0 {
		return units / (fraction * s.Capacity * s.OverloadWindow.Seconds())
	}
	units /= s.MeanUnits
	requests := max(s.MinUnits, s.OverloadFactor*fraction*s.Capacity*s.OverloadWindow.Seconds()) / s.MeanUnits
	return units / (requests + chanceAllowance(requests))
}

// chanceAllowance returns how far a random number of requests may exceed its mean: about two standard
// deviations, or three for means below smallRequestCount.
func chanceAllowance(requests float64) float64 {
	if requests < smallRequestCount {
		return 3*math.Sqrt(requests) + 3
	}
	return 2*math.Sqrt(requests) + 2
}

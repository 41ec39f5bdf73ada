package audit

import (
	"time"

	"maddergap/internal/fakenode"
)

// judgeNodeServing judges RuleNodeServing. Its figure is how long after a notice the last attempt
// was sent to a node, in milliseconds.
func (r *run) judgeNodeServing() Verdict {
	v := Verdict{Rule: RuleNodeServing, Bound: float64(r.input.DrainGrace.Milliseconds())}
	for _, drain := range r.input.Drains {
		r.checkDrain(&v, drain)
	}
	for _, notice := range r.input.DrainNotices {
		r.checkDrainNotice(&v, notice)
	}
	return v
}

// checkDrain checks the attempts at a node of which all instances were notified.
func (r *run) checkDrain(v *Verdict, drain Interval) {
	for _, attempt := range r.attempts {
		if attempt.Node != drain.Name || !isWithin(attempt.ReceivedAt, drain.From, drain.To) {
			continue
		}
		if age, late := r.sentLate(v, attempt, drain.From); late {
			v.violated(attempt.Node, "%s was sent %s %v after it was told to drain", attempt.Node, attempt.Path, age)
		}
	}
}

// checkDrainNotice checks the attempts of one instance at a node.
func (r *run) checkDrainNotice(v *Verdict, notice Notice) {
	for _, attempt := range r.attempts {
		request := r.requestOf(attempt)
		if attempt.Node != notice.Node || request == nil || request.Instance != notice.Instance ||
			!isWithin(attempt.ReceivedAt, notice.From, notice.To) {
			continue
		}
		if age, late := r.sentLate(v, attempt, notice.From); late {
			v.violated(request.TraceID, "%s was sent to %s by head %d %v after that was notified", request.TraceID, attempt.Node, notice.Instance, age)
		}
	}
}

// sentLate counts an attempt that was sent after a notice in the figure, and reports whether that
// was past the grace.
func (r *run) sentLate(v *Verdict, attempt *fakenode.Entry, notifiedAt int64) (age time.Duration, late bool) {
	age = between(notifiedAt, attempt.ReceivedAt)
	v.Figure = max(v.Figure, float64(age.Milliseconds()))
	return age, age > r.input.DrainGrace+r.input.ClockTolerance
}

// isWithin reports whether a time is from one time to another; to 0 is the end of the run.
func isWithin(at, from, to int64) bool { return at >= from && (to == 0 || at <= to) }

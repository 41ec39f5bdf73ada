package audit

import (
	"time"

	"maddergap/internal/fakenode"
)

// judgeNodeServing judges RuleNodeServing. Its figure is the longest time from a notice to an attempt,
// in milliseconds.
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

// checkDrain checks the attempts of all instances on a draining node.
func (r *run) checkDrain(v *Verdict, drain Interval) {
	for _, attempt := range r.attempts {
		if attempt.Node != drain.Name || !isWithin(attempt.ReceivedAt, drain.From, drain.To) {
			continue
		}
		if age, late := r.recordSendAfterNotice(v, attempt, drain.From); late {
			v.addViolation(attempt.Node, "%s was sent %s %v after it was told to drain", attempt.Node, attempt.Path, age)
		}
	}
}

// checkDrainNotice checks the attempts of a notified instance on a draining node.
func (r *run) checkDrainNotice(v *Verdict, notice Notice) {
	for _, attempt := range r.attempts {
		request := r.requestOf(attempt)
		if attempt.Node != notice.Node || request == nil || request.Instance != notice.Instance ||
			!isWithin(attempt.ReceivedAt, notice.From, notice.To) {
			continue
		}
		if age, late := r.recordSendAfterNotice(v, attempt, notice.From); late {
			v.addViolation(request.TraceID, "%s was sent to %s by head %d %v after that was notified", request.TraceID, attempt.Node, notice.Instance, age)
		}
	}
}

// recordSendAfterNotice updates the verdict's figure with an attempt after a notice. It returns the time
// from the notice to the attempt and whether that exceeds the grace.
func (r *run) recordSendAfterNotice(v *Verdict, attempt *fakenode.Entry, notifiedAt int64) (age time.Duration, late bool) {
	age = durationBetween(notifiedAt, attempt.ReceivedAt)
	v.Figure = max(v.Figure, float64(age.Milliseconds()))
	return age, age > r.input.DrainGrace+r.input.ClockTolerance
}

// isWithin reports whether at is in the interval. If to is 0, the interval lasts to the end of the run.
func isWithin(at, from, to int64) bool { return at >= from && (to == 0 || at <= to) }

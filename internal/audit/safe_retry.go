package audit

import (
	"net/http"

	"maddergap/internal/fakenode"
	"maddergap/scheduler"
)

// judgeSafeRetry judges RuleSafeRetry. Its figure is the number of violations.
func (r *run) judgeSafeRetry() Verdict {
	v := Verdict{Rule: RuleSafeRetry}
	for id, attempts := range r.attemptsByTrace {
		request := r.requests[id]
		if request == nil {
			continue
		}
		switch class := &r.classes[request.Class]; class.Effect {
		case scheduler.Idempotent:
			r.checkDeduplicated(&v, request, class, attempts)
		case scheduler.NonIdempotent:
			checkExecutedOnce(&v, request, class, attempts)
		}
	}
	v.Figure = float64(v.Violations)
	return v
}

// checkDeduplicated checks that an idempotent request was retried only within the deduplication window,
// which begins with the first attempt. A retry after an attempt that was not executed is always allowed.
func (r *run) checkDeduplicated(v *Verdict, request *RequestRecord, class *scheduler.Class, attempts []*fakenode.Entry) {
	id := request.TraceID
	for i := 1; i < len(attempts); i++ {
		if notExecuted(attempts[i-1]) {
			continue
		}
		age := durationBetween(attempts[0].ReceivedAt, attempts[i].ReceivedAt)
		if age > class.DeduplicationWindow+r.input.ClockTolerance {
			v.addViolation(id, "%s (%s) was sent again after %v, its nodes remember %v", id, class.Name, age, class.DeduplicationWindow)
		}
	}
}

// checkExecutedOnce checks that a non-idempotent request was retried only after attempts that were not
// executed, that it was executed at most once, and that it was not rejected although it was executed.
func checkExecutedOnce(v *Verdict, request *RequestRecord, class *scheduler.Class, attempts []*fakenode.Entry) {
	id := request.TraceID
	for i := 1; i < len(attempts); i++ {
		if !notExecuted(attempts[i-1]) {
			v.addViolation(id, "%s (%s) was sent again to %s though the attempt before may have run", id, class.Name, attempts[i].Node)
		}
	}
	executed := 0
	for _, attempt := range attempts {
		if attempt.ExecutedAt > 0 {
			executed++
		}
	}
	if executed > 1 {
		v.addViolation(id, "%s (%s) ran %d times", id, class.Name, executed)
	}
	if request.Status == http.StatusServiceUnavailable && executed > 0 {
		v.addViolation(id, "%s (%s) was refused, but ran", id, class.Name)
	}
}

// notExecuted reports whether the node responded that it did not execute the attempt.
func notExecuted(attempt *fakenode.Entry) bool {
	return attempt.Status == http.StatusServiceUnavailable && attempt.ExecutedAt == 0
}

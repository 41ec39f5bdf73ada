package audit

import (
	"time"

	"maddergap/internal/fakenode"
)

// judgeSingleResponse judges RuleSingleResponse. Its figure is the number of violations.
func (r *run) judgeSingleResponse() Verdict {
	v := Verdict{Rule: RuleSingleResponse}
	for _, request := range r.requests {
		r.checkResponse(&v, request)
		for _, attempt := range r.attemptsByTrace[request.TraceID] {
			r.checkAttemptNeeded(&v, request, attempt)
		}
	}
	for id, attempts := range r.attemptsByTrace {
		if r.requests[id] == nil {
			first := attempts[0]
			v.addViolation(id, "an attempt at %s (%s %s, trace %q) belongs to no request", first.Node, first.Method, first.Path, id)
		}
	}
	v.Figure = float64(v.Violations)
	return v
}

// checkResponse checks that a request got exactly one response and got it in time. No response is
// required if the request was not sent in full, the client disconnected or the instance was killed.
func (r *run) checkResponse(v *Verdict, request *RequestRecord) {
	id := request.TraceID
	end := max(request.RespondedAt, request.DisconnectedAt, request.ConnectionLostAt)
	switch {
	case request.Responses > 1:
		v.addViolation(id, "%s has %d answers", id, request.Responses)
	case request.Incomplete, request.DisconnectedAt > 0, r.instanceDown(request.Instance, request.SentAt, end):
	case request.Responses == 0:
		v.addViolation(id, "%s sent to head %d at %s has no answer, its connection ended %v later", id, request.Instance,
			time.UnixMicro(request.SentAt).UTC().Format("15:04:05.000000"), durationBetween(request.SentAt, request.ConnectionLostAt))
	case request.RespondedAt > request.Deadline+r.input.LateTolerance.Microseconds():
		v.addViolation(id, "%s was answered %v late", id, durationBetween(request.Deadline, request.RespondedAt))
	}
}

// checkAttemptNeeded checks that the client still waited for the response when an attempt began, and
// that the timeout of the attempt does not extend beyond the client's deadline.
func (r *run) checkAttemptNeeded(v *Verdict, request *RequestRecord, attempt *fakenode.Entry) {
	id := request.TraceID
	if grace := r.input.DisconnectGrace; grace > 0 && request.DisconnectedAt > 0 &&
		attempt.ReceivedAt > request.DisconnectedAt+grace.Microseconds()+r.clockTolerance() {
		v.addViolation(id, "%s was sent to %s %v after its client had left", id, attempt.Node, durationBetween(request.DisconnectedAt, attempt.ReceivedAt))
	}
	remaining := request.Deadline - attempt.ReceivedAt
	if tolerance := r.input.TimeoutTolerance; tolerance > 0 && attempt.Timeout > 0 &&
		attempt.Timeout-remaining > tolerance.Microseconds()+r.clockTolerance() {
		v.addViolation(id, "%s told %s %v more than is left to its client", id, attempt.Node, durationBetween(remaining, attempt.Timeout))
	}
	if request.RespondedAt > 0 && attempt.ReceivedAt > request.RespondedAt+r.clockTolerance() {
		v.addViolation(id, "%s was sent to %s %v after its answer", id, attempt.Node, durationBetween(request.RespondedAt, attempt.ReceivedAt))
	}
}

package audit

import (
	"cmp"
	"slices"

	"maddergap/internal/fakenode"
)

// orderedAttempt is an attempt of a request with an order key.
type orderedAttempt struct {
	request *RequestRecord
	attempt *fakenode.Entry
}

// instanceKey is an order key at an instance. Each instance keeps the order of its own requests only.
type instanceKey struct {
	instance int
	key      string
}

// judgeKeyOrder judges RuleKeyOrder. Its figure is the number of violations.
func (r *run) judgeKeyOrder() Verdict {
	v := Verdict{Rule: RuleKeyOrder}
	for key, attempts := range r.attemptsByKey() {
		slices.SortFunc(attempts, func(a, b orderedAttempt) int {
			return cmp.Compare(a.attempt.ReceivedAt, b.attempt.ReceivedAt)
		})
		for i := 1; i < len(attempts); i++ {
			r.checkOrder(&v, key, attempts[i-1], attempts[i])
		}
	}
	v.Figure = float64(v.Violations)
	return v
}

// attemptsByKey returns the attempts of ordered requests by instance and key, unsorted.
func (r *run) attemptsByKey() map[instanceKey][]orderedAttempt {
	byKey := map[instanceKey][]orderedAttempt{}
	for id, attempts := range r.attemptsByTrace {
		request := r.requests[id]
		if request == nil || !r.classes[request.Class].Ordered {
			continue
		}
		key := instanceKey{request.Instance, request.OrderKey}
		for _, attempt := range attempts {
			byKey[key] = append(byKey[key], orderedAttempt{request, attempt})
		}
	}
	return byKey
}

// checkOrder checks two consecutive attempts of an order key. The second may begin only after the
// result of the first, and its request may not have been sent before the request of the first.
func (r *run) checkOrder(v *Verdict, key instanceKey, first, second orderedAttempt) {
	if first.request == second.request {
		return
	}
	sentAt := min(first.request.SentAt, second.request.SentAt)
	receivedAt := max(first.attempt.ReceivedAt, second.attempt.ReceivedAt)
	if r.instanceDown(first.request.Instance, sentAt, receivedAt) {
		return // a restarted instance does not know its earlier requests
	}
	resultAt := first.attempt.RespondedAt
	if resultAt == 0 {
		resultAt = first.request.RespondedAt
	}
	if resultAt > 0 && second.attempt.ReceivedAt < resultAt-r.clockTolerance() {
		v.addViolation(key.key, "key %d %s: %s went out %v before the one before it had an outcome",
			key.instance, key.key, second.request.TraceID, durationBetween(second.attempt.ReceivedAt, resultAt))
	}
	if second.request.SentAt+r.clockTolerance() < first.request.SentAt {
		v.addViolation(key.key, "key %d %s: %s went before %s, which came first",
			key.instance, key.key, first.request.TraceID, second.request.TraceID)
	}
}

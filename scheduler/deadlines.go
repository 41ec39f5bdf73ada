package scheduler

import "time"

// Deadlines: a request that cannot be served in time is rejected while its client still waits.

const (
	// expiryMargin is how long before a request's deadline it is rejected, for the rejection to
	// reach the client.
	expiryMargin = 10 * time.Millisecond
	// firstAttemptWaitFraction is the fraction of its time that a request waits for its first attempt.
	// One that others went before is unlikely to be served in the rest; rejected at this point, its
	// client has the time to try again.
	firstAttemptWaitFraction = 0.5
	// minOvertakingSends is how many requests have to be sent to its node meanwhile for a request to
	// be rejected so. At a node that this instance rarely sends to, waiting long means little.
	minOvertakingSends = 2
)

// setDeadlines sets the times of an arriving request. The latency deadline is not after the
// deadline. For a client's retry it counts from the client's first try, where the class says how
// long clients wait: retries would otherwise look fresh, and go before requests that can still meet
// their objective.
func (s *Scheduler) setDeadlines(r *request) {
	class := r.class
	r.Deadline = s.now + r.TimeRemaining
	r.LatencyDeadline = min(s.now+class.LatencyObjective, r.Deadline)
	if r.ClientRetry && class.Deadline > r.TimeRemaining {
		sinceFirstTry := class.Deadline - r.TimeRemaining
		r.LatencyDeadline = min(r.LatencyDeadline, s.now+class.LatencyObjective-sinceFirstTry)
	}
	r.ExpiresAt = max(s.now+Time(firstAttemptWaitFraction*float64(r.TimeRemaining)), r.LatencyDeadline)
}

// extendExpiry returns the later expiry of a request that has waited firstAttemptFraction of its
// time: its deadline where few others were sent to its node meanwhile, 0 for none.
func extendExpiry(r *request) Time {
	if r.node != nil && r.node.sendCount-r.sendCountAtEnqueue < minOvertakingSends {
		return r.Deadline
	}
	return 0
}

// completeExpired gives the requests of a queue that expire within expiryMargin their final response.
func (s *Scheduler) completeExpired(queue *requestQueue) {
	for _, r := range queue.RemoveExpired(s.now+expiryMargin+1, extendExpiry) {
		s.expiryReasons[r.ID] = s.WaitReason(r.ID)
		s.rejectOrFail(r)
	}
}

// nextExpiry returns when endExpired has to look at a queue next, never if it is empty.
func nextExpiry(queue *requestQueue) Time {
	if queue.Len() == 0 {
		return never
	}
	return queue.NextExpiry() - expiryMargin
}

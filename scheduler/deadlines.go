package scheduler

import "time"

// Deadlines: a request that cannot be served in time is rejected while its client still waits for a
// response.

const (
	// expiryMargin is the time before its expiry at which a request is rejected, so that the rejection
	// reaches the client in time.
	expiryMargin = 10 * time.Millisecond
	// firstAttemptWaitFraction is the fraction of its remaining time that a request waits for its
	// first attempt if others are sent before it, but it waits at least until its latency deadline.
	// Such a request is unlikely to be served in the rest of its time. If it is rejected at this
	// point, its client still has time to retry.
	firstAttemptWaitFraction = 0.5
	// minOvertakingSends is the number of requests that have to be sent to the node in the meantime
	// for such a rejection. At a node to which this instance rarely sends, a long wait means little.
	minOvertakingSends = 2
)

// setDeadlines sets the deadline, latency deadline and expiry of an arriving request. The latency
// deadline is not after the deadline. For a client's retry the latency objective counts from the
// client's first try, if the class says how long clients wait. Otherwise retries would look like new
// requests, and go before requests that can still meet their objective.
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

// extendExpiry returns a later expiry for a request that has waited firstAttemptWaitFraction of its
// time: its deadline if fewer than minOvertakingSends requests were sent to its node since it was
// queued, otherwise 0 for no extension.
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

// nextExpiry returns when completeExpired next has to handle a request of a queue, never if the queue
// is empty.
func nextExpiry(queue *requestQueue) Time {
	if queue.Len() == 0 {
		return never
	}
	return queue.NextExpiry() - expiryMargin
}

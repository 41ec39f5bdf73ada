package scheduler

import (
	"time"
)

// Deadlines and shedding: what is out of time is answered while its client still listens.

const (
	// expiryMargin is how long before its deadline a request is answered.
	expiryMargin = 10 * time.Millisecond
	// firstAttemptFraction is the part of its time that a request is held for its first attempt. One
	// that others went before hardly goes in time: its client is told while it can come back.
	firstAttemptFraction = 0.5
	// overtakingSends is how many other requests a node was sent meanwhile, if a request that
	// waits for its first attempt is not to be held for all of its time.
	overtakingSends = 2
)

// setDeadlines sets a request's times at its arrival.
func (s *Scheduler) setDeadlines(r *request) {
	class := r.class
	r.Deadline = s.now + r.TimeRemaining
	r.LatencyDeadline = min(s.now+class.LatencyObjective, r.Deadline) // one whose client leaves before its aim aims at that
	if r.ClientRetry && class.Deadline > r.TimeRemaining {            // its aim counts from its client's first try
		r.LatencyDeadline = min(r.LatencyDeadline, s.now+class.LatencyObjective-(class.Deadline-r.TimeRemaining))
	}
	r.ExpiresAt = max(s.now+Time(firstAttemptFraction*float64(r.TimeRemaining)), r.LatencyDeadline)
}

// extendExpiry is until when a request is held that no node has had for half of its time.
func extendExpiry(r *request) Time {
	if r.node != nil && r.node.sendCount-r.sendCountAtEnqueue < overtakingSends {
		return r.Deadline
	}
	return 0
}

// rejectExpired answers what is out of time.
func (s *Scheduler) rejectExpired(queue *requestQueue) {
	for _, r := range queue.RemoveExpired(s.now+expiryMargin+1, extendExpiry) {
		s.rejectOrFail(r)
	}
}

// nextExpiry returns when the first of those held must be answered.
func nextExpiry(queue *requestQueue) Time {
	if queue.Len() == 0 {
		return never
	}
	return queue.NextExpiry() - expiryMargin
}

package scheduler

import "time"

const (
	// responseTimeoutObjectives is how long a node with requests in flight may take to respond before
	// its circuit breaker opens, in shortest latency objectives of all classes.
	responseTimeoutObjectives = 2.0
	// responseTimeoutLatencies is the same in estimated latencies of the node. The longer of both
	// counts, so that a node that is merely slow keeps its requests.
	responseTimeoutLatencies = 4.0
	// maxConsecutiveFailures is how many failed or reset connections in a row open the breaker.
	maxConsecutiveFailures = 3
	// maxTrialInterval is the longest time between the trial requests of an open breaker. The
	// first comes after the shortest latency objective, and the interval doubles from there.
	maxTrialInterval = time.Second
)

// breaker is a node's circuit breaker: open, it ejects the node. Closed, it lets all requests pass.
// Open, it lets none pass before trialAt, and then one trial request at a time (half-open), at
// growing intervals. A response closes it, which readmits the node, unless it
// only says that the node's queue is full. A new start of the node closes it too.
type breaker struct {
	open bool
	// trialAt and trialInterval are valid while it is open.
	trialAt       Time
	trialInterval time.Duration
	// consecutiveFailures counts failed and reset connections since the last response other than
	// "queue full", or since the node's start. A time-out does not end the row.
	consecutiveFailures int
}

func (b *breaker) close() { b.open, b.trialInterval, b.consecutiveFailures = false, 0, 0 }

// blocks reports whether no request may pass.
func (b *breaker) blocks(now Time) bool { return b.open && now < b.trialAt }

// trialDue reports whether an open breaker lets a trial request pass.
func (b *breaker) trialDue(now Time) bool { return b.open && now >= b.trialAt }

// requestSent sets the time of the next trial request.
func (b *breaker) requestSent(now Time) {
	if b.open {
		b.trialInterval = min(2*b.trialInterval, maxTrialInterval)
		b.trialAt = now + b.trialInterval
	}
}

// checkResponsiveness opens the breaker of a node that has requests in flight and has not responded
// for too long.
func (s *Scheduler) checkResponsiveness(n *node) {
	if len(n.inFlight) == 0 {
		return
	}
	longest := max(responseTimeoutObjectives*s.shortestObjective.Seconds(), responseTimeoutLatencies*n.latency)
	sinceResponse := s.now - max(n.lastResponseAt, n.inFlight[0].inFlightSince(s.now))
	if sinceResponse.Seconds() >= longest {
		s.openBreaker(n)
	}
}

// openBreaker keeps requests from a node that hangs, is down, cut off or restarting; the endpoint
// list may report that late or never. Requests that wait for the node show it: without the
// breaker each would be sent and time out there.
//
// What is in flight no longer counts against the node's window, as a hung node would never free it
// for a trial. The window shrinks instead.
func (s *Scheduler) openBreaker(n *node) {
	if b := &n.breaker; !b.open {
		b.open, b.trialInterval, b.trialAt = true, s.shortestObjective, s.now+s.shortestObjective
		n.window = min(1, n.window)
	}
	if len(n.inFlight) > 0 {
		n.window = max(s.minWindow(), min(1, n.window)/2)
		n.inFlight = nil
	}
}

package scheduler

import "time"

const (
	// responseTimeoutObjectives is the time without a response after which the circuit breaker of a
	// node with requests in flight opens, as a multiple of the shortest latency objective of all
	// classes.
	responseTimeoutObjectives = 2.0
	// responseTimeoutLatencies is the same as a multiple of the node's estimated latency. The longer
	// of both applies, so that a node that is merely slow keeps its requests.
	responseTimeoutLatencies = 4.0
	// maxConsecutiveFailures is the number of consecutive failed or reset connections that opens the
	// breaker.
	maxConsecutiveFailures = 3
	// maxTrialInterval is the longest time between the trial requests of an open breaker. The first
	// trial request is due one shortest latency objective after the breaker opens, and the interval
	// doubles with each trial request.
	maxTrialInterval = time.Second
)

// breaker is a node's circuit breaker. Closed, it lets all requests pass. Open, it lets no request
// pass before trialAt, and from then on one trial request at a time (half-open), at growing intervals.
// A response closes it, unless it only reports that the node's queue is full. A restart of the node
// closes it too.
type breaker struct {
	open bool
	// trialAt and trialInterval are valid while the breaker is open.
	trialAt       Time
	trialInterval time.Duration
	// consecutiveFailures is the number of failed and reset connections since the last response other
	// than "queue full", or since the restart of the node. A timeout leaves it unchanged.
	consecutiveFailures int
}

func (b *breaker) close() { b.open, b.trialInterval, b.consecutiveFailures = false, 0, 0 }

// blocks reports whether the breaker lets no request pass.
func (b *breaker) blocks(now Time) bool { return b.open && now < b.trialAt }

// isTrialDue reports whether the breaker is open and lets a trial request pass.
func (b *breaker) isTrialDue(now Time) bool { return b.open && now >= b.trialAt }

// requestSent sets the time of the next trial request if the breaker is open. It is called for every
// send.
func (b *breaker) requestSent(now Time) {
	if b.open {
		b.trialInterval = min(2*b.trialInterval, maxTrialInterval)
		b.trialAt = now + b.trialInterval
	}
}

// checkResponsiveness opens the breaker of a node that has requests in flight, or had until now, and
// has not responded for too long.
func (s *Scheduler) checkResponsiveness(n *node) {
	waitingSince, waiting := n.waitingSince(s.now)
	if !waiting {
		return
	}
	responseTimeout := max(responseTimeoutObjectives*s.shortestObjective.Seconds(), responseTimeoutLatencies*n.latency)
	if (s.now - waitingSince).Seconds() >= responseTimeout {
		s.openBreaker(n)
	}
}

// waitingSince returns since when the node has not responded although it had requests in flight.
// waiting is false if it had none.
func (n *node) waitingSince(now Time) (since Time, waiting bool) {
	since = never
	if len(n.inFlight) > 0 {
		since = n.inFlight[0].stallAdjustedSentAt(now)
	}
	if n.givenUpSince > n.lastResponseAt {
		since = min(since, n.givenUpSince)
	}
	return max(n.lastResponseAt, since), since < never
}

// recordSilence records that an attempt that was sent at the given time was given up without a response.
func (n *node) recordSilence(sentAt Time) {
	if n.givenUpSince <= n.lastResponseAt || sentAt < n.givenUpSince {
		n.givenUpSince = sentAt
	}
}

// openBreaker keeps requests from a node that hangs, is down, unreachable or restarting. The endpoint
// list may report that late or never, and without the breaker each request in the node's queue would
// be sent there and time out.
//
// Attempts in flight no longer count against the node's window, because a hung node would never make
// room for a trial request. The window shrinks instead.
func (s *Scheduler) openBreaker(n *node) {
	if b := &n.breaker; !b.open {
		b.open, b.trialInterval, b.trialAt = true, s.shortestObjective, s.now+s.shortestObjective
		n.window = min(1, n.window)
	}
	if len(n.inFlight) > 0 {
		n.window = max(s.minWindow(), min(1, n.window)/2)
		n.inFlight = nil
	}
	n.givenUpSince = 0
}

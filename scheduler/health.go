package scheduler

import "time"

// Health of nodes: what attempts told, and a circuit breaker for each.

const (
	maxSilence             = 2.0         // silence of so many shortest aims opens the breaker
	maxSilenceLatencies    = 4.0         // but not before so many usual answer times
	maxConsecutiveFailures = 3           // so do so many failed connections or resets in a row
	maxTrialInterval       = time.Second // longest gap between trials of an open breaker
)

// breaker stops ordinary sends to a node that is silent or unreachable. Half-open, it lets one
// trial through at growing gaps.
type breaker struct {
	open                bool
	trialAt             Time
	trialInterval       time.Duration
	consecutiveFailures int // failed connections and resets since an answer
}

// recordOutcome moves what is held of a node, its window and its breaker by what an attempt told.
//
// The breaker opens here on failed connections and resets in a row (a node that resets a part
// of its work still serves the rest), and on silence in checkSilence.
func (s *Scheduler) recordOutcome(n *node, a *attempt, e AttemptEnded) {
	took := (s.now - a.inFlightSince(s.now)).Seconds()
	aim := a.request.class.LatencyObjective.Seconds()
	switch e.Outcome {
	case OK, Failed:
		n.lastResponseAt = s.now
		n.breaker.close()
		waited := s.waitingTime(took, a.request, e)
		s.recordResponse(n, observation{latency: took, waitingFraction: waited / aim})
		s.recordServed(n.Shard, s.now, a.request.Units)
		s.adjustWindow(n, a, took/aim)
	case QueueFull:
		s.recordNodeObservation(n, observation{latency: n.latency, waitingFraction: 1})
		n.lastResponseAt = s.now
		s.collapseWindow(n)
	case ConnectFailed, Reset:
		n.breaker.consecutiveFailures++
		if n.breaker.consecutiveFailures >= maxConsecutiveFailures {
			s.openBreaker(n)
		}
	case TimedOut:
		if a.stalledAt > 0 {
			return // the head's own machine held it up to its end
		}
		s.recordNodeObservation(n, observation{latency: took, waitingFraction: 1})
		s.collapseWindow(n)
	}
}

// close lets ordinary sends go again: any answer does.
func (b *breaker) close() { b.open, b.trialInterval, b.consecutiveFailures = false, 0, 0 }

// trialDue tells whether an open breaker lets a trial through.
func (b *breaker) trialDue(now Time) bool { return b.open && now >= b.trialAt }

// trialSent notes a trial of an open breaker.
func (b *breaker) trialSent(now Time) {
	if b.open {
		b.trialInterval = min(2*b.trialInterval, maxTrialInterval)
		b.trialAt = now + b.trialInterval
	}
}

// checkSilence opens the breaker of a node that owes an answer for too long.
func (s *Scheduler) checkSilence(n *node) {
	if len(n.inFlight) == 0 {
		return
	}
	most := max(maxSilence*s.shortestObjective.Seconds(), maxSilenceLatencies*n.latency)
	silent := s.now - max(n.lastResponseAt, n.inFlight[0].inFlightSince(s.now))
	if silent.Seconds() >= most {
		s.openBreaker(n)
	}
}

// openBreaker stops ordinary sends to a node. Guards against hung, dead, cut off or restarting
// nodes, whatever the list says. What is out there is written off, so that trials are not held
// up.
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

package scheduler

import "time"

// Health of nodes: what attempts told, and a circuit breaker for each.

const (
	silentAims   = 2.0         // silence of so many shortest aims opens the breaker
	silentAnswer = 4.0         // but not before so many usual answer times
	mostFailures = 3           // so do so many failed connections or resets in a row
	mostTrialGap = time.Second // longest gap between trials of an open breaker
)

// breaker stops ordinary sends to a node that is silent or unreachable. Half-open, it lets one
// trial through at growing gaps.
type breaker struct {
	open     bool
	trialAt  Time
	trialGap time.Duration
	failures int // failed connections and resets since an answer
}

// observe moves what is held of a node, its window and its breaker by what an attempt told.
//
// The breaker opens here on failed connections and resets in a row (a node that resets a part
// of its work still serves the rest), and on silence in checkSilence.
func (s *Scheduler) observe(n *node, a *attempt, e AttemptEnded) {
	took := (s.now - a.outSince(s.now)).Seconds()
	aim := a.request.class.LatencyObjective.Seconds()
	switch e.Outcome {
	case OK, Failed:
		n.heardAt = s.now
		n.breaker.close()
		waited := s.waitingTime(took, a.request, e)
		s.bookAnswer(n, answer{latency: took, waiting: waited / aim})
		s.servedOnShard(n.Shard, s.now, a.request.Units)
		s.adjustWindow(n, a, took/aim)
	case QueueFull:
		s.bookSilence(n, answer{latency: n.latency, waiting: 1})
		n.heardAt = s.now
		s.collapseWindow(n)
	case ConnectFailed, Reset:
		n.breaker.failures++
		if n.breaker.failures >= mostFailures {
			s.openBreaker(n)
		}
	case TimedOut:
		if a.stalledAt > 0 {
			return // the head's own machine held it up to its end
		}
		s.bookSilence(n, answer{latency: took, waiting: 1})
		s.collapseWindow(n)
	}
}

// close lets ordinary sends go again: any answer does.
func (b *breaker) close() { b.open, b.trialGap, b.failures = false, 0, 0 }

// trialDue tells whether an open breaker lets a trial through.
func (b *breaker) trialDue(now Time) bool { return b.open && now >= b.trialAt }

// trialSent notes a trial of an open breaker.
func (b *breaker) trialSent(now Time) {
	if b.open {
		b.trialGap = min(2*b.trialGap, mostTrialGap)
		b.trialAt = now + b.trialGap
	}
}

// checkSilence opens the breaker of a node that owes an answer for too long.
func (s *Scheduler) checkSilence(n *node) {
	if len(n.inFlight) == 0 {
		return
	}
	most := max(silentAims*s.shortestAim.Seconds(), silentAnswer*n.latency)
	silent := s.now - max(n.heardAt, n.inFlight[0].outSince(s.now))
	if silent.Seconds() >= most {
		s.openBreaker(n)
	}
}

// openBreaker stops ordinary sends to a node. Guards against hung, dead, cut off or restarting
// nodes, whatever the list says. What is out there is written off, so that trials are not held
// up.
func (s *Scheduler) openBreaker(n *node) {
	if b := &n.breaker; !b.open {
		b.open, b.trialGap, b.trialAt = true, s.shortestAim, s.now+s.shortestAim
		n.window = min(1, n.window)
	}
	if len(n.inFlight) > 0 {
		n.window = max(s.smallestWindow(), min(1, n.window)/2)
		n.inFlight = nil
	}
}

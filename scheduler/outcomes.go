package scheduler

// recordOutcome updates the state of a node from an attempt's outcome: its estimated latency and
// pressure, its concurrency window and its circuit breaker. NotSent attempts say nothing about the node,
// and of the Cancelled ones only those that were given up while they waited for a response do.
func (s *Scheduler) recordOutcome(n *node, a *attempt, e AttemptEnded) {
	latency := (s.now - a.stallAdjustedSentAt(s.now)).Seconds()
	switch e.Outcome {
	case OK, Failed:
		s.recordResponse(n, a, e, latency)
	case QueueFull:
		s.recordQueueFull(n)
	case ConnectFailed, Reset:
		s.recordConnectionFailure(n)
	case TimedOut:
		s.recordTimeout(n, a, latency)
	case Cancelled:
		if e.GivenUpWaiting {
			s.recordGivenUp(n, a, latency)
		}
	}
}

func (s *Scheduler) recordResponse(n *node, a *attempt, e AttemptEnded, latency float64) {
	objective := a.request.class.LatencyObjective.Seconds()
	n.lastResponseAt = s.now
	n.breaker.close()
	s.estimates.updateUnitServiceTime(latency, a.request.Units)
	waiting := s.waitingTime(latency, a.request, e)
	s.observeResponse(n, observation{latency: latency, waitingFraction: waiting / objective})
	s.recordServedUnits(n.Shard, a.request.Units)
	s.adjustWindow(n, a, latency/objective)
}

func (s *Scheduler) recordQueueFull(n *node) {
	s.observeAtNode(n, observation{latency: n.latency, waitingFraction: 1})
	n.lastResponseAt = s.now
	s.collapseWindow(n)
}

// recordConnectionFailure counts consecutive failures. A node that resets only some connections still
// responds on others, and these responses reset the count.
func (s *Scheduler) recordConnectionFailure(n *node) {
	n.breaker.consecutiveFailures++
	if n.breaker.consecutiveFailures >= maxConsecutiveFailures {
		s.openBreaker(n)
	}
}

func (s *Scheduler) recordTimeout(n *node, a *attempt, latency float64) {
	if a.stalledAt > 0 {
		return // stalled until its deadline, which says nothing about the node
	}
	s.observeAtNode(n, observation{latency: latency, waitingFraction: 1})
	s.collapseWindow(n)
}

// recordGivenUp counts an attempt that was given up without a response, for example because its client
// disconnected. The latency of its response would have been longer still. Without this, a slow or hung
// node would look well while clients do not wait for it.
func (s *Scheduler) recordGivenUp(n *node, a *attempt, latency float64) {
	n.recordSilence(a.stallAdjustedSentAt(s.now))
	s.checkResponsiveness(n)
	if latency > n.latency {
		objective := a.request.class.LatencyObjective.Seconds()
		waiting := latency - s.estimates.unitServiceTime*a.request.Units
		s.observeAtNode(n, observation{latency: latency, waitingFraction: waiting / objective})
	}
}

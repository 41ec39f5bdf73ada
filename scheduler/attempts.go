package scheduler

import "slices"

// attemptID names an attempt: the request's id, and its number from 0.
type attemptID struct{ request, number uint64 }

// attempt is one sending of a request. It is in Scheduler.attempts until its outcome is known.
type attempt struct {
	request *request
	node    *node
	// sentAt is when it was sent, later by the time that it was stalled.
	sentAt    Time
	stalledAt Time // since when it is stalled (see AttemptStalled), 0 if it is not
	// filledWindow is set where the attempt left no room for another one in the node's window.
	filledWindow bool
}

// inFlightSince returns since when the node has had the attempt, less the time that it stalled.
func (a *attempt) inFlightSince(now Time) Time {
	if a.stalledAt > 0 {
		return a.sentAt + now - a.stalledAt
	}
	return a.sentAt
}

// send starts an attempt of a queued request.
func (s *Scheduler) send(n *node, r *request) {
	n.sendCount++
	n.lastSendAt, n.pacingJitter = s.now, minPacingJitter+s.random.Float64()
	n.queue.Remove(r)
	n.advanceVirtualTime(r)
	if r.attempts == 0 {
		s.chargeLimit(r.volume, r.Units)
	} else {
		s.recordRetry()
	}
	s.chargeSlowStart(n, r.Units)
	a := &attempt{request: r, node: n, sentAt: s.now, filledWindow: n.nextSendFillsWindow()}
	n.inFlight = append(n.inFlight, a)
	s.attempts[attemptID{r.ID, uint64(r.attempts)}] = a
	r.attempts++
	r.inFlight++
	s.emit(Send{ID: r.ID, Node: n.Node, StartBefore: r.deduplicationEnd()})
}

// handleAttemptStalled stops an attempt's clock. Otherwise failures of this instance's own machine,
// such as a lack of descriptors, would look like a slow or silent node, and open its breaker.
func (s *Scheduler) handleAttemptStalled(e AttemptStalled) {
	a := s.attempts[attemptID{e.ID, uint64(e.Attempt)}]
	if a != nil && a.stalledAt == 0 {
		a.stalledAt = s.now
	}
}

// handleAttemptResumed lets an attempt's clock go on.
func (s *Scheduler) handleAttemptResumed(e AttemptResumed) {
	a := s.attempts[attemptID{e.ID, uint64(e.Attempt)}]
	if a != nil && a.stalledAt > 0 {
		a.sentAt, a.stalledAt = a.inFlightSince(s.now), 0
	}
}

// handleAttemptEnded learns from an attempt's outcome and either completes its request or queues
// it for a retry.
func (s *Scheduler) handleAttemptEnded(e AttemptEnded) {
	id := attemptID{e.ID, uint64(e.Attempt)}
	a := s.attempts[id]
	if a == nil {
		return
	}
	delete(s.attempts, id)
	r, n := a.request, a.node
	r.inFlight--
	n.inFlight = slices.DeleteFunc(n.inFlight, func(other *attempt) bool { return other == a })
	s.markDirty(n)
	s.recordOutcome(n, a, e)
	extendExpiryOnceSent(r, e.Outcome)
	s.recordPossibleExecution(r, a, e.Outcome)
	s.startKeyCooldown(r, e.Outcome)
	switch {
	case r.state == completed:
		s.leaveKeyOrder(r)
	case e.Responded:
		s.complete(r)
	case r.inFlight > 0:
	case s.noFurtherAttempt(r, e):
		s.rejectOrFail(r)
	default:
		r.notBefore = s.now + s.retryBackoff()
		s.enqueue(r)
	}
}

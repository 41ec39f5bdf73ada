package scheduler

import (
	"slices"
	"time"
)

// attemptID identifies an attempt by its request's id and its number, which counts from 0.
type attemptID struct{ request, number uint64 }

// attempt is one send of a request to a node. It is in Scheduler.attempts until its outcome is known.
type attempt struct {
	request *request
	node    *node
	sentAt  Time // also the start of the deduplication window, if the attempt may have run
	// stalledFor is the length of all stalls that have ended (see AttemptStalled), and stalledAt the
	// start of the current one, 0 if there is none.
	stalledFor time.Duration
	stalledAt  Time
	// filledWindow reports whether the attempt left no room for another one in the node's window.
	filledWindow bool
}

// stallAdjustedSentAt returns the time since which the attempt has been in flight: the time of its send,
// moved forward by the length of its stalls, including the current one.
func (a *attempt) stallAdjustedSentAt(now Time) Time {
	if a.stalledAt > 0 {
		return a.sentAt + a.stalledFor + now - a.stalledAt
	}
	return a.sentAt + a.stalledFor
}

// send sends a queued request to a node.
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
	s.emit(Send{ID: r.ID, Node: n.Node, ArriveBefore: r.deduplicationEnd()})
}

// handleAttemptStalled stops counting an attempt's time in flight. Otherwise failures of this
// instance's own machine, such as a lack of file descriptors, would look like a slow or unresponsive
// node and open its circuit breaker.
func (s *Scheduler) handleAttemptStalled(e AttemptStalled) {
	a := s.attempts[attemptID{e.ID, uint64(e.Attempt)}]
	if a != nil && a.stalledAt == 0 {
		a.stalledAt = s.now
	}
}

// handleAttemptResumed continues counting an attempt's time in flight.
func (s *Scheduler) handleAttemptResumed(e AttemptResumed) {
	a := s.attempts[attemptID{e.ID, uint64(e.Attempt)}]
	if a != nil && a.stalledAt > 0 {
		a.stalledFor, a.stalledAt = a.stalledFor+s.now-a.stalledAt, 0
	}
}

// handleAttemptEnded updates the state of the node from an attempt's outcome. It then completes the
// request or queues it for a retry.
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
		s.removeFromKeyOrder(r)
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

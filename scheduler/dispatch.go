package scheduler

import "math"

// distantPast is before every deadline.
const distantPast = Time(math.MinInt64)

// dispatchNode completes the expired requests of a node, then sends requests to it while the send
// rules allow.
func (s *Scheduler) dispatchNode(n *node) {
	n.dirty = false
	s.boundWindow(n)
	s.updateEstimate(n)
	s.checkResponsiveness(n)
	s.completeExpired(n.queue)
	for n.queue.Len() > 0 {
		if n.breaker.isTrialDue(s.now) {
			s.openBreaker(n) // already open; the previous trial request no longer counts against the window
		}
		if s.blockedBy(nodeRules, candidate{node: n}) != ReasonAllowed {
			break
		}
		next := s.nextRequest(n)
		if next == nil {
			break
		}
		n.breaker.requestSent(s.now)
		s.send(n, next)
	}
	if len(n.inFlight) == 0 {
		n.givenUpSince = 0 // the node is idle from now on, which is no silence
	}
	s.setWakeTime(n)
}

// nextRequest returns the request to send to a node next, nil if none may be sent.
//
// As in the paper, the volume with the lowest start tag is served next. Start tags order volumes only.
// Of the requests of that volume the one with the highest priority is sent: it takes over the lowest
// start tag and leaves its own to the other request. Volumes with equal tags, for example within their
// reserves, are ordered by priority too.
//
// Requests that are expected to miss their latency objective are sent only if no other request may be.
// Their weight is low, and in tag order they would delay the requests after them beyond their
// objectives as well.
func (s *Scheduler) nextRequest(n *node) *request {
	s.makeDeferredReady(n)
	if next := s.selectRequest(n, false); next != nil {
		return next
	}
	return s.selectRequest(n, true)
}

// selectRequest returns the next request among those that are expected to meet their latency objective
// or, with missesObjective set, among all. The send rules then judge the requests as if they missed
// it.
func (s *Scheduler) selectRequest(n *node, missesObjective bool) *request {
	first := s.lowestTagRequest(n, missesObjective)
	if first == nil {
		return nil
	}
	best := s.highestPriorityRequest(n, first, missesObjective)
	if best != first {
		s.swapTags(n, best, first)
	}
	return best
}

// makeDeferredReady makes ready the deferred requests of a node that may be sent by now.
func (s *Scheduler) makeDeferredReady(n *node) {
	for {
		r, ok := n.queue.PopDeferred(s.now)
		if !ok {
			return
		}
		s.makeReady(r)
	}
}

// hasPriorityOver reports whether a goes before b by the priority weight of a unit, then by latency
// deadline. Both must be ready.
func hasPriorityOver(a, b *request) bool {
	weightA, weightB := a.Profile().priorityWeight(), b.Profile().priorityWeight()
	if weightA != weightB {
		return weightA > weightB
	}
	return latencyDeadlineBefore(a, b)
}

// precedes reports whether a goes before b by start tag, then by priority; b may be nil.
func precedes(a, b *request) bool {
	return b == nil || a.startTag < b.startTag || (a.startTag == b.startTag && hasPriorityOver(a, b))
}

// lowestTagRequest returns the eligible request with the lowest start tag, nil if there is none. It
// isolates volumes that are blocked by their limit, so that it has to look only at the first request
// of each shared subqueue.
func (s *Scheduler) lowestTagRequest(n *node, missesObjective bool) (best *request) {
	for _, sub := range n.queue.Shared {
		r := s.firstEligible(n, sub, orderByTag, missesObjective)
		for r != nil && s.limitBlocks(&sub.Profile, r.volume) {
			n.queue.Isolate(r.volume)
			r = s.firstEligible(n, sub, orderByTag, missesObjective)
		}
		if r != nil && precedes(r, best) {
			best = r
		}
	}
	for _, ownerQueue := range n.queue.Isolated {
		for _, sub := range ownerQueue.Subqueues {
			if s.limitBlocks(&sub.Profile, ownerQueue.Owner) {
				continue
			}
			if r := s.firstEligible(n, sub, orderByTag, missesObjective); r != nil && precedes(r, best) {
				best = r
			}
		}
	}
	return best
}

// highestPriorityRequest returns the eligible request with the highest priority among those of first's
// volume at a node.
func (s *Scheduler) highestPriorityRequest(n *node, first *request, missesObjective bool) *request {
	best := first
	for _, sub := range n.queue.SubqueuesOf(first.volume) {
		if s.limitBlocks(&sub.Profile, first.volume) {
			continue
		}
		if r := s.firstEligible(n, sub, orderByLatencyDeadline, missesObjective); r != nil && hasPriorityOver(r, best) {
			best = r
		}
	}
	return best
}

// swapTags exchanges the start tags of best, which is sent next, and first, which stays queued.
func (s *Scheduler) swapTags(n *node, best, first *request) {
	n.queue.Suspend(best)
	n.queue.Suspend(first)
	best.startTag, first.startTag = first.startTag, best.startTag
	best.beyondReserve, first.beyondReserve = first.beyondReserve, best.beyondReserve
	s.makeReady(first)
}

// firstEligible returns the request of a subqueue that is first in an order and may be sent now, nil
// if there is none. It considers the requests that are expected to meet their latency objective. With
// missesObjective set it considers those that are expected to meet their deadline instead, or all
// requests if a trial request to an idle node is due.
func (s *Scheduler) firstEligible(n *node, sub *subqueue, order int, missesObjective bool) *request {
	if sub.Empty() {
		return nil
	}
	c := candidate{node: n, profile: &sub.Profile, missesObjective: missesObjective}
	if s.blockedBy(profileRules, c) != ReasonAllowed {
		return nil
	}
	expectedResponseAt, bestInTime := s.now+s.expectedLatency(n, sub.Profile.units), sub.BestByLatencyDeadline
	if missesObjective {
		bestInTime = sub.BestByDeadline
	}
	if missesObjective && s.isIdleTrialDue(n) {
		expectedResponseAt = distantPast
	}
	for {
		r, ok := bestInTime(order, expectedResponseAt)
		if !ok || s.mayRunOn(r, n) {
			return r
		}
		n.queue.Suspend(r) // it may not run on this node; it waits for another node or its expiry
	}
}

// isIdleTrialDue reports whether a node with nothing in flight is sent a request although no response is
// expected by its deadline. Only new responses correct an expected latency that is too long, for
// example after a timeout. Without a trial request the node would never be sent anything again.
func (s *Scheduler) isIdleTrialDue(n *node) bool {
	return len(n.inFlight) == 0 && s.now >= n.lastSendAt+maxTrialInterval
}

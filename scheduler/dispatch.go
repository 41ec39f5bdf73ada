package scheduler

import "math"

// distantPast is a time that no deadline is before.
const distantPast = Time(math.MinInt64)

// dispatchNode ends what has expired at a node and sends while the send rules allow.
func (s *Scheduler) dispatchNode(n *node) {
	n.dirty = false
	s.boundWindow(n)
	s.updateEstimate(n)
	s.checkResponsiveness(n)
	s.completeExpired(n.queue)
	for n.queue.Len() > 0 {
		if n.breaker.trialDue(s.now) {
			s.openBreaker(n) // it is open; the trial before no longer counts against the window
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
	s.setWakeTime(n)
}

// nextRequest returns the request that a node is sent next, nil if none may be sent.
//
// It is of the volume with the lowest start tag, as in the paper. Start tags order volumes, and do
// not say which of its own requests a volume sends: that is the one with the highest priority,
// which goes with the lowest tag and leaves its own tag to the other. Volumes with equal tags, as
// within their reserves, are ordered by priority too.
//
// Requests that can no longer meet their latency objective are sent when no other may be: they
// earn little, and in tag order they would make the next ones late as well.
func (s *Scheduler) nextRequest(n *node) *request {
	s.makeDeferredReady(n)
	if next := s.selectRequest(n, false); next != nil {
		return next
	}
	return s.selectRequest(n, true)
}

// selectRequest is nextRequest among the requests that are expected to meet their latency objective
// or, with missesObjective set, among all.
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

// makeDeferredReady makes the requests of a node ready whose time has come.
func (s *Scheduler) makeDeferredReady(n *node) {
	for {
		r, ok := n.queue.PopDeferred(s.now)
		if !ok {
			return
		}
		s.makeReady(r)
	}
}

// hasPriorityOver orders ready requests by priority weight a unit, then by latency deadline.
func hasPriorityOver(a, b *request) bool {
	weightA, weightB := a.Profile().priorityWeight(), b.Profile().priorityWeight()
	if weightA != weightB {
		return weightA > weightB
	}
	return latencyDeadlineBefore(a, b)
}

// precedes orders the requests of different volumes; b may be nil.
func precedes(a, b *request) bool {
	return b == nil || a.startTag < b.startTag || (a.startTag == b.startTag && hasPriorityOver(a, b))
}

// lowestTagRequest returns the eligible request with the lowest start tag, nil if there is none.
// Volumes that their limit blocks are isolated, so that the shared subqueues can be judged by
// their first requests.
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
	for _, own := range n.queue.Isolated {
		for _, sub := range own.Subqueues {
			if s.limitBlocks(&sub.Profile, own.Owner) {
				continue
			}
			if r := s.firstEligible(n, sub, orderByTag, missesObjective); r != nil && precedes(r, best) {
				best = r
			}
		}
	}
	return best
}

// highestPriorityRequest returns the eligible request with the highest priority among all that the
// volume of first has at a node.
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

// swapTags gives best, which is sent next, the start tag of first, and the reverse.
func (s *Scheduler) swapTags(n *node, best, first *request) {
	n.queue.Suspend(best)
	n.queue.Suspend(first)
	best.startTag, first.startTag = first.startTag, best.startTag
	best.beyondReserve, first.beyondReserve = first.beyondReserve, best.beyondReserve
	s.makeReady(first)
}

// firstEligible returns the first request of a subqueue by an order, nil if none may be sent now.
// It looks at those that are expected to meet their latency objective or, with missesObjective set,
// at all that are expected to meet their deadline, and at all whatsoever if a trial of an idle node
// is due.
func (s *Scheduler) firstEligible(n *node, sub *subqueue, order int, missesObjective bool) *request {
	if sub.Empty() {
		return nil
	}
	c := candidate{node: n, profile: &sub.Profile, missesObjective: missesObjective}
	if s.blockedBy(profileRules, c) != ReasonAllowed {
		return nil
	}
	expectedAt, best := s.now+s.expectedLatency(n, sub.Profile.units), sub.BestByLatencyDeadline
	if missesObjective {
		best = sub.BestByDeadline
	}
	if missesObjective && s.idleTrialDue(n) {
		expectedAt = distantPast
	}
	for {
		r, ok := best(order, expectedAt)
		if !ok || s.mayRunOn(r, n) {
			return r
		}
		n.queue.Suspend(r) // it may not run here again; it waits for another node or its expiry
	}
}

// idleTrialDue reports whether a node with nothing in flight is sent a request though no response
// is expected by its deadline. An expectation that is too long, as after a time-out, is corrected
// by new responses only; without a trial the node would never be sent anything again.
func (s *Scheduler) idleTrialDue(n *node) bool {
	return len(n.inFlight) == 0 && s.now >= n.lastSendAt+maxTrialInterval
}

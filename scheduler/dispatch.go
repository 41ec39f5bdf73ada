package scheduler

import "math"

// Dispatch: which of the requests that wait for a node goes next.

// dispatchNode answers what is out of time at a node and sends while its window has room.
func (s *Scheduler) dispatchNode(n *node) {
	n.dirty = false
	s.boundWindow(n)
	s.updateEstimate(n)
	s.checkSilence(n)
	s.rejectExpired(n.queue)
	for n.queue.Len() > 0 {
		if n.breaker.trialDue(s.now) {
			s.openBreaker(n) // what is out is written off once more
		}
		if s.blockedBy(nodeRules, candidate{node: n}) != ReasonAllowed {
			break
		}
		next := s.nextRequest(n)
		if next == nil {
			break
		}
		n.breaker.trialSent(s.now)
		s.send(n, next)
	}
	s.setWakeTime(n)
}

// nextRequest returns the held request that goes next: the volume with the lowest start tag, and of
// its requests the one of most worth, then with the nearest aim, which trades tags with the
// first. Equal tags, as in the reserves, are told apart in the same way. Departure: what can no
// longer meet its aim goes only when nothing else can.
func (s *Scheduler) nextRequest(n *node) *request {
	for {
		r, ok := n.queue.PopDeferred(s.now)
		if !ok {
			break
		}
		s.makeReady(r)
	}
	for _, late := range [...]bool{false, true} {
		first := s.lowestStartTag(n, late)
		if first == nil {
			continue
		}
		best := s.highestPriorityOf(n, first, late)
		if best != first {
			s.swapTags(n, best, first)
		}
		return best
	}
	return nil
}

// hasPriorityOver is an order of requests: more worth a unit, then the nearer aim.
func hasPriorityOver(a, b *request) bool {
	worthOfA, worthOfB := a.Profile().priorityWeight(), b.Profile().priorityWeight()
	if worthOfA != worthOfB {
		return worthOfA > worthOfB
	}
	return latencyDeadlineBefore(a, b)
}

// lowestStartTag returns the request of the lowest start tag. Volumes that their limit keeps from
// going are looked at each by itself, all others together by profile.
func (s *Scheduler) lowestStartTag(n *node, late bool) (best *request) {
	consider := func(r *request) {
		if r == nil {
			return
		}
		if best == nil || r.startTag < best.startTag || (r.startTag == best.startTag && hasPriorityOver(r, best)) {
			best = r
		}
	}
	for _, sub := range n.queue.Shared {
		r := s.firstEligible(n, sub, orderByTag, late)
		for r != nil && s.limitBlocks(&sub.Profile, r.volume) {
			n.queue.Isolate(r.volume)
			r = s.firstEligible(n, sub, orderByTag, late)
		}
		consider(r)
	}
	for _, own := range n.queue.Isolated {
		for _, sub := range own.Subqueues {
			if !s.limitBlocks(&sub.Profile, own.Owner) {
				consider(s.firstEligible(n, sub, orderByTag, late))
			}
		}
	}
	return best
}

// highestPriorityOf returns the request that a volume sends first of all that it has at a node.
func (s *Scheduler) highestPriorityOf(n *node, first *request, late bool) *request {
	best := first
	for _, sub := range n.queue.SubqueuesOf(first.volume) {
		if s.limitBlocks(&sub.Profile, first.volume) {
			continue
		}
		if r := s.firstEligible(n, sub, orderByLatencyDeadline, late); r != nil && hasPriorityOver(r, best) {
			best = r
		}
	}
	return best
}

// swapTags has one request go with the start tag of another.
func (s *Scheduler) swapTags(n *node, best, first *request) {
	n.queue.Suspend(best)
	n.queue.Suspend(first)
	best.startTag, first.startTag = first.startTag, best.startTag
	best.beyondReserve, first.beyondReserve = first.beyondReserve, best.beyondReserve
	s.makeReady(first)
}

// firstEligible returns the request of a subqueue that goes first by an order, of those that can still
// be in time for their aim or, if late, of those that are late; nil where none may go now.
func (s *Scheduler) firstEligible(n *node, sub *subqueue, order int, late bool) *request {
	if sub.Empty() {
		return nil
	}
	if s.blockedBy(profileRules, candidate{node: n, profile: &sub.Profile, missesObjective: late}) != ReasonAllowed {
		return nil
	}
	answered, best := s.now+s.expectedLatency(n, sub.Profile.units), sub.BestByLatencyDeadline
	if late {
		best = sub.BestByDeadline
	}
	if late && s.idleTrialDue(n) {
		answered = math.MinInt64
	}
	for {
		r, ok := best(order, answered)
		if !ok || s.mayRunOn(r, n) {
			return r
		}
		n.queue.Suspend(r) // its nodes' window is over: never again
	}
}

// idleTrialDue tells whether a node where nothing is out is tried though no answer is expected
// in time. Guards against a time-out of which nothing newer is ever heard, as where all nodes
// were silent at once: it would keep all from the node.
func (s *Scheduler) idleTrialDue(n *node) bool {
	return len(n.inFlight) == 0 && s.now >= n.lastSendAt+maxTrialInterval
}

// send starts an attempt.
func (s *Scheduler) send(n *node, r *request) {
	n.sendCount++
	n.lastSendAt, n.pacingJitter = s.now, minPacingJitter+s.random.Float64()
	n.queue.Remove(r)
	n.advanceVirtualTime(r)
	if r.attempts == 0 {
		s.drawLimit(r.volume, r.Units)
	} else {
		s.recordRetry()
	}
	s.drawSlowStart(n, r.Units)
	a := &attempt{request: r, node: n, sentAt: s.now, windowFull: float64(len(n.inFlight))+2 > n.window}
	n.inFlight = append(n.inFlight, a)
	s.attempts[attemptID{r.ID, uint64(r.attempts)}] = a
	r.attempts++
	r.inFlight++
	s.emit(Send{ID: r.ID, Node: n.Node, StartBefore: r.startBefore()})
}

package scheduler

import (
	"math"
	"slices"

	"maddergap/internal/waitqueue"
)

// requestQueue holds the requests that wait for one node.
type requestQueue = waitqueue.Queue[*request, profile, *volume]

// subqueue holds ready requests of one profile.
type subqueue = waitqueue.Subqueue[*request, profile]

// queueItem is the queue's part of a request.
type queueItem = waitqueue.Item[*request, profile, *volume]

// request is what the scheduler knows of a request until it has its final answer.
type request struct {
	Arrival
	queueItem // with its deadline, its aim, and until when it is held

	class  *Class
	volume *volume
	node   *node // whose queue it waits in, nil: none

	startTag      float64
	beyondReserve bool // the tag is beyond the volume's reserve

	attempts  int // made so far
	inFlight  int // without an outcome
	notBefore Time
	// mayHaveRunOn is the node where an attempt may have run, mayHaveRunSince when that was sent.
	mayHaveRunOn    *node
	mayHaveRunSince Time

	sendCountAtEnqueue int // of its node when it was queued there
	done, streaming    bool
}

// profile is what requests have in common that differ in their times and tags alone.
type profile struct {
	class         *Class
	plan          *Plan
	instances     float64
	units         float64
	beyondReserve bool // beyond the reserve
	retry         bool // an attempt past the first
}

// currentProfile is the profile that a request would wait with now.
func (r *request) currentProfile() profile {
	return profile{
		class:         r.class,
		plan:          r.volume.plan,
		instances:     r.volume.instances,
		units:         r.Units,
		beyondReserve: r.beyondReserve,
		retry:         r.attempts > 0,
	}
}

// priorityWeight is what a unit earns in time and within the reserve.
func (p *profile) priorityWeight() float64 { return p.class.PriorityWeight * p.plan.PriorityFactor }

// Orders of requests of a profile.
const (
	orderByTag = iota
	orderByLatencyDeadline
)

func newRequestQueue() *requestQueue { return waitqueue.New(startTagBefore, latencyDeadlineBefore) }

func startTagBefore(a, b *request) bool {
	return a.startTag < b.startTag || (a.startTag == b.startTag && latencyDeadlineBefore(a, b))
}

func latencyDeadlineBefore(a, b *request) bool {
	return a.LatencyDeadline < b.LatencyDeadline || (a.LatencyDeadline == b.LatencyDeadline && a.Sequence < b.Sequence)
}

// attempt is one sending of a request.
type attempt struct {
	request    *request
	node       *node
	sentAt     Time // later by as long as the head's own machine held it up
	stalledAt  Time // since when that holds it up, 0: it does not
	windowFull bool // the node's window was full with it
}

// inFlightSince is since when an attempt has been the node's to answer.
func (a *attempt) inFlightSince(now Time) Time {
	if a.stalledAt > 0 {
		return a.sentAt + now - a.stalledAt
	}
	return a.sentAt
}

// handleAttemptStalled stops an attempt's clock. Guards against a head that takes failures of its own
// machine for a slow or silent node.
func (s *Scheduler) handleAttemptStalled(e AttemptStalled) {
	a := s.attempts[attemptID{e.ID, uint64(e.Attempt)}]
	if a != nil && a.stalledAt == 0 {
		a.stalledAt = s.now
	}
}

// handleAttemptResumed has an attempt's clock go on.
func (s *Scheduler) handleAttemptResumed(e AttemptResumed) {
	a := s.attempts[attemptID{e.ID, uint64(e.Attempt)}]
	if a != nil && a.stalledAt > 0 {
		a.sentAt, a.stalledAt = a.inFlightSince(s.now), 0
	}
}

type attemptID struct{ request, number uint64 }

// handleArrival takes a request from a client.
func (s *Scheduler) handleArrival(a Arrival) {
	if s.requests[a.ID] != nil {
		return // told twice; the first is being dealt with
	}
	if a.Class < 0 || a.Class >= len(s.settings.Classes) || math.IsNaN(a.Units) {
		s.emit(Reject{ID: a.ID}) // nothing known may be promised of it but that it never ran
		return
	}
	s.recordArrival()
	s.sequence++
	a.Units = max(a.Units, 0)
	r := &request{Arrival: a, class: &s.settings.Classes[a.Class], volume: s.volumeOf(a)}
	r.Sequence = s.sequence
	s.setDeadlines(r)
	s.requests[a.ID] = r
	if r.volume.limitNeverAllows(a.Units) {
		s.rejectOrFail(r)
		return
	}
	s.joinKeyOrder(r)
	s.enqueue(r)
}

// enqueue places a request in the queue of the node that may take it.
func (s *Scheduler) enqueue(r *request) {
	n := s.selectNode(r)
	s.enqueued++
	if n == nil {
		r.node = nil
		s.unassigned.Add(r, s.enqueued)
		return
	}
	if r.node != n || r.attempts == 0 {
		s.tag(r, n)
	}
	r.node, r.sendCountAtEnqueue = n, n.sendCount
	n.queue.Add(r, s.enqueued)
	s.makeReady(r)
	s.markDirty(n)
}

// makeReady makes a held request ready at its node, or defers it until it may be. One that
// waits for its key's turn is neither.
func (s *Scheduler) makeReady(r *request) {
	readyAt, isNext := s.readyAt(r)
	if !isNext {
		return
	}
	if readyAt > s.now {
		r.node.queue.Defer(r, readyAt)
		return
	}
	r.node.queue.MakeReady(r, r.volume, r.currentProfile())
}

// handleResponseStarted notes that part of an answer is with the client: there is no second one.
func (s *Scheduler) handleResponseStarted(e ResponseStarted) {
	if r := s.requests[e.ID]; r != nil {
		r.streaming = true
	}
}

func (s *Scheduler) handleClientDisconnected(e ClientDisconnected) {
	if r := s.requests[e.ID]; r != nil {
		s.release(r)
	}
}

// handleAttemptEnded takes an attempt's outcome, and has the request sent again or answered.
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
	s.recordPossibleRun(r, a, e.Outcome)
	s.startKeyCooldown(r, e.Outcome)
	switch {
	case r.done:
		s.leaveKeyOrder(r)
	case e.Responded:
		s.release(r)
	case r.inFlight > 0:
	case s.isFinalOutcome(r, e):
		s.rejectOrFail(r)
	default:
		r.notBefore = s.now + s.shortestObjective/retryBackoffPart
		s.enqueue(r)
	}
}

// rejectOrFail gives the final answer: a refusal where it is true that trying again does no harm,
// else a failure.
func (s *Scheduler) rejectOrFail(r *request) {
	switch {
	case r.done:
	case s.clientMayRetry(r):
		s.emit(Reject{ID: r.ID, RetryAfter: s.settings.MaxRetryAfter})
	default:
		s.emit(Fail{ID: r.ID})
	}
	s.release(r)
}

// release lets go of a request that has its final answer; its key stays taken while an attempt
// is without an outcome.
func (s *Scheduler) release(r *request) {
	r.done = true
	delete(s.requests, r.ID)
	s.markDirty(r.node)
	switch {
	case r.QueueState() == waitqueue.Absent:
	case r.node != nil:
		r.node.queue.RemoveLater(r)
	default:
		s.unassigned.RemoveLater(r)
	}
	s.leaveKeyOrder(r)
}

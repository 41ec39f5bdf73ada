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

	startTag float64
	excess   bool // the tag is beyond the volume's reserve

	attempts  int // made so far
	inFlight  int // without an outcome
	notBefore Time
	// mayHaveRunAt is the node where an attempt may have run, firstRunAt when that was sent.
	mayHaveRunAt *node
	firstRunAt   Time

	sendsBefore     int // of its node when it was queued there
	done, streaming bool
}

// profile is what requests have in common that differ in their times and tags alone.
type profile struct {
	class  *Class
	plan   *Plan
	hosts  float64
	units  float64
	excess bool // beyond the reserve
	retry  bool // an attempt past the first
}

// currentProfile is the profile that a request would wait with now.
func (r *request) currentProfile() profile {
	return profile{
		class:  r.class,
		plan:   r.volume.plan,
		hosts:  r.volume.hosts,
		units:  r.Units,
		excess: r.excess,
		retry:  r.attempts > 0,
	}
}

// worth is what a unit earns in time and within the reserve.
func (p *profile) worth() float64 { return p.class.PriorityWeight * p.plan.PriorityFactor }

// Orders of requests of a profile.
const (
	orderByTag = iota
	orderByAim
)

func newRequestQueue() *requestQueue { return waitqueue.New(tagBefore, aimBefore) }

func tagBefore(a, b *request) bool {
	return a.startTag < b.startTag || (a.startTag == b.startTag && aimBefore(a, b))
}

func aimBefore(a, b *request) bool {
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

// outSince is since when an attempt has been the node's to answer.
func (a *attempt) outSince(now Time) Time {
	if a.stalledAt > 0 {
		return a.sentAt + now - a.stalledAt
	}
	return a.sentAt
}

// attemptStalled stops an attempt's clock. Guards against a head that takes failures of its own
// machine for a slow or silent node.
func (s *Scheduler) attemptStalled(e AttemptStalled) {
	a := s.attempts[attemptID{e.ID, uint64(e.Attempt)}]
	if a != nil && a.stalledAt == 0 {
		a.stalledAt = s.now
	}
}

// attemptResumed has an attempt's clock go on.
func (s *Scheduler) attemptResumed(e AttemptResumed) {
	a := s.attempts[attemptID{e.ID, uint64(e.Attempt)}]
	if a != nil && a.stalledAt > 0 {
		a.sentAt, a.stalledAt = a.outSince(s.now), 0
	}
}

type attemptID struct{ request, number uint64 }

// arrive takes a request from a client.
func (s *Scheduler) arrive(a Arrival) {
	if s.requests[a.ID] != nil {
		return // told twice; the first is being dealt with
	}
	if a.Class < 0 || a.Class >= len(s.settings.Classes) || math.IsNaN(a.Units) {
		s.do(Reject{ID: a.ID}) // nothing known may be promised of it but that it never ran
		return
	}
	s.bookArrival()
	s.sequence++
	a.Units = max(a.Units, 0)
	r := &request{Arrival: a, class: &s.settings.Classes[a.Class], volume: s.volumeOf(a)}
	r.Sequence = s.sequence
	s.setDeadlines(r)
	s.requests[a.ID] = r
	if r.volume.neverAllows(a.Units) {
		s.finish(r)
		return
	}
	s.joinKeyOrder(r)
	s.queue(r)
}

// queue places a request in the queue of the node that may take it.
func (s *Scheduler) queue(r *request) {
	n := s.chooseNode(r)
	s.positions++
	if n == nil {
		r.node = nil
		s.unassigned.Add(r, s.positions)
		return
	}
	if r.node != n || r.attempts == 0 {
		s.tag(r, n)
	}
	r.node, r.sendsBefore = n, n.sends
	n.queue.Add(r, s.positions)
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

// answerBegun notes that part of an answer is with the client: there is no second one.
func (s *Scheduler) answerBegun(e ResponseStarted) {
	if r := s.requests[e.ID]; r != nil {
		r.streaming = true
	}
}

func (s *Scheduler) clientLeft(e ClientDisconnected) {
	if r := s.requests[e.ID]; r != nil {
		s.forget(r)
	}
}

// attemptEnded takes an attempt's outcome, and has the request sent again or answered.
func (s *Scheduler) attemptEnded(e AttemptEnded) {
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
	s.observe(n, a, e)
	s.noteMayHaveRun(r, a, e.Outcome)
	s.restKey(r, e.Outcome)
	switch {
	case r.done:
		s.leaveKeyOrder(r)
	case e.Answered:
		s.forget(r)
	case r.inFlight > 0:
	case s.isFinal(r, e):
		s.finish(r)
	default:
		r.notBefore = s.now + s.shortestAim/retryBackoffPart
		s.queue(r)
	}
}

// finish gives the final answer: a refusal where it is true that trying again does no harm,
// else a failure.
func (s *Scheduler) finish(r *request) {
	switch {
	case r.done:
	case s.repeatsAreHarmless(r):
		s.do(Reject{ID: r.ID, RetryAfter: s.settings.MaxRetryAfter})
	default:
		s.do(Fail{ID: r.ID})
	}
	s.forget(r)
}

// forget lets go of a request that has its final answer; its key stays taken while an attempt
// is without an outcome.
func (s *Scheduler) forget(r *request) {
	r.done = true
	delete(s.requests, r.ID)
	s.markDirty(r.node)
	switch {
	case !r.Queued():
	case r.node != nil:
		r.node.queue.RemoveLater(r)
	default:
		s.unassigned.RemoveLater(r)
	}
	s.leaveKeyOrder(r)
}

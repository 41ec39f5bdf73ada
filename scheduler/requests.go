package scheduler

import (
	"math"

	"maddergap/internal/waitqueue"
)

// requestQueue holds the requests that wait for one node.
type requestQueue = waitqueue.Queue[*request, profile, *volume]

// subqueue holds ready requests of one profile.
type subqueue = waitqueue.Subqueue[*request, profile]

// queueItem is the queue's part of a request: its times and its place.
type queueItem = waitqueue.Item[*request, profile, *volume]

// requestState says how much of the final response has been given.
type requestState int

const (
	// awaitingResponse requests have no response yet.
	awaitingResponse requestState = iota
	// responding requests have sent part of a streamed response to the client.
	responding
	// completed requests have their final response, or their client is gone. An attempt may
	// still be in flight.
	completed
)

// String returns the state's name.
func (s requestState) String() string {
	switch s {
	case awaitingResponse:
		return "awaiting response"
	case responding:
		return "responding"
	case completed:
		return "completed"
	}
	return "unknown"
}

// request is what the scheduler knows of a request. It is in Scheduler.requests until it is
// completed.
type request struct {
	Arrival
	queueItem

	class  *Class
	volume *volume
	state  requestState

	// node is the one whose queue the request is or was last in, nil if none could take it.
	node *node
	// sendCountAtEnqueue is the node's sendCount when the request was put into its queue.
	sendCountAtEnqueue int

	startTag      float64 // S at the node
	beyondReserve bool    // the start tag is for units beyond the volume's reserve

	attempts  int  // made so far
	inFlight  int  // of these, those without an outcome
	notBefore Time // earliest time of the next attempt, 0 for none
	// mayHaveRunOn is the node where an attempt may have run, nil if none may have;
	// mayHaveRunSince is when the first such attempt was sent.
	mayHaveRunOn    *node
	mayHaveRunSince Time
}

// profile is everything that the send rules depend on, other than a request's times and tags.
// Requests of one profile are judged together.
type profile struct {
	class         *Class
	plan          *Plan
	instances     float64 // that the volume's requests arrive through
	units         float64
	beyondReserve bool
	isRetry       bool // an attempt past the first
}

// currentProfile returns the profile that a request would wait with now.
func (r *request) currentProfile() profile {
	return profile{
		class:         r.class,
		plan:          r.volume.plan,
		instances:     r.volume.instances,
		units:         r.Units,
		beyondReserve: r.beyondReserve,
		isRetry:       r.attempts > 0,
	}
}

// priorityWeight is what a unit earns if it is served in time and within the reserve.
func (p *profile) priorityWeight() float64 { return p.class.PriorityWeight * p.plan.PriorityFactor }

// Orders of the requests of a subqueue.
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

// handleArrival queues a request, or rejects one that can never be sent.
func (s *Scheduler) handleArrival(a Arrival) {
	if s.requests[a.ID] != nil {
		return // reported twice
	}
	if a.Class < 0 || a.Class >= len(s.settings.Classes) || math.IsNaN(a.Units) {
		s.emit(Reject{ID: a.ID}) // it did not run, so a retry is safe whatever its class
		return
	}
	s.recordArrival()
	s.lastSequence++
	a.Units = max(a.Units, 0)
	r := &request{Arrival: a, class: &s.settings.Classes[a.Class], volume: s.upsertVolume(a)}
	r.Sequence = s.lastSequence
	s.setDeadlines(r)
	s.requests[a.ID] = r
	if r.volume.limitNeverAllows(a.Units) {
		s.expiryReasons[r.ID] = ReasonTenantLimit
		s.rejectOrFail(r)
		return
	}
	s.joinKeyOrder(r)
	s.enqueue(r)
}

// enqueue puts a request into the queue of the node that is selected for it.
func (s *Scheduler) enqueue(r *request) {
	n := s.selectNode(r)
	s.enqueueCount++
	if n == nil {
		r.node = nil
		s.unassigned.Add(r, s.enqueueCount)
		return
	}
	if r.node != n || r.attempts == 0 { // a retry at the same node keeps its start tag
		s.tag(r, n)
	}
	r.node, r.sendCountAtEnqueue = n, n.sendCount
	n.queue.Add(r, s.enqueueCount)
	s.makeReady(r)
	s.markDirty(n)
}

// makeReady makes a queued request ready at its node, or defers it until it may be sent. One whose
// key has an earlier request stays suspended until leaveKeyOrder.
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

func (s *Scheduler) handleResponseStarted(e ResponseStarted) {
	if r := s.requests[e.ID]; r != nil {
		r.state = responding
	}
}

func (s *Scheduler) handleClientDisconnected(e ClientDisconnected) {
	if r := s.requests[e.ID]; r != nil {
		s.complete(r)
	}
}

// rejectOrFail gives a request its final response without an attempt's: a rejection where the
// client may safely retry, otherwise a failure.
func (s *Scheduler) rejectOrFail(r *request) {
	switch {
	case r.state == completed:
	case s.clientMayRetry(r):
		s.emit(Reject{ID: r.ID, RetryAfter: s.settings.MaxRetryAfter})
	default:
		s.emit(Fail{ID: r.ID})
	}
	s.complete(r)
}

// complete ends a request that needs no further response. It keeps its place in the order of its
// key while an attempt is in flight.
func (s *Scheduler) complete(r *request) {
	r.state = completed
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

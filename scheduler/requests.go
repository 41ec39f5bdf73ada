package scheduler

import (
	"math"

	"maddergap/internal/waitqueue"
)

// requestQueue holds the requests that wait for one node, or those that no node may take.
type requestQueue = waitqueue.Queue[*request, profile, *volume]

// subqueue holds the ready requests of one profile.
type subqueue = waitqueue.Subqueue[*request, profile]

// queueItem is the part of a request that the queue uses: its deadlines and its place in the queue.
type queueItem = waitqueue.Item[*request, profile, *volume]

// requestState says whether the final response of a request has been started or completed.
type requestState int

const (
	// awaitingResponse requests have no response yet.
	awaitingResponse requestState = iota
	// responding requests have a streamed response of which the client was sent a part.
	responding
	// completed requests have their final response, or their client disconnected. An attempt may still
	// be in flight.
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

// request is the state of a request. It is in Scheduler.requests until it is completed.
type request struct {
	Arrival
	queueItem

	class  *Class
	volume *volume
	state  requestState

	// node is the node whose queue the request is in or was last in, nil if no node could take it.
	node *node
	// sendCountAtEnqueue is the node's sendCount when the request was put into its queue.
	sendCountAtEnqueue int

	startTag      float64 // S of the paper, at the node
	beyondReserve bool    // whether the start tag was given to units beyond the volume's reserve

	attempts  int  // number of attempts so far
	inFlight  int  // number of attempts without an outcome
	notBefore Time // earliest time of the next attempt, 0 for none
	// mayHaveRunOn is the node of the first attempt that may have run, nil if none may have.
	// mayHaveRunSince is when that attempt was sent.
	mayHaveRunOn    *node
	mayHaveRunSince Time
}

// profile holds the properties of a request that the send rules depend on, other than its times and
// tags. The rules are evaluated once for all requests of one profile.
type profile struct {
	class         *Class
	plan          *Plan
	instances     float64 // number of instances that the volume's requests arrive through
	units         float64
	beyondReserve bool
	isRetry       bool // whether the next attempt is a retry
}

// currentProfile returns the profile of a request as of now.
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

// priorityWeight returns the value of a unit that is served in time and within the reserve.
func (p *profile) priorityWeight() float64 { return p.class.PriorityWeight * p.plan.PriorityFactor }

// Orders of the requests in a subqueue: indexes of the functions that newRequestQueue passes to
// waitqueue.New.
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
		return // duplicate
	}
	if a.Class < 0 || a.Class >= len(s.settings.Classes) || math.IsNaN(a.Units) {
		s.emit(Reject{ID: a.ID}) // it did not run, so a retry is safe
		return
	}
	s.recordArrival()
	s.lastSequence++
	a.Units = max(a.Units, 0)
	r := &request{Arrival: a, class: &s.settings.Classes[a.Class], volume: s.upsertVolume(a)}
	r.Sequence = s.lastSequence
	s.setDeadlines(r)
	s.requests[a.ID] = r
	r.volume.requests++
	if r.volume.limitNeverAllows(a.Units) {
		s.expiryReasons[r.ID] = ReasonTenantLimit
		s.rejectOrFail(r)
		return
	}
	s.addToKeyOrder(r)
	s.enqueue(r)
}

// enqueue puts a request into the queue of the node that is selected for it, or into unassigned if
// there is none.
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

// makeReady makes a queued request ready at its node, or defers it until the time at which it may be
// sent. A request that waits for an earlier request of its key stays suspended until removeFromKeyOrder
// makes it ready.
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

// rejectOrFail gives a request a final response that does not come from a node: a rejection if the
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

// complete ends a request that needs no further response. The request keeps its place in the order of
// its key while an attempt is in flight.
func (s *Scheduler) complete(r *request) {
	r.state = completed
	if s.requests[r.ID] == r {
		delete(s.requests, r.ID)
		r.volume.requests--
	}
	s.markDirty(r.node)
	switch {
	case r.QueueState() == waitqueue.Absent:
	case r.node != nil:
		r.node.queue.RemoveLater(r)
	default:
		s.unassigned.RemoveLater(r)
	}
	s.removeFromKeyOrder(r)
}

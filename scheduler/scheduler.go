// Package scheduler decides, for one gateway instance in front of a shared pool of storage nodes,
// which request is sent to which node, when and in what order, and which is rejected.
//
// Requests are ordered by HYBRID-DSFQ (Wang and Merchant, "Proportional-Share Scheduling for
// Distributed Storage Systems"): a request is assigned to a node (placement.go), gets a start tag
// there (fair_queue.go), waits in this instance's queue for that node, and leaves in the order of
// start tags (dispatch.go) while fewer requests are in flight than the node's concurrency window
// (window.go) and no send rule blocks it (send_rules.go).
//
// A Scheduler is a state machine: it is given events with the time at which they happened, and
// returns actions. It does no I/O, reads no clock and draws its random numbers from a seed, so
// the same events give the same actions.
package scheduler

import (
	"math/rand/v2"
	"time"
)

// Scheduler decides for one instance. It is not safe for concurrent use.
type Scheduler struct {
	settings  Settings
	random    *rand.Rand
	startedAt Time
	now       Time
	actions   []Action // for the events being handled

	shortestObjective time.Duration // the shortest latency objective of all classes
	maxPriorityWeight float64       // the highest of all classes and plans, for one unit

	requests      map[uint64]*request    // without a final response, by id
	expiryReasons map[uint64]Reason      // the requests that the present call of Handle ended, see ExpiryReason
	attempts      map[attemptID]*attempt // without an outcome
	volumes       map[string]*volume
	keyOrders     map[string]*keyOrder
	// unassigned holds the requests that no node may take at present.
	unassigned   *requestQueue
	lastSequence int // number of requests so far
	enqueueCount int // number of times that a request was put into a queue

	members    members
	estimates  estimates
	shares     shares
	retryUsage retryUsage
	timers     timers
}

// minPriorityWeight keeps the division by the highest priority weight defined.
const minPriorityWeight = 1e-9

// New returns a scheduler without nodes or requests. The seed is for what is spread at random
// among instances; each should have its own. The error is a *SettingsError.
func New(settings Settings, seed uint64, now Time) (*Scheduler, error) {
	if err := settings.validate(); err != nil {
		return nil, err
	}
	s := &Scheduler{
		settings:          settings,
		random:            rand.New(rand.NewPCG(seed, seed)),
		startedAt:         now,
		now:               now,
		shortestObjective: settings.Classes[0].LatencyObjective,
		requests:          map[uint64]*request{},
		expiryReasons:     map[uint64]Reason{},
		attempts:          map[attemptID]*attempt{},
		volumes:           map[string]*volume{},
		keyOrders:         map[string]*keyOrder{},
		unassigned:        newRequestQueue(),
		members:           newMembers(),
		estimates:         newEstimates(),
		shares:            newShares(&settings),
		timers:            newTimers(now),
	}
	for _, plan := range settings.Plans {
		for _, class := range settings.Classes {
			s.maxPriorityWeight = max(s.maxPriorityWeight, class.PriorityWeight*plan.PriorityFactor, minPriorityWeight)
			s.shortestObjective = min(s.shortestObjective, class.LatencyObjective)
		}
	}
	if settings.PollDiscovery {
		s.timers.watchAt = now
	}
	return s, nil
}

// Handle takes the events that happened at a time and returns the actions to carry out, in their
// order. A time before that of an earlier call counts as the same time.
func (s *Scheduler) Handle(now Time, events []Event) []Action {
	s.now, s.actions = max(now, s.now), nil
	clear(s.expiryReasons)
	for _, event := range events {
		s.handleEvent(event)
	}
	s.dispatch()
	return s.actions
}

func (s *Scheduler) handleEvent(event Event) {
	switch event := event.(type) {
	case Arrival:
		s.handleArrival(event)
	case EndpointUpdate:
		s.handleEndpointUpdate(event)
	case AttemptEnded:
		s.handleAttemptEnded(event)
	case ResponseStarted:
		s.handleResponseStarted(event)
	case AttemptStalled:
		s.handleAttemptStalled(event)
	case AttemptResumed:
		s.handleAttemptResumed(event)
	case ClientDisconnected:
		s.handleClientDisconnected(event)
	case TimerFired:
		// Each call of Handle looks at what is due.
	}
}

func (s *Scheduler) emit(action Action) { s.actions = append(s.actions, action) }

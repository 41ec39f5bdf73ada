// Package scheduler decides, for one gateway instance in front of a shared pool of storage nodes,
// which requests are sent to which nodes, when and in what order, and which are rejected.
//
// Requests are ordered by HYBRID-DSFQ (Wang and Merchant, "Proportional-Share Scheduling for
// Distributed Storage Systems"). A request is assigned to a node (placement.go), gets a start tag
// there (fair_queue.go) and waits in this instance's queue for that node. Requests are sent in the
// order of their start tags (dispatch.go), while the node's concurrency window has room (window.go)
// and no send rule blocks them (send_rules.go).
//
// A Scheduler is a state machine: it takes events with the time at which they happened, and returns
// actions. It does no I/O, reads no clock and draws its random numbers from a seed, so the same events
// give the same actions.
package scheduler

import (
	"math/rand/v2"
	"time"
)

// Scheduler schedules the requests of one instance. It holds the nodes and volumes that the instance
// knows, and the requests and attempts that are not over. It is not safe for concurrent use.
type Scheduler struct {
	settings  Settings
	random    *rand.Rand
	startedAt Time
	now       Time
	actions   []Action // returned by the current call of Handle

	shortestObjective time.Duration // the shortest latency objective of all classes
	maxPriorityWeight float64       // the highest priority weight of a unit, over all classes and plans

	requests      map[uint64]*request    // requests without a final response, by id
	expiryReasons map[uint64]Reason      // wait reasons of requests that the last call of Handle ended, see ExpiryReason
	attempts      map[attemptID]*attempt // attempts without an outcome
	volumes       volumeTable
	keyOrders     map[string]*keyOrder
	// unassigned holds the requests that no node may take at present.
	unassigned   *requestQueue
	lastSequence int // sequence number of the last request
	enqueueCount int // number of times that any request was put into a queue

	members    members
	estimates  estimates
	shares     shares
	retryUsage retryUsage
	timers     timers
}

// minPriorityWeight prevents a division by zero where all priority weights are 0.
const minPriorityWeight = 1e-9

// New returns a scheduler without nodes or requests. The seed determines the random choices that
// spread load across instances, so each instance should have its own. The error, if any, is a
// *SettingsError.
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
		volumes:           newVolumeTable(),
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

// Handle takes the events that happened at time now and returns the actions to carry out, in order. A
// time before that of an earlier call is replaced by the time of that call.
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
	case PlanAssigned:
		s.handlePlanAssigned(event)
	case TimerFired:
		// Every call of Handle dispatches the nodes that are due, so nothing is left to do here.
	}
}

func (s *Scheduler) emit(action Action) { s.actions = append(s.actions, action) }

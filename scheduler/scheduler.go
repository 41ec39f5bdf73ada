// Package scheduler decides, for one host-side scheduler (a head) in front of a shared pool of
// storage nodes, what is sent to which node, when and in what order, and what is refused.
//
// The ordinary path is HYBRID-DSFQ: a request is assigned to a node (placement.go), gets a
// start tag there (fair_queue.go), waits in the head's queue for that node and leaves in the
// order of start tags (dispatch.go) while fewer requests than the node's concurrency window
// are out (window.go) and no send rule blocks it (send_rules.go).
//
// The package is pure: it is told of events, the time with them, and returns actions. It does
// no I/O, reads no clock, and draws chance from a seed.
package scheduler

import (
	"math/rand/v2"
	"time"
)

// Scheduler decides for one head. It is not safe for concurrent use.
type Scheduler struct {
	settings          Settings
	random            *rand.Rand
	startedAt         Time
	now               Time
	actions           []Action
	shortestObjective time.Duration
	maxPriorityWeight float64 // most that a unit may earn

	requests   map[uint64]*request
	attempts   map[attemptID]*attempt
	volumes    map[string]*volume
	keyOrders  map[string]*keyOrder
	unassigned *requestQueue // of requests that no node of the list may take
	sequence   int           // requests so far
	enqueued   int           // placements so far

	members    members
	estimates  estimates
	shares     shares
	retryUsage retryUsage
	timers     timers
}

// New returns a scheduler that knows nothing yet. The seed is for what is spread by chance
// among heads.
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

// minPriorityWeight keeps the division by the largest worth defined.
const minPriorityWeight = 1e-9

// Handle takes the events of one moment and returns what to do about them, in order.
func (s *Scheduler) Handle(now Time, events []Event) []Action {
	s.now, s.actions = max(now, s.now), nil
	for _, event := range events {
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
		}
	}
	s.dispatch()
	return s.actions
}

func (s *Scheduler) emit(action Action) { s.actions = append(s.actions, action) }

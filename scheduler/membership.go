package scheduler

import (
	"slices"
	"time"
)

// watchRetryDelay is the pause before WatchEndpoints is emitted again after a failed call.
const watchRetryDelay = time.Second

// members holds the nodes of the endpoint list, and nodes that were removed from it while they had
// attempts in flight.
type members struct {
	nodes       []*node // in the order in which they joined
	byName      map[string]*node
	byShard     map[int][]*node
	joinedCount int // number of nodes that ever joined
}

func newMembers() members { return members{byName: map[string]*node{}} }

// node is the state of a node at this instance.
type node struct {
	Endpoint
	queue       *requestQueue
	virtualTime float64 // v of the paper: the highest start tag sent
	// inFlight holds the attempts that count against the window, in the order in which they were sent.
	// Attempts from before the breaker opened do not count.
	inFlight []*attempt

	window         float64 // maximum number of requests in flight; below 1, sends are paced
	lastDecreaseAt Time    // time of the last decrease of the window
	lastSendAt     Time
	pacingJitter   float64 // random factor on the pacing gap after the last send
	sendCount      int     // number of sends so far

	observations   observations // responses, timeouts and full queues of this node alone
	latency        float64      // estimated time to a response, in seconds
	pressure       float64      // estimated fraction of the latency objectives spent waiting, 0 to 1
	lastResponseAt Time         // time of the last response, or when the node joined or restarted
	breaker        breaker
	// givenUpSince is when the oldest of the attempts was sent that were given up without a response
	// since the last response. It is 0, or not after lastResponseAt, if there is none or if the node had
	// nothing in flight since.
	givenUpSince Time

	slowStart tokenBucket // in units, valid while the node is warming up

	joinOrder int  // number of the node in the order in which nodes joined, from 1
	wakeAt    Time // when to dispatch the node again, never if only an event requires that
	dirty     bool // whether the node is in timers.dirty
	scheduled bool // whether the node is in timers.scheduled
}

// handleEndpointUpdate applies an update of the endpoint list. It then selects nodes again for the
// requests without a node, and for those queued for a node that no longer serves.
func (s *Scheduler) handleEndpointUpdate(update EndpointUpdate) {
	if update.Failed {
		s.timers.watchAt = s.now + watchRetryDelay
		return
	}
	listed, shardsChanged := s.applyEndpoints(update)
	displaced := s.unassigned.RemoveExpired(never, nil)
	anyRemoved := false
	for _, n := range s.members.nodes {
		if update.Full && !listed[n] {
			n.State = Removed
		}
		if update.Full || listed[n] {
			s.markDirty(n)
		}
		if n.State != Serving {
			displaced = append(displaced, n.queue.RemoveExpired(never, nil)...)
		}
		anyRemoved = anyRemoved || n.State == Removed
	}
	if shardsChanged {
		s.members.groupByShard()
	}
	for _, r := range displaced {
		s.enqueue(r)
	}
	if anyRemoved {
		s.deleteRemovedNodes()
	}
}

// applyEndpoints adds or updates the nodes that an update lists. It returns these nodes, and whether
// the nodes of any shard may have changed.
func (s *Scheduler) applyEndpoints(update EndpointUpdate) (listed map[*node]bool, shardsChanged bool) {
	listed, shardsChanged = map[*node]bool{}, update.Full
	for _, endpoint := range update.Endpoints {
		n := s.members.byName[endpoint.Node]
		if n == nil {
			n = s.addNode(endpoint)
			shardsChanged = true
		} else {
			shardsChanged = shardsChanged || n.Shard != endpoint.Shard
			s.updateNode(n, endpoint)
		}
		listed[n] = true
	}
	return listed, shardsChanged
}

func (s *Scheduler) addNode(endpoint Endpoint) *node {
	m := &s.members
	m.joinedCount++
	n := &node{
		Endpoint:       endpoint,
		window:         initialWindow,
		lastResponseAt: s.now,
		queue:          newRequestQueue(),
		joinOrder:      m.joinedCount,
	}
	m.nodes = append(m.nodes, n)
	m.byName[n.Node] = n
	s.beginSlowStart(n)
	return n
}

// updateNode updates a known node. After a restart the estimates from before no longer hold and are
// reset.
func (s *Scheduler) updateNode(n *node, endpoint Endpoint) {
	restarted := endpoint.Started != n.Started && endpoint.State == Serving
	n.Endpoint = endpoint
	if !restarted {
		return
	}
	n.window, n.observations, n.lastResponseAt = 1, observations{}, s.now
	n.breaker.close()
	s.beginSlowStart(n)
}

// groupByShard computes byShard from the list of nodes.
func (m *members) groupByShard() {
	m.byShard = map[int][]*node{}
	for _, n := range m.nodes {
		m.byShard[n.Shard] = append(m.byShard[n.Shard], n)
	}
}

// deleteRemovedNodes deletes the removed nodes that have nothing in flight. Otherwise an instance that runs
// for long would keep every node that it ever knew.
func (s *Scheduler) deleteRemovedNodes() {
	m := &s.members
	m.nodes = slices.DeleteFunc(m.nodes, func(n *node) bool {
		if n.State != Removed || len(n.inFlight) > 0 {
			return false
		}
		delete(m.byName, n.Node)
		n.wakeAt = never
		return true
	})
}

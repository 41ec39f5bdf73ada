package scheduler

import (
	"slices"
	"time"
)

// watchRetryDelay is the pause after a failed call for the endpoint list.
const watchRetryDelay = time.Second

// members are the nodes of the endpoint list, and those removed from it with attempts in flight.
type members struct {
	nodes       []*node // in the order in which they joined
	byName      map[string]*node
	byShard     map[int][]*node
	joinedCount int // number of nodes that ever joined
}

func newMembers() members { return members{byName: map[string]*node{}} }

// node is the state of one node at this instance.
type node struct {
	Endpoint
	queue       *requestQueue
	virtualTime float64 // v: the highest start tag that was sent
	// inFlight are the attempts that count against the window, in the order of their sends. Those
	// from before the breaker opened are not among them.
	inFlight []*attempt

	window         float64 // requests; below 1, sends are paced
	lastDecreaseAt Time    // of the window
	lastSendAt     Time
	pacingJitter   float64 // factor on the pacing gap after the last send
	sendCount      int     // number of sends so far

	observations   observations // of this node alone
	latency        float64      // estimated seconds until a response
	pressure       float64      // estimated fraction of the latency objectives spent waiting, 0 to 1
	lastResponseAt Time         // or when the node joined or restarted
	breaker        breaker

	slowStart tokenBucket // in units, valid while the node is warming up

	joinOrder int
	wakeAt    Time // when to look at it again, never if only an event changes anything
	dirty     bool // it is in timers.dirty
	scheduled bool // it is in timers.waiting
}

// handleEndpointUpdate applies an update of the endpoint list. Requests queued for a node that no
// longer serves, or for none, are queued for the node that is now selected for them.
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
		s.forgetRemoved()
	}
}

// applyEndpoints adds and updates the nodes of an update. It returns them, and whether the nodes of
// any shard may have changed.
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

// updateNode updates a known node. After a restart most of what was learned of it no longer holds.
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

func (m *members) groupByShard() {
	m.byShard = map[int][]*node{}
	for _, n := range m.nodes {
		m.byShard[n.Shard] = append(m.byShard[n.Shard], n)
	}
}

// forgetRemoved forgets the removed nodes that have nothing in flight. An instance that runs for
// long would otherwise keep every node that ever was.
func (s *Scheduler) forgetRemoved() {
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

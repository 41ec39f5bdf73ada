package scheduler

import (
	"slices"
	"time"
)

// Membership: the nodes of the list.

// watchRetryDelay is the pause after a failed call for the list.
const watchRetryDelay = time.Second

// members are the nodes that the scheduler knows.
type members struct {
	nodes       []*node
	byName      map[string]*node
	byShard     map[int][]*node
	joinedCount int // nodes so far
}

func newMembers() members { return members{byName: map[string]*node{}} }

// node is a node of the list, with all that is held of it.
type node struct {
	Endpoint
	queue       *requestQueue
	virtualTime float64    // v of fair queuing: the start tag last sent
	inFlight    []*attempt // in order of sending, less those written off

	window         float64
	lastDecreaseAt Time
	lastSendAt     Time
	pacingJitter   float64 // of the gap after that
	sendCount      int     // so far

	observations   observations // its own answers
	latency        float64      // what is held of it: seconds of an answer
	pressure       float64      // and waiting times as parts of the aims, 1 at most
	lastResponseAt Time         // last answer
	breaker        breaker

	slowStart tokenBucket // what it may be sent while it is cold

	joinOrder int // its number in the order in which nodes joined
	wakeAt    Time
	dirty     bool // stands among timers.dirty
	waiting   bool // stands among timers.waiting
}

// handleEndpointUpdate takes news of the node list.
func (s *Scheduler) handleEndpointUpdate(list EndpointUpdate) {
	if list.Failed {
		s.timers.watchAt = s.now + watchRetryDelay
		return
	}
	listed, regroup := s.applyEndpoints(list)
	// Requests held for a node that no longer serves, or for none, find their next node.
	moved := s.unassigned.RemoveExpired(never, nil)
	anyGone := false
	for _, n := range s.members.nodes {
		if list.Full && !listed[n] {
			n.State = Removed
		}
		if list.Full || listed[n] {
			s.markDirty(n)
		}
		if n.State != Serving {
			moved = append(moved, n.queue.RemoveExpired(never, nil)...)
		}
		anyGone = anyGone || n.State == Removed
	}
	if regroup {
		s.members.groupByShard()
	}
	for _, r := range moved {
		s.enqueue(r)
	}
	if anyGone {
		s.forgetRemoved()
	}
}

// applyEndpoints takes the entries of a list and tells which nodes they name, and whether the
// nodes of any shard may have changed.
func (s *Scheduler) applyEndpoints(list EndpointUpdate) (listed map[*node]bool, regroup bool) {
	listed, regroup = map[*node]bool{}, list.Full
	for _, entry := range list.Endpoints {
		n := s.members.byName[entry.Node]
		if n == nil {
			n = s.addNode(entry)
			regroup = true
		} else {
			regroup = regroup || n.Shard != entry.Shard
			s.updateNode(n, entry)
		}
		listed[n] = true
	}
	return listed, regroup
}

// addNode adds a node that the list has for the first time.
func (s *Scheduler) addNode(entry Endpoint) *node {
	m := &s.members
	m.joinedCount++
	n := &node{Endpoint: entry, window: initialWindow, lastResponseAt: s.now, queue: newRequestQueue(), joinOrder: m.joinedCount}
	m.nodes = append(m.nodes, n)
	m.byName[n.Node] = n
	s.beginSlowStart(n)
	return n
}

// updateNode takes what the list has of a node that is known. After a restart nothing that was
// known of it holds any more.
func (s *Scheduler) updateNode(n *node, entry Endpoint) {
	restarted := entry.Started != n.Started && entry.State == Serving
	n.Endpoint = entry
	if !restarted {
		return
	}
	n.window, n.observations, n.lastResponseAt = 1, observations{}, s.now
	n.breaker.open = false
	s.beginSlowStart(n)
}

// groupByShard finds the nodes of each shard.
func (m *members) groupByShard() {
	m.byShard = map[int][]*node{}
	for _, n := range m.nodes {
		m.byShard[n.Shard] = append(m.byShard[n.Shard], n)
	}
}

// forgetRemoved lets go of nodes that are gone for good. Guards against a head that lives long and
// holds all nodes that ever were.
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

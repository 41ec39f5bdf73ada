package scheduler

import (
	"slices"
	"time"
)

// Membership: the nodes of the list.

// listRetry is the pause after a failed call for the list.
const listRetry = time.Second

// members are the nodes that the scheduler knows.
type members struct {
	nodes   []*node
	byName  map[string]*node
	byShard map[int][]*node
	joined  int // nodes so far
}

func newMembers() members { return members{byName: map[string]*node{}} }

// node is a node of the list, with all that is held of it.
type node struct {
	Endpoint
	queue       *requestQueue
	virtualTime float64    // v of fair queuing: the start tag last sent
	inFlight    []*attempt // in order of sending, less those written off

	window     float64
	shrunkAt   Time
	sentAt     Time
	paceJitter float64 // of the gap after that
	sends      int     // so far

	observed observations // its own answers
	latency  float64      // what is held of it: seconds of an answer
	pressure float64      // and waiting times as parts of the aims, 1 at most
	heardAt  Time         // last answer
	breaker  breaker

	coldBudget tokenBucket // what it may be sent while it is cold

	joined  int // its number in the order in which nodes joined
	wakeAt  Time
	dirty   bool // stands among timers.dirty
	waiting bool // stands among timers.waiting
}

// updateMembers takes news of the node list.
func (s *Scheduler) updateMembers(list EndpointUpdate) {
	if list.Failed {
		s.timers.listAt = s.now + listRetry
		return
	}
	listed, regroup := s.takeEntries(list)
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
		s.queue(r)
	}
	if anyGone {
		s.forgetGone()
	}
}

// takeEntries takes the entries of a list and tells which nodes they name, and whether the
// nodes of any shard may have changed.
func (s *Scheduler) takeEntries(list EndpointUpdate) (listed map[*node]bool, regroup bool) {
	listed, regroup = map[*node]bool{}, list.Full
	for _, entry := range list.Endpoints {
		n := s.members.byName[entry.Node]
		if n == nil {
			n = s.join(entry)
			regroup = true
		} else {
			regroup = regroup || n.Shard != entry.Shard
			s.updateNode(n, entry)
		}
		listed[n] = true
	}
	return listed, regroup
}

// join adds a node that the list has for the first time.
func (s *Scheduler) join(entry Endpoint) *node {
	m := &s.members
	m.joined++
	n := &node{Endpoint: entry, window: windowStart, heardAt: s.now, queue: newRequestQueue(), joined: m.joined}
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
	n.window, n.observed, n.heardAt = 1, observations{}, s.now
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

// forgetGone lets go of nodes that are gone for good. Guards against a head that lives long and
// holds all nodes that ever were.
func (s *Scheduler) forgetGone() {
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

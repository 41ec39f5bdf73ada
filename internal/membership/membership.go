// Package membership holds the node list that is in force and tells what each piece of news
// changes of it, so that a list costs by what changed and not by what it has. It also places
// the times at which nodes started, which are told by the wall clock, on the head's monotonic
// clock. It is pure: no I/O, no clock.
package membership

import (
	"slices"
	"time"

	"maddergap/internal/nodelist"
	"maddergap/scheduler"
)

// Time is a reading of the head's monotonic clock.
type Time = scheduler.Time

// Update is a node list, or what changed of it.
type Update struct {
	Nodes []nodelist.Node
	Full  bool // the whole list
	// PreviousConfirmedAt is when the list that it follows was known to be in force, 0: not told.
	PreviousConfirmedAt Time
}

// Change is a node that the news adds, changes or removes.
type Change struct {
	Endpoint scheduler.Endpoint
	Addr     string
	// Moved: the node has another address or another start than before. What is kept of it
	// leads elsewhere, or to a life that is over.
	AddressChanged bool
}

// Table is the list in force. It is not safe for concurrent use.
type Table struct {
	origin  time.Time // wall-clock time of the monotonic zero, as read at the start
	members map[string]*member
	began   bool // a list was applied
	last    Time // when the last list was applied
	applied int
}

type member struct {
	node    nodelist.Node
	started Time
	listed  int // the application that it stood in last
}

// New returns an empty table. origin is the wall-clock time of the monotonic zero.
func New(origin time.Time) *Table {
	return &Table{origin: origin, members: map[string]*member{}}
}

// Len is how many nodes are listed.
func (t *Table) Len() int { return len(t.members) }

// Apply takes news and returns what changes by it, in its order; removed nodes come last,
// by name.
func (t *Table) Apply(now Time, news Update) []Change {
	t.applied++
	before := news.PreviousConfirmedAt
	if before == 0 {
		before = t.last
	}
	var changes []Change
	for _, n := range news.Nodes {
		if c, changed := t.apply(now, before, n); changed {
			changes = append(changes, c)
		}
	}
	if news.Full {
		changes = append(changes, t.removeUnlisted()...)
	}
	t.began, t.last = true, now
	return changes
}

func (t *Table) apply(now, before Time, n nodelist.Node) (Change, bool) {
	m := t.members[n.Name]
	if m != nil && sameNode(&m.node, &n) {
		m.listed = t.applied
		return Change{}, false
	}
	change := Change{Addr: n.Addr, AddressChanged: m == nil || m.node.Addr != n.Addr || !m.node.Started.Equal(n.Started)}
	if m == nil {
		m = &member{started: t.placeStart(now, before, n.Started)}
	} else if !m.node.Started.Equal(n.Started) {
		m.started = t.placeStart(now, before, n.Started)
	}
	m.node, m.listed = n, t.applied
	t.members[n.Name] = m
	change.Endpoint = scheduler.Endpoint{Node: n.Name, Zone: n.Zone, Shard: n.Shard, State: n.State, Started: m.started}
	if n.State == scheduler.Removed {
		delete(t.members, n.Name)
	}
	return change, true
}

func sameNode(a, b *nodelist.Node) bool {
	return a.Name == b.Name && a.Addr == b.Addr && a.Zone == b.Zone && a.Shard == b.Shard && a.State == b.State && a.Started.Equal(b.Started)
}

func (t *Table) removeUnlisted() []Change {
	var changes []Change
	for name, m := range t.members {
		if m.listed == t.applied {
			continue
		}
		delete(t.members, name)
		changes = append(changes, Change{Addr: m.node.Addr, AddressChanged: true, Endpoint: scheduler.Endpoint{Node: name, Zone: m.node.Zone,
			Shard: m.node.Shard, State: scheduler.Removed, Started: m.started}})
	}
	slices.SortFunc(changes, func(a, b Change) int {
		if a.Endpoint.Node < b.Endpoint.Node {
			return -1
		}
		return 1
	})
	return changes
}

// notifiedWithin is how long after its start a node may be listed.
const notifiedWithin = 2 * time.Second

// placeStart returns when a node started, by the monotonic clock; 0: long ago. The machine's
// wall clock may have been stepped, before the head's start or since, so it is believed only
// as far as what the head saw itself bears it out:
//
//   - A start in the future proves a step: the node counts as started now.
//   - A start of which the list before knew nothing is not older than that list by more than
//     notifiedWithin. Guards against a clock that is ahead, by which a node that has just come
//     back would count as warm and be pushed over.
//   - What stood on the first list cannot be checked, and the wall clock is believed. The other
//     assumption, that all of it has just started, would take nearly all service away at each
//     restart of a head in a fleet whose nodes were ever replaced.
func (t *Table) placeStart(now, before Time, start time.Time) Time {
	if start.IsZero() {
		return 0
	}
	earliest := Time(1) // 0 is long ago
	if t.began {
		earliest = max(earliest, before-notifiedWithin)
	}
	return min(max(start.Sub(t.origin), earliest), now)
}

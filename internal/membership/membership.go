// Package membership holds the node list that is in force and computes what each update changes
// of it, so that applying an update costs by what changed and not by the length of the list. It
// also converts the start times of nodes, which are wall-clock times, to the gateway's monotonic
// clock. It does no I/O and reads no clock.
//
// membership.go holds the list, start_time.go converts start times.
package membership

import (
	"slices"
	"strings"
	"time"

	"maddergap/internal/nodelist"
	"maddergap/scheduler"
)

// Time is a reading of the gateway's monotonic clock.
type Time = scheduler.Time

// Update is a full node list, or the changes of one.
type Update struct {
	// Nodes are the listed nodes, or those that changed; a removed one has that state.
	Nodes []nodelist.Node
	// Full: nodes that are not in Nodes are removed.
	Full bool
	// PreviousConfirmedAt is when the list before the update was known to be in force: a node
	// that only the update lists was not listed then. 0: when that list was applied.
	PreviousConfirmedAt Time
}

// Change is a node that an update adds, changes or removes.
type Change struct {
	Endpoint scheduler.Endpoint // the node as the scheduler knows it
	Addr     string             // host:port
	// AddressChanged: the node is new, is missing from a full list, or has another address or start
	// time than before. Its connections and cached addresses then lead elsewhere, or to an
	// incarnation that is over. A node that an update of changes removes is not marked: its state says so.
	AddressChanged bool
}

// Table is the node list in force. It is not safe for concurrent use.
type Table struct {
	startTimes startTimeConverter
	members    map[string]*member // by name; none is in state Removed
	generation int                // the number of updates applied
}

// member is a node on the list.
type member struct {
	node      nodelist.Node
	startedAt Time // 0: long ago
	// generation is that of the last update that listed the node.
	generation int
}

// New returns an empty table. monotonicZero is the wall-clock time at which the monotonic clock
// read zero, by the wall clock at the gateway's start.
func New(monotonicZero time.Time) *Table {
	return &Table{startTimes: startTimeConverter{monotonicZero: monotonicZero}, members: map[string]*member{}}
}

// Len returns how many nodes are listed.
func (t *Table) Len() int { return len(t.members) }

// Apply applies an update that came at now and returns the nodes that it changes: those of the
// update in their order, then those that a full list leaves out, by name.
func (t *Table) Apply(now Time, update Update) []Change {
	t.generation++
	previousConfirmedAt := update.PreviousConfirmedAt
	if previousConfirmedAt == 0 {
		previousConfirmedAt = t.startTimes.lastUpdateAt
	}
	var changes []Change
	for _, node := range update.Nodes {
		if change, changed := t.applyNode(now, previousConfirmedAt, node); changed {
			changes = append(changes, change)
		}
	}
	if update.Full {
		changes = append(changes, t.removeUnlisted()...)
	}
	t.startTimes.updated(now)
	return changes
}

func (t *Table) applyNode(now, previousConfirmedAt Time, node nodelist.Node) (Change, bool) {
	m := t.members[node.Name]
	if m != nil && sameNode(&m.node, &node) {
		m.generation = t.generation
		return Change{}, false
	}
	isNew := m == nil
	restarted := isNew || !m.node.Started.Equal(node.Started)
	addrChanged := isNew || m.node.Addr != node.Addr
	if isNew {
		m = &member{}
		t.members[node.Name] = m
	}
	if restarted {
		m.startedAt = t.startTimes.monotonic(now, previousConfirmedAt, node.Started)
	}
	m.node = node
	m.generation = t.generation
	if node.State == scheduler.Removed {
		delete(t.members, node.Name)
	}
	return Change{Endpoint: m.endpoint(), Addr: node.Addr, AddressChanged: addrChanged || restarted}, true
}

func (m *member) endpoint() scheduler.Endpoint {
	return scheduler.Endpoint{Node: m.node.Name, Zone: m.node.Zone, Shard: m.node.Shard, State: m.node.State, Started: m.startedAt}
}

// sameNode compares start times as instants: two readings of one list may differ in location.
func sameNode(a, b *nodelist.Node) bool {
	return a.Name == b.Name && a.Addr == b.Addr && a.Zone == b.Zone && a.Shard == b.Shard && a.State == b.State && a.Started.Equal(b.Started)
}

// removeUnlisted removes the nodes that the update in progress does not list.
func (t *Table) removeUnlisted() []Change {
	var changes []Change
	for name, m := range t.members {
		if m.generation == t.generation {
			continue
		}
		delete(t.members, name)
		m.node.State = scheduler.Removed
		changes = append(changes, Change{Endpoint: m.endpoint(), Addr: m.node.Addr, AddressChanged: true})
	}
	slices.SortFunc(changes, func(a, b Change) int { return strings.Compare(a.Endpoint.Node, b.Endpoint.Node) })
	return changes
}

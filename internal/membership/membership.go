// Package membership holds the current node list and computes the changes that each update makes to
// it. The rest of the gateway then has to process only the nodes that changed, not the whole list.
// The package also converts the start times of nodes from wall-clock time to the gateway's monotonic
// clock. It does no I/O and reads no clock.
//
// membership.go holds the list; start_time.go converts start times.
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

// Update is a full node list or a list of changed nodes.
type Update struct {
	// Nodes lists all nodes if Full is set, otherwise the changed nodes. Nodes to remove have state
	// Removed.
	Nodes []nodelist.Node
	// Full is set if Nodes is the complete list. Nodes that are missing from it are then removed.
	Full bool
	// PreviousConfirmedAt is the latest time at which the previous list was known to be current. A
	// node that is new in this update was not listed at that time. 0 means the time at which the
	// previous list was applied.
	PreviousConfirmedAt Time
}

// Change is a node that an update adds, changes or removes.
type Change struct {
	Endpoint scheduler.Endpoint // new state of the node, for the scheduler
	Addr     string             // host:port
	// AddressChanged is set if the node is new, has a new address or start time, or is missing from a
	// full list. Connections opened and addresses cached before the change then lead to another
	// address or to an incarnation that has ended. A removal by an update that is not Full does not by
	// itself set AddressChanged.
	AddressChanged bool
}

// Table is the current node list. It is not safe for concurrent use.
type Table struct {
	startTimes startTimeConverter
	members    map[string]*member // by name; no member has state Removed
	generation int                // number of updates applied, including the update in progress
}

// member is a node on the list.
type member struct {
	node      nodelist.Node
	startedAt Time // 0 means long ago
	// generation is the generation of the last update that listed the node.
	generation int
}

// New returns an empty table. monotonicZero is the wall-clock time at which the monotonic clock read
// zero, computed from readings of both clocks at the gateway's start.
func New(monotonicZero time.Time) *Table {
	return &Table{startTimes: startTimeConverter{monotonicZero: monotonicZero}, members: map[string]*member{}}
}

// Len returns the number of listed nodes.
func (t *Table) Len() int { return len(t.members) }

// Apply applies an update that was received at now and returns the nodes that it changes: first the
// changed nodes of the update, in its order, then the nodes missing from a full list, sorted by name.
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
	t.startTimes.recordUpdate(now)
	return changes
}

// applyNode applies one node of an update. It reports false if the node is listed and unchanged.
func (t *Table) applyNode(now, previousConfirmedAt Time, node nodelist.Node) (Change, bool) {
	m := t.members[node.Name]
	if m != nil && sameNode(&m.node, &node) {
		m.generation = t.generation
		return Change{}, false
	}
	isNew := m == nil
	restarted := isNew || !m.node.Started.Equal(node.Started)
	addressChanged := isNew || m.node.Addr != node.Addr
	if isNew {
		m = &member{}
		t.members[node.Name] = m
	}
	if restarted {
		m.startedAt = t.startTimes.toMonotonic(now, previousConfirmedAt, node.Started)
	}
	m.node = node
	m.generation = t.generation
	if node.State == scheduler.Removed {
		delete(t.members, node.Name)
	}
	return Change{Endpoint: m.endpoint(), Addr: node.Addr, AddressChanged: addressChanged || restarted}, true
}

func (m *member) endpoint() scheduler.Endpoint {
	return scheduler.Endpoint{Node: m.node.Name, Zone: m.node.Zone, Shard: m.node.Shard, State: m.node.State, Started: m.startedAt}
}

// sameNode reports whether two entries are equal. It compares start times with Equal because two
// reads of the same list may yield the same instant in different time zones.
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

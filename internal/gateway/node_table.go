package gateway

import (
	"time"

	"maddergap/internal/membership"
	"maddergap/internal/nodelist"
	"maddergap/scheduler"
)

// node is a storage node: its address and state, and the connections to it. A node that
// has left the endpoint list is kept until its last connection is closed.
type node struct {
	name, addr     string
	zone, shard    int
	started        Time // start time of the node's process, which identifies its incarnation
	listed         bool // the node is in the endpoint list
	state          scheduler.NodeState
	stateChangedAt Time // when the gateway was notified of the present state or address

	conns     int         // number of open connections, including those being dialed
	idleConns []*nodeConn // connections without an attempt, most recently used last; see addIdle

	reuseWaits reuseWaitLimit
}

// nodeTable holds the storage nodes, and the counts and lists that cover all of them.
type nodeTable struct {
	membership      *membership.Table
	membershipKnown bool // an endpoint list was received
	byName          map[string]*node
	idleByAge       idleList // idle connections of all nodes, longest idle first
	conns           int      // number of open connections to all nodes
	lastConnected   Time     // when a connection to any node was last established
}

func newNodeTable(origin time.Time) nodeTable {
	return nodeTable{membership: membership.New(origin), byName: map[string]*node{}}
}

// connOpened counts a new connection to a node. It is called when dialing begins.
func (t *nodeTable) connOpened(n *node) {
	n.conns++
	t.conns++
}

// connClosed counts the end of a connection to a node. It removes a node that is no longer
// listed when its last connection is closed.
func (t *nodeTable) connClosed(n *node) {
	n.conns--
	t.conns--
	if t.byName[n.name] == n {
		t.removeUnused(n)
	}
}

// removeUnused removes a node that is not listed and has no connection.
func (t *nodeTable) removeUnused(n *node) {
	if !n.listed && n.conns == 0 {
		delete(t.byName, n.name)
	}
}

// apply adds or updates the node of a change of the endpoint list, and returns it.
func (t *nodeTable) apply(now Time, change *membership.Change) *node {
	n := t.byName[change.Endpoint.Node]
	if n == nil {
		n = &node{name: change.Endpoint.Node}
		t.byName[n.name] = n
	}
	if n.state != change.Endpoint.State || change.AddressChanged {
		n.stateChangedAt = now
	}
	n.state = change.Endpoint.State
	n.started = change.Endpoint.Started
	n.addr = change.Addr
	n.zone = change.Endpoint.Zone
	n.shard = change.Endpoint.Shard
	n.listed = n.state != scheduler.Removed
	return n
}

// SetNodes replaces the endpoint list.
func (g *Gateway) SetNodes(now Time, list []nodelist.Node) {
	g.clock.advance(now)
	g.updateMembership(membership.Update{Nodes: list, Full: true})
}

// updateMembership applies an update of the endpoint list, and notifies the observer and
// the scheduler of the nodes that it changes.
func (g *Gateway) updateMembership(update membership.Update) {
	g.nodes.membershipKnown = true
	changes := g.nodes.membership.Apply(g.clock.now, update)
	if len(changes) == 0 {
		return
	}
	endpoints := make([]scheduler.Endpoint, 0, len(changes))
	for i := range changes {
		g.updateNode(&changes[i])
		endpoints = append(endpoints, changes[i].Endpoint)
	}
	if g.observer != nil {
		g.observer.MembersChanged(changes)
	}
	g.scheduler.notify(scheduler.EndpointUpdate{Endpoints: endpoints})
}

// updateNode applies the change of one node. It closes the node's idle connections if they
// lead to a previous address or incarnation, or if the node was removed.
func (g *Gateway) updateNode(change *membership.Change) {
	n := g.nodes.apply(g.clock.now, change)
	if change.AddressChanged || !n.listed {
		g.closeIdleConns(n)
	}
	g.nodes.removeUnused(n)
}

func (g *Gateway) closeIdleConns(n *node) {
	for _, c := range n.idleConns {
		g.nodes.idleByAge.remove(c)
		g.closeConn(c, Close)
	}
	n.idleConns = nil
}

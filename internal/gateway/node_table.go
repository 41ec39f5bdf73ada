package gateway

import (
	"time"

	"maddergap/internal/membership"
	"maddergap/internal/nodelist"
	"maddergap/scheduler"
)

// node is a storage node: where it is reached, and the connections to it. It stays
// after it has left the endpoint list until its last connection is closed.
type node struct {
	name, addr     string
	zone, shard    int
	started        Time // identifies the incarnation of the node; a restart changes it
	listed         bool // it is in the endpoint list
	state          scheduler.NodeState
	stateChangedAt Time // when the gateway was notified of this state or address

	conns     int         // open connections, those being dialed included
	idleConns []*nodeConn // connections without an attempt, the last used last; see addIdle
	// keepsConnsOpen: an idle connection was still open after reuseDelay, and no connection
	// was lost sooner since; see noteEarlyClose.
	keepsConnsOpen bool
}

// nodeTable holds the storage nodes, and what is counted or ordered over all of them.
type nodeTable struct {
	membership    *membership.Table
	known         bool // an endpoint list was received
	byName        map[string]*node
	idleByAge     idleList // the connections in all nodes' idleConns, the longest idle first
	conns         int      // open connections to all nodes
	lastConnected Time     // when a connection to a node was established last
}

func newNodeTable(origin time.Time) nodeTable {
	return nodeTable{membership: membership.New(origin), byName: map[string]*node{}}
}

// connOpened counts a connection to a node that is being dialed.
func (t *nodeTable) connOpened(n *node) {
	n.conns++
	t.conns++
}

// connClosed counts the end of a connection to a node, and forgets a node that is no
// longer listed with its last connection.
func (t *nodeTable) connClosed(n *node) {
	n.conns--
	t.conns--
	if t.byName[n.name] == n {
		t.removeUnused(n)
	}
}

func (t *nodeTable) removeUnused(n *node) {
	if !n.listed && n.conns == 0 {
		delete(t.byName, n.name)
	}
}

// apply updates a node from a change of the endpoint list.
func (t *nodeTable) apply(now Time, c *membership.Change) *node {
	n := t.byName[c.Endpoint.Node]
	if n == nil {
		n = &node{name: c.Endpoint.Node}
		t.byName[n.name] = n
	}
	if n.state != c.Endpoint.State || c.AddressChanged {
		n.stateChangedAt = now
	}
	n.state = c.Endpoint.State
	n.started = c.Endpoint.Started
	n.addr = c.Addr
	n.zone = c.Endpoint.Zone
	n.shard = c.Endpoint.Shard
	n.listed = n.state != scheduler.Removed
	if c.AddressChanged {
		n.keepsConnsOpen = false
	}
	return n
}

// SetNodes replaces the endpoint list.
func (g *Gateway) SetNodes(now Time, list []nodelist.Node) {
	g.clock.advance(now)
	g.updateMembership(membership.Update{Nodes: list, Full: true})
}

// updateMembership applies a watch event of the endpoint list, and notifies the
// scheduler of what has changed.
func (g *Gateway) updateMembership(update membership.Update) {
	g.nodes.known = true
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

// updateNode applies a change of one node. Its idle connections are closed if they
// lead to a previous address or incarnation, or to a node that was removed.
func (g *Gateway) updateNode(c *membership.Change) {
	n := g.nodes.apply(g.clock.now, c)
	if c.AddressChanged || !n.listed {
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

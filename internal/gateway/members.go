package gateway

import (
	"maddergap/internal/membership"
	"maddergap/internal/nodelist"
	"maddergap/scheduler"
)

// node is where a storage node is reached.
type node struct {
	name, addr  string
	zone, shard int
	started     Time
	idle        []*conn // kept connections, the last used last
	conns       int     // all connections, dialling ones too
	listed      bool
	// keepsOpen: a connection was still open when it had rested, and none was ended sooner since.
	keepsOpen bool
	state     scheduler.NodeState
	changed   Time // when the head was notified of this state
}

// SetNodes tells a new node list.
func (h *Gateway) SetNodes(now Time, list []nodelist.Node) {
	h.tick(now)
	h.members(membership.Update{Nodes: list, Full: true})
}

// members takes news of the node list and tells the module what changes by it.
func (h *Gateway) members(news membership.Update) {
	h.listInForce = true
	changes := h.memberTable.Apply(h.now, news)
	if len(changes) == 0 {
		return
	}
	entries := make([]scheduler.Endpoint, 0, len(changes))
	for i := range changes {
		h.member(&changes[i])
		entries = append(entries, changes[i].Endpoint)
	}
	if h.observer != nil {
		h.observer.MembersChanged(changes)
	}
	h.events = append(h.events, scheduler.EndpointUpdate{Endpoints: entries})
}

// member carries a change of one node out on its connections.
func (h *Gateway) member(c *membership.Change) {
	n := h.nodes[c.Endpoint.Node]
	if n == nil {
		n = &node{name: c.Endpoint.Node}
		h.nodes[n.name] = n
	}
	if n.state != c.Endpoint.State || c.AddressChanged {
		n.changed = h.now
	}
	n.state, n.started, n.addr = c.Endpoint.State, c.Endpoint.Started, c.Addr
	n.zone, n.shard = c.Endpoint.Zone, c.Endpoint.Shard
	n.listed = n.state != scheduler.Removed
	if c.AddressChanged {
		n.keepsOpen = false
	}
	if c.AddressChanged || !n.listed { // what is kept leads elsewhere, or to a life before
		h.closeIdle(n)
	}
	if !n.listed && n.conns == 0 {
		delete(h.nodes, n.name)
	}
}

func (h *Gateway) closeIdle(n *node) {
	for _, c := range n.idle {
		h.kept.remove(c)
		h.drop(c, Close)
	}
	n.idle = nil
}

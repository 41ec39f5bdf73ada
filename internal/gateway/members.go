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

// Nodes tells a new node list.
func (h *Head) Nodes(now Time, list []nodelist.Node) {
	h.tick(now)
	h.members(membership.News{Nodes: list, Full: true})
}

// members takes news of the node list and tells the module what changes by it.
func (h *Head) members(news membership.News) {
	h.listInForce = true
	changes := h.memberTable.Apply(h.now, news)
	if len(changes) == 0 {
		return
	}
	entries := make([]scheduler.Entry, 0, len(changes))
	for i := range changes {
		h.member(&changes[i])
		entries = append(entries, changes[i].Entry)
	}
	if h.observer != nil {
		h.observer.Members(changes)
	}
	h.events = append(h.events, scheduler.List{Entries: entries})
}

// member carries a change of one node out on its connections.
func (h *Head) member(c *membership.Change) {
	n := h.nodes[c.Entry.Node]
	if n == nil {
		n = &node{name: c.Entry.Node}
		h.nodes[n.name] = n
	}
	if n.state != c.Entry.State || c.Moved {
		n.changed = h.now
	}
	n.state, n.started, n.addr = c.Entry.State, c.Entry.Started, c.Addr
	n.zone, n.shard = c.Entry.Zone, c.Entry.Shard
	n.listed = n.state != scheduler.Gone
	if c.Moved {
		n.keepsOpen = false
	}
	if c.Moved || !n.listed { // what is kept leads elsewhere, or to a life before
		h.closeIdle(n)
	}
	if !n.listed && n.conns == 0 {
		delete(h.nodes, n.name)
	}
}

func (h *Head) closeIdle(n *node) {
	for _, c := range n.idle {
		h.kept.remove(c)
		h.drop(c, Close)
	}
	n.idle = nil
}

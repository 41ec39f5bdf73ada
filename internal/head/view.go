package head

import "maddergap/logic"

// Sockets is what crosses the sockets to a node now.
type Sockets struct {
	Open   int // attempts on connections, dialling ones included
	Unsent int // of these, not yet written whole
	Idle   int // connections kept
}

// View is one node: what the module holds of it, and what is on its sockets.
type View struct {
	logic.View
	Sockets
}

// viewer is a core that tells what it holds.
type viewer interface{ View() []logic.View }

// View compares what the module holds of load and health with the sockets, node by node.
// A node of the sockets that the module has forgotten is told with its name alone.
func (h *Head) View() []View {
	on := map[string]Sockets{}
	for _, c := range h.slots {
		if c == nil || c.node == nil {
			continue
		}
		s := on[c.node.name]
		if c.at == nil {
			s.Idle++
		} else if s.Open++; !c.connected || !c.at.out() {
			s.Unsent++
		}
		on[c.node.name] = s
	}
	var all []View
	if v, ok := h.core.(viewer); ok {
		for _, n := range v.View() {
			all = append(all, View{n, on[n.Node]})
			delete(on, n.Node)
		}
	}
	for name, s := range on {
		if s.Open > 0 {
			all = append(all, View{logic.View{Node: name}, s})
		}
	}
	return all
}

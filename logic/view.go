package logic

import "time"

// View is what the head holds of a node, for those who watch it; nothing is decided by it.
type View struct {
	Node     string
	State    NodeState
	Out      int // attempts without an outcome, those written off included
	Counted  int // of these, those that take a place in the window
	Held     int // requests that wait for it
	Window   float64
	Answer   time.Duration // how long an answer is held to take
	Pressure float64
	Open     bool // the breaker
	Cold     bool
}

// View tells what is held of each node of the list.
func (h *Head) View() []View {
	out := map[*node]int{}
	for _, a := range h.attempts {
		out[a.node]++
	}
	var all []View
	for _, n := range h.nodes {
		all = append(all, View{Node: n.Node, State: n.State, Out: out[n], Counted: len(n.outs), Held: n.queue.Len(),
			Window: n.window, Answer: time.Duration(n.lat * float64(time.Second)), Pressure: n.pressure, Open: n.open,
			Cold: h.isCold(n)})
	}
	return all
}

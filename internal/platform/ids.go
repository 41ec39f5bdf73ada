package platform

import "maddergap/internal/gateway"

// ids knows the requests that are open, and those that ended lately with an effect
// that may have been. Guards against an id that comes twice: answered while the first
// is open, it would confuse two clients; run again, an unsafe request would have its
// effect twice. One that was refused never ran, and may come again.
//
// The ended are kept in a ring: past its bound the oldest is forgotten. The open are as
// many as there are connections with a request.
type ids struct {
	open  map[string]bool
	ended map[string]struct{}
	ring  []string
	at    int
}

func newIDs(most int) *ids {
	return &ids{open: map[string]bool{}, ended: map[string]struct{}{}, ring: make([]string, most)}
}

// take opens an id, unless it is known.
func (t *ids) take(id string) bool {
	if _, ended := t.ended[id]; ended || t.open[id] {
		return false
	}
	t.open[id] = true
	return true
}

// end closes an id, and remembers it unless its request may safely run again.
func (t *ids) end(id string, o gateway.Outcome) {
	if !t.open[id] {
		return
	}
	delete(t.open, id)
	if o == gateway.Rejected {
		return
	}
	if old := t.ring[t.at]; old != "" {
		delete(t.ended, old)
	}
	t.ring[t.at] = id
	t.ended[id] = struct{}{}
	t.at = (t.at + 1) % len(t.ring)
}

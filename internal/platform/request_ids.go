package platform

import "maddergap/internal/gateway"

// maxEndedIDs is how many IDs of ended requests are remembered.
const maxEndedIDs = 8192

// requestIDs knows the IDs of the requests in progress, and of those that ended lately and may
// have had an effect. The failure guarded against is an ID that comes twice. Beside the first
// request it would mix up the responses of two clients; after it a write would take effect twice.
// A rejected request never ran, so that its ID may come again.
//
// The IDs of ended requests are kept in a ring, in which a new one overwrites the oldest. There
// are no more in progress than connections with a request.
type requestIDs struct {
	inProgress map[string]bool
	ended      map[string]struct{} // the IDs in the ring
	ring       []string            // "": free
	next       int                 // the place in the ring that is overwritten next
}

func newRequestIDs(maxEnded int) *requestIDs {
	return &requestIDs{inProgress: map[string]bool{}, ended: map[string]struct{}{}, ring: make([]string, maxEnded)}
}

// begin registers an ID and reports whether it is new.
func (t *requestIDs) begin(id string) bool {
	if _, ended := t.ended[id]; ended || t.inProgress[id] {
		return false
	}
	t.inProgress[id] = true
	return true
}

// end ends the request with an ID, and remembers the ID unless the request was rejected.
func (t *requestIDs) end(id string, o gateway.Outcome) {
	if !t.inProgress[id] {
		return
	}
	delete(t.inProgress, id)
	if o != gateway.Rejected {
		t.remember(id)
	}
}

func (t *requestIDs) remember(id string) {
	if oldest := t.ring[t.next]; oldest != "" {
		delete(t.ended, oldest)
	}
	t.ring[t.next] = id
	t.ended[id] = struct{}{}
	t.next = (t.next + 1) % len(t.ring)
}

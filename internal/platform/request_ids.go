package platform

import "maddergap/internal/gateway"

// maxEndedIDs is the number of IDs of ended requests that are remembered.
const maxEndedIDs = 8192

// requestIDs detects duplicate request IDs. It contains the IDs of the requests in progress and of
// recently ended requests that may have had an effect. A duplicate of a request in progress would mix
// up the responses of two clients. A duplicate of an ended write would execute the write twice. A
// rejected request was not executed, so its ID may be used again.
//
// The IDs of ended requests are in a ring buffer, where a new ID overwrites the oldest. The number of
// requests in progress is bounded by the number of client connections.
type requestIDs struct {
	inProgress map[string]bool
	remembered map[string]struct{} // IDs in the ring
	ring       []string            // IDs of ended requests; "" for a free slot
	next       int                 // index in ring that is overwritten next
}

func newRequestIDs(maxEnded int) *requestIDs {
	return &requestIDs{inProgress: map[string]bool{}, remembered: map[string]struct{}{}, ring: make([]string, maxEnded)}
}

// begin registers the ID of a request in progress. It returns false, and changes nothing, if the ID is
// a duplicate.
func (t *requestIDs) begin(id string) bool {
	if _, remembered := t.remembered[id]; remembered || t.inProgress[id] {
		return false
	}
	t.inProgress[id] = true
	return true
}

// end records the end of the request with an ID, and remembers the ID unless the request was rejected.
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
		delete(t.remembered, oldest)
	}
	t.ring[t.next] = id
	t.remembered[id] = struct{}{}
	t.next = (t.next + 1) % len(t.ring)
}

package platform

import (
	"github.com/cespare/xxhash/v2"

	"maddergap/internal/gateway"
)

const (
	// maxEndedReads is the number of IDs of ended requests without an effect that are remembered.
	maxEndedReads = 8192
	// maxEndedWrites is the number of IDs of other ended requests that are remembered. They have a table of
	// their own, so that reads at full speed do not make an instance forget a write.
	maxEndedWrites = 32768
)

// requestIDs detects duplicate request IDs. It contains the IDs of the requests in progress and of
// recently ended requests that may have run. A duplicate of a request in progress would mix
// up the responses of two clients. A duplicate of an ended write would execute the write twice. A
// rejected request was not executed, so its ID may be used again. The number of
// requests in progress is bounded by the number of client connections.
type requestIDs struct {
	inProgress    map[string]bool
	reads, writes *endedIDs
}

func newRequestIDs(maxReads, maxWrites int) *requestIDs {
	return &requestIDs{inProgress: map[string]bool{}, reads: newEndedIDs(maxReads), writes: newEndedIDs(maxWrites)}
}

// begin registers the ID of a request in progress. It returns false, and changes nothing, if the ID is
// a duplicate.
func (t *requestIDs) begin(id string) bool {
	if t.inProgress[id] || t.writes.contains(id) || t.reads.contains(id) {
		return false
	}
	t.inProgress[id] = true
	return true
}

// end records the end of the request with an ID, and remembers the ID unless the request was rejected.
// safe reports whether the request has no effect.
func (t *requestIDs) end(id string, safe bool, o gateway.Outcome) {
	if !t.inProgress[id] {
		return
	}
	delete(t.inProgress, id)
	switch {
	case o == gateway.Rejected:
	case safe:
		t.reads.add(id)
	default:
		t.writes.add(id)
	}
}

// endedIDs remembers IDs by their hash in a ring, where a new ID overwrites the oldest. Two IDs of the same
// hash are taken for one, at a probability of 2^-49 for a full ring; the request gets 409 then.
type endedIDs struct {
	remembered map[uint64]struct{} // hashes in the ring
	ring       []uint64            // 0 for a free slot
	next       int                 // index in ring that is overwritten next
}

func newEndedIDs(count int) *endedIDs {
	return &endedIDs{remembered: map[uint64]struct{}{}, ring: make([]uint64, count)}
}

func (e *endedIDs) contains(id string) bool {
	_, remembered := e.remembered[xxhash.Sum64String(id)]
	return remembered
}

func (e *endedIDs) add(id string) {
	hash := xxhash.Sum64String(id)
	if oldest := e.ring[e.next]; oldest != 0 {
		delete(e.remembered, oldest)
	}
	e.ring[e.next] = hash
	e.remembered[hash] = struct{}{}
	e.next = (e.next + 1) % len(e.ring)
}

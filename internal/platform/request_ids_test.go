package platform

import (
	"fmt"
	"testing"

	"maddergap/internal/gateway"
)

// Verifies that a duplicate ID is detected while its request is in progress, and also after the end of
// a request that may have had an effect, until the ring buffer overwrites the ID.
func TestRequestIDs(t *testing.T) {
	ids := newRequestIDs(2, 3)
	begin := func(id string, want bool) {
		t.Helper()
		if ids.begin(id) != want {
			t.Errorf("begin(%s): want %v", id, want)
		}
	}
	begin("a", true)
	begin("a", false)
	ids.end("a", false, gateway.Rejected)
	begin("a", true)
	for _, o := range []gateway.Outcome{gateway.Failed, gateway.Served, gateway.ClientDisconnected} {
		id := fmt.Sprint("b", o)
		begin(id, true)
		ids.end(id, false, o)
		begin(id, false)
	}
	ids.end("a", false, gateway.Served) // overwrites the oldest
	begin("a", false)
	begin(fmt.Sprint("b", gateway.Failed), true)
	for i := range 10000 {
		id := fmt.Sprint(i)
		ids.begin(id)
		ids.end(id, i%2 == 0, gateway.Outcome(i%4))
	}
	if len(ids.inProgress) != 1 || len(ids.writes.remembered) != 3 || len(ids.reads.remembered) != 2 {
		t.Errorf("got %d IDs in progress, %d writes and %d reads remembered, want 1, 3 and 2", len(ids.inProgress), len(ids.writes.remembered), len(ids.reads.remembered))
	}
}

// Regression test: a client with requests at full speed made an instance forget the ID of a write within
// seconds, and the write ran twice when its ID came again.
func TestWriteIsRememberedBesideManyReads(t *testing.T) {
	ids := newRequestIDs(maxEndedReads, maxEndedWrites)
	ids.begin("write")
	ids.end("write", false, gateway.ClientDisconnected)
	ids.begin("read")
	ids.end("read", true, gateway.Served)
	for i := range 2 * maxEndedReads {
		id := fmt.Sprint(i)
		ids.begin(id)
		ids.end(id, true, gateway.Served)
	}
	if ids.begin("write") {
		t.Error("a write that may have run is forgotten, and can run again")
	}
	if !ids.begin("read") {
		t.Error("a read that ended long ago is still remembered")
	}
}

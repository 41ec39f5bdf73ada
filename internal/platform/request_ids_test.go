package platform

import (
	"fmt"
	"testing"

	"maddergap/internal/gateway"
)

// Verifies that a duplicate ID is detected while its request is in progress, and also after the end of
// a request that may have had an effect, until the ring buffer overwrites the ID.
func TestRequestIDs(t *testing.T) {
	ids := newRequestIDs(3)
	begin := func(id string, want bool) {
		t.Helper()
		if ids.begin(id) != want {
			t.Errorf("begin(%s): want %v", id, want)
		}
	}
	begin("a", true)
	begin("a", false)
	ids.end("a", gateway.Rejected)
	begin("a", true)
	for _, o := range []gateway.Outcome{gateway.Failed, gateway.Served, gateway.ClientDisconnected} {
		id := fmt.Sprint("b", o)
		begin(id, true)
		ids.end(id, o)
		begin(id, false)
	}
	ids.end("a", gateway.Served) // overwrites the oldest
	begin("a", false)
	begin(fmt.Sprint("b", gateway.Failed), true)
	for i := range 10000 {
		id := fmt.Sprint(i)
		ids.begin(id)
		ids.end(id, gateway.Outcome(i%4))
	}
	if len(ids.inProgress) != 1 || len(ids.remembered) != 3 {
		t.Errorf("got %d IDs in progress and %d remembered, want 1 and 3", len(ids.inProgress), len(ids.remembered))
	}
}

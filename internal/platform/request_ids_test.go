package platform

import (
	"fmt"
	"testing"

	"maddergap/internal/gateway"
)

// An ID comes twice. It is rejected while its request is in progress, and after an end that may
// have had an effect, as far back as the ring reaches.
func TestRequestIDs(t *testing.T) {
	ids := newRequestIDs(3)
	begin := func(id string, want bool) {
		t.Helper()
		if ids.begin(id) != want {
			t.Errorf("%s: want %v", id, want)
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
	if len(ids.inProgress) != 1 || len(ids.ended) != 3 {
		t.Errorf("%d in progress, %d ended", len(ids.inProgress), len(ids.ended))
	}
}

package stallwatch

import (
	"testing"
	"time"
)

// Verifies that a stall shorter than minStall is not recorded, that Longest returns the longest
// stall, and that LongestSince considers only recorded stalls that ended after the given time.
func TestRecordedStalls(t *testing.T) {
	w := &Watch{}
	at := time.Now()
	for _, stall := range []time.Duration{time.Millisecond, 30 * time.Millisecond, 8 * time.Millisecond} {
		w.record(Stall{From: at, To: at.Add(stall)})
		at = at.Add(time.Second)
	}
	if n := len(w.Stalls()); n != 2 || w.Longest() != 30*time.Millisecond {
		t.Errorf("got %d stalls, the longest %v; want 2, the longest 30ms", n, w.Longest())
	}
	if got := w.LongestSince(at.Add(-1500 * time.Millisecond)); got != 8*time.Millisecond {
		t.Errorf("LongestSince: got %v, want 8ms", got)
	}
	running := Start()
	time.Sleep(10 * time.Millisecond)
	running.Stop()
	running.Stop()
}

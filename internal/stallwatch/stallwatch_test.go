package stallwatch

import (
	"testing"
	"time"
)

// Short delays count for the longest stall but are not recorded; LongestSince looks at
// the end of each recorded one.
func TestSpans(t *testing.T) {
	w := &Watch{}
	at := time.Now()
	for _, stall := range []time.Duration{time.Millisecond, 30 * time.Millisecond, 8 * time.Millisecond} {
		w.record(Span{From: at, To: at.Add(stall)})
		at = at.Add(time.Second)
	}
	if n := len(w.Spans()); n != 2 || w.Longest() != 30*time.Millisecond {
		t.Errorf("%d spans, the longest %v", n, w.Longest())
	}
	if got := w.LongestSince(at.Add(-1500 * time.Millisecond)); got != 8*time.Millisecond {
		t.Errorf("the longest stall of the last part is %v", got)
	}
	running := Start()
	time.Sleep(10 * time.Millisecond)
	running.Stop()
	running.Stop()
}

package stallwatch

import (
	"testing"
	"time"
)

func TestSpans(t *testing.T) {
	w := &Watch{}
	at := time.Now()
	for _, late := range []time.Duration{time.Millisecond, 30 * time.Millisecond, 8 * time.Millisecond} {
		w.record(Span{From: at, To: at.Add(late)})
		at = at.Add(time.Second)
	}
	if n := len(w.Spans()); n != 2 || w.Longest() != 30*time.Millisecond {
		t.Errorf("%d spans, the longest %v", n, w.Longest())
	}
	if got := w.LongestSince(at.Add(-1500 * time.Millisecond)); got != 8*time.Millisecond {
		t.Errorf("%v in the last part", got)
	}
	running := Start()
	time.Sleep(10 * time.Millisecond)
	running.Stop()
	running.Stop()
}

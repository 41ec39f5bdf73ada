package daemon

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"maddergap/internal/eventloop"
)

// A long turn is logged with what took it, once a second; the longest is kept for
// a minute or two and then forgotten.
func TestTurns(t *testing.T) {
	var b bytes.Buffer
	w := newTurns(slog.New(slog.NewTextHandler(&b, nil)))
	turn := func(now, accept, files time.Duration) {
		var x eventloop.Iteration
		x.Durations[eventloop.PhaseAccept], x.Durations[eventloop.PhaseFiles] = accept, files
		w.took(now, &x)
	}
	turn(time.Second, time.Millisecond, 0)
	turn(2*time.Second, 2*time.Millisecond, 70*time.Millisecond)
	turn(2*time.Second, 0, 60*time.Millisecond)
	if s := b.String(); strings.Count(s, "a long turn") != 1 || !strings.Contains(s, "took=72ms") || !strings.Contains(s, "files=70ms") {
		t.Error(s)
	}
	if m := w.most(); m[eventloop.PhaseCount] != 72*time.Millisecond || m[eventloop.PhaseAccept] != 2*time.Millisecond {
		t.Error(m)
	}
	turn(65*time.Second, 0, 0)
	if m := w.most(); m[eventloop.PhaseCount] != 72*time.Millisecond {
		t.Error(m)
	}
	turn(130*time.Second, 3*time.Millisecond, 0)
	turn(200*time.Second, 0, 0)
	if m := w.most(); m[eventloop.PhaseCount] != 3*time.Millisecond || m[eventloop.PhaseFiles] != 0 {
		t.Error(m)
	}
}

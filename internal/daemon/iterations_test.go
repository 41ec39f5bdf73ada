package daemon

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"maddergap/internal/eventloop"
)

// Verifies that a slow iteration is logged with its slow phases, at most one line per second, and that
// the longest iteration is kept for the current and the next period, and no longer.
func TestIterationStats(t *testing.T) {
	var b bytes.Buffer
	stats := newIterationStats(slog.New(slog.NewTextHandler(&b, nil)))
	iterate := func(now, accept, files time.Duration) {
		var it eventloop.Iteration
		it.Durations[eventloop.PhaseAccept], it.Durations[eventloop.PhaseFiles] = accept, files
		stats.observe(now, &it)
	}
	iterate(time.Second, time.Millisecond, 0)
	iterate(2*time.Second, 2*time.Millisecond, 70*time.Millisecond)
	iterate(2*time.Second, 0, 60*time.Millisecond)
	if s := b.String(); strings.Count(s, "slow event loop iteration") != 1 || !strings.Contains(s, "took=72ms") || !strings.Contains(s, "files=70ms") {
		t.Error(s)
	}
	if m := stats.longest(); m.total != 72*time.Millisecond || m.phases[eventloop.PhaseAccept] != 2*time.Millisecond {
		t.Error(m)
	}
	iterate(65*time.Second, 0, 0)
	if m := stats.longest(); m.total != 72*time.Millisecond {
		t.Error(m)
	}
	iterate(130*time.Second, 3*time.Millisecond, 0)
	iterate(200*time.Second, 0, 0)
	if m := stats.longest(); m.total != 3*time.Millisecond || m.phases[eventloop.PhaseFiles] != 0 {
		t.Error(m)
	}
}

package daemon

import (
	"context"
	"log/slog"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"maddergap/internal/eventloop"
)

const (
	// slowIteration is the duration above which an iteration is logged: every client waited
	// that long.
	slowIteration = 50 * time.Millisecond
	// slowIterationLines is how many lines a second are logged of slow iterations.
	slowIterationLines = 1
	// slowPhase is the duration above which such a line names a phase.
	slowPhase = time.Millisecond
	// longestWindow is the period whose longest iteration is kept; that of the last period is
	// kept besides.
	longestWindow = time.Minute
)

// iterationStats watches how long the loop's iterations take, and which phase takes it. While
// one iteration lasts, every client and node waits. It belongs to the loop's goroutine.
type iterationStats struct {
	log     *slog.Logger
	seconds prometheus.Histogram

	current, previous phaseDurations // the longest of this window and of the last
	windowStart       time.Duration

	lines lineLimiter // of slow iterations
}

// phaseDurations are the longest duration of each phase of an iteration and of whole iterations.
type phaseDurations struct {
	phases [eventloop.PhaseCount]time.Duration
	whole  time.Duration
}

// merge keeps the longer one of each duration.
func (d *phaseDurations) merge(other phaseDurations) {
	for p, duration := range other.phases {
		d.phases[p] = max(d.phases[p], duration)
	}
	d.whole = max(d.whole, other.whole)
}

func newIterationStats(log *slog.Logger) *iterationStats {
	return &iterationStats{
		log:   log,
		lines: newLineLimiter(slowIterationLines),
		seconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "maddergap_turn_seconds",
			Help:    "Event loop iterations, without their wait for events.",
			Buckets: prometheus.ExponentialBuckets(50e-6, 2, 15),
		}),
	}
}

// observe records an iteration that has ended, and logs a slow one.
func (s *iterationStats) observe(now time.Duration, it *eventloop.Iteration) {
	if now >= s.windowStart+longestWindow {
		s.previous = s.current
		s.current = phaseDurations{}
		s.windowStart = now
	}
	whole := it.Total()
	s.seconds.Observe(whole.Seconds())
	s.current.merge(phaseDurations{phases: it.Durations, whole: whole})
	if whole >= slowIteration {
		s.logSlow(it)
	}
}

func (s *iterationStats) logSlow(it *eventloop.Iteration) {
	suppressed, ok := s.lines.allow()
	if !ok {
		return
	}
	attrs := []slog.Attr{slog.Duration("took", it.Total()), slog.Int("events", it.Events), slog.Int("suppressed", suppressed)}
	for p, duration := range it.Durations {
		if duration >= slowPhase {
			attrs = append(attrs, slog.Duration(eventloop.Phase(p).String(), duration))
		}
	}
	s.log.LogAttrs(context.Background(), slog.LevelWarn, "slow event loop iteration", attrs...)
}

// longest returns the longest durations of this window and the last.
func (s *iterationStats) longest() phaseDurations {
	longest := s.previous
	longest.merge(s.current)
	return longest
}

package daemon

import (
	"context"
	"log/slog"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"maddergap/internal/eventloop"
)

const (
	// slowIterationThreshold is the duration from which an iteration is logged. Every client and node
	// waits while an iteration runs.
	slowIterationThreshold = 50 * time.Millisecond
	// slowIterationLinesPerSecond limits the log lines about slow iterations.
	slowIterationLinesPerSecond = 1
	// slowPhaseThreshold is the duration from which a phase is included in such a line.
	slowPhaseThreshold = time.Millisecond
	// maximaPeriod is the length of a period of iterationStats, which records the longest iteration
	// and phases of the current and of the previous period.
	maximaPeriod = time.Minute
)

// iterationStats records the durations of the loop's iterations and of their phases. Its methods are
// called on the loop's goroutine only.
type iterationStats struct {
	log       *slog.Logger
	histogram prometheus.Histogram

	current, previous phaseDurations // longest durations in the current and the previous period
	periodStart       time.Duration  // start of the current period

	slowLineLimiter lineLimiter
}

// phaseDurations holds the longest duration of each phase, and of an iteration with all its phases.
type phaseDurations struct {
	phases [eventloop.PhaseCount]time.Duration
	total  time.Duration
}

// merge sets each duration to the maximum of d and other.
func (d *phaseDurations) merge(other phaseDurations) {
	for p, duration := range other.phases {
		d.phases[p] = max(d.phases[p], duration)
	}
	d.total = max(d.total, other.total)
}

func newIterationStats(log *slog.Logger) *iterationStats {
	return &iterationStats{
		log:             log,
		slowLineLimiter: newLineLimiter(slowIterationLinesPerSecond),
		histogram: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "maddergap_turn_seconds",
			Help:    "Event loop iterations, without their wait for events.",
			Buckets: prometheus.ExponentialBuckets(50e-6, 2, 15),
		}),
	}
}

// observe records a completed iteration, and logs it if it was slow.
func (s *iterationStats) observe(now time.Duration, it *eventloop.Iteration) {
	if now >= s.periodStart+maximaPeriod {
		s.previous = s.current
		s.current = phaseDurations{}
		s.periodStart = now
	}
	total := it.Total()
	s.histogram.Observe(total.Seconds())
	s.current.merge(phaseDurations{phases: it.Durations, total: total})
	if total >= slowIterationThreshold {
		s.logSlow(it)
	}
}

func (s *iterationStats) logSlow(it *eventloop.Iteration) {
	suppressed, ok := s.slowLineLimiter.allow()
	if !ok {
		return
	}
	attrs := []slog.Attr{slog.Duration("took", it.Total()), slog.Int("events", it.Events), slog.Int("suppressed", suppressed)}
	for p, duration := range it.Durations {
		if duration >= slowPhaseThreshold {
			attrs = append(attrs, slog.Duration(eventloop.Phase(p).String(), duration))
		}
	}
	s.log.LogAttrs(context.Background(), slog.LevelWarn, "slow event loop iteration", attrs...)
}

// longest returns the longest durations in the current and the previous period.
func (s *iterationStats) longest() phaseDurations {
	longest := s.previous
	longest.merge(s.current)
	return longest
}

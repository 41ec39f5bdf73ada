package daemon

import (
	"context"
	"log/slog"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"

	"maddergap/internal/eventloop"
)

// What the log tells of turns: those in which somebody waited for longer than can
// go unnoticed, one line a second at most.
const (
	turnLong   = 50 * time.Millisecond
	turnWindow = time.Minute
)

// turns watches how long the loop's turns take, and what takes it: all that wait,
// wait that long.
type turns struct {
	log     *slog.Logger
	seconds prometheus.Histogram
	longest [2][eventloop.PhaseCount + 1]time.Duration // of this minute and the last; the last place is the whole turn's
	began   time.Duration
	lines   *rate.Limiter
	untold  int
}

func newTurns(log *slog.Logger) *turns {
	return &turns{log: log, lines: rate.NewLimiter(1, 1), seconds: prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "maddergap_turn_seconds", Help: "Turns of the loop, without their wait for events.",
		Buckets: prometheus.ExponentialBuckets(50e-6, 2, 15)})}
}

// took is told of each turn.
func (t *turns) took(now time.Duration, turn *eventloop.Iteration) {
	if now >= t.began+turnWindow {
		t.longest[1], t.longest[0], t.began = t.longest[0], [eventloop.PhaseCount + 1]time.Duration{}, now
	}
	sum := turn.Total()
	t.seconds.Observe(sum.Seconds())
	most := &t.longest[0]
	most[eventloop.PhaseCount] = max(most[eventloop.PhaseCount], sum)
	for p, d := range turn.Durations {
		most[p] = max(most[p], d)
	}
	if sum < turnLong {
		return
	}
	if !t.lines.Allow() {
		t.untold++
		return
	}
	attrs := []slog.Attr{slog.Duration("took", sum), slog.Int("events", turn.Events), slog.Int("others_not_logged", t.untold)}
	for p, d := range turn.Durations {
		if d >= time.Millisecond {
			attrs = append(attrs, slog.Duration(eventloop.Phase(p).String(), d))
		}
	}
	t.log.LogAttrs(context.Background(), slog.LevelWarn, "a long turn of the loop", attrs...)
	t.untold = 0
}

// most is the longest of this minute and the last, by part.
func (t *turns) most() (most [eventloop.PhaseCount + 1]time.Duration) {
	for p := range most {
		most[p] = max(t.longest[0][p], t.longest[1][p])
	}
	return most
}

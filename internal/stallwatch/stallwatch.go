// Package stallwatch measures how long the process that it runs in is held up. A machine that has
// no time for a test or a rehearsal has none for the head in it either: what they allow a head
// is as much more.
package stallwatch

import (
	"slices"
	"sync"
	"time"
)

const (
	// tickInterval is how often the watch wakes.
	tickInterval = 2 * time.Millisecond
	// minSpan is how long the process is held up for a span to be kept.
	minSpan = 5 * time.Millisecond
	// maxSpans is how many spans are kept, the latest.
	maxSpans = 1 << 16
)

// Watch measures until it is stopped.
type Watch struct {
	mu      sync.Mutex
	longest time.Duration
	spans   []Span
	stop    chan struct{}
	stopped chan struct{}
	once    sync.Once
}

// Span is a time in which the process was held up.
type Span struct{ From, To time.Time }

func (s Span) duration() time.Duration { return s.To.Sub(s.From) }

// Start begins to measure.
func Start() *Watch {
	w := &Watch{stop: make(chan struct{}), stopped: make(chan struct{})}
	go w.run()
	return w
}

func (w *Watch) run() {
	defer close(w.stopped)
	for {
		before := time.Now()
		select {
		case <-w.stop:
			return
		case <-time.After(tickInterval):
		}
		w.record(Span{From: before.Add(tickInterval), To: time.Now()})
	}
}

func (w *Watch) record(s Span) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.longest = max(w.longest, s.duration())
	if s.duration() < minSpan {
		return
	}
	if len(w.spans) == maxSpans {
		w.spans = w.spans[1:]
	}
	w.spans = append(w.spans, s)
}

// Spans are the times in which the process was held up, in their order.
func (w *Watch) Spans() []Span {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.spans)
}

// Longest is the longest that the process was held up.
func (w *Watch) Longest() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.longest
}

// LongestSince is the longest that the process was held up by what was noticed after a time; short times
// count as nothing.
func (w *Watch) LongestSince(t time.Time) (longest time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, late := range w.spans {
		if late.To.After(t) {
			longest = max(longest, late.duration())
		}
	}
	return longest
}

// Stop ends the measurement. It may be called more than once.
func (w *Watch) Stop() {
	w.once.Do(func() { close(w.stop) })
	<-w.stopped
}

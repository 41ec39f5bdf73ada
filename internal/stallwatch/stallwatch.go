// Package stallwatch measures stalls: times in which the machine does not run the process.
// A test or scenario in a stalled process stalls the gateways in it too, so what it allows
// them is extended by the stalls.
package stallwatch

import (
	"slices"
	"sync"
	"time"
)

const (
	// tickInterval is how often the watch wakes up.
	tickInterval = 2 * time.Millisecond
	// minSpan is the shortest stall that is recorded.
	minSpan = 5 * time.Millisecond
	// maxSpans is how many stalls are kept, the latest ones.
	maxSpans = 1 << 16
)

// Watch measures stalls until Stop. It is safe for concurrent use.
type Watch struct {
	mu      sync.Mutex
	longest time.Duration
	spans   []Span
	stop    chan struct{}
	stopped chan struct{}
	once    sync.Once
}

// Span is one stall.
type Span struct{ From, To time.Time }

func (s Span) duration() time.Duration { return s.To.Sub(s.From) }

// Start returns a running watch.
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

// Spans are the latest recorded stalls, in order of time.
func (w *Watch) Spans() []Span {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.spans)
}

// Longest is the longest stall, those too short to be recorded included.
func (w *Watch) Longest() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.longest
}

// LongestSince is the longest recorded stall that ended after a time, 0 for none.
func (w *Watch) LongestSince(t time.Time) (longest time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, span := range w.spans {
		if span.To.After(t) {
			longest = max(longest, span.duration())
		}
	}
	return longest
}

// Stop ends the measurement and waits for it. It may be called more than once.
func (w *Watch) Stop() {
	w.once.Do(func() { close(w.stop) })
	<-w.stopped
}

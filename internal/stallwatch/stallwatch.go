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
	// tick is how often the watch wakes.
	tick = 2 * time.Millisecond
	// least is how long the process is held up for a span to be kept.
	least = 5 * time.Millisecond
	// kept is how many spans are kept, the latest.
	kept = 1 << 16
)

// Watch measures until it is stopped.
type Watch struct {
	mu      sync.Mutex
	longest time.Duration
	late    []Span
	stop    chan struct{}
	stopped chan struct{}
	once    sync.Once
}

// Span is a time in which the process was held up.
type Span struct{ From, To time.Time }

func (s Span) length() time.Duration { return s.To.Sub(s.From) }

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
		case <-time.After(tick):
		}
		w.note(Span{From: before.Add(tick), To: time.Now()})
	}
}

func (w *Watch) note(s Span) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.longest = max(w.longest, s.length())
	if s.length() < least {
		return
	}
	if len(w.late) == kept {
		w.late = w.late[1:]
	}
	w.late = append(w.late, s)
}

// Spans are the times in which the process was held up, in their order.
func (w *Watch) Spans() []Span {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.late)
}

// Longest is the longest that the process was held up.
func (w *Watch) Longest() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.longest
}

// Since is the longest that the process was held up by what was noticed after a time; short times
// count as nothing.
func (w *Watch) Since(t time.Time) (longest time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, late := range w.late {
		if late.To.After(t) {
			longest = max(longest, late.length())
		}
	}
	return longest
}

// Stop ends the measurement. It may be called more than once.
func (w *Watch) Stop() {
	w.once.Do(func() { close(w.stop) })
	<-w.stopped
}

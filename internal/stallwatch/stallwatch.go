// Package stallwatch measures stalls: periods in which the operating system does not run the
// process. A stall of a test or scenario also delays the gateways in the same process, so the
// measured stalls are added to the time that the gateways are allowed.
package stallwatch

import (
	"slices"
	"sync"
	"time"
)

const (
	// tickInterval is how long the watch sleeps between two measurements.
	tickInterval = 2 * time.Millisecond
	// minStall is the duration from which a stall is recorded.
	minStall = 5 * time.Millisecond
	// maxStalls is the number of recorded stalls that are kept; the oldest is dropped first.
	maxStalls = 1 << 16
)

// Watch measures stalls until Stop is called. It is safe for concurrent use.
type Watch struct {
	mu       sync.Mutex
	longest  time.Duration // including stalls shorter than minStall
	stalls   []Stall
	stop     chan struct{}
	stopped  chan struct{}
	stopOnce sync.Once
}

// Stall is a period in which the process did not run.
type Stall struct{ From, To time.Time }

func (s Stall) duration() time.Duration { return s.To.Sub(s.From) }

// Start returns a watch that measures in a goroutine of its own.
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
		w.record(Stall{From: before.Add(tickInterval), To: time.Now()})
	}
}

// record updates the longest stall and, if s is long enough, adds it to the recorded stalls.
func (w *Watch) record(s Stall) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.longest = max(w.longest, s.duration())
	if s.duration() < minStall {
		return
	}
	if len(w.stalls) == maxStalls {
		w.stalls = w.stalls[1:]
	}
	w.stalls = append(w.stalls, s)
}

// Stalls returns the recorded stalls, the oldest first. It returns at most the last maxStalls.
func (w *Watch) Stalls() []Stall {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.stalls)
}

// Longest returns the duration of the longest stall, including stalls too short to be recorded.
func (w *Watch) Longest() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.longest
}

// LongestSince returns the duration of the longest recorded stall that ended after t, or 0 if
// there is none.
func (w *Watch) LongestSince(t time.Time) (longest time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, stall := range w.stalls {
		if stall.To.After(t) {
			longest = max(longest, stall.duration())
		}
	}
	return longest
}

// Stop ends the measurement and waits until its goroutine has returned. It may be called more
// than once.
func (w *Watch) Stop() {
	w.stopOnce.Do(func() { close(w.stop) })
	<-w.stopped
}

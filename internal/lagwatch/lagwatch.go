// Package lagwatch measures how long the process that it runs in is held up. A machine that has
// no time for a test or a rehearsal has none for the head in it either: what they allow a head
// is as much more.
package lagwatch

import (
	"sync"
	"time"
)

const (
	// tick is how often the watch wakes.
	tick = 5 * time.Millisecond
	// kept is how many times of being held up are kept, the latest.
	kept = 4096
)

// Watch measures until it is stopped.
type Watch struct {
	mu      sync.Mutex
	longest time.Duration
	late    []lateness
	stop    chan struct{}
	stopped chan struct{}
	once    sync.Once
}

type lateness struct {
	at time.Time // when it was noticed
	by time.Duration
}

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
		w.note(time.Now(), time.Since(before)-tick)
	}
}

func (w *Watch) note(at time.Time, by time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.longest = max(w.longest, by)
	if by <= tick {
		return
	}
	if len(w.late) == kept {
		w.late = w.late[1:]
	}
	w.late = append(w.late, lateness{at: at, by: by})
}

// Longest is the longest that the process was held up.
func (w *Watch) Longest() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.longest
}

// Since is the longest that the process was held up by what was noticed after a time; less than
// a tick counts as nothing.
func (w *Watch) Since(t time.Time) (longest time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, late := range w.late {
		if late.at.After(t) {
			longest = max(longest, late.by)
		}
	}
	return longest
}

// Stop ends the measurement. It may be called more than once.
func (w *Watch) Stop() {
	w.once.Do(func() { close(w.stop) })
	<-w.stopped
}

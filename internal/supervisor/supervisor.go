// Package supervisor decides about the processes of one machine that serve the same
// listeners: when one is started, started again, and given up as hung. It is pure: it
// is told of starts, beats and ends with a clock reading, and gives actions.
//
// What holds at every step:
//   - a worker that ended is started again, after a pause that doubles while it ends
//     soon after its starts, and is short again once one lived for a while;
//   - one that shows no beat for a time is killed, and then counts as ended;
//   - one that ends before its first beat, when none ever beat, ends them all: what
//     keeps it from coming up is in the configuration, and no pause mends that;
//   - at a stop none is started, all are told, and killed when their time is up.
package supervisor

import (
	"fmt"
	"math"
	"time"
)

// Time is a clock reading.
type Time = time.Duration

// Config says how patient it is.
type Config struct {
	Workers  int
	Hung     time.Duration // without a beat, after which a worker is killed
	Rise     time.Duration // for its first beat
	PauseMin time.Duration // before a start after an end
	PauseMax time.Duration
	Lived    time.Duration // after which an end is not soon
	StopTime time.Duration // for the workers' end
}

// Op is what is to be done.
type Op uint8

// Operations.
const (
	Start Op = iota
	Term     // tell it to end
	Kill
)

// Action is asked of the caller.
type Action struct {
	Op     Op
	Worker int
}

type worker struct {
	up      bool // it was started and has not ended
	killed  bool
	risen   bool // it beat since its start
	began   Time // of its start
	beat    Time // last sign of life
	startAt Time
	pause   time.Duration
}

// Supervisor decides about the workers. It is not safe for concurrent use.
type Supervisor struct {
	c       Config
	now     Time
	workers []worker
	risen   bool // one of them beat once
	stopAt  Time // when those that are left are killed, 0: no stop
	told    bool // of the stop
	err     error
}

// New returns a supervisor; all workers are to be started at once.
func New(c Config, now Time) *Supervisor {
	s := &Supervisor{c: c, now: now, workers: make([]worker, c.Workers)}
	for i := range s.workers {
		s.workers[i] = worker{startAt: now, pause: c.PauseMin}
	}
	return s
}

func (s *Supervisor) at(now Time) { s.now = max(s.now, now) }

// Beat tells a sign of life.
func (s *Supervisor) Beat(now Time, i int) {
	s.at(now)
	if w := &s.workers[i]; w.up {
		w.beat, w.risen, s.risen = s.now, true, true
	}
}

// Ended tells that a worker is gone, or could not be started.
func (s *Supervisor) Ended(now Time, i int, why error) {
	s.at(now)
	w := &s.workers[i]
	if !w.up {
		return
	}
	if !s.risen && s.stopAt == 0 {
		s.err = fmt.Errorf("worker %d did not come up: %w", i, why)
		s.stop()
	}
	if s.now-w.began >= s.c.Lived {
		w.pause = s.c.PauseMin
	}
	w.up, w.killed, w.startAt = false, false, s.now+w.pause
	w.pause = min(2*w.pause, s.c.PauseMax)
}

// Stop begins the end.
func (s *Supervisor) Stop(now Time) {
	s.at(now)
	s.stop()
}

func (s *Supervisor) stop() {
	if s.stopAt == 0 {
		s.stopAt = s.now + s.c.StopTime
	}
}

// Done tells whether all have ended after a stop, and what stopped them.
func (s *Supervisor) Done() (bool, error) {
	for i := range s.workers {
		if s.workers[i].up {
			return false, nil
		}
	}
	return s.stopAt > 0, s.err
}

// Up is how many are running.
func (s *Supervisor) Up() (n int) {
	for i := range s.workers {
		if s.workers[i].up {
			n++
		}
	}
	return n
}

// Advance returns what to do now, and when to come back at the latest.
func (s *Supervisor) Advance(now Time) (acts []Action, next Time) {
	s.at(now)
	next = math.MaxInt64
	stopping := s.stopAt > 0
	for i := range s.workers {
		w := &s.workers[i]
		switch {
		case !w.up && stopping:
		case !w.up && s.now >= w.startAt:
			w.up, w.began, w.risen = true, s.now, false
			acts = append(acts, Action{Start, i})
			next = min(next, s.now+s.c.Rise)
		case !w.up:
			next = min(next, w.startAt)
		case w.killed:
		case stopping && s.now >= s.stopAt, !stopping && s.now >= s.limit(w):
			w.killed = true
			acts = append(acts, Action{Kill, i})
		default:
			if stopping && !s.told {
				acts = append(acts, Action{Term, i})
			}
			if stopping {
				next = min(next, s.stopAt)
			} else {
				next = min(next, s.limit(w))
			}
		}
	}
	s.told = s.told || stopping
	return acts, next
}

// limit is when a worker counts as hung.
func (s *Supervisor) limit(w *worker) Time {
	if !w.risen {
		return w.began + s.c.Rise
	}
	return w.beat + s.c.Hung
}

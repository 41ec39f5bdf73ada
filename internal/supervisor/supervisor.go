// Package supervisor keeps the worker processes of one machine running. Supervisor decides when
// a worker is started, restarted, or killed as hung; it does no I/O, but is told of starts,
// heartbeats and exits with readings of a clock, and returns actions. Run carries them out.
//
// What holds at every step:
//   - a worker that exited is restarted after a backoff, which doubles while it keeps exiting
//     and is at its minimum again once it ran for StableAfter;
//   - a worker without a heartbeat for HeartbeatTimeout is killed, and then counts as exited;
//   - if a worker exits before any worker has ever sent a heartbeat, all are terminated: what
//     keeps it from starting is in the configuration, and no backoff mends that;
//   - in a shutdown no worker is started, all are terminated, and those that are left after
//     KillAfter are killed.
package supervisor

import (
	"fmt"
	"math"
	"time"
)

// Time is a reading of a monotonic clock.
type Time = time.Duration

// Config are the number of workers and the timeouts they are held to.
type Config struct {
	Workers int
	// HeartbeatTimeout is how long after its last heartbeat a worker is killed.
	HeartbeatTimeout time.Duration
	// StartupTimeout is how long after its start a worker without a heartbeat is killed.
	StartupTimeout time.Duration
	// BackoffMin is the pause before the restart of a worker that exited; it doubles with each
	// exit up to BackoffMax.
	BackoffMin time.Duration
	BackoffMax time.Duration
	// StableAfter is how long a worker has to run for its backoff to start from BackoffMin again.
	StableAfter time.Duration
	// KillAfter is how long after the start of a shutdown the workers that are left are killed.
	KillAfter time.Duration
}

// Op is what an Action asks for.
type Op uint8

// Operations on a worker.
const (
	Start     Op = iota
	Terminate    // ask it to shut down, by SIGINT
	Kill         // SIGKILL
)

func (o Op) String() string { return [...]string{"start", "terminate", "kill"}[o] }

// Action is an operation that the caller is to carry out.
type Action struct {
	Op     Op
	Worker int
}

// worker is what is known of one worker. Its times are valid as noted.
type worker struct {
	running       bool
	killSent      bool // running, and was killed; its exit is still to come
	responsive    bool // running, and has sent a heartbeat since its start
	startedAt     Time // if running
	lastHeartbeat Time // if responsive
	restartAt     Time // if not running
	backoff       time.Duration
}

// Supervisor decides about the workers. It is not safe for concurrent use.
type Supervisor struct {
	config        Config
	now           Time
	workers       []worker
	anyResponsive bool // a worker has sent a heartbeat
	stopping      bool
	killAt        Time // if stopping: when the workers that are left are killed
	terminateSent bool // if stopping: the workers were asked to shut down
	startErr      error
}

// New returns a supervisor that is to start all workers at once.
func New(c Config, now Time) *Supervisor {
	s := &Supervisor{config: c, now: now, workers: make([]worker, c.Workers)}
	for i := range s.workers {
		s.workers[i] = worker{restartAt: now, backoff: c.BackoffMin}
	}
	return s
}

// advanceClock keeps the clock from going back between calls.
func (s *Supervisor) advanceClock(now Time) { s.now = max(s.now, now) }

// Heartbeat records a heartbeat of worker i.
func (s *Supervisor) Heartbeat(now Time, i int) {
	s.advanceClock(now)
	w := &s.workers[i]
	if !w.running {
		return
	}
	w.lastHeartbeat = s.now
	w.responsive = true
	s.anyResponsive = true
}

// Exited records that worker i exited, or could not be started.
func (s *Supervisor) Exited(now Time, i int, cause error) {
	s.advanceClock(now)
	w := &s.workers[i]
	if !w.running {
		return
	}
	if !s.anyResponsive && !s.stopping {
		s.startErr = fmt.Errorf("worker %d failed to start: %w", i, cause)
		s.beginShutdown()
	}
	if s.now-w.startedAt >= s.config.StableAfter {
		w.backoff = s.config.BackoffMin
	}
	w.running = false
	w.killSent = false
	w.restartAt = s.now + w.backoff
	w.backoff = min(2*w.backoff, s.config.BackoffMax)
}

// Shutdown begins to end all workers.
func (s *Supervisor) Shutdown(now Time) {
	s.advanceClock(now)
	s.beginShutdown()
}

func (s *Supervisor) beginShutdown() {
	if s.stopping {
		return
	}
	s.stopping = true
	s.killAt = s.now + s.config.KillAfter
}

// Done reports whether a shutdown is complete. The error is that of the worker that failed to
// start, if that is what began it.
func (s *Supervisor) Done() (bool, error) {
	if s.Running() > 0 {
		return false, nil
	}
	return s.stopping, s.startErr
}

// Running is the number of workers that are running.
func (s *Supervisor) Running() (n int) {
	for i := range s.workers {
		if s.workers[i].running {
			n++
		}
	}
	return n
}

// Advance returns what is to be done now, and when it is to be called again at the latest.
func (s *Supervisor) Advance(now Time) (actions []Action, next Time) {
	s.advanceClock(now)
	next = math.MaxInt64
	for i := range s.workers {
		op, ok, workerNext := s.advanceWorker(&s.workers[i])
		if ok {
			actions = append(actions, Action{op, i})
		}
		next = min(next, workerNext)
	}
	s.terminateSent = s.terminateSent || s.stopping
	return actions, next
}

// advanceWorker returns the operation that a worker is due for, if any, and when it is due for
// the next one.
func (s *Supervisor) advanceWorker(w *worker) (op Op, ok bool, next Time) {
	deadline := s.killDeadline(w)
	switch {
	case !w.running && s.stopping, w.killSent:
		return 0, false, math.MaxInt64
	case !w.running && s.now < w.restartAt:
		return 0, false, w.restartAt
	case !w.running:
		w.running = true
		w.startedAt = s.now
		w.responsive = false
		return Start, true, s.now + s.config.StartupTimeout
	case s.now >= deadline:
		w.killSent = true
		return Kill, true, math.MaxInt64
	case s.stopping && !s.terminateSent:
		return Terminate, true, deadline
	}
	return 0, false, deadline
}

// killDeadline is when a running worker is killed: at the end of a shutdown, or else when it
// counts as hung.
func (s *Supervisor) killDeadline(w *worker) Time {
	switch {
	case s.stopping:
		return s.killAt
	case !w.responsive:
		return w.startedAt + s.config.StartupTimeout
	}
	return w.lastHeartbeat + s.config.HeartbeatTimeout
}

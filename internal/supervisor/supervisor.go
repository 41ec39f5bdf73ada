// Package supervisor keeps the worker processes of one machine running. Supervisor decides when
// a worker is started, restarted, or killed because it hangs. It does no I/O: its methods take
// heartbeats and exits, each with the current time, and Advance returns the actions that are due.
// Run carries these out on processes.
//
// Rules:
//   - A worker that exited is restarted after a backoff. The backoff doubles with each exit,
//     and is reset to its minimum if the worker ran for StableAfter before it exited.
//   - A worker that sends no heartbeat for HeartbeatTimeout is killed, and is restarted when it has
//     exited. Before its first heartbeat, StartupTimeout applies instead.
//   - If a worker exits before any worker has sent a heartbeat, all workers are terminated. The
//     cause is then taken to be the configuration, which restarts cannot fix.
//   - During a shutdown no worker is started, all workers are terminated, and workers that still
//     run after KillAfter are killed.
package supervisor

import (
	"fmt"
	"math"
	"time"
)

// Time is a reading of a monotonic clock with an arbitrary origin.
type Time = time.Duration

// Config holds the number of workers and their timeouts.
type Config struct {
	Workers int
	// HeartbeatTimeout is the time after its last heartbeat at which a worker is killed.
	HeartbeatTimeout time.Duration
	// StartupTimeout is the time after its start at which a worker is killed if it has sent no
	// heartbeat.
	StartupTimeout time.Duration
	// BackoffMin is the initial delay before an exited worker is restarted. The delay doubles with
	// each exit, up to BackoffMax.
	BackoffMin time.Duration
	BackoffMax time.Duration
	// StableAfter is the time a worker has to run for its backoff to be reset to BackoffMin.
	StableAfter time.Duration
	// KillAfter is the time after the start of a shutdown at which workers that still run are
	// killed.
	KillAfter time.Duration
}

// Op is the kind of an Action.
type Op uint8

// Operations on a worker.
const (
	Start     Op = iota
	Terminate    // request a graceful shutdown, by SIGINT
	Kill         // SIGKILL
)

func (o Op) String() string { return [...]string{"start", "terminate", "kill"}[o] }

// Action is an operation on one worker, to be carried out by the caller of Advance.
type Action struct {
	Op     Op
	Worker int // index of the worker
}

// worker is the state of one worker. Some fields are valid only under the condition noted.
type worker struct {
	running       bool
	killSent      bool          // a running worker was killed and has not exited yet
	responsive    bool          // has sent a heartbeat since its start; valid if running
	startedAt     Time          // valid if running
	lastHeartbeat Time          // valid if running and responsive
	restartAt     Time          // valid if not running
	backoff       time.Duration // delay before the next restart
}

// Supervisor decides when workers are started, terminated and killed. It is not safe for concurrent
// use.
type Supervisor struct {
	config         Config
	now            Time
	workers        []worker
	everResponsive bool // a worker has sent a heartbeat since New
	stopping       bool
	killAt         Time  // time at which workers that still run are killed; valid if stopping
	terminateSent  bool  // Terminate was returned for the running workers; set only if stopping
	startErr       error // start failure that began the shutdown; nil if it began otherwise
}

// New returns a supervisor whose first Advance starts all workers.
func New(c Config, now Time) *Supervisor {
	s := &Supervisor{config: c, now: now, workers: make([]worker, c.Workers)}
	for i := range s.workers {
		s.workers[i] = worker{restartAt: now, backoff: c.BackoffMin}
	}
	return s
}

// advanceClock sets the clock to now, unless it would go backwards.
func (s *Supervisor) advanceClock(now Time) { s.now = max(s.now, now) }

// Heartbeat records a heartbeat of worker i. It has no effect if the worker is not running.
func (s *Supervisor) Heartbeat(now Time, i int) {
	s.advanceClock(now)
	w := &s.workers[i]
	if !w.running {
		return
	}
	w.lastHeartbeat = s.now
	w.responsive = true
	s.everResponsive = true
}

// Exited records that worker i exited or could not be started. cause is reported by Done if this
// counts as a start failure.
func (s *Supervisor) Exited(now Time, i int, cause error) {
	s.advanceClock(now)
	w := &s.workers[i]
	if !w.running {
		return
	}
	if !s.everResponsive && !s.stopping {
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

// Shutdown begins a shutdown. Later calls of Advance return its actions.
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

// Done reports whether a shutdown is complete. If a worker that failed to start caused the
// shutdown, Done also returns that worker's error.
func (s *Supervisor) Done() (bool, error) {
	if s.Running() > 0 {
		return false, nil
	}
	return s.stopping, s.startErr
}

// Running returns the number of running workers.
func (s *Supervisor) Running() (n int) {
	for i := range s.workers {
		if s.workers[i].running {
			n++
		}
	}
	return n
}

// Advance returns the actions that are due now, and the latest time at which it has to be called
// again.
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

// advanceWorker updates a worker's state. It returns the operation that is due now, if ok is set,
// and the time at which the next one is due.
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

// killDeadline returns the time at which a running worker is killed: the kill time of the shutdown
// if there is one, and otherwise the time at which the worker counts as hung.
func (s *Supervisor) killDeadline(w *worker) Time {
	switch {
	case s.stopping:
		return s.killAt
	case !w.responsive:
		return w.startedAt + s.config.StartupTimeout
	}
	return w.lastHeartbeat + s.config.HeartbeatTimeout
}

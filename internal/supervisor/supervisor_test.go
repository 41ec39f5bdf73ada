package supervisor

import (
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var testConfig = Config{
	Workers:          3,
	HeartbeatTimeout: 5 * time.Second,
	StartupTimeout:   10 * time.Second,
	BackoffMin:       100 * time.Millisecond,
	BackoffMax:       3 * time.Second,
	StableAfter:      10 * time.Second,
	KillAfter:        4 * time.Second,
}

func countOps(actions []Action, op Op) (n int) {
	for _, a := range actions {
		if a.Op == op {
			n++
		}
	}
	return n
}

// Verifies the restart backoff, which keeps a worker that crashes in a loop from using up the
// machine: it doubles with each exit up to its maximum, and is reset once the worker has run for
// StableAfter.
func TestRestartBackoff(t *testing.T) {
	s := New(testConfig, 0)
	if actions, _ := s.Advance(0); countOps(actions, Start) != 3 {
		t.Fatalf("%v", actions)
	}
	now := Time(0)
	for i := range 3 {
		s.Heartbeat(now, i)
	}
	var backoffs []time.Duration
	for range 7 {
		s.Exited(now, 1, errors.New("x"))
		_, next := s.Advance(now)
		backoffs = append(backoffs, next-now)
		s.Heartbeat(next, 0)
		s.Heartbeat(next, 2)
		actions, _ := s.Advance(next)
		if len(actions) != 1 || actions[0] != (Action{Start, 1}) {
			t.Fatalf("%v", actions)
		}
		now = next
	}
	if backoffs[0] != 100*time.Millisecond || backoffs[3] != 800*time.Millisecond || backoffs[6] != 3*time.Second {
		t.Errorf("%v", backoffs)
	}
	for range 12 {
		now += time.Second
		for i := range 3 {
			s.Heartbeat(now, i)
		}
	}
	s.Exited(now, 1, nil)
	if _, next := s.Advance(now); next-now != 100*time.Millisecond {
		t.Errorf("backoff after a stable run: got %v, want 100ms", next-now)
	}
}

// Verifies that a hung worker, whose process exists but sends no heartbeats, is killed once and is
// restarted after it has exited.
func TestHungWorkerIsKilledOnce(t *testing.T) {
	s := New(testConfig, 0)
	s.Advance(0)
	for now := Time(0); now <= 4*time.Second; now += time.Second {
		for i := range 3 {
			if i != 2 || now == 0 {
				s.Heartbeat(now, i)
			}
		}
		if actions, _ := s.Advance(now); len(actions) > 0 {
			t.Fatalf("at %v: got actions %v, want none", now, actions)
		}
	}
	actions, _ := s.Advance(5 * time.Second)
	if len(actions) != 1 || actions[0] != (Action{Kill, 2}) {
		t.Fatalf("%v", actions)
	}
	s.Heartbeat(5*time.Second, 0)
	s.Heartbeat(5*time.Second, 1)
	if actions, _ := s.Advance(6 * time.Second); len(actions) > 0 {
		t.Errorf("before the exit of the killed worker: got actions %v, want none", actions)
	}
	s.Exited(6*time.Second, 2, errors.New("killed"))
	if actions, _ := s.Advance(6*time.Second + testConfig.BackoffMin); countOps(actions, Start) != 1 {
		t.Errorf("%v", actions)
	}
}

// Verifies that workers are not restarted forever if none can start, for instance because of a
// mistake in the configuration: the first exit shuts down all workers, and Done returns its cause.
func TestStartFailureShutsDownAllWorkers(t *testing.T) {
	s := New(testConfig, 0)
	s.Advance(0)
	s.Exited(time.Second, 0, errors.New("bad file"))
	actions, _ := s.Advance(time.Second)
	if countOps(actions, Terminate) != 2 || countOps(actions, Start) != 0 {
		t.Errorf("%v", actions)
	}
	s.Exited(2*time.Second, 1, nil)
	s.Exited(2*time.Second, 2, nil)
	if done, err := s.Done(); !done || err == nil {
		t.Errorf("Done: got %v, %v; want true and an error", done, err)
	}
}

// Verifies that a shutdown terminates each running worker once, kills workers that still run after
// KillAfter, and starts none, including a worker whose restart is pending.
func TestShutdown(t *testing.T) {
	s := New(testConfig, 0)
	s.Advance(0)
	for i := range 3 {
		s.Heartbeat(0, i)
	}
	s.Exited(0, 0, nil) // its restart is pending
	s.Shutdown(time.Millisecond)
	actions, next := s.Advance(time.Millisecond)
	if countOps(actions, Terminate) != 2 || next != time.Millisecond+testConfig.KillAfter {
		t.Errorf("got actions %v, next %v; want 2 workers terminated, next at the kill time", actions, next)
	}
	s.Exited(time.Second, 1, nil)
	if actions, _ := s.Advance(time.Second); len(actions) != 0 {
		t.Errorf("%v", actions)
	}
	if actions, _ := s.Advance(time.Millisecond + testConfig.KillAfter); len(actions) != 1 || actions[0] != (Action{Kill, 2}) {
		t.Errorf("%v", actions)
	}
	s.Exited(5*time.Second, 2, nil)
	if done, err := s.Done(); !done || err != nil {
		t.Errorf("Done: got %v, %v; want true, nil", done, err)
	}
}

// Verifies, for random histories of heartbeats, exits and shutdowns: no worker is started while it
// runs or during a shutdown; no worker is terminated or killed while it does not run; a hung worker
// is killed; and Advance asks for its next call at a time in the future if it returns no actions.
func TestRandomHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			actions, next := m.s.Advance(m.now)
			for _, a := range actions {
				m.apply(a)
			}
			m.checkNoneHung()
			if done, err := m.s.Done(); err != nil || done {
				return
			}
			if next <= m.now && len(actions) == 0 {
				t.Fatalf("Advance asks for its next call at %v, want a time after now, %v", next, m.now)
			}
			m.now = min(next, m.now+time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms"))*time.Millisecond)
			m.drawEvent()
		}
	})
}

// model is the expected state of a supervisor's workers. It checks the supervisor's actions.
type model struct {
	t              *rapid.T
	s              *Supervisor
	now            Time
	shutdownAt     Time // time at which a shutdown began; negative before that
	everResponsive bool // some worker has sent a heartbeat
	running        []bool
	terminated     []bool
	// lastHeartbeat is valid for running workers. From a worker's start to its first heartbeat, it is
	// set such that lastHeartbeat+HeartbeatTimeout is the end of StartupTimeout.
	lastHeartbeat []Time
}

func newModel(t *rapid.T) *model {
	n := testConfig.Workers
	return &model{t: t, s: New(testConfig, 0), shutdownAt: -1, running: make([]bool, n), terminated: make([]bool, n), lastHeartbeat: make([]Time, n)}
}

// apply checks that an action is allowed and carries it out.
func (m *model) apply(a Action) {
	i := a.Worker
	switch a.Op {
	case Start:
		if m.running[i] || m.shutdownAt >= 0 {
			m.t.Fatal("worker started although it runs or a shutdown has begun")
		}
		m.running[i] = true
		m.lastHeartbeat[i] = m.now + testConfig.StartupTimeout - testConfig.HeartbeatTimeout
	case Terminate:
		if !m.running[i] || m.shutdownAt < 0 || m.terminated[i] {
			m.t.Fatal("worker terminated although it does not run, no shutdown has begun, or it was terminated before")
		}
		m.terminated[i] = true
	case Kill:
		if !m.running[i] || m.shutdownAt < 0 && m.now < m.lastHeartbeat[i]+testConfig.HeartbeatTimeout {
			m.t.Fatal("worker killed although it does not run, or is responsive and no shutdown has begun")
		}
		m.running[i] = false
		m.s.Exited(m.now, i, errors.New("killed"))
	}
}

// checkNoneHung fails if a hung worker was not killed.
func (m *model) checkNoneHung() {
	for i := range m.running {
		if m.running[i] && m.shutdownAt < 0 && m.now >= m.lastHeartbeat[i]+testConfig.HeartbeatTimeout {
			m.t.Fatalf("worker %d hangs at %v and was not killed", i, m.now)
		}
	}
}

// drawEvent generates the next event: a worker exits or sends a heartbeat, or a shutdown begins.
func (m *model) drawEvent() {
	i := rapid.IntRange(0, 2).Draw(m.t, "worker")
	switch rapid.IntRange(0, 9).Draw(m.t, "what") {
	case 0:
		if m.running[i] && m.everResponsive {
			m.running[i] = false
			m.s.Exited(m.now, i, errors.New("gone"))
		}
	case 1:
		if m.shutdownAt < 0 && rapid.IntRange(0, 9).Draw(m.t, "stop") == 0 {
			m.s.Shutdown(m.now)
			m.shutdownAt = m.now
		}
	default:
		m.s.Heartbeat(m.now, i)
		if m.running[i] {
			m.lastHeartbeat[i] = m.now
			m.everResponsive = true
		}
	}
}

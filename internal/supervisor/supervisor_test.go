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

func count(actions []Action, op Op) (n int) {
	for _, a := range actions {
		if a.Op == op {
			n++
		}
	}
	return n
}

// A worker that crashes in a loop must not take the machine: the pause before each restart doubles
// up to a maximum, and is at its minimum again once the worker ran for StableAfter.
func TestRestartBackoff(t *testing.T) {
	s := New(testConfig, 0)
	if actions, _ := s.Advance(0); count(actions, Start) != 3 {
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
		t.Errorf("after a stable run the backoff is %v", next-now)
	}
}

// A worker whose loop hangs sends no heartbeats, while its process goes on to exist. It is killed
// once, and restarted when it has exited.
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
			t.Fatalf("at %v: %v", now, actions)
		}
	}
	actions, _ := s.Advance(5 * time.Second)
	if len(actions) != 1 || actions[0] != (Action{Kill, 2}) {
		t.Fatalf("%v", actions)
	}
	s.Heartbeat(5*time.Second, 0)
	s.Heartbeat(5*time.Second, 1)
	if actions, _ := s.Advance(6 * time.Second); len(actions) > 0 {
		t.Errorf("killed twice: %v", actions)
	}
	s.Exited(6*time.Second, 2, errors.New("killed"))
	if actions, _ := s.Advance(6*time.Second + testConfig.BackoffMin); count(actions, Start) != 1 {
		t.Errorf("%v", actions)
	}
}

// A mistake in the configuration keeps every worker from starting. The first exit ends all of
// them, and Done returns its cause, in place of restarts for good.
func TestFailureToStartEndsAll(t *testing.T) {
	s := New(testConfig, 0)
	s.Advance(0)
	s.Exited(time.Second, 0, errors.New("bad file"))
	actions, _ := s.Advance(time.Second)
	if count(actions, Terminate) != 2 || count(actions, Start) != 0 {
		t.Errorf("%v", actions)
	}
	s.Exited(2*time.Second, 1, nil)
	s.Exited(2*time.Second, 2, nil)
	if done, err := s.Done(); !done || err == nil {
		t.Errorf("%v %v", done, err)
	}
}

// A shutdown terminates each running worker once, kills those that are left at its timeout, and
// starts none, also not the one that waits for its restart.
func TestShutdown(t *testing.T) {
	s := New(testConfig, 0)
	s.Advance(0)
	for i := range 3 {
		s.Heartbeat(0, i)
	}
	s.Exited(0, 0, nil) // waits for its restart
	s.Shutdown(time.Millisecond)
	actions, next := s.Advance(time.Millisecond)
	if count(actions, Terminate) != 2 || next != time.Millisecond+testConfig.KillAfter {
		t.Errorf("%v %v", actions, next)
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
		t.Errorf("%v %v", done, err)
	}
}

// In any history: no worker is started while it runs or after a shutdown began, terminated or
// killed while it does not run, or left hung; and the supervisor asks to be called in time.
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
				t.Fatalf("it wants to come back at %v, and it is %v", next, m.now)
			}
			m.now = min(next, m.now+time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms"))*time.Millisecond)
			m.drawEvent()
		}
	})
}

// model is what is expected of a supervisor and its workers.
type model struct {
	t           *rapid.T
	s           *Supervisor
	now         Time
	stopped     Time // when a shutdown began, negative before that
	everStarted bool // a worker has sent a heartbeat
	running     []bool
	terminated  []bool
	// lastHeartbeat is of a running worker; before the first one it is set so that
	// HeartbeatTimeout after it StartupTimeout is over.
	lastHeartbeat []Time
}

func newModel(t *rapid.T) *model {
	n := testConfig.Workers
	return &model{t: t, s: New(testConfig, 0), stopped: -1, running: make([]bool, n), terminated: make([]bool, n), lastHeartbeat: make([]Time, n)}
}

// apply checks an action and carries it out.
func (m *model) apply(a Action) {
	i := a.Worker
	switch a.Op {
	case Start:
		if m.running[i] || m.stopped >= 0 {
			m.t.Fatal("started though running or shutting down")
		}
		m.running[i] = true
		m.lastHeartbeat[i] = m.now + testConfig.StartupTimeout - testConfig.HeartbeatTimeout
	case Terminate:
		if !m.running[i] || m.stopped < 0 || m.terminated[i] {
			m.t.Fatal("terminated though not running, not shutting down, or twice")
		}
		m.terminated[i] = true
	case Kill:
		if !m.running[i] || m.stopped < 0 && m.now < m.lastHeartbeat[i]+testConfig.HeartbeatTimeout {
			m.t.Fatal("killed though responsive")
		}
		m.running[i] = false
		m.s.Exited(m.now, i, errors.New("killed"))
	}
}

func (m *model) checkNoneHung() {
	for i := range m.running {
		if m.running[i] && m.stopped < 0 && m.now >= m.lastHeartbeat[i]+testConfig.HeartbeatTimeout {
			m.t.Fatalf("worker %d is left hung at %v", i, m.now)
		}
	}
}

// drawEvent has a worker exit or send a heartbeat, or begins a shutdown.
func (m *model) drawEvent() {
	i := rapid.IntRange(0, 2).Draw(m.t, "worker")
	switch rapid.IntRange(0, 9).Draw(m.t, "what") {
	case 0:
		if m.running[i] && m.everStarted {
			m.running[i] = false
			m.s.Exited(m.now, i, errors.New("gone"))
		}
	case 1:
		if m.stopped < 0 && rapid.IntRange(0, 9).Draw(m.t, "stop") == 0 {
			m.s.Shutdown(m.now)
			m.stopped = m.now
		}
	default:
		m.s.Heartbeat(m.now, i)
		if m.running[i] {
			m.lastHeartbeat[i] = m.now
			m.everStarted = true
		}
	}
}

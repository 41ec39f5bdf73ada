package daemon

import (
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"testing"
	"time"

	"maddergap/internal/config"
	"maddergap/internal/gateway"
)

// fakeShutdownTarget is a fake event loop and gateway. It records the calls that change their state.
type fakeShutdownTarget struct {
	now         time.Duration
	calls       []string
	queuesEmpty bool     // return value of DrainListenQueues
	pending     []string // ids of requests without a response
	clients     int
}

func (fake *fakeShutdownTarget) record(format string, args ...any) {
	fake.calls = append(fake.calls, fmt.Sprintf(format, args...))
}

func (fake *fakeShutdownTarget) Now() time.Duration  { return fake.now }
func (fake *fakeShutdownTarget) Wake()               {}
func (fake *fakeShutdownTarget) DropNewConnections() { fake.record("drop new connections") }
func (fake *fakeShutdownTarget) CloseListeners()     { fake.record("close listeners") }
func (fake *fakeShutdownTarget) DrainListenQueues() bool {
	fake.record("drain queues")
	return fake.queuesEmpty
}

func (fake *fakeShutdownTarget) Counts() gateway.Counts { return gateway.Counts{Clients: fake.clients} }
func (fake *fakeShutdownTarget) Idle() bool             { return len(fake.pending) == 0 && fake.clients == 0 }
func (fake *fakeShutdownTarget) Drain(time.Duration)    { fake.record("drain") }
func (fake *fakeShutdownTarget) Shutdown(time.Duration) { fake.record("shutdown") }
func (fake *fakeShutdownTarget) AbortRemaining(time.Duration) int {
	fake.record("abort")
	return 0
}
func (fake *fakeShutdownTarget) EachPendingRequest(visit func(id, method, path string, age time.Duration)) {
	for _, id := range fake.pending {
		visit(id, "GET", "/", time.Second)
	}
}

// takeCalls returns the calls recorded since it was last called.
func (fake *fakeShutdownTarget) takeCalls() []string {
	calls := fake.calls
	fake.calls = nil
	return calls
}

var testTimeouts = config.Timeouts{Drain: 500 * time.Millisecond, Shutdown: 2 * time.Second}

func newFakeShutdownTarget() (*fakeShutdownTarget, *shutdown) {
	fake := &fakeShutdownTarget{now: time.Hour, queuesEmpty: true, pending: []string{"a", "b"}, clients: 2}
	return fake, newShutdown(fake, fake, slog.New(slog.DiscardHandler))
}

// shutdownStep is a wake and an iteration of the loop at one time, and the expected result.
type shutdownStep struct {
	at     time.Duration             // time since the stop was requested
	change func(*fakeShutdownTarget) // called before the wake; may be nil
	calls  []string                  // expected calls
	phase  shutdownPhase             // expected phase afterwards
	done   bool                      // expected result of advance
}

// runShutdown runs the steps and fails the test at the first unexpected result.
func runShutdown(t *testing.T, fake *fakeShutdownTarget, s *shutdown, timeouts config.Timeouts, steps []shutdownStep) {
	t.Helper()
	start := fake.now
	for _, step := range steps {
		fake.now = start + step.at
		if step.change != nil {
			step.change(fake)
		}
		s.startOrEndDraining(timeouts)
		done := s.advance()
		if calls := fake.takeCalls(); !slices.Equal(calls, step.calls) || s.phase != step.phase || done != step.done {
			t.Fatalf("after %v: calls %q, phase %v, done %v; want %q, %v, %v", step.at, calls, s.phase, done, step.calls, step.phase, step.done)
		}
	}
}

// Verifies that no request is lost because clients learn of a stop late: new connections are accepted
// until the drain time has passed, and connections in the listen queues are accepted before the
// listeners close. Also verifies that the shutdown completes with the last response, before its timeout.
func TestShutdownDrainsBeforeListenersClose(t *testing.T) {
	fake, s := newFakeShutdownTarget()
	runShutdown(t, fake, s, testTimeouts, []shutdownStep{
		{at: 0, calls: []string{"drain"}, phase: phaseDraining},
		{at: 499 * time.Millisecond, phase: phaseDraining},
		{at: 500 * time.Millisecond, calls: []string{"drop new connections", "shutdown"}, phase: phaseStopping},
		{at: 519 * time.Millisecond, phase: phaseStopping},
		{at: 520 * time.Millisecond, calls: []string{"drain queues", "close listeners"}, phase: phaseStopping},
		{at: 600 * time.Millisecond, phase: phaseStopping, change: func(fake *fakeShutdownTarget) { fake.pending = nil }},
		{at: 700 * time.Millisecond, phase: phaseStopped, done: true, change: func(fake *fakeShutdownTarget) { fake.clients = 0 }},
	})
	if s.aborted != 0 || s.requestedAt != time.Hour {
		t.Errorf("%d requests aborted, stop requested at %v; want 0, 1h0m0s", s.aborted, s.requestedAt)
	}
}

// Verifies that a stop begins to close the listeners at once if the drain time is 0, the default.
func TestShutdownWithoutDrainTime(t *testing.T) {
	fake, s := newFakeShutdownTarget()
	runShutdown(t, fake, s, config.Timeouts{Shutdown: time.Second}, []shutdownStep{
		{at: 0, calls: []string{"drop new connections", "shutdown"}, phase: phaseStopping},
		{at: 20 * time.Millisecond, calls: []string{"drain queues", "close listeners"}, phase: phaseStopping},
	})
}

// Verifies that requests still pending at the shutdown timeout, for instance because a node never
// responds, are aborted once, and that the shutdown completes after the grace period in which clients
// can read the responses, even if they do not read them.
func TestShutdownAbortsPendingRequests(t *testing.T) {
	fake, s := newFakeShutdownTarget()
	runShutdown(t, fake, s, config.Timeouts{Shutdown: time.Second}, []shutdownStep{
		{at: 0, calls: []string{"drop new connections", "shutdown"}, phase: phaseStopping},
		{at: 999 * time.Millisecond, calls: []string{"drain queues", "close listeners"}, phase: phaseStopping},
		{at: 1000 * time.Millisecond, calls: []string{"abort"}, phase: phaseAborting},
		{at: 1099 * time.Millisecond, phase: phaseAborting},
		{at: 1100 * time.Millisecond, phase: phaseStopped, done: true},
	})
	if s.aborted != 2 {
		t.Errorf("%d requests aborted, want 2", s.aborted)
	}
}

// Verifies that a shutdown waits while the listen queues cannot be emptied because no descriptors are
// available: the listeners stay open, the queues are tried in each iteration, and the shutdown is not
// complete although the gateway is idle.
func TestShutdownWaitsForListenQueues(t *testing.T) {
	fake, s := newFakeShutdownTarget()
	fake.queuesEmpty, fake.pending, fake.clients = false, nil, 0
	runShutdown(t, fake, s, config.Timeouts{Shutdown: time.Second}, []shutdownStep{
		{at: 0, calls: []string{"drop new connections", "shutdown"}, phase: phaseStopping},
		{at: 20 * time.Millisecond, calls: []string{"drain queues"}, phase: phaseStopping},
		{at: 30 * time.Millisecond, calls: []string{"drain queues"}, phase: phaseStopping},
		{at: 40 * time.Millisecond, calls: []string{"drain queues", "close listeners"}, phase: phaseStopped, done: true,
			change: func(fake *fakeShutdownTarget) { fake.queuesEmpty = true }},
	})
}

// Verifies that advance does nothing before a stop is requested.
func TestNoShutdownWhileServing(t *testing.T) {
	fake, s := newFakeShutdownTarget()
	if s.advance() || len(fake.takeCalls()) > 0 || s.phase != phaseServing {
		t.Errorf("before a stop: phase %v; want serving, no calls, and advance to return false", s.phase)
	}
}

// Verifies that a start that fails because of the descriptor limit returns an error of its own type, so
// that it can be told from other errors.
func TestDescriptorLimitError(t *testing.T) {
	var limit *DescriptorLimitError
	if err := checkDescriptorLimit(1 << 40); !errors.As(err, &limit) || limit.Needed != 1<<40 {
		t.Errorf("got %v, want a DescriptorLimitError", err)
	}
	if err := checkDescriptorLimit(1); err != nil {
		t.Error(err)
	}
}

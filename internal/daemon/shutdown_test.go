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

// shutdownRig is a loop and a gateway for a shutdown. It records the calls that change them.
type shutdownRig struct {
	now         time.Duration
	calls       []string
	queuesEmpty bool     // what DrainListenQueues reports
	pending     []string // ids of requests without a response
	clients     int
}

func (r *shutdownRig) record(format string, args ...any) {
	r.calls = append(r.calls, fmt.Sprintf(format, args...))
}

func (r *shutdownRig) Now() time.Duration  { return r.now }
func (r *shutdownRig) Wake()               {}
func (r *shutdownRig) DropNewConnections() { r.record("drop new connections") }
func (r *shutdownRig) CloseListeners()     { r.record("close listeners") }
func (r *shutdownRig) DrainListenQueues() bool {
	r.record("drain queues")
	return r.queuesEmpty
}

func (r *shutdownRig) Counts() gateway.Counts       { return gateway.Counts{Clients: r.clients} }
func (r *shutdownRig) Idle() bool                   { return len(r.pending) == 0 && r.clients == 0 }
func (r *shutdownRig) Drain(time.Duration)          { r.record("drain") }
func (r *shutdownRig) Shutdown(time.Duration)       { r.record("shutdown") }
func (r *shutdownRig) AbortRemaining(time.Duration) { r.record("abort") }
func (r *shutdownRig) EachPendingRequest(visit func(id, method, path string, age time.Duration)) {
	for _, id := range r.pending {
		visit(id, "GET", "/", time.Second)
	}
}

// take returns the calls since it was last called.
func (r *shutdownRig) take() []string {
	calls := r.calls
	r.calls = nil
	return calls
}

var testTimeouts = config.Timeouts{Drain: 500 * time.Millisecond, Shutdown: 2 * time.Second}

func newShutdownRig() (*shutdownRig, *shutdown) {
	r := &shutdownRig{now: time.Hour, queuesEmpty: true, pending: []string{"a", "b"}, clients: 2}
	return r, newShutdown(r, r, slog.New(slog.DiscardHandler))
}

// shutdownStep is one reading of the clock: what the loop does then, and what is to be seen after it.
type shutdownStep struct {
	at     time.Duration // since the stop was requested
	change func(*shutdownRig)
	calls  []string
	phase  shutdownPhase
	done   bool
}

func runShutdown(t *testing.T, r *shutdownRig, s *shutdown, timeouts config.Timeouts, steps []shutdownStep) {
	t.Helper()
	begin := r.now
	for _, step := range steps {
		r.now = begin + step.at
		if step.change != nil {
			step.change(r)
		}
		s.startOrEndDraining(timeouts)
		done := s.advance()
		if calls := r.take(); !slices.Equal(calls, step.calls) || s.phase != step.phase || done != step.done {
			t.Fatalf("after %v: calls %q, phase %v, done %v; want %q, %v, %v", step.at, calls, s.phase, done, step.calls, step.phase, step.done)
		}
	}
}

// Clients learn of a stop late. A stop that closed its listeners at once would lose the requests
// that are on their way: connections are taken until the drain time is over, and the ones that
// the kernel has accepted by then are taken from the queues before the listeners close. The
// shutdown is over when the last response is out, well before its timeout.
func TestShutdownDrainsBeforeListenersClose(t *testing.T) {
	r, s := newShutdownRig()
	runShutdown(t, r, s, testTimeouts, []shutdownStep{
		{at: 0, calls: []string{"drain"}, phase: phaseDraining},
		{at: 499 * time.Millisecond, phase: phaseDraining},
		{at: 500 * time.Millisecond, calls: []string{"drop new connections", "shutdown"}, phase: phaseStopping},
		{at: 519 * time.Millisecond, phase: phaseStopping},
		{at: 520 * time.Millisecond, calls: []string{"drain queues", "close listeners"}, phase: phaseStopping},
		{at: 600 * time.Millisecond, phase: phaseStopping, change: func(r *shutdownRig) { r.pending = nil }},
		{at: 700 * time.Millisecond, phase: phaseStopped, done: true, change: func(r *shutdownRig) { r.clients = 0 }},
	})
	if s.aborted != 0 || s.requestedAt != time.Hour {
		t.Errorf("%d requests aborted, stop requested at %v", s.aborted, s.requestedAt)
	}
}

// Without a drain time, as for an instance that is not on a platform, the first step of a stop
// begins to close the listeners.
func TestShutdownWithoutDrainTime(t *testing.T) {
	r, s := newShutdownRig()
	runShutdown(t, r, s, config.Timeouts{Shutdown: time.Second}, []shutdownStep{
		{at: 0, calls: []string{"drop new connections", "shutdown"}, phase: phaseStopping},
		{at: 20 * time.Millisecond, calls: []string{"drain queues", "close listeners"}, phase: phaseStopping},
	})
}

// A node never responds. At the shutdown timeout the requests that are left are aborted once,
// their clients have a grace period to read the responses, and the process ends even if they do
// not read them.
func TestShutdownAbortsWhatIsLeft(t *testing.T) {
	r, s := newShutdownRig()
	runShutdown(t, r, s, config.Timeouts{Shutdown: time.Second}, []shutdownStep{
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

// Descriptors have run out, so the listen queues cannot be emptied. The listeners stay open, the
// shutdown is not over though the gateway is idle, and the queues are tried in each iteration.
func TestShutdownWaitsForListenQueues(t *testing.T) {
	r, s := newShutdownRig()
	r.queuesEmpty, r.pending, r.clients = false, nil, 0
	runShutdown(t, r, s, config.Timeouts{Shutdown: time.Second}, []shutdownStep{
		{at: 0, calls: []string{"drop new connections", "shutdown"}, phase: phaseStopping},
		{at: 20 * time.Millisecond, calls: []string{"drain queues"}, phase: phaseStopping},
		{at: 30 * time.Millisecond, calls: []string{"drain queues"}, phase: phaseStopping},
		{at: 40 * time.Millisecond, calls: []string{"drain queues", "close listeners"}, phase: phaseStopped, done: true,
			change: func(r *shutdownRig) { r.queuesEmpty = true }},
	})
}

// Before a stop is requested, nothing of a shutdown happens.
func TestNoShutdownWhileServing(t *testing.T) {
	r, s := newShutdownRig()
	if s.advance() || len(r.take()) > 0 || s.phase != phaseServing {
		t.Errorf("a shutdown in phase %v without a request", s.phase)
	}
}

// An operator tells a start that is refused for its descriptors from other errors.
func TestDescriptorLimitError(t *testing.T) {
	var limit *DescriptorLimitError
	if err := checkDescriptorLimit(1 << 40); !errors.As(err, &limit) || limit.Needed != 1<<40 {
		t.Errorf("got %v, want a DescriptorLimitError", err)
	}
	if err := checkDescriptorLimit(1); err != nil {
		t.Error(err)
	}
}

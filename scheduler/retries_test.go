package scheduler

import (
	"testing"
	"time"
)

// Verifies that a request is retried if its effect or the outcome of its attempt rules out that it
// runs twice, and otherwise fails at once.
func TestRetryByEffectAndOutcome(t *testing.T) {
	for _, c := range []struct {
		name    string
		class   int
		outcome Outcome
		retried bool
		final   string
	}{
		{"safe, error", 0, Failed, true, ""},
		{"safe, reset", 0, Reset, true, ""},
		{"non-idempotent, error", 1, Failed, false, "f"},
		{"non-idempotent, reset", 1, Reset, false, "f"},
		{"non-idempotent, cancelled", 1, Cancelled, false, "f"},
		{"non-idempotent, queue full", 1, QueueFull, true, ""},
		{"non-idempotent, not connected", 1, ConnectFailed, true, ""},
		{"non-idempotent, not sent", 1, NotSent, true, ""},
		{"idempotent, reset", 2, Reset, true, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, testSettings(), nodeA)
			h.handleAfter(0, newArrival(1, withClass(c.class)))
			actions := h.endAttempt(1, c.outcome)
			assertEqual(t, "response", finalResponses(actions)[1], c.final)
			h.runFor(400 * ms)
			assertEqual(t, "retried", h.attempts[1] > 1, c.retried)
		})
	}
}

// Regression test: the deduplication window of an attempt that was stalled began when the stall had ended,
// so that a retry could arrive when the nodes had forgotten the attempt.
func TestStallDoesNotMoveDeduplicationWindow(t *testing.T) {
	h := newHarness(t, testSettings(), nodeA)
	h.handleAfter(0, newArrival(1, withClass(2)))
	sentAt := h.now
	h.handleAfter(0, AttemptStalled{ID: 1})
	h.handleAfter(100*ms, AttemptResumed{ID: 1})
	h.endAttempt(1, Reset)
	h.runFor(400 * ms)
	if h.attempts[1] != 2 {
		t.Fatalf("%d attempts, want 2", h.attempts[1])
	}
	window := h.scheduler.settings.Classes[2].DeduplicationWindow
	assertEqual(t, "the retry has to arrive before", h.sends[1].ArriveBefore, sentAt+window)
}

// Guards against an idempotent request that runs twice. Only the nodes of one deduplication scope drop
// repeats, and only during the window, so a retry at another node or later could run again. The
// request must then fail or, if a later retry by the client is harmless, be rejected.
func TestIdempotentRetryStaysInDeduplicationScopeAndWindow(t *testing.T) {
	other := Endpoint{Node: "A2", Shard: 0, Zone: 1}
	for _, c := range []struct {
		name    string
		scope   DeduplicationScope
		window  time.Duration
		retried bool
		final   string
	}{
		{"all", ScopeAll, time.Second, true, ""},
		{"shard", ScopeShard, time.Second, true, ""},
		{"zone", ScopeZone, time.Second, false, "f"},
		{"window over", ScopeAll, 50 * ms, false, "r"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := testSettings(func(s *Settings) {
				s.Classes[2].DeduplicationScope, s.Classes[2].DeduplicationWindow = c.scope, c.window
			})
			h := newHarness(t, s, nodeA)
			h.handleAfter(0, newArrival(1, withClass(2)))
			h.handleAfter(60*ms, EndpointUpdate{Endpoints: []Endpoint{{Node: "A", Shard: 0, State: Removed}, other}})
			actions := h.endAttempt(1, Reset)
			actions = append(actions, h.runFor(1100*ms)...)
			assertEqual(t, "retried", h.attempts[1] > 1, c.retried)
			if !c.retried {
				assertEqual(t, "response", finalResponses(actions)[1], c.final)
			}
		})
	}
}

// Verifies that a request that never ran is rejected after its last permitted attempt.
func TestMaxAttempts(t *testing.T) {
	h := newHarness(t, testSettings(func(s *Settings) { s.MaxAttempts = 2 }), nodeA)
	h.handleAfter(0, newArrival(1))
	h.endAttempt(1, QueueFull)
	h.runFor(200 * ms)
	assertEqual(t, "attempts", h.attempts[1], 2)
	assertEqual(t, "response", finalResponses(h.endAttempt(1, QueueFull))[1], "r")
}

// Guards against the load of retries during an outage. Within a window, retries must not exceed a
// small number plus a fraction of the requests that arrived.
func TestRetryBudget(t *testing.T) {
	s := testSettings(func(s *Settings) {
		s.RetryBudget = &RetryBudget{MinRetries: 1, Ratio: 0.5, Window: 5 * time.Second}
		s.MaxAttempts = 0
	})
	h := newHarness(t, s, nodeA)
	h.runFor(s.RetryBudget.Window + ms) // until then the budget counts as spent
	h.scheduler.members.nodes[0].window = 8
	longWait := func(a *Arrival) { a.TimeRemaining = time.Minute }
	h.handleAfter(0, newArrival(1, longWait), newArrival(2, longWait))
	for range 20 { // two arrivals: 1 + 0.5*2 retries in five seconds
		for id := range h.attempts {
			h.endAttempt(id, QueueFull)
		}
		h.runFor(100 * ms)
	}
	assertEqual(t, "attempts", h.attempts[1]+h.attempts[2], 4)
}

// Verifies that an instance makes no retries for one window after its start, because it does not know
// how much of the budget its earlier process has spent.
func TestNoRetriesForOneWindowAfterRestart(t *testing.T) {
	s := testSettings(func(s *Settings) {
		s.RetryBudget = &RetryBudget{MinRetries: 3, Ratio: 1, Window: 2 * time.Second}
	})
	h := newHarness(t, s, nodeA)
	longWait := func(a *Arrival) { a.TimeRemaining = time.Minute }
	h.handleAfter(0, newArrival(1, longWait))
	h.endAttempt(1, Reset)
	h.runFor(s.RetryBudget.Window - 100*ms)
	assertEqual(t, "attempts within a window of the start", h.attempts[1], 1)
	assertEqual(t, "reason", h.scheduler.WaitReason(1), ReasonRetryBudget)
	h.runFor(200 * ms)
	assertEqual(t, "attempts after the window", h.attempts[1], 2)
}

// Verifies that a request whose body was streamed to a node, and is no longer available, gets its
// final response at once: a rejection if a retry by the client is harmless, otherwise a failure.
func TestRequestWithConsumedBodyIsNotRetried(t *testing.T) {
	for _, c := range []struct {
		effect   Effect
		outcome  Outcome
		rejected bool
	}{{NonIdempotent, QueueFull, true}, {NonIdempotent, Reset, false}, {Safe, Reset, true}} {
		scheduler, err := New(Settings{Instances: 1, Classes: []Class{{LatencyObjective: 100 * time.Millisecond, Effect: c.effect, PriorityWeight: 1}},
			Plans: []Plan{{Weight: 1, PriorityFactor: 1}}}, 1, 0)
		if err != nil {
			t.Fatal(err)
		}
		scheduler.Handle(0, []Event{EndpointUpdate{Full: true, Endpoints: []Endpoint{{Node: "a"}}},
			Arrival{ID: 1, Volume: "v", TimeRemaining: time.Second, Units: 1, Instances: 1}})
		actions := scheduler.Handle(time.Millisecond, []Event{AttemptEnded{ID: 1, Node: "a", Outcome: c.outcome, BodyConsumed: true}})
		var rejected, failed bool
		for _, a := range actions {
			switch a.(type) {
			case Send:
				t.Errorf("%+v: request was retried", c)
			case Reject:
				rejected = true
			case Fail:
				failed = true
			}
		}
		if rejected != c.rejected || failed == c.rejected {
			t.Errorf("%+v: got rejected %v, failed %v", c, rejected, failed)
		}
	}
}

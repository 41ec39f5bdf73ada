package scheduler

import (
	"testing"
	"time"
)

// What follows the first outcome, by effect and by whether it proves that
// nothing ran: sent again, failed at once.
func TestEffects(t *testing.T) {
	for _, c := range []struct {
		name  string
		class int
		o     Outcome
		again bool
		final string
	}{
		{"safe, error", 0, Failed, true, ""},
		{"safe, reset", 0, Reset, true, ""},
		{"unsafe, error", 1, Failed, false, "f"},
		{"unsafe, reset", 1, Reset, false, "f"},
		{"unsafe, cancelled", 1, Cancelled, false, "f"},
		{"unsafe, full", 1, QueueFull, true, ""},
		{"unsafe, not connected", 1, ConnectFailed, true, ""},
		{"unsafe, moot", 1, Superseded, true, ""},
		{"keyed, reset", 2, Reset, true, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newHarness(t, testSettings(), nodeA)
			r.handleAfter(0, newArrival(1, withClass(c.class)))
			acts := r.endAttempt(1, c.o)
			assertEqual(t, "answer", finalResponses(acts)[1], c.final)
			r.runFor(400 * ms)
			assertEqual(t, "sent again", r.attempts[1] > 1, c.again)
		})
	}
}

func TestKeyedStaysInItsGroupAndWindow(t *testing.T) {
	other := Endpoint{Node: "A2", Shard: 0, Zone: 1}
	for _, c := range []struct {
		name   string
		group  DeduplicationScope
		window time.Duration
		again  bool
		final  string
	}{
		{"all", ScopeAll, time.Second, true, ""},
		{"cell", ScopeShard, time.Second, true, ""},
		{"zone", ScopeZone, time.Second, false, "f"},
		{"window over", ScopeAll, 50 * ms, false, "r"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := testSettings(func(s *Settings) {
				s.Classes[2].DeduplicationScope, s.Classes[2].DeduplicationWindow = c.group, c.window
			})
			r := newHarness(t, s, nodeA)
			r.handleAfter(0, newArrival(1, withClass(2)))
			r.handleAfter(60*ms, EndpointUpdate{Endpoints: []Endpoint{{Node: "A", Shard: 0, State: Removed}, other}})
			acts := r.endAttempt(1, Reset)
			acts = append(acts, r.runFor(1100*ms)...)
			assertEqual(t, "sent again", r.attempts[1] > 1, c.again)
			if !c.again {
				assertEqual(t, "answer", finalResponses(acts)[1], c.final)
			}
		})
	}
}

func TestAttemptMaximum(t *testing.T) {
	r := newHarness(t, testSettings(func(s *Settings) { s.MaxAttempts = 2 }), nodeA)
	r.handleAfter(0, newArrival(1))
	r.endAttempt(1, QueueFull)
	r.runFor(200 * ms)
	assertEqual(t, "attempts", r.attempts[1], 2)
	assertEqual(t, "answer", finalResponses(r.endAttempt(1, QueueFull))[1], "r")
}

func TestBudgetOfFurtherAttempts(t *testing.T) {
	s := testSettings(func(s *Settings) {
		s.RetryBudget = &RetryBudget{MinRetries: 1, Ratio: 0.5, Window: 5 * time.Second}
		s.MaxAttempts = 0
	})
	r := newHarness(t, s, nodeA)
	r.runFor(s.RetryBudget.Window + ms) // a life before may have spent the budget until then
	r.scheduler.members.nodes[0].window = 8
	long := func(a *Arrival) { a.TimeRemaining = time.Minute }
	r.handleAfter(0, newArrival(1, long), newArrival(2, long))
	for range 20 { // two taken: 1 + 0.5*2 further attempts in five seconds
		for id := range r.attempts {
			r.endAttempt(id, QueueFull)
		}
		r.runFor(100 * ms)
	}
	assertEqual(t, "attempts", r.attempts[1]+r.attempts[2], 4)
}

// A head that has just come up makes no attempt past the first for as long as what it made before
// may still count.
func TestBudgetCountsAsSpentAfterARestart(t *testing.T) {
	s := testSettings(func(s *Settings) {
		s.RetryBudget = &RetryBudget{MinRetries: 3, Ratio: 1, Window: 2 * time.Second}
	})
	r := newHarness(t, s, nodeA)
	long := func(a *Arrival) { a.TimeRemaining = time.Minute }
	r.handleAfter(0, newArrival(1, long))
	r.endAttempt(1, Reset)
	r.runFor(s.RetryBudget.Window - 100*ms)
	assertEqual(t, "attempts within a window of the start", r.attempts[1], 1)
	assertEqual(t, "why", r.scheduler.WaitReason(1), ReasonRetryBudget)
	r.runFor(200 * ms)
	assertEqual(t, "attempts once it is over", r.attempts[1], 2)
}

// What cannot be sent again gets its final answer at once: a refusal where the
// attempt is known not to have run, else what its class allows.
func TestSpentRequestIsNotSentAgain(t *testing.T) {
	for _, c := range []struct {
		effect  Effect
		outcome Outcome
		refused bool
	}{{NonIdempotent, QueueFull, true}, {NonIdempotent, Reset, false}, {Safe, Reset, true}} {
		h, err := New(Settings{Instances: 1, Classes: []Class{{LatencyObjective: 100 * time.Millisecond, Effect: c.effect, PriorityWeight: 1}},
			Plans: []Plan{{Weight: 1, PriorityFactor: 1}}}, 1, 0)
		if err != nil {
			t.Fatal(err)
		}
		h.Handle(0, []Event{EndpointUpdate{Full: true, Endpoints: []Endpoint{{Node: "a"}}},
			Arrival{ID: 1, Volume: "v", TimeRemaining: time.Second, Units: 1, Instances: 1}})
		acts := h.Handle(time.Millisecond, []Event{AttemptEnded{ID: 1, Node: "a", Outcome: c.outcome, BodyConsumed: true}})
		var refused, failed bool
		for _, a := range acts {
			switch a.(type) {
			case Send:
				t.Errorf("%+v: sent again", c)
			case Reject:
				refused = true
			case Fail:
				failed = true
			}
		}
		if refused != c.refused || failed == c.refused {
			t.Errorf("%+v: refused %v, failed %v", c, refused, failed)
		}
	}
}

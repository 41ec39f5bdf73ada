package scheduler

import (
	"strings"
	"testing"
	"time"
)

// Verifies that the client of a request gets exactly one final response, and none after it
// disconnected.
func TestEveryRequestGetsOneFinalResponse(t *testing.T) {
	for _, c := range []struct {
		name  string
		nodes []Endpoint
		play  func(*harness) []Action
		want  map[uint64]string
	}{
		{"no node", nil, func(h *harness) []Action { return append(h.handleAfter(0, newArrival(1)), h.runFor(time.Second)...) },
			map[uint64]string{1: "r"}},
		{"queued until its deadline", []Endpoint{nodeA}, func(h *harness) []Action {
			h.scheduler.members.nodes[0].window, h.scheduler.members.nodes[0].lastSendAt = 0, h.now
			h.scheduler.members.nodes[0].breaker.open, h.scheduler.members.nodes[0].breaker.trialAt = true, h.now+time.Hour
			return append(h.handleAfter(0, newArrival(1, withClass(1))), h.runFor(time.Second)...)
		}, map[uint64]string{1: "r"}},
		{"non-idempotent timed out", []Endpoint{nodeA}, func(h *harness) []Action {
			h.handleAfter(0, newArrival(1, withClass(1)))
			return h.handleAfter(time.Second, AttemptEnded{ID: 1, Outcome: TimedOut})
		}, map[uint64]string{1: "f"}},
		{"client disconnected", []Endpoint{nodeA}, func(h *harness) []Action {
			h.handleAfter(0, newArrival(1))
			h.handleAfter(0, ClientDisconnected{ID: 1})
			return append(h.endAttempt(1, TimedOut), h.runFor(time.Second)...)
		}, map[uint64]string{}},
		{"unknown class", []Endpoint{nodeA}, func(h *harness) []Action { return h.handleAfter(0, newArrival(1, withClass(9))) },
			map[uint64]string{1: "r"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			assertEqual(t, "responses", finalResponses(c.play(newHarness(t, testSettings(), c.nodes...))), c.want)
		})
	}
}

// Verifies that New rejects settings that no decision can be based on and names the field. Settings
// that merely leave something out are accepted.
func TestSettingsValidation(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*Settings)
		field  string // field named in the error, empty if the settings are accepted
	}{
		{"unchanged settings", func(*Settings) {}, ""},
		{"no instances", func(s *Settings) { s.Instances = 0 }, "Instances"},
		{"no classes", func(s *Settings) { s.Classes = nil }, "Classes"},
		{"no plans", func(s *Settings) { s.Plans = nil }, "Plans"},
		{"no latency objective", func(s *Settings) { s.Classes[1].LatencyObjective = 0 }, "Classes[1].LatencyObjective"},
		{"negative weight", func(s *Settings) { s.Plans[0].Weight = -1 }, "Plans[0]"},
		{"negative slow-start units", func(s *Settings) { s.SlowStart.MinUnits = -1 }, "SlowStart.MinUnits"},
		{"retry budget without a window", func(s *Settings) { s.RetryBudget = &RetryBudget{} }, "RetryBudget.Window"},
		{"zero weights", func(s *Settings) { s.Plans[0].Weight = 0 }, ""},
		{"no bound on attempts", func(s *Settings) { s.MaxAttempts = 0 }, ""},
		{"no MaxUnits and MeanUnits", func(s *Settings) { s.MaxUnits, s.MeanUnits = 0, 0 }, ""},
		{"slow start without units", func(s *Settings) { s.SlowStart = SlowStart{WarmupDuration: time.Second, OverloadWindow: time.Second} }, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := testSettings(c.change)
			_, err := New(s, 1, 0)
			if c.field == "" {
				h := newHarness(t, s, nodeA)
				actions := append(h.handleAfter(0, newArrival(1)), h.endAttempt(1, OK)...)
				assertEqual(t, "responses", len(finalResponses(actions)), 0)
				assertEqual(t, "sent", len(h.sends), 1)
			} else if err == nil || !strings.Contains(err.Error(), c.field) {
				t.Errorf("New returned error %v, want one that names %s", err, c.field)
			}
		})
	}
}

// Verifies that events about unknown or completed requests, and repeated arrivals, change nothing.
func TestUnknownAndRepeatedEventsAreIgnored(t *testing.T) {
	h := newHarness(t, testSettings(), nodeA)
	actions := h.handleAfter(0, AttemptEnded{ID: 77}, ClientDisconnected{ID: 77}, ResponseStarted{ID: 77}, TimerFired{},
		AttemptEnded{ID: 1, Outcome: Outcome(99)}, EndpointUpdate{Endpoints: []Endpoint{{Node: "Z", State: Removed}}})
	assertEqual(t, "responses", len(finalResponses(actions)), 0)
	actions = h.handleAfter(0, newArrival(1, withClass(1)), newArrival(1, withClass(1)))
	assertEqual(t, "responses to a repeated arrival", len(finalResponses(actions)), 0)
	assertEqual(t, "sends for a repeated arrival", len(h.sends), 1)
}

// Verifies that the scheduler is deterministic: the same events give the same actions.
func TestSchedulerIsDeterministic(t *testing.T) {
	runHistory := func() (all []Action) {
		h := newHarness(t, testSettings(func(s *Settings) { s.Plans[0].Reserve, s.Instances = 5, 3 }), nodeA, nodeB)
		for id := uint64(1); id <= 300; id++ {
			volume := string(rune('a' + id%17))
			all = append(all, h.handleAfter(3*ms, newArrival(id, withClass(int(id%3)), withShard(int(id%2)), withVolume(volume, 0)))...)
			if id%2 == 0 && len(h.sends) > int(id/4) {
				endedID := h.sends[id/4].ID
				all = append(all, h.endAttempt(endedID, []Outcome{OK, QueueFull, Reset, TimedOut}[id%4])...)
			}
		}
		return append(all, h.runFor(12*time.Second)...)
	}
	assertEqual(t, "actions of the second run", runHistory(), runHistory())
}

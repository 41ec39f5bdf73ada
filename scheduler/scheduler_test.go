package scheduler

import (
	"strings"
	"testing"
	"time"
)

func TestEveryRequestIsAnsweredOnce(t *testing.T) {
	for _, c := range []struct {
		name  string
		nodes []Endpoint
		play  func(*harness) []Action
		want  map[uint64]string
	}{
		{"no node at all", nil, func(r *harness) []Action { return append(r.handleAfter(0, newArrival(1)), r.runFor(time.Second)...) },
			map[uint64]string{1: "r"}},
		{"held to the end", []Endpoint{nodeA}, func(r *harness) []Action {
			r.scheduler.members.nodes[0].window, r.scheduler.members.nodes[0].lastSendAt = 0, r.now
			r.scheduler.members.nodes[0].breaker.open, r.scheduler.members.nodes[0].breaker.trialAt = true, r.now+time.Hour
			return append(r.handleAfter(0, newArrival(1, withClass(1))), r.runFor(time.Second)...)
		}, map[uint64]string{1: "r"}},
		{"unsafe timed out", []Endpoint{nodeA}, func(r *harness) []Action {
			r.handleAfter(0, newArrival(1, withClass(1)))
			return r.handleAfter(time.Second, AttemptEnded{ID: 1, Outcome: TimedOut})
		}, map[uint64]string{1: "f"}},
		{"client left", []Endpoint{nodeA}, func(r *harness) []Action {
			r.handleAfter(0, newArrival(1))
			r.handleAfter(0, ClientDisconnected{ID: 1})
			return append(r.endAttempt(1, TimedOut), r.runFor(time.Second)...)
		}, map[uint64]string{}},
		{"unknown class", []Endpoint{nodeA}, func(r *harness) []Action { return r.handleAfter(0, newArrival(1, withClass(9))) },
			map[uint64]string{1: "r"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			assertEqual(t, "answers", finalResponses(c.play(newHarness(t, testSettings(), c.nodes...))), c.want)
		})
	}
}

func TestSettings(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*Settings)
		field  string // named in the error; empty: accepted
	}{
		{"as they are", func(*Settings) {}, ""},
		{"no heads", func(s *Settings) { s.Instances = 0 }, "Instances"},
		{"no classes", func(s *Settings) { s.Classes = nil }, "Classes"},
		{"no plans", func(s *Settings) { s.Plans = nil }, "Plans"},
		{"no aim", func(s *Settings) { s.Classes[1].LatencyObjective = 0 }, "Classes[1].LatencyObjective"},
		{"negative weight", func(s *Settings) { s.Plans[0].Weight = -1 }, "Plans[0]"},
		{"negative cold units", func(s *Settings) { s.SlowStart.MinUnits = -1 }, "SlowStart.MinUnits"},
		{"budget over no time", func(s *Settings) { s.RetryBudget = &RetryBudget{} }, "RetryBudget.Window"},
		{"zero weights", func(s *Settings) { s.Plans[0].Weight = 0 }, ""},
		{"no attempts told", func(s *Settings) { s.MaxAttempts = 0 }, ""},
		{"no unit figures", func(s *Settings) { s.MaxUnits, s.MeanUnits = 0, 0 }, ""},
		{"cold without units", func(s *Settings) { s.SlowStart = SlowStart{WarmupDuration: time.Second, OverloadWindow: time.Second} }, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := testSettings(c.change)
			_, err := New(s, 1, 0)
			if c.field == "" {
				r := newHarness(t, s, nodeA)
				acts := append(r.handleAfter(0, newArrival(1)), r.endAttempt(1, OK)...)
				assertEqual(t, "answers", len(finalResponses(acts)), 0)
				assertEqual(t, "sent", len(r.sends), 1)
			} else if err == nil || !strings.Contains(err.Error(), c.field) {
				t.Errorf("error %v does not name %s", err, c.field)
			}
		})
	}
}

func TestStrangeEventsAreTakenCalmly(t *testing.T) {
	r := newHarness(t, testSettings(), nodeA)
	acts := r.handleAfter(0, AttemptEnded{ID: 77}, ClientDisconnected{ID: 77}, ResponseStarted{ID: 77}, TimerFired{},
		AttemptEnded{ID: 1, Outcome: Outcome(99)}, EndpointUpdate{Endpoints: []Endpoint{{Node: "Z", State: Removed}}})
	assertEqual(t, "answers", len(finalResponses(acts)), 0)
	acts = r.handleAfter(0, newArrival(1, withClass(1)), newArrival(1, withClass(1)))
	assertEqual(t, "an arrival told twice: answers", len(finalResponses(acts)), 0)
	assertEqual(t, "an arrival told twice: sends", len(r.sends), 1)
}

func TestSameEventsSameActions(t *testing.T) {
	play := func() (all []Action) {
		r := newHarness(t, testSettings(func(s *Settings) { s.Plans[0].Reserve, s.Instances = 5, 3 }), nodeA, nodeB)
		for id := uint64(1); id <= 300; id++ {
			vol := string(rune('a' + id%17))
			all = append(all, r.handleAfter(3*ms, newArrival(id, withClass(int(id%3)), withShard(int(id%2)), withVolume(vol, 0)))...)
			if id%2 == 0 && len(r.sends) > int(id/4) {
				x := r.sends[id/4].ID
				all = append(all, r.endAttempt(x, []Outcome{OK, QueueFull, Reset, TimedOut}[id%4])...)
			}
		}
		return append(all, r.runFor(12*time.Second)...)
	}
	assertEqual(t, "second run", play(), play())
}

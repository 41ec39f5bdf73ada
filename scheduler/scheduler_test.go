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
		play  func(*rig) []Action
		want  map[uint64]string
	}{
		{"no node at all", nil, func(r *rig) []Action { return append(r.at(0, req(1)), r.wait(time.Second)...) },
			map[uint64]string{1: "r"}},
		{"held to the end", []Endpoint{nodeA}, func(r *rig) []Action {
			r.h.members.nodes[0].window, r.h.members.nodes[0].sentAt = 0, r.now
			r.h.members.nodes[0].breaker.open, r.h.members.nodes[0].breaker.trialAt = true, r.now+time.Hour
			return append(r.at(0, req(1, class(1))), r.wait(time.Second)...)
		}, map[uint64]string{1: "r"}},
		{"unsafe timed out", []Endpoint{nodeA}, func(r *rig) []Action {
			r.at(0, req(1, class(1)))
			return r.at(time.Second, AttemptEnded{ID: 1, Outcome: TimedOut})
		}, map[uint64]string{1: "f"}},
		{"client left", []Endpoint{nodeA}, func(r *rig) []Action {
			r.at(0, req(1))
			r.at(0, ClientDisconnected{ID: 1})
			return append(r.end(1, TimedOut), r.wait(time.Second)...)
		}, map[uint64]string{}},
		{"unknown class", []Endpoint{nodeA}, func(r *rig) []Action { return r.at(0, req(1, class(9))) },
			map[uint64]string{1: "r"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			want(t, "answers", answers(c.play(start(t, site(), c.nodes...))), c.want)
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
			s := site(c.change)
			_, err := New(s, 1, 0)
			if c.field == "" {
				r := start(t, s, nodeA)
				acts := append(r.at(0, req(1)), r.end(1, OK)...)
				want(t, "answers", len(answers(acts)), 0)
				want(t, "sent", len(r.sends), 1)
			} else if err == nil || !strings.Contains(err.Error(), c.field) {
				t.Errorf("error %v does not name %s", err, c.field)
			}
		})
	}
}

func TestStrangeEventsAreTakenCalmly(t *testing.T) {
	r := start(t, site(), nodeA)
	acts := r.at(0, AttemptEnded{ID: 77}, ClientDisconnected{ID: 77}, ResponseStarted{ID: 77}, TimerFired{},
		AttemptEnded{ID: 1, Outcome: Outcome(99)}, EndpointUpdate{Endpoints: []Endpoint{{Node: "Z", State: Removed}}})
	want(t, "answers", len(answers(acts)), 0)
	acts = r.at(0, req(1, class(1)), req(1, class(1)))
	want(t, "an arrival told twice: answers", len(answers(acts)), 0)
	want(t, "an arrival told twice: sends", len(r.sends), 1)
}

func TestSameEventsSameActions(t *testing.T) {
	play := func() (all []Action) {
		r := start(t, site(func(s *Settings) { s.Plans[0].Reserve, s.Instances = 5, 3 }), nodeA, nodeB)
		for id := uint64(1); id <= 300; id++ {
			vol := string(rune('a' + id%17))
			all = append(all, r.at(3*ms, req(id, class(int(id%3)), shard(int(id%2)), ofVolume(vol, 0)))...)
			if id%2 == 0 && len(r.sends) > int(id/4) {
				x := r.sends[id/4].ID
				all = append(all, r.end(x, []Outcome{OK, QueueFull, Reset, TimedOut}[id%4])...)
			}
		}
		return append(all, r.wait(12*time.Second)...)
	}
	want(t, "second run", play(), play())
}

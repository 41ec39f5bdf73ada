package scheduler

import (
	"testing"
	"time"
)

func TestWorthThenNearestAimBetweenEqualTags(t *testing.T) {
	s := testSettings(func(s *Settings) {
		s.Classes[1].PriorityWeight = 1
		s.Plans[0].Reserve = 100
	})
	r := newHarness(t, s, nodeA)
	r.scheduler.members.nodes[0].window = 1
	r.handleAfter(0, newArrival(1), newArrival(2, withClass(1)), newArrival(3, withVolume("w", 0)))
	r.handleAfter(90*ms, TimerFired{})
	r.endAttempt(1, OK)
	assertEqual(t, "sent", r.sentIDs(), []uint64{1, 3})
}

// A node whose only attempt timed out is tried again, though what is held of it
// says that no answer can be in time.
func TestNodeIsTriedAfterItsOnlyTimeOut(t *testing.T) {
	h, err := New(Settings{Instances: 1, Classes: []Class{{LatencyObjective: 300 * time.Millisecond, Effect: NonIdempotent, PriorityWeight: 1, LateWeightFactor: 0.5}},
		Plans: []Plan{{Weight: 1, PriorityFactor: 1, Reserve: 100}}}, 1, 0)
	if err != nil {
		t.Fatal(err)
	}
	h.Handle(0, []Event{EndpointUpdate{Full: true, Endpoints: []Endpoint{{Node: "a"}}},
		Arrival{ID: 1, Volume: "v", TimeRemaining: 1500 * time.Millisecond, Units: 1, Instances: 1}})
	now := 1500 * time.Millisecond
	h.Handle(now, []Event{AttemptEnded{ID: 1, Node: "a", Outcome: TimedOut, Duration: now}})
	for id := uint64(2); id < 6; id++ {
		acts := h.Handle(now, []Event{Arrival{ID: id, Volume: "v", TimeRemaining: 1400 * time.Millisecond, Units: 1, Instances: 1}})
		for end := now + 1600*time.Millisecond; now < end; now += 10 * time.Millisecond {
			for _, a := range acts {
				if _, ok := a.(Send); ok {
					return
				}
			}
			acts = h.Handle(now, []Event{TimerFired{}})
		}
	}
	t.Error("the node is never tried again")
}

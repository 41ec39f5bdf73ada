package scheduler

import (
	"testing"
	"time"
)

// Verifies the order of volumes with the same start tag, for example within their reserves: by
// priority weight, then by latency deadline.
func TestEqualTagsAreOrderedByPriorityThenLatencyDeadline(t *testing.T) {
	s := testSettings(func(s *Settings) {
		s.Classes[1].PriorityWeight = 1
		s.Plans[0].Reserve = 100
	})
	h := newHarness(t, s, nodeA)
	h.scheduler.members.nodes[0].window = 1
	h.handleAfter(0, newArrival(1), newArrival(2, withClass(1)), newArrival(3, withVolume("w", 0)))
	h.handleAfter(90*ms, TimerFired{})
	h.endAttempt(1, OK)
	assertEqual(t, "sent", h.sentIDs(), []uint64{1, 3})
}

// Guards against a node that never gets a request again after a timeout. Its expected latency is then
// past every deadline, and only a response can correct it. The node must therefore get a trial request
// after a while without sends.
func TestIdleNodeGetsTrialRequestAfterTimeout(t *testing.T) {
	scheduler, err := New(Settings{Instances: 1, Classes: []Class{{LatencyObjective: 300 * time.Millisecond, Effect: NonIdempotent, PriorityWeight: 1, LateWeightFactor: 0.5}},
		Plans: []Plan{{Weight: 1, PriorityFactor: 1, Reserve: 100}}}, 1, 0)
	if err != nil {
		t.Fatal(err)
	}
	scheduler.Handle(0, []Event{EndpointUpdate{Full: true, Endpoints: []Endpoint{{Node: "a"}}},
		Arrival{ID: 1, Volume: "v", TimeRemaining: 1500 * time.Millisecond, Units: 1, Instances: 1}})
	now := 1500 * time.Millisecond
	scheduler.Handle(now, []Event{AttemptEnded{ID: 1, Node: "a", Outcome: TimedOut, Duration: now}})
	for id := uint64(2); id < 6; id++ {
		actions := scheduler.Handle(now, []Event{Arrival{ID: id, Volume: "v", TimeRemaining: 1400 * time.Millisecond, Units: 1, Instances: 1}})
		for end := now + 1600*time.Millisecond; now < end; now += 10 * time.Millisecond {
			for _, a := range actions {
				if _, ok := a.(Send); ok {
					return
				}
			}
			actions = scheduler.Handle(now, []Event{TimerFired{}})
		}
	}
	t.Error("the node got no request after the timeout")
}

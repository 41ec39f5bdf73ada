package scheduler

import (
	"slices"
	"testing"
	"time"
)

func TestLimitIsSplitAndEmptyAtBoot(t *testing.T) {
	s := testSettings(func(s *Settings) { s.Instances, s.Plans[0].Limit, s.Plans[0].LimitBurst = 2, 20, 24 })
	r := newHarness(t, s, nodeA)
	r.scheduler.members.nodes[0].window = 8
	long := func(a *Arrival) { a.TimeRemaining, a.Instances = time.Minute, 2 }
	r.handleAfter(0, newArrival(1, long), newArrival(2, long), newArrival(3, long))
	assertEqual(t, "sent from an empty bucket", len(r.sends), 0)
	r.runFor(250 * ms) // 10 units a second: 2.5 units
	assertEqual(t, "after a quarter of a second", len(r.sends), 1)
	r.endAttempt(1, OK)
	r.runFor(500 * ms)
	for _, x := range r.sends {
		r.endAttempt(x.ID, OK)
	}
	r.handleAfter(10*time.Second, newArrival(4, long, withVolume("late", 0), withUnits(6)), newArrival(5, long, withVolume("late", 0), withUnits(6)),
		newArrival(6, long, withVolume("late", 0), withUnits(6)))
	sent := r.sentIDs()
	if !slices.Contains(sent, 5) || slices.Contains(sent, 6) {
		t.Errorf("sent %v: a volume first seen later has the burst of 12 units, no more", sent)
	}
}

func TestMoreThanThePartOfTheLimitIsRefusedAtOnce(t *testing.T) {
	s := testSettings(func(s *Settings) { s.Instances, s.Plans[0].Limit, s.Plans[0].LimitBurst = 10, 20, 24 })
	r := newHarness(t, s, nodeA)
	assertEqual(t, "answer", finalResponses(r.handleAfter(0, newArrival(1, withInstances(10), withUnits(6)))), map[uint64]string{1: "r"})
	assertEqual(t, "what fits waits", finalResponses(r.handleAfter(0, newArrival(2, withInstances(10), withUnits(2)))), map[uint64]string{})
}

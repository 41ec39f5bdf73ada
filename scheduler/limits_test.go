package scheduler

import (
	"slices"
	"testing"
	"time"
)

// Instances do not talk, so each holds an even part of a volume's limit. It starts empty, as an earlier
// process of the instance may have spent it. A volume first seen later has a full bucket.
func TestLimitIsDividedAndStartsEmpty(t *testing.T) {
	s := testSettings(func(s *Settings) { s.Instances, s.Plans[0].Limit, s.Plans[0].LimitBurst = 2, 20, 24 })
	h := newHarness(t, s, nodeA)
	h.scheduler.members.nodes[0].window = 8
	long := func(a *Arrival) { a.TimeRemaining, a.Instances = time.Minute, 2 }
	h.handleAfter(0, newArrival(1, long), newArrival(2, long), newArrival(3, long))
	assertEqual(t, "sent from an empty bucket", len(h.sends), 0)
	h.runFor(250 * ms) // 10 units a second: 2.5 units
	assertEqual(t, "after a quarter of a second", len(h.sends), 1)
	h.endAttempt(1, OK)
	h.runFor(500 * ms)
	for _, x := range h.sends {
		h.endAttempt(x.ID, OK)
	}
	h.handleAfter(10*time.Second, newArrival(4, long, withVolume("late", 0), withUnits(6)), newArrival(5, long, withVolume("late", 0), withUnits(6)),
		newArrival(6, long, withVolume("late", 0), withUnits(6)))
	sent := h.sentIDs()
	if !slices.Contains(sent, 5) || slices.Contains(sent, 6) {
		t.Errorf("sent %v: a volume first seen later has a burst of 12 units, no more", sent)
	}
}

// A request larger than this instance's part of the burst could never be sent. It is rejected at once
// and not only at its deadline.
func TestRequestLargerThanBurstIsRejectedAtOnce(t *testing.T) {
	s := testSettings(func(s *Settings) { s.Instances, s.Plans[0].Limit, s.Plans[0].LimitBurst = 10, 20, 24 })
	h := newHarness(t, s, nodeA)
	assertEqual(t, "response", finalResponses(h.handleAfter(0, newArrival(1, withInstances(10), withUnits(6)))), map[uint64]string{1: "r"})
	assertEqual(t, "responses to one that fits", finalResponses(h.handleAfter(0, newArrival(2, withInstances(10), withUnits(2)))), map[uint64]string{})
}

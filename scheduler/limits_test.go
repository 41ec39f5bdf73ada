package scheduler

import (
	"slices"
	"testing"
	"time"
)

// Verifies an instance's share of a volume's limit, which is even because instances do not
// communicate. Its bucket starts empty, because an earlier process of the instance may have used it
// up. The bucket of a volume that is first seen later is full.
func TestLimitIsDividedAndStartsEmpty(t *testing.T) {
	s := testSettings(func(s *Settings) { s.Instances, s.Plans[0].Limit, s.Plans[0].LimitBurst = 2, 20, 24 })
	h := newHarness(t, s, nodeA)
	h.scheduler.members.nodes[0].window = 8
	longWait := func(a *Arrival) { a.TimeRemaining, a.Instances = time.Minute, 2 }
	h.handleAfter(0, newArrival(1, longWait), newArrival(2, longWait), newArrival(3, longWait))
	assertEqual(t, "sent from an empty bucket", len(h.sends), 0)
	h.runFor(250 * ms) // 10 units per second: 2.5 units
	assertEqual(t, "sent after a quarter of a second", len(h.sends), 1)
	h.endAttempt(1, OK)
	h.runFor(500 * ms)
	for _, send := range h.sends {
		h.endAttempt(send.ID, OK)
	}
	h.handleAfter(10*time.Second, newArrival(4, longWait, withVolume("late", 0), withUnits(6)), newArrival(5, longWait, withVolume("late", 0), withUnits(6)),
		newArrival(6, longWait, withVolume("late", 0), withUnits(6)))
	sent := h.sentIDs()
	if !slices.Contains(sent, 5) || slices.Contains(sent, 6) {
		t.Errorf("sent %v, want request 5 but not 6: a volume first seen later has a burst of 12 units", sent)
	}
}

// Guards against a request that waits until its deadline although it can never be sent, because it is
// larger than this instance's share of the burst. It must be rejected at once.
func TestRequestLargerThanBurstIsRejectedAtOnce(t *testing.T) {
	s := testSettings(func(s *Settings) { s.Instances, s.Plans[0].Limit, s.Plans[0].LimitBurst = 10, 20, 24 })
	h := newHarness(t, s, nodeA)
	assertEqual(t, "response", finalResponses(h.handleAfter(0, newArrival(1, withInstances(10), withUnits(6)))), map[uint64]string{1: "r"})
	assertEqual(t, "responses to a request that fits", finalResponses(h.handleAfter(0, newArrival(2, withInstances(10), withUnits(2)))), map[uint64]string{})
}

// Regression test: a volume kept the plan of its first request as long as it had requests, although a
// reload had given it another plan. The new plan applies at once, and gives no units anew.
func TestAssignedPlanAppliesAtOnce(t *testing.T) {
	s := testSettings(func(s *Settings) {
		s.Plans = append(s.Plans, Plan{Name: "limited", Weight: 3, PriorityFactor: 1, Limit: 8, LimitBurst: 8})
	})
	h := newHarness(t, s, nodeA)
	h.scheduler.members.nodes[0].window = 8
	longWait := func(a *Arrival) { a.TimeRemaining = time.Minute }
	send := func(id uint64) {
		h.handleAfter(0, newArrival(id, longWait))
		if h.attempts[id] > 0 {
			h.endAttempt(id, OK)
		}
	}
	send(1)
	assertEqual(t, "sent without a limit", h.sentIDs(), []uint64{1})
	h.handleAfter(0, PlanAssigned{Volume: "v", Plan: 1}, PlanAssigned{Volume: "unused", Plan: 1})
	send(2)
	assertEqual(t, "sent as the plan changes", h.sentIDs(), []uint64{1})
	h.runFor(300 * ms) // 8 units per second
	assertEqual(t, "sent after a unit's time and a half", h.sentIDs(), []uint64{1, 2})
	assertEqual(t, "weight", h.scheduler.volumes.byName["v"].weight, 0.75)
	h.endAttempt(2, OK)
	h.handleAfter(0, PlanAssigned{Volume: "v", Plan: 0}, PlanAssigned{Volume: "v", Plan: 1})
	send(3)
	assertEqual(t, "sent after a change and back", h.sentIDs(), []uint64{1, 2})
	assertEqual(t, "volumes", len(h.scheduler.volumes.byName), 1)
}

package scheduler

import (
	"testing"
)

// Verifies that requests with one key do not overtake each other. When its client has disconnected or
// it has timed out, an attempt may still be running on its node. The next request of the key therefore
// waits for the outcome of the attempt and for a cooldown.
func TestRequestsOfOneKeyRunInOrder(t *testing.T) {
	s := testSettings(func(s *Settings) {
		s.Classes[0].Ordered, s.Classes[0].LateWeightFactor, s.KeyCooldown = true, 1, 300*ms
	})
	h := newHarness(t, s, nodeA)
	h.scheduler.members.nodes[0].window = 8
	h.handleAfter(0, newArrival(1, withKey("k")), newArrival(2, withKey("k")), newArrival(3, withKey("other")))
	assertEqual(t, "sent at first", h.sentIDs(), []uint64{1, 3})
	h.endAttempt(3, OK)
	h.handleAfter(0, ClientDisconnected{ID: 1})
	h.runFor(50 * ms)
	assertEqual(t, "sends while an attempt of the completed request is in flight", len(h.sends), 2)
	h.handleAfter(0, AttemptEnded{ID: 1, Outcome: TimedOut, Responded: true})
	h.runFor(250 * ms)
	assertEqual(t, "sends during the cooldown", len(h.sends), 2)
	h.runFor(100 * ms)
	assertEqual(t, "sent after the cooldown", h.sentIDs(), []uint64{1, 3, 2})
}

package scheduler

import (
	"testing"
)

func TestOrderByKey(t *testing.T) {
	s := testSettings(func(s *Settings) {
		s.Classes[0].Ordered, s.Classes[0].LateWeightFactor, s.KeyCooldown = true, 1, 300*ms
	})
	r := newHarness(t, s, nodeA)
	r.scheduler.members.nodes[0].window = 8
	r.handleAfter(0, newArrival(1, withKey("k")), newArrival(2, withKey("k")), newArrival(3, withKey("other")))
	assertEqual(t, "one at a time", r.sentIDs(), []uint64{1, 3})
	r.endAttempt(3, OK)
	r.handleAfter(0, ClientDisconnected{ID: 1})
	r.runFor(50 * ms)
	assertEqual(t, "attempt of a finished one still out", len(r.sends), 2)
	r.handleAfter(0, AttemptEnded{ID: 1, Outcome: TimedOut, Responded: true})
	r.runFor(250 * ms)
	assertEqual(t, "key at rest", len(r.sends), 2)
	r.runFor(100 * ms)
	assertEqual(t, "after the rest", r.sentIDs(), []uint64{1, 3, 2})
}

package scheduler

import (
	"testing"
)

func TestOrderByKey(t *testing.T) {
	s := site(func(s *Settings) {
		s.Classes[0].Ordered, s.Classes[0].LateWeightFactor, s.KeyCooldown = true, 1, 300*ms
	})
	r := start(t, s, nodeA)
	r.h.members.nodes[0].window = 8
	r.at(0, req(1, key("k")), req(2, key("k")), req(3, key("other")))
	want(t, "one at a time", r.sent(), []uint64{1, 3})
	r.end(3, OK)
	r.at(0, ClientDisconnected{ID: 1})
	r.wait(50 * ms)
	want(t, "attempt of a finished one still out", len(r.sends), 2)
	r.at(0, AttemptEnded{ID: 1, Outcome: TimedOut, Answered: true})
	r.wait(250 * ms)
	want(t, "key at rest", len(r.sends), 2)
	r.wait(100 * ms)
	want(t, "after the rest", r.sent(), []uint64{1, 3, 2})
}

package scheduler

import (
	"slices"
	"testing"
	"time"
)

func TestLimitIsSplitAndEmptyAtBoot(t *testing.T) {
	s := site(func(s *Settings) { s.Instances, s.Plans[0].Limit, s.Plans[0].LimitBurst = 2, 20, 24 })
	r := start(t, s, nodeA)
	r.h.members.nodes[0].window = 8
	long := func(a *Arrival) { a.TimeRemaining, a.Instances = time.Minute, 2 }
	r.at(0, req(1, long), req(2, long), req(3, long))
	want(t, "sent from an empty bucket", len(r.sends), 0)
	r.wait(250 * ms) // 10 units a second: 2.5 units
	want(t, "after a quarter of a second", len(r.sends), 1)
	r.end(1, OK)
	r.wait(500 * ms)
	for _, x := range r.sends {
		r.end(x.ID, OK)
	}
	r.at(10*time.Second, req(4, long, ofVolume("late", 0), units(6)), req(5, long, ofVolume("late", 0), units(6)),
		req(6, long, ofVolume("late", 0), units(6)))
	sent := r.sent()
	if !slices.Contains(sent, 5) || slices.Contains(sent, 6) {
		t.Errorf("sent %v: a volume first seen later has the burst of 12 units, no more", sent)
	}
}

func TestMoreThanThePartOfTheLimitIsRefusedAtOnce(t *testing.T) {
	s := site(func(s *Settings) { s.Instances, s.Plans[0].Limit, s.Plans[0].LimitBurst = 10, 20, 24 })
	r := start(t, s, nodeA)
	want(t, "answer", answers(r.at(0, req(1, hosts(10), units(6)))), map[uint64]string{1: "r"})
	want(t, "what fits waits", answers(r.at(0, req(2, hosts(10), units(2)))), map[uint64]string{})
}

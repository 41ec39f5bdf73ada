package scheduler

import (
	"testing"
	"time"
)

func TestWorthThenNearestAimBetweenEqualTags(t *testing.T) {
	s := site(func(s *Settings) {
		s.Classes[1].Worth = 1
		s.Plans[0].Reserve = 100
	})
	r := start(t, s, nodeA)
	r.h.members.nodes[0].window = 1
	r.at(0, req(1), req(2, class(1)), req(3, ofVolume("w", 0)))
	r.at(90*ms, Wake{})
	r.end(1, OK)
	want(t, "sent", r.sent(), []uint64{1, 3})
}

// A node whose only attempt timed out is tried again, though what is held of it
// says that no answer can be in time.
func TestNodeIsTriedAfterItsOnlyTimeOut(t *testing.T) {
	h, err := New(Settings{Heads: 1, Classes: []Class{{Aim: 300 * time.Millisecond, Effect: Unsafe, Worth: 1, LateWorth: 0.5}},
		Plans: []Plan{{Weight: 1, Price: 1, Reserve: 100}}}, 1, 0)
	if err != nil {
		t.Fatal(err)
	}
	h.Handle(0, []Event{List{Full: true, Entries: []Entry{{Node: "a"}}},
		Arrival{ID: 1, Volume: "v", Left: 1500 * time.Millisecond, Units: 1, Hosts: 1}})
	now := 1500 * time.Millisecond
	h.Handle(now, []Event{Ended{ID: 1, Node: "a", Outcome: TimedOut, Took: now}})
	for id := uint64(2); id < 6; id++ {
		acts := h.Handle(now, []Event{Arrival{ID: id, Volume: "v", Left: 1400 * time.Millisecond, Units: 1, Hosts: 1}})
		for end := now + 1600*time.Millisecond; now < end; now += 10 * time.Millisecond {
			for _, a := range acts {
				if _, ok := a.(Send); ok {
					return
				}
			}
			acts = h.Handle(now, []Event{Wake{}})
		}
	}
	t.Error("the node is never tried again")
}

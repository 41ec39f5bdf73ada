package scheduler

import (
	"testing"
	"time"
)

func TestWindowHoldsTheRest(t *testing.T) {
	r := start(t, site(), nodeA)
	var evs []Event
	for id := uint64(1); id <= 20; id++ {
		evs = append(evs, req(id))
	}
	r.at(0, evs...)
	want(t, "out at once", len(r.sends), int(windowStart))
	r.at(180*ms, AttemptEnded{ID: r.sends[0].ID, Outcome: OK, Answered: true}) // slow for its aim
	if w := r.h.members.nodes[0].window; w >= windowStart {
		t.Errorf("window %v did not shrink", w)
	}
}

// kandy-main-later big-1: one out per head was a hundred out at a node, whose full
// queue then served nothing for half a minute.
func TestNoAnswerTakesTheWindowToOneForAllHeads(t *testing.T) {
	for _, c := range []struct {
		name    string
		heads   int
		hosts   int
		outcome Outcome
		want    float64
	}{
		{"a lone head keeps one out", 1, 1, TimedOut, 1},
		{"more hosts told than heads", 4, 99, TimedOut, 1.0 / 4},
		{"time-out before many", 100, 10, TimedOut, 1 / (headsPerVolumeHost * 10)},
		{"full before many", 100, 10, QueueFull, 1 / (headsPerVolumeHost * 10)},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := start(t, site(func(s *Settings) { s.Instances = c.heads }), nodeA)
			r.at(0, req(1, hosts(c.hosts)))
			r.end(1, c.outcome)
			want(t, "window", r.h.members.nodes[0].window, c.want)
		})
	}
}

func TestWindowUnderOneIsAGap(t *testing.T) {
	r := start(t, site(func(s *Settings) { s.Classes[0].LateWeightFactor = 1 }), nodeA)
	long := func(a *Arrival) { a.TimeRemaining = 10 * time.Second }
	r.at(0, req(1, long))
	r.at(100*ms, AttemptEnded{ID: 1, Outcome: OK, Answered: true})
	r.h.members.nodes[0].window = 0.2 // with answers of 100 ms a gap of 250 to 750 ms
	r.at(0, req(2, long))
	r.wait(140 * ms) // 240 ms after the first was sent
	want(t, "sent before the gap is over", r.sent(), []uint64{1})
	r.wait(520 * ms)
	want(t, "sent after it", r.sent(), []uint64{1, 2})
}

func TestWindowsOfAllHeadsAreBounded(t *testing.T) {
	for _, c := range []struct {
		heads, hosts int
		want         float64
	}{{1, 1, windowMax}, {4, 2, windowMax}, {100, 8, windowOfAllHeads / 16}, {100, 50, 1}} {
		r := start(t, site(func(s *Settings) { s.Instances = c.heads }), nodeA)
		r.at(0, req(1, hosts(c.hosts)))
		n := r.h.members.nodes[0]
		n.window = 100
		r.h.boundWindow(n)
		if n.window != c.want {
			t.Errorf("%d heads, %d hosts: window %v, want %v", c.heads, c.hosts, n.window, c.want)
		}
	}
}

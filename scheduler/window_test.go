package scheduler

import (
	"testing"
	"time"
)

func TestWindowHoldsTheRest(t *testing.T) {
	r := newHarness(t, testSettings(), nodeA)
	var evs []Event
	for id := uint64(1); id <= 20; id++ {
		evs = append(evs, newArrival(id))
	}
	r.handleAfter(0, evs...)
	assertEqual(t, "out at once", len(r.sends), int(initialWindow))
	r.handleAfter(180*ms, AttemptEnded{ID: r.sends[0].ID, Outcome: OK, Responded: true}) // slow for its aim
	if w := r.scheduler.members.nodes[0].window; w >= initialWindow {
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
		{"time-out before many", 100, 10, TimedOut, 1 / (instancesPerNodeFactor * 10)},
		{"full before many", 100, 10, QueueFull, 1 / (instancesPerNodeFactor * 10)},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newHarness(t, testSettings(func(s *Settings) { s.Instances = c.heads }), nodeA)
			r.handleAfter(0, newArrival(1, withInstances(c.hosts)))
			r.endAttempt(1, c.outcome)
			assertEqual(t, "window", r.scheduler.members.nodes[0].window, c.want)
		})
	}
}

func TestWindowUnderOneIsAGap(t *testing.T) {
	r := newHarness(t, testSettings(func(s *Settings) { s.Classes[0].LateWeightFactor = 1 }), nodeA)
	long := func(a *Arrival) { a.TimeRemaining = 10 * time.Second }
	r.handleAfter(0, newArrival(1, long))
	r.handleAfter(100*ms, AttemptEnded{ID: 1, Outcome: OK, Responded: true})
	r.scheduler.members.nodes[0].window = 0.2 // with answers of 100 ms a gap of 250 to 750 ms
	r.handleAfter(0, newArrival(2, long))
	r.runFor(140 * ms) // 240 ms after the first was sent
	assertEqual(t, "sent before the gap is over", r.sentIDs(), []uint64{1})
	r.runFor(520 * ms)
	assertEqual(t, "sent after it", r.sentIDs(), []uint64{1, 2})
}

func TestWindowsOfAllHeadsAreBounded(t *testing.T) {
	for _, c := range []struct {
		heads, hosts int
		want         float64
	}{{1, 1, maxWindow}, {4, 2, maxWindow}, {100, 8, maxWindowAllInstances / 16}, {100, 50, 1}} {
		r := newHarness(t, testSettings(func(s *Settings) { s.Instances = c.heads }), nodeA)
		r.handleAfter(0, newArrival(1, withInstances(c.hosts)))
		n := r.scheduler.members.nodes[0]
		n.window = 100
		r.scheduler.boundWindow(n)
		if n.window != c.want {
			t.Errorf("%d heads, %d hosts: window %v, want %v", c.heads, c.hosts, n.window, c.want)
		}
	}
}

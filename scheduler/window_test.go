package scheduler

import (
	"testing"
	"time"
)

// Verifies that the window bounds the requests in flight at a node, and that a response that is slow
// for its latency objective decreases it.
func TestWindowBoundsRequestsInFlight(t *testing.T) {
	h := newHarness(t, testSettings(), nodeA)
	var events []Event
	for id := uint64(1); id <= 20; id++ {
		events = append(events, newArrival(id))
	}
	h.handleAfter(0, events...)
	assertEqual(t, "in flight", len(h.sends), int(initialWindow))
	h.handleAfter(180*ms, AttemptEnded{ID: h.sends[0].ID, Outcome: OK, Responded: true}) // slow for its latency objective
	if w := h.scheduler.members.nodes[0].window; w >= initialWindow {
		t.Errorf("window is %v after a slow response, want less than the initial window", w)
	}
}

// Guards against a slow node whose queue stays full, so that it serves next to nothing. This happens
// if each of a hundred instances keeps one request in flight there. After a timeout or a full queue,
// the window allows one request for all instances together.
func TestTimeoutCollapsesWindow(t *testing.T) {
	for _, c := range []struct {
		name            string
		instances       int
		volumeInstances int
		outcome         Outcome
		want            float64
	}{
		{"timeout at a single instance", 1, 1, TimedOut, 1},
		{"more instances reported than there are", 4, 99, TimedOut, 1.0 / 4},
		{"timeout at many instances", 100, 10, TimedOut, 1 / (instancesPerNodeFactor * 10)},
		{"queue full at many instances", 100, 10, QueueFull, 1 / (instancesPerNodeFactor * 10)},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, testSettings(func(s *Settings) { s.Instances = c.instances }), nodeA)
			h.handleAfter(0, newArrival(1, withInstances(c.volumeInstances)))
			h.endAttempt(1, c.outcome)
			assertEqual(t, "window", h.scheduler.members.nodes[0].window, c.want)
		})
	}
}

// Verifies that a window below 1 paces sends: the gap between them is the latency divided by the
// window, times a random factor from 0.5 to 1.5.
func TestWindowBelowOnePacesSends(t *testing.T) {
	h := newHarness(t, testSettings(func(s *Settings) { s.Classes[0].LateWeightFactor = 1 }), nodeA)
	longWait := func(a *Arrival) { a.TimeRemaining = 10 * time.Second }
	h.handleAfter(0, newArrival(1, longWait))
	h.handleAfter(100*ms, AttemptEnded{ID: 1, Outcome: OK, Responded: true})
	h.scheduler.members.nodes[0].window = 0.2 // with a latency of 100 ms, a gap of 250 to 750 ms
	h.handleAfter(0, newArrival(2, longWait))
	h.runFor(140 * ms) // 240 ms after the first was sent
	assertEqual(t, "sent before the gap is over", h.sentIDs(), []uint64{1})
	h.runFor(520 * ms)
	assertEqual(t, "sent after the gap", h.sentIDs(), []uint64{1, 2})
}

// Verifies that the sum of the windows of all instances that may send to a node is bounded, but that
// each window may be at least 1.
func TestWindowsOfAllInstancesAreBounded(t *testing.T) {
	for _, c := range []struct {
		instances, volumeInstances int
		want                       float64
	}{{1, 1, maxWindow}, {4, 2, maxWindow}, {100, 8, maxWindowAllInstances / 16}, {100, 50, 1}} {
		h := newHarness(t, testSettings(func(s *Settings) { s.Instances = c.instances }), nodeA)
		h.handleAfter(0, newArrival(1, withInstances(c.volumeInstances)))
		n := h.scheduler.members.nodes[0]
		n.window = 100
		h.scheduler.boundWindow(n)
		if n.window != c.want {
			t.Errorf("%d instances, %d of them for the volume: window is %v, want %v", c.instances, c.volumeInstances, n.window, c.want)
		}
	}
}

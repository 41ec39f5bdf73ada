package scheduler

import (
	"testing"
	"time"
)

func TestBreaker(t *testing.T) {
	r := newHarness(t, testSettings(), nodeA, nodeB)
	r.handleAfter(0, newArrival(1), newArrival(2))
	r.runFor(450 * ms) // silence of more than two aims
	if !r.scheduler.members.nodes[0].breaker.open {
		t.Fatal("breaker closed after silence")
	}
	r.handleAfter(0, newArrival(3), newArrival(4), newArrival(5), newArrival(6, withShard(1)))
	assertEqual(t, "sent to the other node", r.sends[len(r.sends)-1].ID, uint64(6))
	n := len(r.sends)
	r.runFor(500 * ms)
	if trials := len(r.sends) - n; trials < 1 || trials > 2 {
		t.Errorf("%d trials in half a second, want one or two", trials)
	}
	last := r.sends[len(r.sends)-1].ID
	r.endAttempt(last, OK)
	assertEqual(t, "open after an answer", r.scheduler.members.nodes[0].breaker.open, false)
}

func TestSomeResetsDoNotOpenTheBreaker(t *testing.T) {
	r := newHarness(t, testSettings(), nodeA)
	for id := uint64(1); id <= 6; id++ {
		r.handleAfter(10*ms, newArrival(id, withClass(1)))
		r.endAttempt(id, []Outcome{Reset, Reset, OK}[id%3])
	}
	assertEqual(t, "open", r.scheduler.members.nodes[0].breaker.open, false)
	for id := uint64(10); id <= 13; id++ {
		r.handleAfter(10*ms, newArrival(id, withClass(1)))
		if r.attempts[id] > 0 {
			r.endAttempt(id, Reset)
		}
	}
	assertEqual(t, "open after resets in a row", r.scheduler.members.nodes[0].breaker.open, true)
}

// What the head's own machine holds up is not held against the node: not as silence, nor as a
// slow answer, nor as a time-out. Guards against a breaker that opens at a node that is well.
func TestStalledAttemptsAreNotTheNodes(t *testing.T) {
	r := newHarness(t, testSettings(), nodeA)
	n := r.scheduler.members.nodes[0]
	r.handleAfter(0, newArrival(1, func(a *Arrival) { a.TimeRemaining = 10 * time.Second }))
	r.handleAfter(0, AttemptStalled{ID: 1}, AttemptStalled{ID: 1}, AttemptStalled{ID: 7})
	r.runFor(3 * time.Second)
	assertEqual(t, "open while it is held up", n.breaker.open, false)
	r.handleAfter(0, AttemptResumed{ID: 1}, AttemptResumed{ID: 1}, AttemptResumed{ID: 7})
	r.runFor(10 * ms)
	r.endAttempt(1, OK)
	if n.latency > 0.05 {
		t.Errorf("the answer counts as one of %v s", n.latency)
	}
	r.handleAfter(0, newArrival(2, func(a *Arrival) { a.TimeRemaining = 10 * time.Second }))
	window := n.window
	r.handleAfter(0, AttemptStalled{ID: 2})
	r.runFor(2 * time.Second)
	r.endAttempt(2, TimedOut)
	assertEqual(t, "window after a time-out of the head's own", n.window, window)

	r = newHarness(t, testSettings(), nodeA)
	r.handleAfter(0, newArrival(1, func(a *Arrival) { a.TimeRemaining = 10 * time.Second }))
	r.handleAfter(0, AttemptStalled{ID: 1})
	r.runFor(time.Second)
	r.handleAfter(0, AttemptResumed{ID: 1})
	r.runFor(2 * time.Second)
	assertEqual(t, "open after silence of the node's own", r.scheduler.members.nodes[0].breaker.open, true)
}

package scheduler

import (
	"testing"
	"time"
)

func TestBreaker(t *testing.T) {
	r := start(t, site(), nodeA, nodeB)
	r.at(0, req(1), req(2))
	r.wait(450 * ms) // silence of more than two aims
	if !r.h.members.nodes[0].breaker.open {
		t.Fatal("breaker closed after silence")
	}
	r.at(0, req(3), req(4), req(5), req(6, shard(1)))
	want(t, "sent to the other node", r.sends[len(r.sends)-1].ID, uint64(6))
	n := len(r.sends)
	r.wait(500 * ms)
	if trials := len(r.sends) - n; trials < 1 || trials > 2 {
		t.Errorf("%d trials in half a second, want one or two", trials)
	}
	last := r.sends[len(r.sends)-1].ID
	r.end(last, OK)
	want(t, "open after an answer", r.h.members.nodes[0].breaker.open, false)
}

func TestSomeResetsDoNotOpenTheBreaker(t *testing.T) {
	r := start(t, site(), nodeA)
	for id := uint64(1); id <= 6; id++ {
		r.at(10*ms, req(id, class(1)))
		r.end(id, []Outcome{Reset, Reset, OK}[id%3])
	}
	want(t, "open", r.h.members.nodes[0].breaker.open, false)
	for id := uint64(10); id <= 13; id++ {
		r.at(10*ms, req(id, class(1)))
		if r.tries[id] > 0 {
			r.end(id, Reset)
		}
	}
	want(t, "open after resets in a row", r.h.members.nodes[0].breaker.open, true)
}

// What the head's own machine holds up is not held against the node: not as silence, nor as a
// slow answer, nor as a time-out. Guards against a breaker that opens at a node that is well.
func TestStalledAttemptsAreNotTheNodes(t *testing.T) {
	r := start(t, site(), nodeA)
	n := r.h.members.nodes[0]
	r.at(0, req(1, func(a *Arrival) { a.TimeRemaining = 10 * time.Second }))
	r.at(0, AttemptStalled{ID: 1}, AttemptStalled{ID: 1}, AttemptStalled{ID: 7})
	r.wait(3 * time.Second)
	want(t, "open while it is held up", n.breaker.open, false)
	r.at(0, AttemptResumed{ID: 1}, AttemptResumed{ID: 1}, AttemptResumed{ID: 7})
	r.wait(10 * ms)
	r.end(1, OK)
	if n.latency > 0.05 {
		t.Errorf("the answer counts as one of %v s", n.latency)
	}
	r.at(0, req(2, func(a *Arrival) { a.TimeRemaining = 10 * time.Second }))
	window := n.window
	r.at(0, AttemptStalled{ID: 2})
	r.wait(2 * time.Second)
	r.end(2, TimedOut)
	want(t, "window after a time-out of the head's own", n.window, window)

	r = start(t, site(), nodeA)
	r.at(0, req(1, func(a *Arrival) { a.TimeRemaining = 10 * time.Second }))
	r.at(0, AttemptStalled{ID: 1})
	r.wait(time.Second)
	r.at(0, AttemptResumed{ID: 1})
	r.wait(2 * time.Second)
	want(t, "open after silence of the node's own", r.h.members.nodes[0].breaker.open, true)
}

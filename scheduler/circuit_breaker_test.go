package scheduler

import (
	"testing"
	"time"
)

// A hung node accepts requests and never responds. Its breaker opens after two latency objectives of
// silence; it then gets single trial requests, other nodes are used as before, and a response closes
// the breaker.
func TestBreakerOpensOnSilence(t *testing.T) {
	h := newHarness(t, testSettings(), nodeA, nodeB)
	h.handleAfter(0, newArrival(1), newArrival(2))
	h.runFor(450 * ms) // silence of more than two latency objectives
	if !h.scheduler.members.nodes[0].breaker.open {
		t.Fatal("breaker closed after silence")
	}
	h.handleAfter(0, newArrival(3), newArrival(4), newArrival(5), newArrival(6, withShard(1)))
	assertEqual(t, "sent to the other node", h.sends[len(h.sends)-1].ID, uint64(6))
	n := len(h.sends)
	h.runFor(500 * ms)
	if trials := len(h.sends) - n; trials < 1 || trials > 2 {
		t.Errorf("%d trials in half a second, want one or two", trials)
	}
	last := h.sends[len(h.sends)-1].ID
	h.endAttempt(last, OK)
	assertEqual(t, "open after a response", h.scheduler.members.nodes[0].breaker.open, false)
}

// A node that resets some connections still serves the others, and is used on. Resets in a row open
// its breaker.
func TestOnlyConsecutiveResetsOpenBreaker(t *testing.T) {
	h := newHarness(t, testSettings(), nodeA)
	for id := uint64(1); id <= 6; id++ {
		h.handleAfter(10*ms, newArrival(id, withClass(1)))
		h.endAttempt(id, []Outcome{Reset, Reset, OK}[id%3])
	}
	assertEqual(t, "open", h.scheduler.members.nodes[0].breaker.open, false)
	for id := uint64(10); id <= 13; id++ {
		h.handleAfter(10*ms, newArrival(id, withClass(1)))
		if h.attempts[id] > 0 {
			h.endAttempt(id, Reset)
		}
	}
	assertEqual(t, "open after resets in a row", h.scheduler.members.nodes[0].breaker.open, true)
}

// Guards against a node that is ejected by a single failure after its restart, as failures from
// before counted on.
func TestRestartEndsRowOfFailures(t *testing.T) {
	h := newHarness(t, testSettings(), nodeA)
	for id := uint64(1); id <= 2; id++ {
		h.handleAfter(10*ms, newArrival(id, withClass(1)))
		h.endAttempt(id, Reset)
	}
	restarted := nodeA
	restarted.Started = h.scheduler.now
	h.handleAfter(10*ms, EndpointUpdate{Endpoints: []Endpoint{restarted}})
	h.handleAfter(10*ms, newArrival(3, withClass(1)))
	if h.attempts[3] == 0 {
		t.Fatal("nothing was sent after the restart")
	}
	h.endAttempt(3, Reset)
	assertEqual(t, "open after one failure", h.scheduler.members.nodes[0].breaker.open, false)
}

// A machine out of descriptors or memory holds up the attempts of its instance. Counted against the
// nodes, that opened the breakers of healthy ones. The time that an attempt is stalled counts neither
// as silence nor as latency, and its time-out not as one of the node.
func TestStalledAttemptsDoNotCountAgainstNode(t *testing.T) {
	h := newHarness(t, testSettings(), nodeA)
	n := h.scheduler.members.nodes[0]
	h.handleAfter(0, newArrival(1, func(a *Arrival) { a.TimeRemaining = 10 * time.Second }))
	h.handleAfter(0, AttemptStalled{ID: 1}, AttemptStalled{ID: 1}, AttemptStalled{ID: 7})
	h.runFor(3 * time.Second)
	assertEqual(t, "open while it is stalled", n.breaker.open, false)
	h.handleAfter(0, AttemptResumed{ID: 1}, AttemptResumed{ID: 1}, AttemptResumed{ID: 7})
	h.runFor(10 * ms)
	h.endAttempt(1, OK)
	if n.latency > 0.05 {
		t.Errorf("the response counts with a latency of %v s", n.latency)
	}
	h.handleAfter(0, newArrival(2, func(a *Arrival) { a.TimeRemaining = 10 * time.Second }))
	window := n.window
	h.handleAfter(0, AttemptStalled{ID: 2})
	h.runFor(2 * time.Second)
	h.endAttempt(2, TimedOut)
	assertEqual(t, "window after a stalled attempt timed out", n.window, window)

	h = newHarness(t, testSettings(), nodeA)
	h.handleAfter(0, newArrival(1, func(a *Arrival) { a.TimeRemaining = 10 * time.Second }))
	h.handleAfter(0, AttemptStalled{ID: 1})
	h.runFor(time.Second)
	h.handleAfter(0, AttemptResumed{ID: 1})
	h.runFor(2 * time.Second)
	assertEqual(t, "open after silence of the node itself", h.scheduler.members.nodes[0].breaker.open, true)
}

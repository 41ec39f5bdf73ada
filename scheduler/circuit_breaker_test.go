package scheduler

import (
	"testing"
	"time"
)

// Verifies the breaker of a hung node, which accepts requests and never responds. It opens after two
// latency objectives without a response and then lets single trial requests pass. Other nodes get
// requests as before. A response closes the breaker.
func TestBreakerOpensWithoutResponses(t *testing.T) {
	h := newHarness(t, testSettings(), nodeA, nodeB)
	h.handleAfter(0, newArrival(1), newArrival(2))
	h.runFor(450 * ms) // more than two latency objectives without a response
	if !h.scheduler.members.nodes[0].breaker.open {
		t.Fatal("breaker is closed after 450 ms without a response, want it open")
	}
	h.handleAfter(0, newArrival(3), newArrival(4), newArrival(5), newArrival(6, withShard(1)))
	assertEqual(t, "sent to the other node", h.sends[len(h.sends)-1].ID, uint64(6))
	sendCount := len(h.sends)
	h.runFor(500 * ms)
	if trials := len(h.sends) - sendCount; trials < 1 || trials > 2 {
		t.Errorf("%d trial requests in half a second, want one or two", trials)
	}
	trialID := h.sends[len(h.sends)-1].ID
	h.endAttempt(trialID, OK)
	assertEqual(t, "breaker open after a response", h.scheduler.members.nodes[0].breaker.open, false)
}

// Verifies that a node that resets only some connections keeps getting requests, because it still
// serves others. Consecutive resets open its breaker.
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
	assertEqual(t, "breaker open after consecutive resets", h.scheduler.members.nodes[0].breaker.open, true)
}

// Guards against a breaker that opens on the first failure after a restart of its node, because
// failures from before the restart are still counted.
func TestRestartResetsConsecutiveFailures(t *testing.T) {
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
		t.Fatal("request 3 was not sent after the restart")
	}
	h.endAttempt(3, Reset)
	assertEqual(t, "breaker open after one failure", h.scheduler.members.nodes[0].breaker.open, false)
}

// Guards against open breakers of healthy nodes when the machine of the instance runs out of file
// descriptors or memory, which stalls its attempts. The stalled time must count neither as time
// without a response nor as latency. A timeout of a stalled attempt must not count against the node.
func TestStalledAttemptsDoNotCountAgainstNode(t *testing.T) {
	h := newHarness(t, testSettings(), nodeA)
	n := h.scheduler.members.nodes[0]
	h.handleAfter(0, newArrival(1, func(a *Arrival) { a.TimeRemaining = 10 * time.Second }))
	h.handleAfter(0, AttemptStalled{ID: 1}, AttemptStalled{ID: 1}, AttemptStalled{ID: 7})
	h.runFor(3 * time.Second)
	assertEqual(t, "breaker open while the attempt is stalled", n.breaker.open, false)
	h.handleAfter(0, AttemptResumed{ID: 1}, AttemptResumed{ID: 1}, AttemptResumed{ID: 7})
	h.runFor(10 * ms)
	h.endAttempt(1, OK)
	if n.latency > 0.05 {
		t.Errorf("latency after the response is %v s, want at most 0.05 s", n.latency)
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
	assertEqual(t, "breaker open after the node itself did not respond", h.scheduler.members.nodes[0].breaker.open, true)
}

// Guards against a hung node that goes unnoticed because no client waits for it: attempts that are given
// up while they wait for a response count as silence of the node.
func TestBreakerOpensWhenClientsDoNotWait(t *testing.T) {
	h := newHarness(t, testSettings(), nodeA)
	for id := uint64(1); id <= 12; id++ {
		h.handleAfter(0, newArrival(id), newArrival(id+100))
		h.handleAfter(50*ms, ClientDisconnected{ID: id}, AttemptEnded{ID: id, Outcome: Cancelled, GivenUpWaiting: true})
		h.handleAfter(0, ClientDisconnected{ID: id + 100}, AttemptEnded{ID: id + 100, Outcome: Cancelled, GivenUpWaiting: true})
	}
	if n := h.scheduler.members.nodes[0]; n.breaker.open {
		t.Error("the breaker of a node that was idle between the requests is open")
	}
	h.handleAfter(0, newArrival(20))
	for id := uint64(21); id <= 40; id++ { // there is always a request in flight
		h.handleAfter(25*ms, newArrival(id))
		h.handleAfter(25*ms, ClientDisconnected{ID: id - 1}, AttemptEnded{ID: id - 1, Outcome: Cancelled, GivenUpWaiting: true})
	}
	if n := h.scheduler.members.nodes[0]; !n.breaker.open {
		t.Error("the breaker of a node that did not respond for a second is closed")
	}
}

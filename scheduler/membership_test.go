package scheduler

import (
	"strconv"
	"testing"
	"time"
)

// A draining node gets nothing new from the moment of the update. What was queued for it goes to the
// next node of its shard.
func TestDrainingNodeGetsNoRequests(t *testing.T) {
	h := newHarness(t, testSettings(), nodeA)
	h.scheduler.members.nodes[0].window = 1
	h.handleAfter(0, newArrival(1), newArrival(2))
	h.handleAfter(10*ms, EndpointUpdate{Endpoints: []Endpoint{{Node: "A", Shard: 0, State: Draining}}})
	h.endAttempt(1, OK)
	assertEqual(t, "sent to the draining node", len(h.sends), 1)
	h.handleAfter(10*ms, EndpointUpdate{Endpoints: []Endpoint{{Node: "A2", Shard: 0}}})
	assertEqual(t, "next node", h.sends[len(h.sends)-1], Send{ID: 2, Node: "A2"})
}

// With polled discovery the scheduler asks for the endpoint list at its start, and again after a pause
// where the call failed.
func TestPolledDiscoveryIsRetried(t *testing.T) {
	h := newHarness(t, testSettings(func(s *Settings) { s.PollDiscovery = true }))
	count := func(actions []Action) (n int) {
		for _, a := range actions {
			if _, ok := a.(WatchEndpoints); ok {
				n++
			}
		}
		return n
	}
	assertEqual(t, "at the start", count(h.actions), 1)
	h.handleAfter(0, EndpointUpdate{Failed: true})
	assertEqual(t, "after a failed call", count(h.runFor(1100*ms)), 1)
}

// Nodes are replaced all the time in a fleet. Those removed from the list leave nothing behind.
func TestRemovedNodesAreForgotten(t *testing.T) {
	h := newHarness(t, testSettings())
	for i := range 5000 {
		name := "n" + strconv.Itoa(i)
		h.handleAfter(ms, EndpointUpdate{Endpoints: []Endpoint{{Node: name}}})
		h.handleAfter(0, Arrival{ID: uint64(i + 1), Volume: "v" + strconv.Itoa(i), TimeRemaining: time.Second, Units: 1})
		h.endAttempt(uint64(i+1), OK)
		h.handleAfter(0, EndpointUpdate{Endpoints: []Endpoint{{Node: name, State: Removed}}})
	}
	if n := len(h.scheduler.members.nodes); n > 1 {
		t.Errorf("%d nodes are kept, want those of the list alone", n)
	}
	h.runFor(20 * time.Second)
	if n := len(h.scheduler.volumes) + len(h.scheduler.attempts) + len(h.scheduler.requests); n > 0 {
		t.Errorf("%d volumes, attempts and requests are kept", n)
	}
}

package scheduler

import (
	"strconv"
	"testing"
	"time"
)

// Verifies that a draining node gets no requests after the update, and that the requests queued for it
// go to the next node of its shard.
func TestDrainingNodeGetsNoRequests(t *testing.T) {
	h := newHarness(t, testSettings(), nodeA)
	h.scheduler.members.nodes[0].window = 1
	h.handleAfter(0, newArrival(1), newArrival(2))
	h.handleAfter(10*ms, EndpointUpdate{Endpoints: []Endpoint{{Node: "A", Shard: 0, State: Draining}}})
	h.endAttempt(1, OK)
	assertEqual(t, "sent to the draining node", len(h.sends), 1)
	h.handleAfter(10*ms, EndpointUpdate{Endpoints: []Endpoint{{Node: "A2", Shard: 0}}})
	assertEqual(t, "last send, to the next node of the shard", h.sends[len(h.sends)-1], Send{ID: 2, Node: "A2"})
}

// Verifies that the scheduler with polled discovery asks for the endpoint list at its start, and again
// after a pause if the call failed.
func TestPolledDiscoveryIsRetried(t *testing.T) {
	h := newHarness(t, testSettings(func(s *Settings) { s.PollDiscovery = true }))
	countCalls := func(actions []Action) (calls int) {
		for _, a := range actions {
			if _, ok := a.(WatchEndpoints); ok {
				calls++
			}
		}
		return calls
	}
	assertEqual(t, "calls at the start", countCalls(h.actions), 1)
	h.handleAfter(0, EndpointUpdate{Failed: true})
	assertEqual(t, "calls after a failed one", countCalls(h.runFor(1100*ms)), 1)
}

// Guards against memory that grows as nodes are replaced in a fleet: nodes that are removed from the
// list must leave no state behind.
func TestRemovedNodesAreDeleted(t *testing.T) {
	h := newHarness(t, testSettings())
	for i := range 5000 {
		name := "n" + strconv.Itoa(i)
		h.handleAfter(ms, EndpointUpdate{Endpoints: []Endpoint{{Node: name}}})
		h.handleAfter(0, Arrival{ID: uint64(i + 1), Volume: "v" + strconv.Itoa(i), TimeRemaining: time.Second, Units: 1})
		h.endAttempt(uint64(i+1), OK)
		h.handleAfter(0, EndpointUpdate{Endpoints: []Endpoint{{Node: name, State: Removed}}})
	}
	if n := len(h.scheduler.members.nodes); n > 1 {
		t.Errorf("%d nodes are kept, want at most 1", n)
	}
	h.runFor(20 * time.Second)
	if n := len(h.scheduler.volumes.byName) + len(h.scheduler.attempts) + len(h.scheduler.requests); n > 0 {
		t.Errorf("%d volumes, attempts and requests are kept, want 0", n)
	}
}

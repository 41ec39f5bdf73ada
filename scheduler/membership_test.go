package scheduler

import (
	"strconv"
	"testing"
	"time"
)

func TestDrainStopsAtOnceAndTheNextNodeTakesOver(t *testing.T) {
	r := newHarness(t, testSettings(), nodeA)
	r.scheduler.members.nodes[0].window = 1
	r.handleAfter(0, newArrival(1), newArrival(2))
	r.handleAfter(10*ms, EndpointUpdate{Endpoints: []Endpoint{{Node: "A", Shard: 0, State: Draining}}})
	r.endAttempt(1, OK)
	assertEqual(t, "sent to the draining node", len(r.sends), 1)
	r.handleAfter(10*ms, EndpointUpdate{Endpoints: []Endpoint{{Node: "A2", Shard: 0}}})
	assertEqual(t, "next node", r.sends[len(r.sends)-1], Send{ID: 2, Node: "A2"})
}

func TestAskedDiscovery(t *testing.T) {
	r := newHarness(t, testSettings(func(s *Settings) { s.PollDiscovery = true }))
	count := func(acts []Action) (n int) {
		for _, a := range acts {
			if _, ok := a.(WatchEndpoints); ok {
				n++
			}
		}
		return n
	}
	assertEqual(t, "at boot", count(r.actions), 1)
	r.handleAfter(0, EndpointUpdate{Failed: true})
	assertEqual(t, "after a failed call", count(r.runFor(1100*ms)), 1)
}

// Nodes that were replaced leave nothing behind.
func TestNodesThatAreGoneAreForgotten(t *testing.T) {
	r := newHarness(t, testSettings())
	for i := range 5000 {
		name := "n" + strconv.Itoa(i)
		r.handleAfter(ms, EndpointUpdate{Endpoints: []Endpoint{{Node: name}}})
		r.handleAfter(0, Arrival{ID: uint64(i + 1), Volume: "v" + strconv.Itoa(i), TimeRemaining: time.Second, Units: 1})
		r.endAttempt(uint64(i+1), OK)
		r.handleAfter(0, EndpointUpdate{Endpoints: []Endpoint{{Node: name, State: Removed}}})
	}
	if n := len(r.scheduler.members.nodes); n > 1 {
		t.Errorf("%d nodes are held, want those of the list alone", n)
	}
	r.runFor(20 * time.Second)
	if n := len(r.scheduler.volumes) + len(r.scheduler.attempts) + len(r.scheduler.requests); n > 0 {
		t.Errorf("%d volumes, attempts and requests are held", n)
	}
}

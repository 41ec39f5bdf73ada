package scheduler

import (
	"strconv"
	"testing"
	"time"
)

func TestDrainStopsAtOnceAndTheNextNodeTakesOver(t *testing.T) {
	r := start(t, site(), nodeA)
	r.h.members.nodes[0].window = 1
	r.at(0, req(1), req(2))
	r.at(10*ms, EndpointUpdate{Endpoints: []Endpoint{{Node: "A", Shard: 0, State: Draining}}})
	r.end(1, OK)
	want(t, "sent to the draining node", len(r.sends), 1)
	r.at(10*ms, EndpointUpdate{Endpoints: []Endpoint{{Node: "A2", Shard: 0}}})
	want(t, "next node", r.sends[len(r.sends)-1], Send{ID: 2, Node: "A2"})
}

func TestAskedDiscovery(t *testing.T) {
	r := start(t, site(func(s *Settings) { s.PollDiscovery = true }))
	count := func(acts []Action) (n int) {
		for _, a := range acts {
			if _, ok := a.(WatchEndpoints); ok {
				n++
			}
		}
		return n
	}
	want(t, "at boot", count(r.acts), 1)
	r.at(0, EndpointUpdate{Failed: true})
	want(t, "after a failed call", count(r.wait(1100*ms)), 1)
}

// Nodes that were replaced leave nothing behind.
func TestNodesThatAreGoneAreForgotten(t *testing.T) {
	r := start(t, site())
	for i := range 5000 {
		name := "n" + strconv.Itoa(i)
		r.at(ms, EndpointUpdate{Endpoints: []Endpoint{{Node: name}}})
		r.at(0, Arrival{ID: uint64(i + 1), Volume: "v" + strconv.Itoa(i), TimeRemaining: time.Second, Units: 1})
		r.end(uint64(i+1), OK)
		r.at(0, EndpointUpdate{Endpoints: []Endpoint{{Node: name, State: Removed}}})
	}
	if n := len(r.h.members.nodes); n > 1 {
		t.Errorf("%d nodes are held, want those of the list alone", n)
	}
	r.wait(20 * time.Second)
	if n := len(r.h.volumes) + len(r.h.attempts) + len(r.h.requests); n > 0 {
		t.Errorf("%d volumes, attempts and requests are held", n)
	}
}

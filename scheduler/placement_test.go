package scheduler

import (
	"testing"
)

func TestNewObjectGoesToTheLeastLoaded(t *testing.T) {
	r := newHarness(t, testSettings(), nodeA, nodeB)
	r.handleAfter(0, newArrival(1), newArrival(2), newArrival(3), newArrival(4))
	r.handleAfter(0, newArrival(5, withShard(-1)))
	assertEqual(t, "node", r.sends[len(r.sends)-1], Send{ID: 5, Node: "B"})
}

// bangna-main-later: all heads sent new objects to the first of the nodes alike.
func TestNewObjectsOfManyHeadsAreSpread(t *testing.T) {
	var nodes []Endpoint
	for i := range 10 {
		nodes = append(nodes, Endpoint{Node: string(rune('a' + i)), Shard: i})
	}
	took := map[string]int{}
	for seed := uint64(1); seed <= 40; seed++ {
		h, err := New(testSettings(), seed, 0)
		if err != nil {
			t.Fatal(err)
		}
		for _, a := range h.Handle(0, []Event{EndpointUpdate{Full: true, Endpoints: nodes}, newArrival(1, withShard(-1))}) {
			if s, ok := a.(Send); ok {
				took[s.Node]++
			}
		}
	}
	for node, k := range took {
		if k > 12 {
			t.Errorf("node %s takes %d of 40 first objects", node, k)
		}
	}
	if len(took) < 7 {
		t.Errorf("%d nodes of 10 are used", len(took))
	}
}

package scheduler

import (
	"testing"
)

// Verifies that a new object, which any node may store, is sent to the node with the least expected
// wait.
func TestNewObjectGoesToLeastLoadedNode(t *testing.T) {
	h := newHarness(t, testSettings(), nodeA, nodeB)
	h.handleAfter(0, newArrival(1), newArrival(2), newArrival(3), newArrival(4))
	h.handleAfter(0, newArrival(5, withShard(-1)))
	assertEqual(t, "node", h.sends[len(h.sends)-1], Send{ID: 5, Node: "B"})
}

// Guards against all instances sending their new objects to the first node of the list when they know
// the same about all nodes. The search starts at a random node.
func TestNewObjectsOfManyInstancesAreSpread(t *testing.T) {
	var nodes []Endpoint
	for i := range 10 {
		nodes = append(nodes, Endpoint{Node: string(rune('a' + i)), Shard: i})
	}
	countByNode := map[string]int{}
	for seed := uint64(1); seed <= 40; seed++ {
		scheduler, err := New(testSettings(), seed, 0)
		if err != nil {
			t.Fatal(err)
		}
		for _, a := range scheduler.Handle(0, []Event{EndpointUpdate{Full: true, Endpoints: nodes}, newArrival(1, withShard(-1))}) {
			if s, ok := a.(Send); ok {
				countByNode[s.Node]++
			}
		}
	}
	for node, count := range countByNode {
		if count > 12 {
			t.Errorf("node %s gets %d of 40 first objects, want at most 12", node, count)
		}
	}
	if len(countByNode) < 7 {
		t.Errorf("%d of 10 nodes get an object, want at least 7", len(countByNode))
	}
}

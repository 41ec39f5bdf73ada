package gateway

import (
	"fmt"
	"testing"
	"time"

	"maddergap/internal/membership"
	"maddergap/internal/nodelist"
	"maddergap/scheduler"
)

// makeEndpointList returns an endpoint list of size nodes, four for each shard.
func makeEndpointList(size int) []nodelist.Node {
	nodes := make([]nodelist.Node, size)
	for i := range nodes {
		nodes[i] = nodelist.Node{Name: fmt.Sprintf("s-%08x", i), Addr: fmt.Sprintf("10.1.%d.%d:8000", i/250, i%250+1), Zone: i % 3, Shard: i / 4}
	}
	return nodes
}

// BenchmarkMembers measures the cost of updates of the endpoint list in the gateway and the
// scheduler: the first list, a full list without a change, and a single node that alternates
// between draining and serving.
func BenchmarkMembers(b *testing.B) {
	settings := scheduler.Settings{Instances: 300, Classes: []scheduler.Class{{Name: "read", LatencyObjective: 100 * time.Millisecond, PriorityWeight: 1}},
		Plans: []scheduler.Plan{{Weight: 1, PriorityFactor: 1}}, MaxUnits: 4, MeanUnits: 1}
	for _, size := range []int{200, 800, 3200} {
		nodes := makeEndpointList(size)
		newGateway := func() *Gateway {
			s, err := scheduler.New(settings, 1, 0)
			if err != nil {
				b.Fatal(err)
			}
			return &Gateway{scheduler: newSchedulerClient(s), nodes: newNodeTable(time.Time{})}
		}
		b.Run(fmt.Sprint("first/", size), func(b *testing.B) {
			for range b.N {
				g := newGateway()
				g.SetNodes(time.Second, nodes)
				g.Advance(time.Second)
			}
		})
		b.Run(fmt.Sprint("unchanged/", size), func(b *testing.B) {
			g := newGateway()
			g.SetNodes(time.Second, nodes)
			g.Advance(time.Second)
			for range b.N {
				g.SetNodes(time.Second, nodes)
				g.Advance(time.Second)
			}
		})
		b.Run(fmt.Sprint("one/", size), func(b *testing.B) {
			g := newGateway()
			g.SetNodes(time.Second, nodes)
			g.Advance(time.Second)
			one := nodes[size/2 : size/2+1]
			for i := range b.N {
				change := []nodelist.Node{one[0]}
				change[0].State = scheduler.NodeState(i % 2)
				g.updateMembership(membership.Update{Nodes: change})
				g.Advance(time.Second)
			}
		})
	}
}

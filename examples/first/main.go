// Command first passes an endpoint list of one node and one request to a scheduler, and prints the
// actions that the scheduler returns.
package main

import (
	"fmt"
	"log"
	"time"

	"maddergap/scheduler"
)

func main() {
	s, err := scheduler.New(scheduler.Settings{
		Instances: 1,
		Classes:   []scheduler.Class{{Name: "read", LatencyObjective: 200 * time.Millisecond, Effect: scheduler.Safe, PriorityWeight: 1}},
		Plans:     []scheduler.Plan{{Name: "standard", Rate: 10, Reserve: 5, Weight: 1, PriorityFactor: 1}},
	}, 1, 0)
	if err != nil {
		log.Fatal(err)
	}
	actions := s.Handle(0, []scheduler.Event{
		scheduler.EndpointUpdate{Full: true, Endpoints: []scheduler.Endpoint{{Node: "a", Shard: 0}}},
		scheduler.Arrival{ID: 7, Shard: 0, Volume: "v", Key: "k", TimeRemaining: time.Second, Units: 2, Instances: 1},
	})
	for _, action := range actions {
		fmt.Printf("%T %+v\n", action, action) // scheduler.Send {ID:7 Node:a ...}, then scheduler.SetTimer
	}
}

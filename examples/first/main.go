// Command first sends one request through a head and prints what it decides.
package main

import (
	"fmt"
	"time"

	"maddergap/scheduler"
)

func main() {
	head, err := scheduler.New(scheduler.Settings{
		Instances: 1,
		Classes:   []scheduler.Class{{Name: "read", LatencyObjective: 200 * time.Millisecond, Effect: scheduler.Safe, PriorityWeight: 1}},
		Plans:     []scheduler.Plan{{Name: "standard", Rate: 10, Reserve: 5, Weight: 1, PriorityFactor: 1}},
	}, 1, 0)
	if err != nil {
		panic(err)
	}
	now := scheduler.Time(0)
	head.Handle(now, []scheduler.Event{scheduler.EndpointUpdate{Full: true, Endpoints: []scheduler.Endpoint{{Node: "a", Shard: 0}}}})
	for _, action := range head.Handle(now, []scheduler.Event{scheduler.Arrival{
		ID: 7, Shard: 0, Volume: "v", Key: "k", TimeRemaining: time.Second, Units: 2, Instances: 1}}) {
		fmt.Printf("%T %+v\n", action, action) // scheduler.Send {ID:7 Node:a}, then scheduler.SetTimer
	}
}

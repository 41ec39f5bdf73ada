// Command first sends one request through a head and prints what it decides.
package main

import (
	"fmt"
	"time"

	"maddergap/logic"
)

func main() {
	head, err := logic.New(logic.Settings{
		Heads:   1,
		Classes: []logic.Class{{Name: "read", Aim: 200 * time.Millisecond, Effect: logic.Safe, Worth: 1}},
		Plans:   []logic.Plan{{Name: "standard", Rate: 10, Reserve: 5, Weight: 1, Price: 1}},
	}, 1, 0)
	if err != nil {
		panic(err)
	}
	now := logic.Time(0)
	head.Handle(now, []logic.Event{logic.List{Full: true, Entries: []logic.Entry{{Node: "a", Shard: 0}}}})
	for _, action := range head.Handle(now, []logic.Event{logic.Arrival{
		ID: 7, Shard: 0, Volume: "v", Key: "k", Left: time.Second, Units: 2, Hosts: 1}}) {
		fmt.Printf("%T %+v\n", action, action) // logic.Send {ID:7 Node:a}, then logic.WakeIn
	}
}

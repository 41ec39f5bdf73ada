package daemon

import (
	"maddergap/internal/eventloop"
	"maddergap/internal/gateway"
)

// membershipSource keeps the gateway's node list current. All methods but background are called
// on the loop's goroutine, or before it runs.
type membershipSource interface {
	// start hands the gateway its first nodes, or what to get them from.
	start(*eventloop.Loop, *gateway.Gateway) error
	// onWake is called after another goroutine has woken the loop.
	onWake()
	// onIteration is called at the end of each iteration of the loop.
	onIteration()
	// background runs in a goroutine of its own, until quit closes at the latest.
	background(quit <-chan struct{})
}

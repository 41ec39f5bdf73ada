package daemon

import (
	"maddergap/internal/eventloop"
	"maddergap/internal/gateway"
)

// membershipSource keeps the gateway's node list up to date. All methods except background are called
// on the loop's goroutine, or before the loop runs.
type membershipSource interface {
	// start gives the gateway its initial nodes, or the client from which it gets them.
	start(*eventloop.Loop, *gateway.Gateway) error
	// onWake is called after another goroutine has woken the loop.
	onWake()
	// onIteration is called at the end of each iteration of the loop.
	onIteration()
	// background runs in a goroutine of its own. It has to return when quit is closed.
	background(quit <-chan struct{})
}

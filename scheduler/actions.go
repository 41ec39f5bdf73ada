package scheduler

import "time"

// Action is what the caller of Handle has to carry out: one of Send, Reject, Fail, SetTimer and
// WatchEndpoints. Each request gets one final response: that of an attempt whose AttemptEnded had
// Responded set, a Reject or a Fail.
type Action interface{ action() }

// Send starts an attempt of a request at a node. The caller reports its end with AttemptEnded,
// whatever becomes of it. The attempts of a request are numbered from 0 in the order of their
// Sends.
type Send struct {
	ID   uint64
	Node string
	// StartBefore is the time before which the attempt has to reach the node: later, the node
	// may have forgotten the idempotency key of an earlier attempt. An attempt that is late ends
	// as NotSent without being sent. 0 for no bound.
	StartBefore Time
}

// Reject gives a request a final response which says that the client may safely try again.
type Reject struct {
	ID uint64
	// RetryAfter is how long the client should wait before it retries, 0 to leave that open.
	RetryAfter time.Duration
}

// Fail gives a request a final response that does not say whether the request ran.
type Fail struct{ ID uint64 }

// SetTimer asks for a TimerFired event after a time of whole milliseconds. It replaces the timer
// set before.
type SetTimer struct{ After time.Duration }

// WatchEndpoints asks for the endpoint list and its later changes, as EndpointUpdate events. It is
// sent where Settings.PollDiscovery is set, at the start and after a failed call. Only
// the simulator's driver (internal/simwire) carries it out; the gateway ignores it.
type WatchEndpoints struct{}

func (Send) action()           {}
func (Reject) action()         {}
func (Fail) action()           {}
func (SetTimer) action()       {}
func (WatchEndpoints) action() {}

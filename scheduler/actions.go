package scheduler

import "time"

// Action is an instruction to the caller of Handle: a Send, Reject, Fail, SetTimer or WatchEndpoints.
// Each request gets one final response: the response of the attempt whose AttemptEnded has Responded
// set, a Reject or a Fail. A request whose client disconnects before that gets none.
type Action interface{ action() }

// Send starts an attempt of a request at a node. The caller reports the end of the attempt with
// AttemptEnded, whatever the outcome. The attempts of a request are numbered from 0 in the order of
// their Sends.
type Send struct {
	ID   uint64
	Node string
	// ArriveBefore is the time before which the whole attempt has to arrive at the node, 0 for no
	// bound. Later the node may have forgotten the idempotency key of an earlier attempt, and would run
	// the request again. The caller does not begin to send an attempt that is too late, and ends it as
	// NotSent. It gives up an attempt that has no response by then, so that bytes which are still on
	// their way are discarded, and ends it as Cancelled: only a response proves the arrival.
	ArriveBefore Time
}

// Reject gives a request a final response that tells the client that it may safely retry.
type Reject struct {
	ID uint64
	// RetryAfter is the time that the client should wait before it retries, 0 for unspecified.
	RetryAfter time.Duration
}

// Fail gives a request a final response that leaves open whether the request ran.
type Fail struct{ ID uint64 }

// SetTimer asks for a TimerFired event after a whole number of milliseconds. It replaces the timer of
// any earlier SetTimer.
type SetTimer struct{ After time.Duration }

// WatchEndpoints asks for the endpoint list and its later changes, as EndpointUpdate events. It is
// emitted at the start, if Settings.PollDiscovery is set, and again after a failed call. Only the
// simulator's driver (internal/simwire) carries it out; the gateway ignores it.
type WatchEndpoints struct{}

func (Send) action()           {}
func (Reject) action()         {}
func (Fail) action()           {}
func (SetTimer) action()       {}
func (WatchEndpoints) action() {}

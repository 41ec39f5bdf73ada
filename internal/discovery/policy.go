package discovery

import "time"

// callPolicy sets how long a call may take, when the next one is made and how many may be under
// way. Getting the list from an agent and polling a service differ in this policy alone.
type callPolicy struct {
	// watchHold is how long the server may hold a watch while nothing changes; a random time of
	// up to watchHoldJitter is added to it. 0: no jitter.
	watchHold       Time
	watchHoldJitter Time
	// watchResponseTimeout is how long the response to a watch may take beyond its hold.
	watchResponseTimeout Time
	// listTimeout is how long any response may take, at least; it is the whole timeout of a call
	// that the server answers without a hold.
	listTimeout Time
	// maxCallAge bounds the age of the newest call: once that is older, another call is made on a
	// connection of its own. 0: calls do not overlap.
	maxCallAge Time
	// maxCalls bounds the calls under way, and so the connections.
	maxCalls int
	// The backoff after a failed call doubles from minBackoff to maxBackoff.
	minBackoff Time
	maxBackoff Time
}

// agentPolicy is for an agent on the gateway's own machine. It responds at once and at no cost;
// while discovery is down it is unresponsive, and whatever it has when it returns counts as delivered
// at that moment. The failure guarded against is a call that such an outage swallowed: a gateway
// that waits for its response, or backs off after it, keeps sending to a node that is draining
// until the grace of that drain is over. Since the newest call is never older than maxCallAge, but
// while a response is being received (maxResponseDeferral), a response is had within that time of the
// agent's return, whatever became of earlier calls.
var agentPolicy = callPolicy{
	watchHold:            120 * time.Millisecond, // below maxCallAge, so that a healthy agent needs one connection
	watchResponseTimeout: 2 * time.Second,        // a slow agent is waited for: calls made meanwhile cost it nothing
	listTimeout:          2 * time.Second,
	maxCallAge:           180 * time.Millisecond, // well below the 0.5 s of a drain's grace
	maxCalls:             4,
	minBackoff:           20 * time.Millisecond,
	maxBackoff:           180 * time.Millisecond, // maxCallAge bounds the wait anyway
}

// pollPolicy is for one service that all instances call. It serves a limited number of calls at
// a time and rejects the rest. The failure guarded against is a call that is given up while its
// response is on the way and then repeated: the service would work for nobody and stay
// overloaded. So one call is made at a time, and timeouts exceed what the service takes under
// load. A watch counts as a call too, so watches are long. A change that a hung watch missed
// counts as delivered 2 s after the watch was to end, so it is asked for before that.
var pollPolicy = callPolicy{
	watchHold:            12 * time.Second,
	watchHoldJitter:      6 * time.Second, // keeps the instances' watches from ending together
	watchResponseTimeout: 300 * time.Millisecond,
	listTimeout:          2200 * time.Millisecond, // an overloaded service takes about 2 s
	maxCalls:             1,
	minBackoff:           100 * time.Millisecond,
	maxBackoff:           800 * time.Millisecond,
}

// overlapping reports whether further calls are made while one has no response.
func (p *callPolicy) overlapping() bool { return p.maxCallAge > 0 }

const (
	// maxResponseDeferral bounds how long a response that is being received puts off the next call.
	maxResponseDeferral = 500 * time.Millisecond
	// responseStallTimeout is how long a response may pause before it puts off calls no more.
	responseStallTimeout = 90 * time.Millisecond
	// callSpacing is the least time between the starts of two calls on one connection. It guards
	// against a server that responds to watches at once though nothing changed, which would show
	// as a loop of calls that uses up both machines.
	callSpacing = 20 * time.Millisecond
	// dialTimeout is how long a connection to the server may take to come up.
	dialTimeout = 500 * time.Millisecond
)

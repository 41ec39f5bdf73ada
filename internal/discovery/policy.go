package discovery

import "time"

// callPolicy configures how long a call may take, when the next call is made and how many calls may
// be under way. Clients of an agent and of a polled service differ only in this policy.
type callPolicy struct {
	// watchHold is the time for which the server may hold a watch while nothing changes. A random
	// time of up to watchHoldJitter is added to it; 0 for no jitter.
	watchHold       Time
	watchHoldJitter Time
	// watchResponseTimeout is the time that the response to a watch may take beyond the hold.
	watchResponseTimeout Time
	// listTimeout is the timeout of a request for the full list, and the minimum timeout of any
	// other request.
	listTimeout Time
	// maxCallAge limits the age of the newest call: once it is reached, another call is made on a
	// new connection. 0 if calls do not overlap.
	maxCallAge Time
	// maxCalls is the maximum number of calls under way, and so of connections.
	maxCalls int
	// The backoff after a failed call doubles from minBackoff to maxBackoff.
	minBackoff Time
	maxBackoff Time
}

// agentPolicy is for an agent on the gateway's own machine. The agent responds at once and at no
// cost. During an outage of discovery it does not respond. When it recovers, the changes made until
// then count as delivered: whether or not the gateway has received them, the grace period of a drain
// begins at that moment. A call made during the outage may never get a response. A
// gateway that waits for that response, or backs off after the failure, would send requests to a
// draining node until the grace period of the drain is over. So the newest call is never older than
// maxCallAge, unless a response is being received (see maxResponseDeferral). The client thus
// gets a response within maxCallAge of the recovery, whatever happened to earlier calls.
var agentPolicy = callPolicy{
	watchHold:            120 * time.Millisecond, // below maxCallAge, so that a healthy agent needs one connection
	watchResponseTimeout: 2 * time.Second,        // long, for a slow agent; further calls cost the agent nothing
	listTimeout:          2 * time.Second,
	maxCallAge:           180 * time.Millisecond, // well below the grace period of a drain, 0.5 s
	maxCalls:             4,
	minBackoff:           20 * time.Millisecond,
	maxBackoff:           180 * time.Millisecond, // no longer than maxCallAge, which limits the wait anyway
}

// pollPolicy is for one service that all instances call. The service handles a limited number of
// calls at a time and rejects the rest. If instances abandoned calls before the response arrives and
// repeated them, the service would do useless work and stay overloaded. So an instance makes one
// call at a time, with timeouts longer than the response times of the service under load. A watch
// is one of these calls too, so watches are long. A change that a hung watch did not report counts as
// delivered (see agentPolicy) 2 s after the end of the hold. The timeout of a watch ends well before
// that time, so that the client can request the change with another call.
var pollPolicy = callPolicy{
	watchHold:            12 * time.Second,
	watchHoldJitter:      6 * time.Second, // keeps the watches of all instances from ending together
	watchResponseTimeout: 300 * time.Millisecond,
	listTimeout:          2200 * time.Millisecond, // an overloaded service takes about 2 s
	maxCalls:             1,
	minBackoff:           100 * time.Millisecond,
	maxBackoff:           800 * time.Millisecond,
}

// allowsOverlap reports whether calls may overlap: a further call is made while one has no response.
func (p *callPolicy) allowsOverlap() bool { return p.maxCallAge > 0 }

const (
	// maxResponseDeferral limits how long a response that is being received defers the next call. It
	// is counted from the first byte of the response.
	maxResponseDeferral = 500 * time.Millisecond
	// responseStallTimeout is the time without further bytes after which a response no longer defers
	// the next call.
	responseStallTimeout = 90 * time.Millisecond
	// minCallInterval is the minimum time between the starts of two calls on one connection. Without
	// it, a server that responds to watches at once though nothing changed would cause a busy loop
	// of calls on both machines.
	minCallInterval = 20 * time.Millisecond
	// dialTimeout is the time that a connection to the server may take to be established.
	dialTimeout = 500 * time.Millisecond
)

package discovery

import (
	"testing"
	"time"
)

// Times of the discovery protocol and its servers that the policies must respect.
const (
	drainGrace        = 500 * time.Millisecond  // time for which a gateway may still send to a draining node
	gatewayStall      = 150 * time.Millisecond  // time within drainGrace for which a gateway's process may stall
	missedChangeGrace = 2 * time.Second         // time from the end of a hold until a change counts as delivered
	maxProtocolHold   = 60 * time.Second        // longest hold of a watch
	overloadedService = 1900 * time.Millisecond // response time of an overloaded service
)

// Verifies the relations between the times of agentPolicy. A watch has to end before the next call
// is due, or a healthy agent would always be called on two connections. After an outage the client
// has to receive the list well before the grace period of a drain ends.
func TestAgentPolicyRelations(t *testing.T) {
	p := agentPolicy
	check(t, "the hold ends before the next call is due", p.watchHold+p.watchHoldJitter < p.maxCallAge)
	check(t, "the maximum age of a call is at most the grace of a drain less a stall", p.maxCallAge <= drainGrace-gatewayStall)
	check(t, "calls overlap", p.allowsOverlap() && p.maxCalls > 1)
	check(t, "the timeout of the oldest call is longer than all further calls take to start", p.listTimeout > Time(p.maxCalls)*p.maxCallAge && p.watchResponseTimeout >= p.listTimeout)
	check(t, "the backoff grows and is at most the maximum age of a call", p.minBackoff < p.maxBackoff && p.maxBackoff <= p.maxCallAge)
	check(t, "a stalled response does not defer the next call", responseStallTimeout < p.maxCallAge && responseStallTimeout < maxResponseDeferral)
	check(t, "the hold is longer than the minimum interval of calls", minCallInterval < p.watchHold)
	check(t, "a call outlives its dial", dialTimeout < p.listTimeout)
}

// Verifies the relations between the times of pollPolicy. The timeout has to exceed the response
// time of an overloaded service. Changes that a hung watch missed have to be requested before they
// count as delivered.
func TestPollPolicyRelations(t *testing.T) {
	p := pollPolicy
	check(t, "calls do not overlap", !p.allowsOverlap() && p.maxCalls == 1)
	check(t, "the timeout exceeds the response time of an overloaded service", p.listTimeout > overloadedService)
	check(t, "a hung watch is retried before the changes that it missed count as delivered", p.watchResponseTimeout+p.minBackoff*3/2 < missedChangeGrace)
	check(t, "the protocol allows the hold", p.watchHold+p.watchHoldJitter <= maxProtocolHold)
	check(t, "the timeout of a watch follows from its hold, not from listTimeout", p.watchHold+p.watchResponseTimeout > p.listTimeout)
	check(t, "the backoff grows", p.minBackoff < p.maxBackoff)
	check(t, "a call outlives its dial", dialTimeout < p.listTimeout)
}

// check reports an error if a relation does not hold.
func check(t *testing.T, relation string, holds bool) {
	t.Helper()
	if !holds {
		t.Errorf("relation does not hold: %s", relation)
	}
}

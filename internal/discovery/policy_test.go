package discovery

import (
	"testing"
	"time"
)

// Figures of the discovery protocol that the policies have to fit.
const (
	drainGrace        = 500 * time.Millisecond // in which a gateway may still send to a node that drains
	gatewayStall      = 150 * time.Millisecond // for which a gateway's process may be held up within that
	missedChangeGrace = 2 * time.Second        // after the end of a watch; then a change counts, delivered or not
	maxProtocolHold   = 60 * time.Second       // of a watch
	overloadedService = 1900 * time.Millisecond
)

// The timing of an agent's calls. A watch has to end before the next call is due, or a healthy
// agent would be called on two connections all the time; and an outage has to be over for the
// client well before the grace of a drain is.
func TestAgentPolicyRelations(t *testing.T) {
	p := agentPolicy
	check(t, "the hold ends before the call's age is up", p.watchHold+p.watchHoldJitter < p.maxCallAge)
	check(t, "the call's age is below the drain's grace, less a stall", p.maxCallAge <= drainGrace-gatewayStall)
	check(t, "calls overlap", p.overlapping() && p.maxCalls > 1)
	check(t, "the oldest call outlives the others", p.listTimeout > Time(p.maxCalls)*p.maxCallAge && p.watchResponseTimeout >= p.listTimeout)
	check(t, "a retry waits no longer than the next call would", p.minBackoff < p.maxBackoff && p.maxBackoff <= p.maxCallAge)
	check(t, "a stalled response puts off no call", responseStallTimeout < p.maxCallAge && responseStallTimeout < maxResponseDeferral)
	check(t, "a watch is longer than the spacing of calls", callSpacing < p.watchHold)
	check(t, "a call outlives its dial", dialTimeout < p.listTimeout)
}

// The timing of a polled service's calls. A call has to outlast an overloaded service, and what a
// hung watch missed has to be asked for before it counts.
func TestPollPolicyRelations(t *testing.T) {
	p := pollPolicy
	check(t, "calls do not overlap", !p.overlapping() && p.maxCalls == 1)
	check(t, "a call outlasts an overloaded service", p.listTimeout > overloadedService)
	check(t, "a hung watch is over before what it missed counts", p.watchResponseTimeout+p.minBackoff*3/2 < missedChangeGrace)
	check(t, "the hold is one that the protocol allows", p.watchHold+p.watchHoldJitter <= maxProtocolHold)
	check(t, "a watch's timeout is its own", p.watchHold+p.watchResponseTimeout > p.listTimeout)
	check(t, "the backoff grows", p.minBackoff < p.maxBackoff)
	check(t, "a call outlives its dial", dialTimeout < p.listTimeout)
}

func check(t *testing.T, relation string, holds bool) {
	t.Helper()
	if !holds {
		t.Errorf("does not hold: %s", relation)
	}
}

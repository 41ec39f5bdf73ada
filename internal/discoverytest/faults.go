package discoverytest

import "time"

// faultState is what is wrong with an agent.
type faultState struct {
	outages int  // that overlap; the agent is down while there is one
	down    bool // no connection is served, and no list received
	// epoch numbers the spans between faults that silence connections. A connection is served in
	// the epoch in which it was accepted, and hangs from then on.
	epoch         int
	responseDelay time.Duration
	recoveredAt   time.Time // when the last outage ended; zero: there was none
	// firstResponseAt is when the first response after that was written; zero: none was.
	firstResponseAt time.Time
}

// hangConns has all connections that are open hang for good.
func (f *faultState) hangConns() { f.epoch++ }

// responded is called when a response was written.
func (f *faultState) responded(now time.Time) {
	if f.firstResponseAt.IsZero() {
		f.firstResponseAt = now
	}
}

// StartOutage makes the agent unresponsive, for good on its connections. Outages may overlap.
func (a *Agent) StartOutage() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.faults.outages++
	a.faults.hangConns()
	if a.faults.down {
		return
	}
	a.faults.down = true
	a.notices.retractSince(time.Now().Add(-minReachableTime))
}

// EndOutage ends one outage. If it was the last one, the agent receives the list and serves it.
func (a *Agent) EndOutage() {
	a.registry.mu.Lock()
	defer a.registry.mu.Unlock()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.faults.outages--
	if a.faults.outages > 0 {
		return
	}
	a.faults.hangConns()
	a.faults.down = false
	a.faults.recoveredAt = time.Now()
	a.faults.firstResponseAt = time.Time{}
	a.receive(a.registry.index, a.registry.endpoints)
}

// RecoveryTimes returns when the last outage ended, and when the first response after that was
// written; both are zero where there was none.
func (a *Agent) RecoveryTimes() (recovered, firstResponse time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.faults.recoveredAt, a.faults.firstResponseAt
}

// HangWatches has the connections that are open hang for good. What their watches miss counts
// later.
func (a *Agent) HangWatches() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.faults.hangConns()
	a.notices.deferBy(hungWatchGrace)
}

// SetResponseDelay delays each response; 0 ends that. What delayed responses bring counts later.
func (a *Agent) SetResponseDelay(delay time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.faults.responseDelay = delay
	if delay > 0 {
		a.notices.deferBy(hungWatchGrace)
	}
}

// AddressChangeDelivered is called when the gateway's configuration was reloaded with a new
// address of the agent.
func (a *Agent) AddressChangeDelivered() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.notices.deferBy(reloadGrace)
}

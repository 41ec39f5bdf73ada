package discoverytest

import "time"

// faultState holds the present faults of an agent.
type faultState struct {
	outages int  // number of outages in progress, which may overlap
	down    bool // set during outages: the agent serves no connection and receives no list
	// epoch is incremented by each fault that makes the open connections hang. A connection is
	// served only during the epoch in which it was accepted.
	epoch         int
	responseDelay time.Duration
	recoveredAt   time.Time // time at which the last outage ended; zero if there was none
	// firstResponseAt is the time at which the first response since recoveredAt, or since the start
	// if there was no outage, was written; zero if there was none.
	firstResponseAt time.Time
}

// hangConns makes all open connections hang: the agent never responds on them again.
func (f *faultState) hangConns() { f.epoch++ }

// recordResponse records the time of the first response since the last outage. It is called after
// each response.
func (f *faultState) recordResponse(now time.Time) {
	if f.firstResponseAt.IsZero() {
		f.firstResponseAt = now
	}
}

// StartOutage takes the agent down. Its connections never get a response again, not even after the
// outage. Outages may overlap.
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

// EndOutage ends one outage. If no other one is in progress, the agent receives the current list
// and serves it on new connections.
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
	a.receiveLocked(a.registry.index, a.registry.endpoints)
}

// RecoveryTimes returns the times at which the last outage ended and at which the first response
// after that was written. recovered is zero if no outage has ended; firstResponse is then the time
// of the first response of all. firstResponse is zero if there was no such response.
func (a *Agent) RecoveryTimes() (recovered, firstResponse time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.faults.recoveredAt, a.faults.firstResponseAt
}

// HangConnections makes the open connections hang permanently. A drain recorded within hungWatchGrace
// counts as delivered only at the end of that time, since the open watches do not report it.
func (a *Agent) HangConnections() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.faults.hangConns()
	a.notices.deferDrains(hungWatchGrace)
}

// SetResponseDelay sets a delay of each response; 0 removes it. If a delay is set, a drain recorded
// within hungWatchGrace counts as delivered only at the end of that time.
func (a *Agent) SetResponseDelay(delay time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.faults.responseDelay = delay
	if delay > 0 {
		a.notices.deferDrains(hungWatchGrace)
	}
}

// AddressChangeDelivered has to be called when the gateway has reloaded its configuration with a
// new address of the agent. A drain recorded within reloadGrace counts as delivered only at the end
// of that time.
func (a *Agent) AddressChangeDelivered() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.notices.deferDrains(reloadGrace)
}

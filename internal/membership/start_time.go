package membership

import "time"

// maxListingDelay is how long after its start a node may first be listed.
const maxListingDelay = 2 * time.Second

// startTimeConverter converts start times of nodes, which are wall-clock times, to the monotonic
// clock. The gateway's wall clock may have been set, before its start or since, so a start time
// is taken only as far as the gateway's own observations support it.
type startTimeConverter struct {
	monotonicZero time.Time // the wall-clock time at which the monotonic clock read zero
	hasList       bool      // an update was applied
	lastUpdateAt  Time      // valid if hasList
}

// updated is called when an update was applied in full.
func (c *startTimeConverter) updated(now Time) {
	c.hasList = true
	c.lastUpdateAt = now
}

// monotonic returns when a node that an update lists anew started; 0: long ago.
// previousConfirmedAt is when the list before the update was known to be in force.
//
//   - A start in the future shows that a clock was set: the node counts as started now.
//   - A start that the previous list did not have is at most maxListingDelay older than the time
//     at which that list was confirmed. The failure guarded against is a wall clock that is ahead:
//     a node that was just restarted would count as warm and be overloaded.
//   - A start on the first list cannot be checked, and is taken as it is. To count all nodes as
//     just started instead would take away most of the capacity at each start of a gateway.
func (c *startTimeConverter) monotonic(now, previousConfirmedAt Time, started time.Time) Time {
	if started.IsZero() {
		return 0
	}
	earliest := Time(1) // since 0 is long ago
	if c.hasList {
		earliest = max(earliest, previousConfirmedAt-maxListingDelay)
	}
	return min(max(started.Sub(c.monotonicZero), earliest), now)
}

package membership

import "time"

// maxListingDelay is the longest time between the start of a node and its first listing.
const maxListingDelay = 2 * time.Second

// startTimeConverter converts the start times of nodes from wall-clock time to the monotonic clock.
// The gateway's wall clock may be wrong or may have been set since the gateway's start. Converted
// times are therefore limited to the range that the gateway's own observations allow.
type startTimeConverter struct {
	monotonicZero time.Time // wall-clock time at which the monotonic clock read zero
	hasList       bool      // true once an update has been applied
	lastUpdateAt  Time      // time of the last update; valid if hasList
}

// recordUpdate records that an update was applied at now. It must be called after the start times of
// all nodes of the update have been converted.
func (c *startTimeConverter) recordUpdate(now Time) {
	c.hasList = true
	c.lastUpdateAt = now
}

// toMonotonic converts the start time of a node that an update lists for the first time or with a
// new start time. It returns 0 for a node without a start time, which means long ago.
// previousConfirmedAt is the latest time at which the previous list was known to be current.
//
//   - A start time in the future means that a clock is wrong. The node counts as started now.
//   - A start time that the previous list did not contain is at most maxListingDelay older than
//     previousConfirmedAt. Without this limit, if the gateway's wall clock were ahead, a node that
//     was just restarted would count as warm and be overloaded.
//   - A start time on the first list cannot be checked and is used as it is. Counting all nodes as
//     just started instead would lose most of the capacity at each start of a gateway.
func (c *startTimeConverter) toMonotonic(now, previousConfirmedAt Time, started time.Time) Time {
	if started.IsZero() {
		return 0
	}
	earliest := Time(1) // 0 means long ago
	if c.hasList {
		earliest = max(earliest, previousConfirmedAt-maxListingDelay)
	}
	return min(max(started.Sub(c.monotonicZero), earliest), now)
}

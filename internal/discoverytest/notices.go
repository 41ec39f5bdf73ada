package discoverytest

import (
	"maps"
	"slices"
	"time"

	"maddergap/internal/audit"
)

const (
	// hungWatchGrace and reloadGrace are the times that the protocol grants a gateway to learn of a
	// change after its watch hung, and after it reloaded its configuration with a new address of
	// the agent. After that time, the change counts as delivered.
	hungWatchGrace = 6 * time.Second
	reloadGrace    = 4 * time.Second
	// minReachableTime is the time for which an agent must be up after it received a list, for
	// the list to count as delivered. In a shorter time, the gateway may not have called the agent.
	minReachableTime = 350 * time.Millisecond
)

// noticeLog records from when the changes of an agent's list count as delivered to its gateway
// instance.
type noticeLog struct {
	instance int
	drains   []audit.Notice  // notices of nodes that are not up; To is set when the node is up again
	starts   []audit.Notice  // notices of nodes that have started
	baseline endpointsByName // list that the next one is compared with; nil before the first list
	// history lists the recent changes of baseline, the oldest first.
	history []baselineChange
	// drainsNotBefore is the earliest time from which drains that are recorded now count.
	drainsNotBefore time.Time
}

// baselineChange is a change of noticeLog.baseline.
type baselineChange struct {
	at       time.Time
	previous endpointsByName // baseline before the change
}

// deferDrains makes the drains recorded from now on count no earlier than a grace period from now.
func (l *noticeLog) deferDrains(grace time.Duration) { l.drainsNotBefore = time.Now().Add(grace) }

// record compares a list that the agent received with the baseline and records notices of the
// changes. The list becomes the baseline.
func (l *noticeLog) record(now time.Time, endpoints endpointsByName) {
	previous := l.baseline
	l.baseline = endpoints
	l.history = slices.DeleteFunc(l.history, func(r baselineChange) bool { return r.at.Before(now.Add(-2 * minReachableTime)) })
	if previous != nil { // not the first list, which the gateway knows from its start
		l.history = append(l.history, baselineChange{at: now, previous: previous})
	}
	drainFrom := now
	if l.drainsNotBefore.After(drainFrom) {
		drainFrom = l.drainsNotBefore
	}
	for name, endpoint := range endpoints {
		isUp, wasUp := endpoint.Status == "up", previous[name].Status == "up"
		if previous != nil && endpoint.Since != previous[name].Since {
			l.starts = append(l.starts, audit.Notice{Instance: l.instance, Node: name, From: now.UnixMicro()})
		}
		switch {
		case wasUp && !isUp:
			l.drains = append(l.drains, audit.Notice{Instance: l.instance, Node: name, From: drainFrom.UnixMicro()})
		case !wasUp && isUp:
			l.endDrain(name)
		}
	}
}

// endDrain ends the drain notices of a node that is up again.
func (l *noticeLog) endDrain(name string) {
	for i := range l.drains {
		if notice := &l.drains[i]; notice.Node == name && notice.To == 0 {
			notice.To = nowMicros()
		}
	}
}

// retractSince removes the drain notices of lists that the agent received after a time, and restores
// the baseline from before these lists. The next list then leads to new notices. Without this, the
// audit would blame a gateway for a change that the agent received just before an outage, although
// the gateway may not have learned of it. The end of a drain is kept, since a gateway with an open
// watch did learn that the node is up. If the node is not up in the next list, that counts as a new
// drain.
func (l *noticeLog) retractSince(since time.Time) {
	first := slices.IndexFunc(l.history, func(r baselineChange) bool { return r.at.After(since) })
	if first < 0 {
		return
	}
	l.baseline = maps.Clone(l.history[first].previous)
	from := l.history[first].at.UnixMicro()
	l.history = l.history[:first]
	l.drains = slices.DeleteFunc(l.drains, func(n audit.Notice) bool { return n.From >= from })
	for _, notice := range l.drains {
		if notice.To >= from { // ended by one of the retracted lists
			endpoint := l.baseline[notice.Node]
			endpoint.Status = "up"
			l.baseline[notice.Node] = endpoint
		}
	}
}

// nowMicros returns the time in the unit of notices: microseconds of Unix time.
func nowMicros() int64 { return time.Now().UnixMicro() }

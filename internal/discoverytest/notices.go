package discoverytest

import (
	"maps"
	"slices"
	"time"

	"maddergap/internal/audit"
)

const (
	// hungWatchGrace and reloadGrace are how long after a watch hung, and after a reload with
	// a new address, a change counts as delivered at the latest, by the protocol.
	hungWatchGrace = 6 * time.Second
	reloadGrace    = 4 * time.Second
	// minReachableTime is how long an agent has to be up with a list for that to count: a gateway
	// cannot be sure to have called it in a shorter time.
	minReachableTime = 350 * time.Millisecond
)

// noticeLog records from when the changes of an agent's list count as delivered to its gateway.
type noticeLog struct {
	instance int
	drains   []audit.Notice  // of nodes that are not up; To is set when they are again
	starts   []audit.Notice  // of nodes that started
	noted    endpointsByName // the list that the notices are of; nil: there was none
	// history has the recent changes of noted, the oldest first.
	history []noticeRevision
	// notBefore defers the notices of drains.
	notBefore time.Time
}

// noticeRevision is a change of the list that the notices are of.
type noticeRevision struct {
	at       time.Time
	previous endpointsByName
}

// deferBy has what is recorded from now on count no sooner than after a grace.
func (l *noticeLog) deferBy(grace time.Duration) { l.notBefore = time.Now().Add(grace) }

// record takes the notices of a list that the agent received.
func (l *noticeLog) record(now time.Time, endpoints endpointsByName) {
	previous := l.noted
	l.noted = endpoints
	l.history = slices.DeleteFunc(l.history, func(r noticeRevision) bool { return r.at.Before(now.Add(-2 * minReachableTime)) })
	if previous != nil { // the first list is known from the start
		l.history = append(l.history, noticeRevision{at: now, previous: previous})
	}
	countsAt := now
	if l.notBefore.After(countsAt) {
		countsAt = l.notBefore
	}
	for name, endpoint := range endpoints {
		isUp, wasUp := endpoint.Status == "up", previous[name].Status == "up"
		if previous != nil && endpoint.Since != previous[name].Since {
			l.starts = append(l.starts, audit.Notice{Instance: l.instance, Node: name, From: now.UnixMicro()})
		}
		switch {
		case wasUp && !isUp:
			l.drains = append(l.drains, audit.Notice{Instance: l.instance, Node: name, From: countsAt.UnixMicro()})
		case !wasUp && isUp:
			l.endDrain(name)
		}
	}
}

// endDrain ends the notices of a node that is up again.
func (l *noticeLog) endDrain(name string) {
	for i := range l.drains {
		if notice := &l.drains[i]; notice.Node == name && notice.To == 0 {
			notice.To = nowMicros()
		}
	}
}

// retractSince takes back the notices recorded since a time. They are recorded again with the next
// list. The failure guarded against is an audit that blames a gateway for a change which it could
// not be sure to hear of: the agent had it only just before an outage. The end of a drain stands,
// as a gateway with an open watch did hear that the node is up; if the node is not up in the next
// list, that counts as a new drain.
func (l *noticeLog) retractSince(since time.Time) {
	first := slices.IndexFunc(l.history, func(r noticeRevision) bool { return r.at.After(since) })
	if first < 0 {
		return
	}
	l.noted = maps.Clone(l.history[first].previous)
	from := l.history[first].at.UnixMicro()
	l.history = l.history[:first]
	l.drains = slices.DeleteFunc(l.drains, func(n audit.Notice) bool { return n.From >= from })
	for _, notice := range l.drains {
		if notice.To >= from { // ended by what is taken back
			endpoint := l.noted[notice.Node]
			endpoint.Status = "up"
			l.noted[notice.Node] = endpoint
		}
	}
}

// nowMicros is the time in the unit of notices.
func nowMicros() int64 { return time.Now().UnixMicro() }

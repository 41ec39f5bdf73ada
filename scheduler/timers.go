package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Timers: which nodes are looked at, and when the scheduler is to be woken. Only nodes that
// something happened to, or whose time has come, are looked at.

const (
	never = Time(math.MaxInt64)
	// volumeIdleTimeout is after what time an idle volume is forgotten.
	volumeIdleTimeout = 10 * time.Second
	// queueChecksPerObjective is how often held requests are looked at within a shortest aim.
	queueChecksPerObjective = 12
	// silenceChecksPerObjective is the same for a node that owes an answer.
	silenceChecksPerObjective = 4
	// timerResolution is the unit of timers: one that came a fraction early would be taken for another.
	timerResolution = time.Millisecond
)

type timers struct {
	dirty      []*node // something happened to them in this moment
	dirtyReuse []*node // those of the last, for use again
	waiting    []*node // those that have a time to be looked at, in any order
	nextWakeAt Time    // first of their times, or before it
	watchAt    Time    // when to ask for the list, before 0: not
	timerAt    Time    // when the timer asked for last goes off
	sweptAt    Time
}

func newTimers(now Time) timers { return timers{watchAt: -1, timerAt: now, sweptAt: now} }

// markDirty has a node looked at when the events of the moment are taken.
func (s *Scheduler) markDirty(n *node) {
	if n != nil && !n.dirty {
		n.dirty = true
		s.timers.dirty = append(s.timers.dirty, n)
	}
}

// dispatch lets every node that something happened to send, and sets the timer.
func (s *Scheduler) dispatch() {
	wake := s.watchEndpoints()
	if s.now >= s.timers.nextWakeAt { // else only nodes that something happened to
		s.timers.nextWakeAt = never
		s.wakeNodes()
	}
	s.dispatchDirty()
	wake = min(wake, s.timers.nextWakeAt)
	if len(s.timers.dirty) > 0 { // by what came of it, as a key's next turn
		wake = s.now
	}
	s.rejectExpired(s.unassigned)
	wake = min(wake, nextExpiry(s.unassigned))
	if s.now >= s.timers.sweptAt+volumeIdleTimeout/2 {
		s.sweep()
	}
	s.setTimer(wake)
}

// watchEndpoints asks for the node list when it is time, and returns when that is.
func (s *Scheduler) watchEndpoints() (wake Time) {
	switch at := s.timers.watchAt; {
	case at < 0:
		return never
	case s.now < at:
		return at
	}
	s.emit(WatchEndpoints{})
	s.timers.watchAt = -1
	return never
}

// dispatchDirty lets the nodes send that something happened to until now.
func (s *Scheduler) dispatchDirty() {
	t := &s.timers
	dirty := t.dirty
	t.dirty, t.dirtyReuse = t.dirtyReuse[:0], dirty
	for _, n := range dirty {
		s.dispatchNode(n)
		t.nextWakeAt = min(t.nextWakeAt, n.wakeAt)
		if n.wakeAt < never && !n.waiting {
			n.waiting = true
			t.waiting = append(t.waiting, n)
		}
	}
}

// setWakeTime sets when a node is to be looked at again though nothing happens to it.
func (s *Scheduler) setWakeTime(n *node) {
	n.wakeAt = never
	if len(n.inFlight) > 0 {
		n.wakeAt = s.now + s.shortestObjective/silenceChecksPerObjective
	}
	if n.queue.Len() > 0 { // held for a slot, or by what time alone changes
		slot := max(n.nextSendAt(), s.now+s.shortestObjective/queueChecksPerObjective)
		n.wakeAt = min(n.wakeAt, nextExpiry(n.queue), slot)
	}
}

// wakeNodes has nodes looked at whose time has come, in the order in which they joined. Only
// nodes with work have one, however many are on the list.
func (s *Scheduler) wakeNodes() {
	t := &s.timers
	var due []*node
	kept := t.waiting[:0]
	for _, n := range t.waiting {
		switch {
		case s.now >= n.wakeAt:
			due = append(due, n)
			n.waiting = false
		case n.wakeAt < never:
			kept = append(kept, n)
			t.nextWakeAt = min(t.nextWakeAt, n.wakeAt)
		default:
			n.waiting = false
		}
	}
	clear(t.waiting[len(kept):])
	t.waiting = kept
	slices.SortFunc(due, func(a, b *node) int { return cmp.Compare(a.joinOrder, b.joinOrder) })
	for _, n := range due {
		s.markDirty(n)
	}
}

// setTimer asks for a timer, if the one that was asked for goes off later or has gone off.
func (s *Scheduler) setTimer(wake Time) {
	if wake == never || (s.timers.timerAt > s.now && wake >= s.timers.timerAt) {
		return
	}
	in := max(wake-s.now+timerResolution-1, timerResolution).Truncate(timerResolution)
	s.timers.timerAt = s.now + in
	s.emit(SetTimer{After: in})
}

// sweep forgets idle volumes and keys. A volume whose limit's bucket is not full yet is kept:
// forgotten, it would come back with more than it has.
func (s *Scheduler) sweep() {
	s.timers.sweptAt = s.now
	for _, n := range s.members.nodes {
		n.queue.Sweep()
	}
	for name, v := range s.volumes {
		s.sweepStreams(v)
		v.limit.fill(s.now)
		if s.now-v.lastUsedAt > volumeIdleTimeout && len(v.streams) == 0 && v.limit.level >= v.limit.capacity {
			delete(s.volumes, name)
		}
	}
	s.sweepKeyOrders()
	s.trimRetryUsage()
}

func (s *Scheduler) sweepStreams(v *volume) {
	for n, at := range v.streams {
		if s.now-at.lastUsedAt > volumeIdleTimeout {
			delete(v.streams, n)
		}
	}
}

package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Timers: which nodes are looked at after the events of a moment, and when the next timer fires.
// Only nodes that something happened to, or whose time has come, are looked at.

const (
	// never is the time of what does not happen by itself.
	never = Time(math.MaxInt64)
	// queueChecksPerObjective is how often a node with queued requests is looked at within the
	// shortest latency objective: pressure, buckets and expected latencies change with time alone.
	queueChecksPerObjective = 12
	// responseChecksPerObjective is the same for a node with attempts in flight, for checkResponsiveness.
	responseChecksPerObjective = 4
	// timerResolution is the unit of timers. The caller may round a timer down to its own unit; one
	// that fires a fraction early would be taken for the one that was set, and nothing would be due.
	timerResolution = time.Millisecond
)

// timers keep what has to be looked at, and when.
type timers struct {
	dirty       []*node // nodes that something happened to since they were last looked at
	dirtyBuffer []*node // the list before, for use again
	scheduled   []*node // nodes with a wakeAt, in any order
	nextWakeAt  Time    // not after the first wakeAt of waiting
	watchAt     Time    // when to ask for the endpoint list, negative for not at all
	timerAt     Time    // when the timer that was set last fires
	sweptAt     Time
}

func newTimers(now Time) timers { return timers{watchAt: -1, timerAt: now, sweptAt: now} }

// markDirty has a node looked at once the events of the moment are handled; n may be nil.
func (s *Scheduler) markDirty(n *node) {
	if n != nil && !n.dirty {
		n.dirty = true
		s.timers.dirty = append(s.timers.dirty, n)
	}
}

// dispatch looks at the nodes that are due, rejects what expired and sets the timer.
func (s *Scheduler) dispatch() {
	wakeAt := s.watchEndpoints()
	if s.now >= s.timers.nextWakeAt {
		s.timers.nextWakeAt = never
		s.markDue()
	}
	s.dispatchDirty()
	wakeAt = min(wakeAt, s.timers.nextWakeAt)
	if len(s.timers.dirty) > 0 { // by what was just done, as where a key's next request may go
		wakeAt = s.now
	}
	s.completeExpired(s.unassigned)
	wakeAt = min(wakeAt, nextExpiry(s.unassigned))
	if s.now >= s.timers.sweptAt+volumeIdleTimeout/2 {
		s.sweep()
	}
	s.setTimer(wakeAt)
}

// watchEndpoints asks for the endpoint list when that is due, and returns when it will be.
func (s *Scheduler) watchEndpoints() (wakeAt Time) {
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

// dispatchDirty looks at the nodes that are dirty by now. Those that become dirty meanwhile are
// looked at next time.
func (s *Scheduler) dispatchDirty() {
	t := &s.timers
	dirty := t.dirty
	t.dirty, t.dirtyBuffer = t.dirtyBuffer[:0], dirty
	for _, n := range dirty {
		s.dispatchNode(n)
		t.nextWakeAt = min(t.nextWakeAt, n.wakeAt)
		if n.wakeAt < never && !n.scheduled {
			n.scheduled = true
			t.scheduled = append(t.scheduled, n)
		}
	}
}

// setWakeTime sets when a node is looked at again if nothing happens to it.
func (s *Scheduler) setWakeTime(n *node) {
	n.wakeAt = never
	if len(n.inFlight) > 0 {
		n.wakeAt = s.now + s.shortestObjective/responseChecksPerObjective
	}
	if n.queue.Len() > 0 {
		checkAt := max(n.nextSendAt(), s.now+s.shortestObjective/queueChecksPerObjective)
		n.wakeAt = min(n.wakeAt, nextExpiry(n.queue), checkAt)
	}
}

// markDue marks the nodes dirty whose time has come, in the order in which they joined. Only nodes
// with queued requests or attempts in flight have a time, so the cost does not grow with the list.
func (s *Scheduler) markDue() {
	t := &s.timers
	var due []*node
	kept := t.scheduled[:0]
	for _, n := range t.scheduled {
		switch {
		case s.now >= n.wakeAt:
			due = append(due, n)
			n.scheduled = false
		case n.wakeAt < never:
			kept = append(kept, n)
			t.nextWakeAt = min(t.nextWakeAt, n.wakeAt)
		default:
			n.scheduled = false
		}
	}
	clear(t.scheduled[len(kept):])
	t.scheduled = kept
	slices.SortFunc(due, func(a, b *node) int { return cmp.Compare(a.joinOrder, b.joinOrder) })
	for _, n := range due {
		s.markDirty(n)
	}
}

// setTimer asks for a timer, unless the one that was set fires in the future and no later.
func (s *Scheduler) setTimer(wakeAt Time) {
	if wakeAt == never || (s.timers.timerAt > s.now && wakeAt >= s.timers.timerAt) {
		return
	}
	after := max(wakeAt-s.now+timerResolution-1, timerResolution).Truncate(timerResolution)
	s.timers.timerAt = s.now + after
	s.emit(SetTimer{After: after})
}

// sweep forgets what has been idle.
func (s *Scheduler) sweep() {
	s.timers.sweptAt = s.now
	for _, n := range s.members.nodes {
		n.queue.Sweep()
	}
	s.sweepVolumes()
	s.sweepKeyOrders()
	s.trimArrivals()
}

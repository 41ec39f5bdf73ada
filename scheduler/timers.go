package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Timers: which nodes are dispatched after the events of a call of Handle, and when the next timer
// fires. A node is dispatched only if an event affected it or its wake time has come.

const (
	// never is the time of something that only an event can cause.
	never = Time(math.MaxInt64)
	// queueChecksPerObjective is the number of times within the shortest latency objective that a node
	// with queued requests is dispatched. Its pressure, buckets and expected latencies change with
	// time alone.
	queueChecksPerObjective = 12
	// responseChecksPerObjective is the same for a node with attempts in flight, for
	// checkResponsiveness.
	responseChecksPerObjective = 4
	// timerResolution is the unit of timers. The caller may round a timer down to a coarser unit than
	// that of Time. A timer that fires a fraction early would find nothing due, and setTimer would not
	// set another one, because the time of the last one has not come.
	timerResolution = time.Millisecond
)

// timers holds the nodes that have to be dispatched, and when.
type timers struct {
	dirty       []*node // nodes to dispatch that an event affected or whose wake time has come
	dirtyBuffer []*node // the previous dirty slice, kept for reuse
	scheduled   []*node // nodes with a wakeAt, in any order
	nextWakeAt  Time    // not after the earliest wakeAt of the scheduled nodes
	watchAt     Time    // when to emit WatchEndpoints, negative for never
	timerAt     Time    // when the timer of the last SetTimer fires
	sweptAt     Time    // time of the last sweep
}

func newTimers(now Time) timers { return timers{watchAt: -1, timerAt: now, sweptAt: now} }

// markDirty marks a node to be dispatched after the current events; n may be nil.
func (s *Scheduler) markDirty(n *node) {
	if n != nil && !n.dirty {
		n.dirty = true
		s.timers.dirty = append(s.timers.dirty, n)
	}
}

// dispatch dispatches the nodes that are due, completes the expired requests without a node, and sets
// the timer.
func (s *Scheduler) dispatch() {
	wakeAt := s.watchEndpoints()
	if s.now >= s.timers.nextWakeAt {
		s.timers.nextWakeAt = never
		s.markDueNodes()
	}
	s.dispatchDirty()
	wakeAt = min(wakeAt, s.timers.nextWakeAt)
	// dispatchDirty marks further nodes, for example where the next request of a key became ready.
	if len(s.timers.dirty) > 0 {
		wakeAt = s.now
	}
	s.completeExpired(s.unassigned)
	wakeAt = min(wakeAt, nextExpiry(s.unassigned))
	if s.now >= s.timers.sweptAt+volumeIdleTimeout/2 {
		s.sweep()
	}
	s.setTimer(wakeAt)
}

// watchEndpoints emits WatchEndpoints if that is due. It returns when it will be due next, never if no
// call is planned.
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

// dispatchDirty dispatches the nodes that are dirty now. Nodes that become dirty meanwhile are
// dispatched in the next call of Handle.
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

// setWakeTime sets when a node is dispatched again if no event affects it before.
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

// markDueNodes marks the nodes dirty whose wake time has come, in the order in which they joined. Only
// nodes with queued requests or attempts in flight have a wake time, so the cost does not grow with
// the endpoint list.
func (s *Scheduler) markDueNodes() {
	t := &s.timers
	var dueNodes []*node
	stillScheduled := t.scheduled[:0]
	for _, n := range t.scheduled {
		switch {
		case s.now >= n.wakeAt:
			dueNodes = append(dueNodes, n)
			n.scheduled = false
		case n.wakeAt < never:
			stillScheduled = append(stillScheduled, n)
			t.nextWakeAt = min(t.nextWakeAt, n.wakeAt)
		default:
			n.scheduled = false
		}
	}
	clear(t.scheduled[len(stillScheduled):])
	t.scheduled = stillScheduled
	slices.SortFunc(dueNodes, func(a, b *node) int { return cmp.Compare(a.joinOrder, b.joinOrder) })
	for _, n := range dueNodes {
		s.markDirty(n)
	}
}

// setTimer emits SetTimer for a wake time, unless the timer that is set fires in the future and no
// later than that.
func (s *Scheduler) setTimer(wakeAt Time) {
	if wakeAt == never || (s.timers.timerAt > s.now && wakeAt >= s.timers.timerAt) {
		return
	}
	after := max(wakeAt-s.now+timerResolution-1, timerResolution).Truncate(timerResolution)
	s.timers.timerAt = s.now + after
	s.emit(SetTimer{After: after})
}

// sweep deletes idle state.
func (s *Scheduler) sweep() {
	s.timers.sweptAt = s.now
	for _, n := range s.members.nodes {
		n.queue.DeleteEmptyOwners()
	}
	s.sweepVolumes()
	s.sweepKeyOrders()
	s.trimArrivals()
}

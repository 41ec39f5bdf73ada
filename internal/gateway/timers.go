package gateway

import "container/heap"

// connTimer is the only timer of a connection.
//
// A deadline that moves later leaves the heap entry in place, so that extending it with each
// read costs nothing. heapDeadline is therefore never later than deadline, and an entry that
// comes to the top before its deadline is moved then.
type connTimer struct {
	conn         connection
	deadline     Time // time at which the timer expires; never: it is stopped
	heapDeadline Time // key in the heap, if the timer is in the heap
	heapIndex    int  // index in the heap; -1: not in the heap
}

func newConnTimer(c connection) connTimer {
	return connTimer{conn: c, deadline: never, heapDeadline: never, heapIndex: -1}
}

// timerQueue holds the timers of all connections in a heap, ordered by connTimer.heapDeadline.
type timerQueue struct{ heap timerHeap }

// set sets the time at which a timer expires; never stops the timer.
func (q *timerQueue) set(t *connTimer, deadline Time) {
	t.deadline = deadline
	switch {
	case deadline == never:
	case t.heapIndex < 0:
		t.heapDeadline = deadline
		heap.Push(&q.heap, t)
	case deadline < t.heapDeadline:
		t.heapDeadline = deadline
		heap.Fix(&q.heap, t.heapIndex)
	}
}

// remove removes the timer of a connection that is closed.
func (q *timerQueue) remove(t *connTimer) {
	if t.heapIndex >= 0 {
		heap.Remove(&q.heap, t.heapIndex)
	}
}

// popExpired returns a connection whose timer has expired and stops that timer. It
// returns nil if there is none.
func (q *timerQueue) popExpired(now Time) connection {
	for len(q.heap) > 0 && q.heap[0].heapDeadline <= now {
		t := q.heap[0]
		if t.deadline > now { // the deadline was moved after the entry was placed
			t.heapDeadline = t.deadline
			heap.Fix(&q.heap, 0)
			continue
		}
		heap.Pop(&q.heap)
		t.deadline = never
		return t.conn
	}
	return nil
}

// next returns the time by which popExpired has to be called again.
func (q *timerQueue) next() Time {
	if len(q.heap) == 0 {
		return never
	}
	return q.heap[0].heapDeadline
}

// timerHeap implements heap.Interface.
type timerHeap []*connTimer

func (t timerHeap) Len() int { return len(t) }

func (t timerHeap) Less(i, j int) bool { return t[i].heapDeadline < t[j].heapDeadline }

func (t timerHeap) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].heapIndex, t[j].heapIndex = i, j
}

func (t *timerHeap) Push(x any) {
	timer := x.(*connTimer)
	timer.heapIndex = len(*t)
	*t = append(*t, timer)
}

func (t *timerHeap) Pop() any {
	last := len(*t) - 1
	timer := (*t)[last]
	(*t)[last] = nil
	*t, timer.heapIndex = (*t)[:last], -1
	return timer
}

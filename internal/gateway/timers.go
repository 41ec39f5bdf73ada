package gateway

import "container/heap"

// connTimer is the one timer of a connection.
//
// Moving the deadline later leaves the heap entry where it is, so that a deadline
// that moves with each read costs nothing: armed, which orders the heap, is never
// later than deadline, and an entry that comes up too early is moved then.
type connTimer struct {
	conn      connection
	deadline  Time // when the timer expires; never: it does not
	armed     Time // position in the heap, if it is in it
	heapIndex int  // -1: not in the heap
}

func newConnTimer(c connection) connTimer {
	return connTimer{conn: c, deadline: never, armed: never, heapIndex: -1}
}

// timerQueue is the heap of the connections' timers by the time they are armed for.
type timerQueue struct{ heap timerHeap }

// set sets when a timer expires; never stops it.
func (q *timerQueue) set(t *connTimer, deadline Time) {
	t.deadline = deadline
	switch {
	case deadline == never:
	case t.heapIndex < 0:
		t.armed = deadline
		heap.Push(&q.heap, t)
	case deadline < t.armed:
		t.armed = deadline
		heap.Fix(&q.heap, t.heapIndex)
	}
}

// remove takes the timer of a connection that is closed out of the heap.
func (q *timerQueue) remove(t *connTimer) {
	if t.heapIndex >= 0 {
		heap.Remove(&q.heap, t.heapIndex)
	}
}

// popExpired returns a connection whose timer has expired and stops that timer. It
// returns nil if there is none.
func (q *timerQueue) popExpired(now Time) connection {
	for len(q.heap) > 0 && q.heap[0].armed <= now {
		t := q.heap[0]
		if t.deadline > now { // the deadline was moved since
			t.armed = t.deadline
			heap.Fix(&q.heap, 0)
			continue
		}
		heap.Pop(&q.heap)
		t.deadline = never
		return t.conn
	}
	return nil
}

// next returns when popExpired has to be called again at the latest.
func (q *timerQueue) next() Time {
	if len(q.heap) == 0 {
		return never
	}
	return q.heap[0].armed
}

// timerHeap implements heap.Interface.
type timerHeap []*connTimer

func (t timerHeap) Len() int { return len(t) }

func (t timerHeap) Less(i, j int) bool { return t[i].armed < t[j].armed }

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

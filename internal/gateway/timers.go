package gateway

import "container/heap"

// connTimer is the one timer of a connection.
//
// Moving the deadline later leaves the heap entry where it is, so that a deadline
// that moves with each read costs nothing: armed, which orders the heap, is never
// later than deadline, and an entry that comes up too early is moved then.
type connTimer struct {
	deadline  Time // when the timer expires; never: it does not
	armed     Time // position in the heap, if it is in it
	heapIndex int  // -1: not in the heap
}

func stoppedTimer() connTimer { return connTimer{deadline: never, armed: never, heapIndex: -1} }

// timerQueue is the heap of the connections' timers by the time they are armed for.
type timerQueue struct{ heap timerHeap }

// set sets when the timer of a connection expires.
func (q *timerQueue) set(c *conn, deadline Time) {
	c.timer.deadline = deadline
	switch {
	case deadline == never:
	case c.timer.heapIndex < 0:
		c.timer.armed = deadline
		heap.Push(&q.heap, c)
	case deadline < c.timer.armed:
		c.timer.armed = deadline
		heap.Fix(&q.heap, c.timer.heapIndex)
	}
}

// remove takes the timer of a connection that is closed out of the heap.
func (q *timerQueue) remove(c *conn) {
	if c.timer.heapIndex >= 0 {
		heap.Remove(&q.heap, c.timer.heapIndex)
	}
}

// popExpired returns a connection whose timer has expired and stops that timer. It
// returns nil if there is none.
func (q *timerQueue) popExpired(now Time) *conn {
	for len(q.heap) > 0 && q.heap[0].timer.armed <= now {
		c := q.heap[0]
		if c.timer.deadline > now { // the deadline was moved since
			c.timer.armed = c.timer.deadline
			heap.Fix(&q.heap, 0)
			continue
		}
		heap.Pop(&q.heap)
		c.timer.deadline = never
		return c
	}
	return nil
}

// next returns when popExpired has to be called again at the latest.
func (q *timerQueue) next() Time {
	if len(q.heap) == 0 {
		return never
	}
	return q.heap[0].timer.armed
}

// timerHeap implements heap.Interface.
type timerHeap []*conn

func (t timerHeap) Len() int { return len(t) }

func (t timerHeap) Less(i, j int) bool { return t[i].timer.armed < t[j].timer.armed }

func (t timerHeap) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].timer.heapIndex, t[j].timer.heapIndex = i, j
}

func (t *timerHeap) Push(x any) {
	c := x.(*conn)
	c.timer.heapIndex = len(*t)
	*t = append(*t, c)
}

func (t *timerHeap) Pop() any {
	last := len(*t) - 1
	c := (*t)[last]
	(*t)[last] = nil
	*t, c.timer.heapIndex = (*t)[:last], -1
	return c
}

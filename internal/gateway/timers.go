package gateway

import (
	"container/heap"
)

// by sets when expired is called of a connection. An earlier heap entry stays
// where it is and is looked at then, so moving a deadline on costs nothing.
func (h *Gateway) setDeadline(c *conn, at Time) {
	c.deadline = at
	switch {
	case c.gone || at == never:
	case c.index < 0:
		c.armed = at
		heap.Push(&h.timers, c)
	case at < c.armed:
		c.armed = at
		heap.Fix(&h.timers, c.index)
	}
}

func (h *Gateway) expired(c *conn) {
	if c.node != nil {
		h.nodeExpired(c)
	} else {
		h.clientExpired(c)
	}
}

// timers is a heap of connections by armed time.
type timers []*conn

func (t timers) Len() int { return len(t) }

func (t timers) Less(i, j int) bool { return t[i].armed < t[j].armed }

func (t timers) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].index, t[j].index = i, j
}

func (t *timers) Push(x any) {
	c := x.(*conn)
	c.index = len(*t)
	*t = append(*t, c)
}

func (t *timers) Pop() any {
	last := len(*t) - 1
	c := (*t)[last]
	(*t)[last] = nil
	*t, c.index = (*t)[:last], -1
	return c
}

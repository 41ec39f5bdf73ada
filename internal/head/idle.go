package head

import "container/list"

// idleList has the kept connections of all nodes in the order in which they were kept, so
// that the oldest is found at once, however many nodes there are.
type idleList struct{ conns list.List }

func (l *idleList) add(c *conn) { c.idle = l.conns.PushBack(c) }

func (l *idleList) remove(c *conn) {
	if c.idle != nil {
		l.conns.Remove(c.idle)
		c.idle = nil
	}
}

// oldest is the connection that was kept first, nil: there is none.
func (l *idleList) oldest() *conn {
	if e := l.conns.Front(); e != nil {
		return e.Value.(*conn)
	}
	return nil
}

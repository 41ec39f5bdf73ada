package eventloop

import (
	"time"

	"golang.org/x/sys/unix"
)

// rejectedQueue holds the descriptors of rejected connections that were sent a
// response, in the order of their closing. Guards against a response that the client
// never sees: if the descriptor were closed at once, the kernel would answer the
// request that the client still sends by a reset, which discards the response.
type rejectedQueue struct {
	waiting  []rejectedConn
	capacity int
}

type rejectedConn struct {
	fd      int
	closeAt time.Duration
}

func (q *rejectedQueue) hasCapacity() bool { return len(q.waiting) < q.capacity }

// add takes over a descriptor. closeAt is not before that of the one added last.
func (q *rejectedQueue) add(fd int, closeAt time.Duration) {
	q.waiting = append(q.waiting, rejectedConn{fd: fd, closeAt: closeAt})
}

// next is when the first is to be closed, never if there is none.
func (q *rejectedQueue) next() time.Duration {
	if len(q.waiting) == 0 {
		return never
	}
	return q.waiting[0].closeAt
}

// closeExpired closes those whose time has come.
func (q *rejectedQueue) closeExpired(now time.Duration) {
	n := 0
	for n < len(q.waiting) && q.waiting[n].closeAt <= now {
		unix.Close(q.waiting[n].fd)
		n++
	}
	q.waiting = append(q.waiting[:0], q.waiting[n:]...)
}

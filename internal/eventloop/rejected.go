package eventloop

import (
	"time"

	"golang.org/x/sys/unix"
)

// rejectedQueue holds the descriptors of rejected connections that were sent a response
// and are closed after a linger time. If a descriptor were closed at once, the kernel would
// reply to the request that the client is still sending with a reset, and the reset would
// discard the response before the client has read it.
type rejectedQueue struct {
	waiting  []rejectedConn // ordered by closeAt
	capacity int            // maximum length of waiting
}

// rejectedConn is a rejected connection that lingers until closeAt.
type rejectedConn struct {
	fd      int
	closeAt time.Duration
}

// hasCapacity reports whether another connection may be added.
func (q *rejectedQueue) hasCapacity() bool { return len(q.waiting) < q.capacity }

// add adds a descriptor, which the queue closes at closeAt. closeAt must not be before that of
// the previous call.
func (q *rejectedQueue) add(fd int, closeAt time.Duration) {
	q.waiting = append(q.waiting, rejectedConn{fd: fd, closeAt: closeAt})
}

// next returns the time at which the first descriptor is to be closed, or never if the queue
// is empty.
func (q *rejectedQueue) next() time.Duration {
	if len(q.waiting) == 0 {
		return never
	}
	return q.waiting[0].closeAt
}

// closeExpired closes the descriptors whose linger time is over.
func (q *rejectedQueue) closeExpired(now time.Duration) {
	expired := 0
	for expired < len(q.waiting) && q.waiting[expired].closeAt <= now {
		unix.Close(q.waiting[expired].fd)
		expired++
	}
	q.waiting = append(q.waiting[:0], q.waiting[expired:]...)
}

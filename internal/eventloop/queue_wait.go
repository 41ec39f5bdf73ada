package eventloop

import "time"

// queueWait estimates how long the connections of a listen queue may have waited because
// accepting was paused. The kernel does not report when a connection arrived, only the length
// of the queue. If the length is n at the end of a pause, the next n accepted connections may
// have waited since the start of the pause, and the connections after them have not. If these
// were regarded as delayed too, the delay would be subtracted from the time that remains for
// their requests, and requests that still have time would be rejected.
type queueWait struct {
	// delayedSince is the start of the earliest pause during which a connection of the queue
	// may have arrived, or 0 if no connection is delayed.
	delayedSince time.Duration
	// delayedCount is the length of the queue at the end of the last pause, less the number
	// of connections accepted since.
	delayedCount int
}

// beginPause records that connections that arrive from now on have to wait.
func (w *queueWait) beginPause(now time.Duration) {
	if w.delayedSince == 0 {
		w.delayedSince = now
	}
}

// endPause records the length of the queue at the end of a pause.
func (w *queueWait) endPause(length int) {
	w.delayedCount = length
	w.clearIfNoneDelayed()
}

// recordAccept records that a connection is accepted now, and returns how long it may have waited.
func (w *queueWait) recordAccept(now time.Duration) time.Duration {
	if w.delayedCount == 0 {
		return 0
	}
	delay := now - w.delayedSince
	w.delayedCount--
	w.clearIfNoneDelayed()
	return delay
}

// recordEmpty records that the queue was seen empty while accepting was not paused.
func (w *queueWait) recordEmpty() { *w = queueWait{} }

// clearIfNoneDelayed resets delayedSince if no delayed connection is left.
func (w *queueWait) clearIfNoneDelayed() {
	if w.delayedCount == 0 {
		w.delayedSince = 0
	}
}

// recordQueueLength records the length of a listener's queue at the end of a pause. If the
// kernel does not report it, the queue is assumed to be full.
func (l *Loop) recordQueueLength(ln *listener) {
	length, err := l.calls.ListenQueueLength(ln.fd)
	if err != nil {
		length = listenBacklog + 1
	}
	ln.wait.endPause(length)
}

// recordEmptyQueues records that all listen queues are empty. It is called when all listeners
// are registered with epoll and epoll reports an event for none of them.
func (l *Loop) recordEmptyQueues() {
	for _, ln := range l.listeners {
		ln.wait.recordEmpty()
	}
}

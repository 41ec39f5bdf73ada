package eventloop

import "time"

// queueWait tells for how long the connections that stand in a listen queue may have waited for
// a pause of accepting to end. The kernel does not tell when a connection came, but how many
// stand in the queue at the end of a pause: of those accepted afterwards, as many have waited
// and the others have not. Guards against new connections whose requests are given no time,
// as if they had waited too.
type queueWait struct {
	since time.Duration // begin of the first pause that a connection may have waited through, 0: none has
	count int           // how many may have, at the end of the last pause, less those accepted since
}

// pauseBegins notes that connections that come now have to wait.
func (w *queueWait) pauseBegins(now time.Duration) {
	if w.since == 0 {
		w.since = now
	}
}

// pauseEnds takes the length of the queue at the end of a pause.
func (w *queueWait) pauseEnds(length int) {
	w.count = length
	w.forgetIfNone()
}

// accepted returns how long a connection that is accepted now may have waited.
func (w *queueWait) accepted(now time.Duration) time.Duration {
	if w.count == 0 {
		return 0
	}
	delay := now - w.since
	w.count--
	w.forgetIfNone()
	return delay
}

// emptied notes that the queue was seen empty while accepting was not paused.
func (w *queueWait) emptied() { *w = queueWait{} }

func (w *queueWait) forgetIfNone() {
	if w.count == 0 {
		w.since = 0
	}
}

// endPause notes how many connections stand in a listener's queue. Where the kernel does not
// tell, as many as can be are taken to stand there.
func (l *Loop) endPause(n *listener) {
	length, err := l.calls.ListenQueueLength(n.fd)
	if err != nil {
		length = listenBacklog + 1
	}
	n.wait.pauseEnds(length)
}

// noteEmptyQueues is called when epoll, which watched the listeners, reported none of them.
func (l *Loop) noteEmptyQueues() {
	for _, n := range l.listeners {
		n.wait.emptied()
	}
}

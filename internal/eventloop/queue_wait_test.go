package eventloop

import (
	"testing"
	"time"
)

// Verifies the delays of connections accepted after a pause: a connection that was in the queue
// at the end of the pause may have waited since its start, and later connections have not waited,
// even if the queue never becomes empty.
func TestQueueWait(t *testing.T) {
	const begin, end, later = 10 * time.Second, 12 * time.Second, 13 * time.Second
	for _, test := range []struct {
		name   string
		length int                // length of the queue at the end of the pause
		events func(w *queueWait) // what happens after the pause
		want   []time.Duration    // delays of the connections accepted at time later
	}{
		{"two waited", 2, func(*queueWait) {}, []time.Duration{3 * time.Second, 3 * time.Second, 0, 0}},
		{"none waited", 0, func(*queueWait) {}, []time.Duration{0}},
		{"seen empty", 2, (*queueWait).recordEmpty, []time.Duration{0}},
		{"a second pause", 1, func(w *queueWait) { w.beginPause(end); w.endPause(2) }, []time.Duration{3 * time.Second, 3 * time.Second, 0}},
		{"a pause after all were accepted", 1, func(w *queueWait) {
			w.recordAccept(end)
			w.beginPause(end)
			w.endPause(1)
		}, []time.Duration{time.Second, 0}},
	} {
		var w queueWait
		w.beginPause(begin)
		w.endPause(test.length)
		test.events(&w)
		for i, want := range test.want {
			if got := w.recordAccept(later); got != want {
				t.Errorf("%s: delay of connection %d is %v, want %v", test.name, i, got, want)
			}
		}
	}
}

// Regression test: the request of a new connection was rejected at once, because the connection
// was regarded as having waited since descriptors ran out. The last iteration that accepted had
// taken exactly as many connections as were in the queue, so that it did not see the queue empty.
func TestNoWaitAfterQueueWasEmptied(t *testing.T) {
	l, _, addrs := newFaultyLoop(t, "accept EMFILE count 1")
	for _, ln := range l.listeners {
		ln.shared = true
	}
	for range maxAcceptsShared {
		dial(t, "127.20.0.1", addrs[0])
	}
	l.Run(func() bool { return l.conns.clientCount == maxAcceptsShared })
	l.runIterations(2)
	for _, ln := range l.listeners {
		if ln.wait != (queueWait{}) {
			t.Errorf("%d of the next connections count as waiting since %v, want none", ln.wait.delayedCount, ln.wait.delayedSince)
		}
	}
}

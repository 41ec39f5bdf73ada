package eventloop

import (
	"testing"
	"time"
)

// Of the connections accepted after a pause, those that stood in the queue at its end have waited
// since its begin, and those behind them have not, however full the queue stays.
func TestQueueWait(t *testing.T) {
	const begin, end, later = 10 * time.Second, 12 * time.Second, 13 * time.Second
	for _, test := range []struct {
		name   string
		length int // of the queue at the end of the pause
		events func(w *queueWait)
		want   []time.Duration // delays of connections accepted later
	}{
		{"two waited", 2, func(*queueWait) {}, []time.Duration{3 * time.Second, 3 * time.Second, 0, 0}},
		{"none waited", 0, func(*queueWait) {}, []time.Duration{0}},
		{"seen empty", 2, (*queueWait).emptied, []time.Duration{0}},
		{"a second pause", 1, func(w *queueWait) { w.pauseBegins(end); w.pauseEnds(2) }, []time.Duration{3 * time.Second, 3 * time.Second, 0}},
		{"a pause after all were accepted", 1, func(w *queueWait) {
			w.accepted(end)
			w.pauseBegins(end)
			w.pauseEnds(1)
		}, []time.Duration{time.Second, 0}},
	} {
		var w queueWait
		w.pauseBegins(begin)
		w.pauseEnds(test.length)
		test.events(&w)
		for i, want := range test.want {
			if got := w.accepted(later); got != want {
				t.Errorf("%s: connection %d may have waited %v, want %v", test.name, i, got, want)
			}
		}
	}
}

// Guards against a new connection whose request is rejected at once, as if it had waited since
// descriptors ran out: the last iteration that accepted took just as many as stood in the queue,
// and so did not see it empty.
func TestNoWaitAfterQueueWasEmptied(t *testing.T) {
	l, _, addrs := newFaultyLoop(t, "accept EMFILE count 1")
	for _, n := range l.listeners {
		n.shared = true
	}
	for range maxAcceptsShared {
		dial(t, "127.20.0.1", addrs[0])
	}
	l.Run(func() bool { return l.conns.clientCount == maxAcceptsShared })
	l.runIterations(2)
	for _, n := range l.listeners {
		if n.wait != (queueWait{}) {
			t.Errorf("of the connections that come next, %d count as having waited since %v", n.wait.count, n.wait.since)
		}
	}
}

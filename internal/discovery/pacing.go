package discovery

import "time"

// pacing is how calls follow each other. Two kinds of discovery differ in it alone.
type pacing struct {
	hold   Time // that a watch may wait for a change
	spread Time // by chance up to so much longer
	answer Time // for the answer of a watch, beyond its wait
	list   Time // for an answer that nothing has to be waited for
	// every bounds the age of the newest call: once it is older, another is made on a
	// connection of its own, up to most at a time. 0: one call at a time.
	every Time
	most  int
	// The pause behind a call that failed grows between these.
	pauseMin Time
	pauseMax Time
}

// pushed is for lists that an agent on the head's own machine is sent. It answers at once
// and at no cost; while discovery is down it is silent, and what it has at the return counts
// as notified at once. Guards against calls that an outage has swallowed: a head that waits
// for their answer, or pauses behind them, goes on by the old list past the grace of a drain.
// So the newest call is never older than every, whatever became of those before it, and a
// watch waits for less than that.
var pushed = pacing{hold: 120 * time.Millisecond, answer: 2 * time.Second, list: 2 * time.Second,
	every: 180 * time.Millisecond, most: 4, pauseMin: 20 * time.Millisecond, pauseMax: 180 * time.Millisecond}

// asked is for lists that all heads ask one service for, which takes so many calls at a time
// and turns others away. Guards against a call that is given up while its answer is on its
// way, and made again: the service would work for nobody. Each watch is a call too, so they
// are long: the time that one may wait also sets when what it misses counts, 2 s later.
var asked = pacing{hold: 12 * time.Second, spread: 6 * time.Second, answer: 300 * time.Millisecond, list: 2200 * time.Millisecond,
	most: 1, pauseMin: 100 * time.Millisecond, pauseMax: 800 * time.Millisecond}

// overlaps tells whether further calls are made while one has no answer.
func (p *pacing) overlaps() bool { return p.every > 0 }

// An answer that is coming in holds off further calls for answering at most, and not once it
// has stood still for stalled.
const (
	answering = 500 * time.Millisecond
	stalled   = 90 * time.Millisecond
)

// spacing is the least time between the beginnings of two calls on one connection. Guards
// against discovery that answers watches at once though nothing changed.
const spacing = 20 * time.Millisecond

package gateway

import (
	"math"
	"time"
)

// stallEstimate is how much later than asked the head was called lately: the most of it,
// fading by half in stallHalfLife. Guards against a machine too busy to run the head in
// time, whatever keeps it busy: a request is read so much later than it came, and
// its last answer is written so much later than it is due.
type stallEstimate struct {
	nextAdvance Time
	peak        Time
	measuredAt  Time
}

const (
	stallHalfLife = 2 * time.Second
	minStall      = 2 * time.Millisecond // a timer's own grain
)

func (l *stallEstimate) current(now Time) Time {
	return Time(float64(l.peak) * math.Exp2(-float64(now-l.measuredAt)/float64(stallHalfLife)))
}

func (l *stallEstimate) observe(now Time) {
	if late := now - l.nextAdvance; l.nextAdvance > 0 && late >= minStall && late > l.current(now) {
		l.peak, l.measuredAt = late, now
	}
}

// left is what is left of a client's time: less what reading its request took and
// what bringing it the answer will take, half of the time at most.
func (g *Gateway) clientTimeLeft(t time.Duration) time.Duration {
	return max(t-2*g.stall.current(g.clock.now), t/2)
}

package gateway

import (
	"math"
	"time"
)

// lag is how much later than asked the head was called lately: the most of it,
// fading by half in lagHalf. Guards against a machine too busy to run the head in
// time, whatever keeps it busy: a request is read so much later than it came, and
// its last answer is written so much later than it is due.
type lag struct {
	asked Time
	late  Time
	at    Time
}

const (
	lagHalf  = 2 * time.Second
	lagLeast = 2 * time.Millisecond // a timer's own grain
)

func (l *lag) now(now Time) Time {
	return Time(float64(l.late) * math.Exp2(-float64(now-l.at)/float64(lagHalf)))
}

func (l *lag) called(now Time) {
	if late := now - l.asked; l.asked > 0 && late >= lagLeast && late > l.now(now) {
		l.late, l.at = late, now
	}
}

// left is what is left of a client's time: less what reading its request took and
// what bringing it the answer will take, half of the time at most.
func (h *Gateway) clientTimeLeft(t time.Duration) time.Duration {
	return max(t-2*h.stall.now(h.clock.now), t/2)
}

package gateway

import (
	"math"
	"time"
)

// lagEstimate estimates how late the driver calls Advance: the recent maximum of the
// delay, which decays by half every lagHalfLife. On a machine that is too busy to run
// the gateway in time, a request is read that much later than it arrived, and its response
// is written that much later than it is due; clientTimeRemaining allows for both.
type lagEstimate struct {
	nextAdvance Time // when Advance has to be called at the latest; 0: not known
	peak        Time // of the delay, at measuredAt
	measuredAt  Time
}

const (
	lagHalfLife = 2 * time.Second
	minLag      = 2 * time.Millisecond // less is the granularity of the driver's timer
)

// current returns the estimate.
func (s *lagEstimate) current(now Time) Time {
	halfLives := float64(now-s.measuredAt) / float64(lagHalfLife)
	return Time(float64(s.peak) * math.Exp2(-halfLives))
}

// observe is called with the time at which Advance was called.
func (s *lagEstimate) observe(now Time) {
	if s.nextAdvance == 0 {
		return
	}
	if delay := now - s.nextAdvance; delay >= minLag && delay > s.current(now) {
		s.peak, s.measuredAt = delay, now
	}
}

// clientTimeRemaining returns what is left of a client's deadline: less the estimated
// delay of reading its request and of writing its response, and half of it at least.
func (g *Gateway) clientTimeRemaining(deadline time.Duration) time.Duration {
	return max(deadline-2*g.lag.current(g.clock.now), deadline/2)
}

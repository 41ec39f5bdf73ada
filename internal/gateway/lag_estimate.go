package gateway

import (
	"math"
	"time"
)

// lagEstimate estimates how late the driver calls Advance. The estimate is the maximum of the
// recent delays, which decays by half every lagHalfLife. On a machine that is too busy to run
// the gateway in time, a request is read that much later than it arrives, and its response is
// written that much later than it is due; clientTimeRemaining allows for both.
type lagEstimate struct {
	nextAdvance Time // time by which Advance has to be called next; 0: not known
	peak        Time // estimate at the time measuredAt
	measuredAt  Time
}

const (
	lagHalfLife = 2 * time.Second
	minLag      = 2 * time.Millisecond // shorter delays are within the resolution of the driver's timer
)

// at returns the estimate at the time now.
func (s *lagEstimate) at(now Time) Time {
	halfLives := float64(now-s.measuredAt) / float64(lagHalfLife)
	return Time(float64(s.peak) * math.Exp2(-halfLives))
}

// observe updates the estimate when Advance is called.
func (s *lagEstimate) observe(now Time) {
	if s.nextAdvance == 0 {
		return
	}
	if delay := now - s.nextAdvance; delay >= minLag && delay > s.at(now) {
		s.peak, s.measuredAt = delay, now
	}
}

// clientTimeRemaining returns the part of a client's deadline that is left for its request
// after the estimated delays in reading the request and in writing the response. It is at least
// half of the deadline.
func (g *Gateway) clientTimeRemaining(deadline time.Duration) time.Duration {
	return max(deadline-2*g.lag.at(g.clock.now), deadline/2)
}

package scheduler

import (
	"math"
	"time"
)

// decayingSum is a sum that decays exponentially with the half-life that its methods are given.
type decayingSum struct {
	sum       float64 // value at the time updatedAt
	updatedAt Time
}

// at decays the sum to the time now and returns it.
func (d *decayingSum) at(now Time, halfLife time.Duration) float64 { return d.add(now, 0, halfLife) }

// add decays the sum to the time now, adds a value and returns the sum. A time before updatedAt counts
// as updatedAt.
func (d *decayingSum) add(now Time, value float64, halfLife time.Duration) float64 {
	age := float64(max(now-d.updatedAt, 0))
	d.sum = d.sum*math.Exp2(-age/float64(halfLife)) + value
	d.updatedAt = max(now, d.updatedAt)
	return d.sum
}

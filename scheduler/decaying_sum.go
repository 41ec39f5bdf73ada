package scheduler

import (
	"math"
	"time"
)

// decayingSum is a sum whose parts count half after each half-life.
type decayingSum struct {
	sum       float64 // at the time updatedAt
	updatedAt Time
}

// at brings the sum up to date and returns it.
func (d *decayingSum) at(now Time, halfLife time.Duration) float64 { return d.add(now, 0, halfLife) }

// add adds a value and returns the sum at that time.
func (d *decayingSum) add(now Time, value float64, halfLife time.Duration) float64 {
	age := float64(max(now-d.updatedAt, 0))
	d.sum = d.sum*math.Exp2(-age/float64(halfLife)) + value
	d.updatedAt = max(now, d.updatedAt)
	return d.sum
}

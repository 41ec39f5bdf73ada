package scheduler

import (
	"math"
	"time"
)

// decayingSum is a sum whose parts count half after each half-life.
type decayingSum struct {
	sum float64 // at the time at
	at  Time
}

// add adds a value and returns the sum at that time; a value of 0 brings the sum up to date.
func (d *decayingSum) add(now Time, value float64, halfLife time.Duration) float64 {
	age := float64(max(now-d.at, 0))
	d.sum = d.sum*math.Exp2(-age/float64(halfLife)) + value
	d.at = max(now, d.at)
	return d.sum
}

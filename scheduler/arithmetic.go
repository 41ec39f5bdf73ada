package scheduler

import (
	"math"
	"slices"
	"time"
)

// Plain arithmetic, without a decision or a tuned value.

// tokenBucket fills at a rate, up to its capacity.
type tokenBucket struct {
	level, rate, capacity float64
	at                    Time // when the level held
}

func (b *tokenBucket) fill(now Time) {
	b.level = min(b.capacity, b.level+b.rate*(now-b.at).Seconds())
	b.at = now
}

// take draws tokens if there are as many.
func (b *tokenBucket) take(now Time, tokens float64) bool {
	b.fill(now)
	if b.level < tokens {
		return false
	}
	b.level -= tokens
	return true
}

// since returns the part of rising times that is not before t.
func since(times []Time, t Time) []Time {
	i, _ := slices.BinarySearch(times, t)
	return times[i:]
}

// decayingSum is a sum whose parts count half after some time.
type decayingSum struct {
	sum float64
	at  Time
}

// add returns the sum with one more part at a time.
func (d *decayingSum) add(now Time, part float64, halfLife time.Duration) float64 {
	age := float64(max(now-d.at, 0))
	d.sum = d.sum*math.Exp2(-age/float64(halfLife)) + part
	d.at = max(now, d.at)
	return d.sum
}

package scheduler

// tokenBucket fills at a rate up to its capacity. The level may be negative, as debt.
type tokenBucket struct {
	level     float64 // tokens at the time at
	rate      float64 // tokens a second
	capacity  float64 // tokens
	updatedAt Time
}

// fill brings the level up to date.
func (b *tokenBucket) fill(now Time) {
	b.level = min(b.capacity, b.level+b.rate*(now-b.updatedAt).Seconds())
	b.updatedAt = now
}

// take takes tokens if there are that many, and reports whether there were.
func (b *tokenBucket) take(now Time, tokens float64) bool {
	b.fill(now)
	if b.level < tokens {
		return false
	}
	b.level -= tokens
	return true
}

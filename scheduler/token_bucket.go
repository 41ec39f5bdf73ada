package scheduler

// tokenBucket fills at a rate up to its capacity. The level may be negative, as debt.
type tokenBucket struct {
	level     float64 // tokens at the time updatedAt
	rate      float64 // tokens per second
	capacity  float64 // tokens
	updatedAt Time
}

// fill adds the tokens for the time since updatedAt.
func (b *tokenBucket) fill(now Time) {
	b.level = min(b.capacity, b.level+b.rate*(now-b.updatedAt).Seconds())
	b.updatedAt = now
}

// take removes tokens if the bucket holds that many, and reports whether it did.
func (b *tokenBucket) take(now Time, tokens float64) bool {
	b.fill(now)
	if b.level < tokens {
		return false
	}
	b.level -= tokens
	return true
}

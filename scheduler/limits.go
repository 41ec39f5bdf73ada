package scheduler

// The limit of a plan bounds a volume's first attempts with a token bucket. Each instance holds an
// even share of it. The bucket is empty when the instance starts, because what was sent before a
// restart is not known, and fills from then on, even before the volume's first request.

// setLimit sets the rate and capacity of this instance's share.
func (v *volume) setLimit() {
	v.limit.rate = v.plan.Limit / v.instances
	v.limit.capacity = v.plan.LimitBurst / v.instances
}

// limitNeverAllows reports whether a request is larger than the capacity of this instance's share.
func (v *volume) limitNeverAllows(units float64) bool {
	return v.plan.Limit > 0 && v.limit.capacity < units
}

// limitBlocks reports whether the limit of a volume's plan blocks its requests of a profile now.
// Retries are exempt.
func (s *Scheduler) limitBlocks(p *profile, v *volume) bool {
	return !p.isRetry && s.exceedsLimit(v, p.units)
}

// exceedsLimit reports whether a first attempt of the given units would exceed the limit of a volume.
func (s *Scheduler) exceedsLimit(v *volume, units float64) bool {
	if v.plan.Limit <= 0 {
		return false
	}
	v.limit.fill(s.now)
	return v.limit.level < units
}

// chargeLimit takes the units of a first attempt from the limit of its volume.
func (s *Scheduler) chargeLimit(v *volume, units float64) {
	if v.plan.Limit <= 0 {
		return
	}
	v.limit.fill(s.now)
	v.limit.level -= units
}

package scheduler

// The limit of a plan bounds a volume's first attempts by a token bucket. Each instance holds an
// even part of it, which starts empty: what was spent before a restart is not known.

// setLimit sets the rate and capacity of this instance's part.
func (v *volume) setLimit() {
	v.limit.rate = v.plan.Limit / v.instances
	v.limit.capacity = v.plan.LimitBurst / v.instances
}

// limitNeverAllows reports whether a request is larger than this instance's part can ever hold.
func (v *volume) limitNeverAllows(units float64) bool {
	return v.plan.Limit > 0 && v.limit.capacity < units
}

// limitBlocks reports whether the limit of its plan blocks a volume's requests of a profile now.
// Retries do not count.
func (s *Scheduler) limitBlocks(p *profile, v *volume) bool {
	return !p.isRetry && s.overLimit(v, p.units)
}

func (s *Scheduler) overLimit(v *volume, units float64) bool {
	if v.plan.Limit <= 0 {
		return false
	}
	v.limit.fill(s.now)
	return v.limit.level < units
}

// chargeLimit counts a first attempt.
func (s *Scheduler) chargeLimit(v *volume, units float64) {
	if v.plan.Limit <= 0 {
		return
	}
	v.limit.fill(s.now)
	v.limit.level -= units
}

package scheduler

// Admission against the limits of the plans. A limit's bucket is this host's even part, and
// fills from nothing since the head's start: what was spent before a restart cannot be known.

// setLimit sizes the bucket of this host's part of a volume's limit.
func (v *volume) setLimit() {
	v.limit.rate = v.plan.Limit / v.instances
	v.limit.capacity = v.plan.LimitBurst / v.instances
}

// limitNeverAllows tells whether a request is larger than this host's part of the burst ever holds.
func (v *volume) limitNeverAllows(units float64) bool {
	return v.plan.Limit > 0 && v.limit.capacity < units
}

// overLimit tells whether a volume's limit keeps a first attempt of so many units.
func (s *Scheduler) overLimit(v *volume, units float64) bool {
	if v.plan.Limit <= 0 {
		return false
	}
	v.limit.fill(s.now)
	return v.limit.level < units
}

// drawLimit books a first attempt on its volume's limit.
func (s *Scheduler) drawLimit(v *volume, units float64) {
	if v.plan.Limit <= 0 {
		return
	}
	v.limit.fill(s.now)
	v.limit.level -= units
}

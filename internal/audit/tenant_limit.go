package audit

import (
	"maddergap/internal/config"
	"maddergap/internal/fakenode"
)

const (
	// limitSlack is the factor by which the rule multiplies a limit's rate.
	limitSlack = 1.1
	// limitBurstSlack is the additional burst that the rule allows, as a fraction of the limit's burst.
	// The rule allows at least the units of the largest request in addition.
	limitBurstSlack = 0.1
)

// judgeTenantLimit judges RuleTenantLimit. Its figure is the highest level of any volume's leaky bucket
// (see checkTenantLimit), as a fraction of the bucket's capacity, which includes the slack.
func (r *run) judgeTenantLimit() Verdict {
	v := Verdict{Rule: RuleTenantLimit, Bound: 1}
	for _, volume := range r.input.Config.Volumes {
		if r.input.Config.Scheduler.Plans[volume.Plan].Limit > 0 {
			r.checkTenantLimit(&v, volume)
		}
	}
	return v
}

// checkTenantLimit fills a leaky bucket with the first attempts of a volume. The bucket drains at the
// rate of the plan's limit including slack.
func (r *run) checkTenantLimit(v *Verdict, volume config.Volume) {
	settings := &r.input.Config.Scheduler
	plan := settings.Plans[volume.Plan]
	rate := limitSlack * plan.Limit                                                       // units per second
	capacity := plan.LimitBurst + max(limitBurstSlack*plan.LimitBurst, settings.MaxUnits) // units
	level := 0.0
	lastAt := int64(0)
	for _, attempt := range r.attempts {
		request := r.requestOf(attempt)
		if request == nil || request.Volume != volume.Name || !r.isFirstAttempt(attempt) {
			continue
		}
		if lastAt > 0 {
			level = max(0, level-rate*float64(attempt.ReceivedAt-lastAt)/1e6)
		}
		lastAt = attempt.ReceivedAt
		level += request.Units
		v.Figure = max(v.Figure, level/capacity)
		if level > capacity+rate*r.input.ClockTolerance.Seconds() {
			v.addViolation(volume.Name, "volume %s is %.1f units over its limit at %s", volume.Name, level-capacity, request.TraceID)
		}
	}
}

func (r *run) isFirstAttempt(attempt *fakenode.Entry) bool {
	return r.attemptsByTrace[traceID(attempt.Traceparent)][0] == attempt
}

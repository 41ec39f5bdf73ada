package settings

import (
	"time"

	"maddergap/scheduler"
)

// discoveryPoll is the value of Site.Discovery for sites whose instances must poll for the endpoint list.
const discoveryPoll = "ask"

// effects maps the JSON values of Class.Effect to effects.
var effects = map[string]scheduler.Effect{
	"retryable": scheduler.Safe,
	"dedup":     scheduler.Idempotent,
	"fragile":   scheduler.NonIdempotent,
}

// deduplicationScopes maps the JSON values of Class.DeduplicationScope to scopes.
var deduplicationScopes = map[string]scheduler.DeduplicationScope{
	"all":  scheduler.ScopeAll,
	"zone": scheduler.ScopeZone,
	"cell": scheduler.ScopeShard,
}

// Settings converts the site to the settings of the scheduler. The site must have passed Validate.
func (site *Site) Settings() scheduler.Settings {
	return scheduler.Settings{
		Instances:     site.Instances,
		Classes:       site.classes(),
		Plans:         site.plans(),
		MaxUnits:      site.Workload.MaxUnits,
		MeanUnits:     site.Workload.MeanUnits,
		ExcessWeight:  site.Workload.ExcessWeight,
		PollDiscovery: site.Discovery == discoveryPoll,
		MaxAttempts:   site.Limits.MaxAttempts,
		MaxRetryAfter: site.Limits.maxRetryAfter(),
		KeyCooldown:   Microseconds(site.Guarantees.KeyCooldown),
		SlowStart:     site.slowStart(),
		RetryBudget:   site.Guarantees.retryBudget(),
	}
}

func (site *Site) classes() (classes []scheduler.Class) {
	for _, c := range site.Classes {
		classes = append(classes, scheduler.Class{
			Name:                c.Name,
			LatencyObjective:    Microseconds(c.LatencyObjective),
			Deadline:            Microseconds(c.Deadline),
			Effect:              effects[c.Effect],
			DeduplicationScope:  deduplicationScopes[c.DeduplicationScope],
			DeduplicationWindow: Microseconds(c.DeduplicationWindow),
			Ordered:             c.Ordered,
			PriorityWeight:      c.PriorityWeight,
			LateWeightFactor:    c.LateWeightFactor,
		})
	}
	return classes
}

// plans returns the site's plans, or a single plan for all volumes if the site has none.
func (site *Site) plans() (plans []scheduler.Plan) {
	if len(site.Plans) == 0 {
		return []scheduler.Plan{{Weight: 1, PriorityFactor: 1}}
	}
	for _, p := range site.Plans {
		plans = append(plans, scheduler.Plan{
			Name:           p.Name,
			Rate:           p.Rate,
			Reserve:        p.Reserve,
			Weight:         p.Weight,
			PriorityFactor: p.PriorityFactor,
			Limit:          p.Limit,
			LimitBurst:     p.LimitBurst,
		})
	}
	return plans
}

func (site *Site) slowStart() scheduler.SlowStart {
	return scheduler.SlowStart{
		WarmupDuration:  Microseconds(site.Guarantees.WarmupDuration),
		InitialFraction: site.Guarantees.InitialFraction,
		MinUnits:        site.Workload.SlowStartMinUnits,
		OverloadWindow:  Microseconds(site.Guarantees.OverloadWindow),
		OverloadFactor:  site.Guarantees.OverloadFactor,
	}
}

// retryBudget returns nil if the site has no retry budget.
func (g *Guarantees) retryBudget() *scheduler.RetryBudget {
	if g.RetryBudgetWindow <= 0 {
		return nil
	}
	return &scheduler.RetryBudget{
		MinRetries: g.RetryBudgetMinRetries,
		Ratio:      g.RetryBudgetRatio,
		Window:     Microseconds(g.RetryBudgetWindow),
	}
}

// maxRetryAfter returns 0 if rejections carry no Retry-After.
func (l *Limits) maxRetryAfter() time.Duration {
	if !l.SendRetryAfter {
		return 0
	}
	return Microseconds(l.MaxRetryAfter)
}

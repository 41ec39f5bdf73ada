package config

import (
	"slices"
	"strings"
	"time"

	"maddergap/scheduler"
)

// maxShard is the highest shard number.
const maxShard = 100_000

// name reads the name of a new class, plan or volume. ok is false if the name is invalid or already used.
// A volume's name is a segment of the paths of requests; the same rules apply to the other names.
func (p *parser) name(line int, a *Args, kind string) (name string, ok bool) {
	name = a.Word("name")
	if name == "" {
		return "", false
	}
	if strings.ContainsAny(name, "/%?\\\"<>&") || name == "." || name == ".." || len(name) > 100 {
		a.Errorf("the name %.40q cannot be used as a path segment: want at most 100 bytes, not . or .., and none of / %% ? \\ \" < > &", name)
		return "", false
	}
	return name, p.checkUnique(line, kind+" "+name)
}

func (p *parser) class(line int, a *Args) {
	name, ok := p.name(line, a, "class")
	class := scheduler.Class{Name: name, PriorityWeight: 1}
	var deadline time.Duration
	a.pairs(keywords{
		// The values safe, keyed and unsafe stand for Safe, Idempotent and NonIdempotent.
		"effect": func(k string) { class.Effect = scheduler.Effect(a.OneOf(k, "safe", "keyed", "unsafe")) },
		"group": func(k string) {
			class.DeduplicationScope = scheduler.DeduplicationScope(a.OneOf(k, "all", "zone", "cell"))
		},
		"window":   func(k string) { class.DeduplicationWindow = a.Duration(k, 0) },
		"aim":      func(k string) { class.LatencyObjective = a.Duration(k, time.Millisecond) },
		"deadline": func(k string) { deadline = a.Duration(k, time.Millisecond) },
		"worth":    func(k string) { class.PriorityWeight = a.Float(k) },
		"late":     func(k string) { class.LateWeightFactor = a.Fraction(k) },
		"ordered":  func(k string) { class.Ordered = a.OneOf(k, "no", "yes") == 1 },
	}, "effect", "aim", "deadline")
	switch {
	case a.Failed() || !ok:
		return
	case deadline < class.LatencyObjective:
		a.Errorf("the deadline %v is before the aim %v", deadline, class.LatencyObjective)
	case class.Effect == scheduler.Idempotent && class.DeduplicationWindow == 0:
		a.Errorf("a keyed class needs a window: the time for which nodes drop repeats of a request")
	case class.Effect != scheduler.Idempotent && class.DeduplicationWindow > 0:
		a.Errorf("only a keyed class may have a window")
	}
	p.classes[name] = len(p.c.Scheduler.Classes)
	p.c.Scheduler.Classes = append(p.c.Scheduler.Classes, class)
	p.c.Deadlines.ByClass = append(p.c.Deadlines.ByClass, deadline)
}

func (p *parser) plan(line int, a *Args) {
	name, ok := p.name(line, a, "plan")
	plan := scheduler.Plan{Name: name, Weight: 1, PriorityFactor: 1}
	a.pairs(keywords{
		"rate":    func(k string) { plan.Rate = a.Float(k) },
		"reserve": func(k string) { plan.Reserve = a.Float(k) },
		"weight":  func(k string) { plan.Weight = a.Float(k) },
		"price":   func(k string) { plan.PriorityFactor = a.Float(k) },
		"limit":   func(k string) { plan.Limit = a.Float(k) },
		"burst":   func(k string) { plan.LimitBurst = a.Float(k) },
	}, "rate")
	switch {
	case a.Failed() || !ok:
		return
	case (plan.Limit > 0) != (plan.LimitBurst > 0):
		a.Errorf("limit and burst go together: they are the rate and the capacity of a token bucket")
	case plan.Limit > 0 && plan.Reserve > plan.Limit:
		a.Errorf("the reserve %v is over the limit %v", plan.Reserve, plan.Limit)
	case plan.Weight == 0:
		a.Errorf("weight is 0: the plan would never be served")
	}
	p.plans[name] = len(p.c.Scheduler.Plans)
	p.c.Scheduler.Plans = append(p.c.Scheduler.Plans, plan)
}

func (p *parser) volume(line int, a *Args) {
	name, ok := p.name(line, a, "volume")
	volume := Volume{Name: name, Instances: 1}
	var plan string
	a.pairs(keywords{
		"plan":   func(k string) { plan = a.Word(k) },
		"shards": func(k string) { volume.Shards = a.IntList(k, maxShard) },
		// heads is the number of gateway instances that receive requests for the volume.
		"heads": func(k string) { volume.Instances = a.Int(k, 1, maxInstances) },
	}, "plan", "shards")
	if a.Failed() || !ok {
		return
	}
	distinct := slices.Compact(slices.Sorted(slices.Values(volume.Shards)))
	if len(distinct) < len(volume.Shards) {
		a.Errorf("a shard is given twice")
	}
	i := len(p.c.Volumes)
	p.c.Volumes = append(p.c.Volumes, volume)
	p.planRefs = append(p.planRefs, reference{line, plan, func(index int) { p.c.Volumes[i].Plan = index }})
}

func (p *parser) route(line int, a *Args) {
	route := Route{SizeAbove: -1}
	for _, method := range strings.Split(a.Word("methods"), ",") {
		if method == "*" {
			continue
		}
		route.Methods = append(route.Methods, method)
		if method != strings.ToUpper(method) {
			a.Errorf("method %q is not in capitals", method)
		}
	}
	var class string
	a.pairs(keywords{
		"path":   func(k string) { route.Prefix = a.Word(k) },
		"ranged": func(k string) { route.Ranged = a.OneOf(k, "no", "yes") == 1 },
		"over":   func(k string) { route.SizeAbove = a.Bytes(k, 0) },
		"class":  func(k string) { class = a.Word(k) },
	}, "class")
	if a.Failed() {
		return
	}
	if route.Prefix != "" && route.Prefix[0] != '/' {
		a.Errorf("path %q does not begin with /", route.Prefix)
	}
	i := len(p.c.Routes)
	p.c.Routes = append(p.c.Routes, route)
	p.classRefs = append(p.classRefs, reference{line, class, func(index int) { p.c.Routes[i].Class = index }})
}

// slowStart reads the settings for warming up nodes that have just started. The value of units is the
// number of units of work that any starting node can serve within the window.
func (p *parser) slowStart(_ int, a *Args) {
	s := &p.c.Scheduler.SlowStart
	a.pairs(keywords{
		"for":      func(k string) { s.WarmupDuration = a.Duration(k, 0) },
		"from":     func(k string) { s.InitialFraction = a.Fraction(k) },
		"units":    func(k string) { s.MinUnits = a.Float(k) },
		"window":   func(k string) { s.OverloadWindow = a.Duration(k, time.Millisecond) },
		"multiple": func(k string) { s.OverloadFactor = a.Float(k) },
	}, "for", "from", "units", "window", "multiple")
	if !a.Failed() && s.OverloadFactor < 1 {
		a.Errorf("multiple is %v, want at least 1: a node is not overloaded by load up to its capacity", s.OverloadFactor)
	}
}

// retryBudget reads the limit on retries within a time window.
func (p *parser) retryBudget(_ int, a *Args) {
	budget := &scheduler.RetryBudget{}
	p.c.Scheduler.RetryBudget = budget
	a.pairs(keywords{
		"free":  func(k string) { budget.MinRetries = a.Float(k) },
		"share": func(k string) { budget.Ratio = a.Fraction(k) },
		"over":  func(k string) { budget.Window = a.Duration(k, time.Millisecond) },
	}, "over")
}

// units reads the size of a unit of work in bytes, and the mean and maximum cost of a request in units.
func (p *parser) units(_ int, a *Args) {
	a.pairs(keywords{
		"bytes": func(k string) { p.c.UnitBytes = a.Bytes(k, 1) },
		"mean":  func(k string) { p.c.Scheduler.MeanUnits = a.Float(k) },
		"most":  func(k string) { p.c.Scheduler.MaxUnits = a.Float(k) },
	}, "bytes")
}

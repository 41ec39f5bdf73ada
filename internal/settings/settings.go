// Package settings reads the settings object that a site gives a head, the same on the
// simulator's wire and in a platform's configuration, and makes the module's
// settings of it. It holds no default and no decision.
package settings

import (
	"errors"
	"fmt"
	"time"

	"maddergap/scheduler"
)

// Site is the settings object, with times in microseconds.
type Site struct {
	FleetSize int    `json:"fleetSize"`
	Discovery string `json:"discovery"`
	Classes   []struct {
		Name   string  `json:"name"`
		Target int64   `json:"target"`
		Effect string  `json:"effect"`
		Group  string  `json:"group"`
		Window int64   `json:"window"`
		InTurn bool    `json:"inTurn"`
		Gain   float64 `json:"gain"`
		Late   float64 `json:"lateWorth"`

		Deadline int64 `json:"deadline"`
	} `json:"classes"`
	Grades []struct {
		Name        string  `json:"name"`
		Nominal     float64 `json:"nominal"`
		Guaranteed  float64 `json:"guaranteed"`
		Shares      float64 `json:"shares"`
		ValueFactor float64 `json:"valueFactor"`
		CeilingRate float64 `json:"ceilingRate"`
		LimitBurst  float64 `json:"limitBurst"`
	} `json:"grades"`
	FamilyInfo struct {
		ColdUnits  float64 `json:"coldUnits"`
		UnitsTop   float64 `json:"unitsTop"`
		UsualUnits float64 `json:"usualUnits"`
		FairWorth  float64 `json:"fairWorth"`
		Shards     int     `json:"nShards"`
		Writes     []bool  `json:"writes"`
	} `json:"familyInfo"`
	Guarantees struct {
		Cold         int64    `json:"cold"`
		ColdFrom     float64  `json:"coldFrom"`
		FallMultiple float64  `json:"fallMultiple"`
		OverloadFor  int64    `json:"overloadFor"`
		OrderSettle  int64    `json:"orderSettle"`
		CountedOver  int64    `json:"countedOver"`
		FreeResends  *float64 `json:"freeResends"`
		FurtherRatio *float64 `json:"furtherRatio"`
	} `json:"guarantees"`
	Limits struct {
		MaxAttempts    int   `json:"maxAttempts"`
		MaxRetryAfter  int64 `json:"maxRetryAfter"`
		RetryAfter     bool  `json:"retryAfter"`
		ConnIdle       int64 `json:"connIdle"`
		ConnectTimeout int64 `json:"connectTimeout"`
	} `json:"limits"`
	Zones []string `json:"zones"`
}

// Micros is a duration of so many microseconds.
func Micros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

var effects = map[string]scheduler.Effect{"retryable": scheduler.Safe, "dedup": scheduler.Idempotent, "fragile": scheduler.NonIdempotent}

var groups = map[string]scheduler.DeduplicationScope{"all": scheduler.ScopeAll, "zone": scheduler.ScopeZone, "cell": scheduler.ScopeShard}

// Check names what a head cannot go by. Guards against an effect unknown here that
// would be taken for the one that may be repeated.
func (site *Site) Check() error {
	var errs []error
	bad := func(format string, args ...any) { errs = append(errs, fmt.Errorf("settings: "+format, args...)) }
	for i, c := range site.Classes {
		if _, ok := effects[c.Effect]; !ok {
			bad("classes[%d] %s: effect %q is unknown", i, c.Name, c.Effect)
		}
		if _, ok := groups[c.Group]; !ok && c.Effect == "dedup" {
			bad("classes[%d] %s: group %q is unknown", i, c.Name, c.Group)
		}
		if c.Name == "" || c.Target <= 0 || c.Gain < 0 {
			bad("classes[%d] %q: want a name, a target above 0 and a gain of at least 0", i, c.Name)
		}
	}
	if site.FleetSize < 1 {
		bad("fleetSize is %d, want at least 1", site.FleetSize)
	}
	if len(site.Classes) == 0 {
		bad("classes is empty")
	}
	for i, g := range site.Grades {
		if g.Name == "" {
			bad("grades[%d] has no name", i)
		}
		if g.CeilingRate > 0 && g.LimitBurst <= 0 {
			bad("grades[%d] %s: limitBurst is %v under a ceilingRate of %v: nothing could ever be sent", i, g.Name, g.LimitBurst, g.CeilingRate)
		}
		for _, f := range [...]struct {
			key string
			x   float64
		}{{"nominal", g.Nominal}, {"guaranteed", g.Guaranteed}, {"shares", g.Shares},
			{"valueFactor", g.ValueFactor}, {"ceilingRate", g.CeilingRate}, {"limitBurst", g.LimitBurst}} {
			if f.x < 0 {
				bad("grades[%d] %s: %s is %v, want at least 0", i, g.Name, f.key, f.x)
			}
		}
	}
	if n := len(site.FamilyInfo.Writes); n > 0 && n != len(site.Classes) {
		bad("familyInfo.writes tells of %d classes, there are %d", n, len(site.Classes))
	}
	if site.FamilyInfo.UnitsTop <= 0 || site.FamilyInfo.UsualUnits <= 0 {
		bad("familyInfo.unitsTop is %v and usualUnits %v, want more than 0", site.FamilyInfo.UnitsTop, site.FamilyInfo.UsualUnits)
	}
	return errors.Join(errs...)
}

// Settings are the module's.
func (site *Site) Settings() scheduler.Settings {
	g, l := site.Guarantees, site.Limits
	s := scheduler.Settings{
		Instances: site.FleetSize, PollDiscovery: site.Discovery == "ask",
		MaxUnits: site.FamilyInfo.UnitsTop, MeanUnits: site.FamilyInfo.UsualUnits,
		ExcessWeight: site.FamilyInfo.FairWorth,
		SlowStart: scheduler.SlowStart{
			WarmupDuration:  Micros(g.Cold),
			InitialFraction: g.ColdFrom,
			MinUnits:        site.FamilyInfo.ColdUnits,
			OverloadWindow:  Micros(g.OverloadFor),
			OverloadFactor:  g.FallMultiple,
		},
		RetryBudget: site.retryBudget(),
		KeyCooldown: Micros(g.OrderSettle),
		MaxAttempts: l.MaxAttempts,
	}
	if l.RetryAfter {
		s.MaxRetryAfter = Micros(l.MaxRetryAfter)
	}
	for _, c := range site.Classes {
		s.Classes = append(s.Classes, scheduler.Class{Name: c.Name, LatencyObjective: Micros(c.Target), Deadline: Micros(c.Deadline), Effect: effects[c.Effect],
			DeduplicationScope: groups[c.Group], DeduplicationWindow: Micros(c.Window), Ordered: c.InTurn, PriorityWeight: c.Gain, LateWeightFactor: c.Late})
	}
	if len(site.Grades) == 0 { // a site without plans has one, of no name
		s.Plans = []scheduler.Plan{{Weight: 1, PriorityFactor: 1}}
	}
	for _, p := range site.Grades {
		s.Plans = append(s.Plans, scheduler.Plan{Name: p.Name, Rate: p.Nominal, Reserve: p.Guaranteed,
			Weight: p.Shares, PriorityFactor: p.ValueFactor, Limit: p.CeilingRate, LimitBurst: p.LimitBurst})
	}
	return s
}

// retryBudget returns nil where the site has no retry budget.
func (site *Site) retryBudget() *scheduler.RetryBudget {
	g := site.Guarantees
	if g.CountedOver <= 0 {
		return nil
	}
	budget := &scheduler.RetryBudget{Window: Micros(g.CountedOver)}
	if g.FreeResends != nil {
		budget.MinRetries = *g.FreeResends
	}
	if g.FurtherRatio != nil {
		budget.Ratio = *g.FurtherRatio
	}
	return budget
}

package scheduler

import (
	"fmt"
	"math"
	"time"
)

// Time is a monotonic clock reading: the time since an origin of the caller's choosing. All
// times that one Scheduler is given have the same origin.
type Time = time.Duration

// Effect says whether a request of a class may run more than once.
type Effect int

const (
	// Safe requests may run any number of times.
	Safe Effect = iota
	// Idempotent requests carry an idempotency key: the nodes of one deduplication scope drop
	// repeats for the length of the deduplication window.
	Idempotent
	// NonIdempotent requests must never run twice.
	NonIdempotent
)

// String returns the effect's name.
func (e Effect) String() string {
	switch e {
	case Safe:
		return "safe"
	case Idempotent:
		return "idempotent"
	case NonIdempotent:
		return "non-idempotent"
	}
	return "unknown"
}

// DeduplicationScope names the nodes that drop each other's repeats of an idempotent request.
type DeduplicationScope int

const (
	// ScopeAll is all nodes.
	ScopeAll DeduplicationScope = iota
	// ScopeZone is the nodes of one zone.
	ScopeZone
	// ScopeShard is the nodes of one shard.
	ScopeShard
)

// String returns the scope's name.
func (d DeduplicationScope) String() string {
	switch d {
	case ScopeAll:
		return "all"
	case ScopeZone:
		return "zone"
	case ScopeShard:
		return "shard"
	}
	return "unknown"
}

// Class describes one class of requests.
type Class struct {
	Name string
	// LatencyObjective is the time within which a response earns the full priority weight.
	// It must be more than 0.
	LatencyObjective time.Duration
	// Deadline is how long a client waits over all its tries, 0 where that is unknown. It is
	// used for requests that are marked as a client's retry.
	Deadline time.Duration
	Effect   Effect
	// DeduplicationScope and DeduplicationWindow say where, and for how long after the first
	// attempt, repeats of an idempotent request are dropped. Other effects ignore them.
	DeduplicationScope  DeduplicationScope
	DeduplicationWindow time.Duration
	// Ordered has requests with the same non-empty key run one at a time, in order of arrival.
	Ordered bool
	// PriorityWeight is what one unit served in time earns; only its ratio to the weights of other
	// classes matters.
	PriorityWeight float64
	// LateWeightFactor is the fraction of PriorityWeight that a response earns after the
	// latency objective.
	LateWeightFactor float64
}

// Plan describes what a volume bought. Its rates hold for the volume as a whole, over all
// instances and nodes.
type Plan struct {
	Name string
	// Rate is the load that the volume is sized for, in units a second. The scheduler does not
	// use it.
	Rate float64
	// Reserve is the load that earns the full priority weight, in units a second.
	Reserve float64
	// Weight is the share (φ) of the volume in what the nodes serve beyond the reserves, as a
	// ratio to the weights of other plans. Where all plans have 0, they share evenly.
	Weight float64
	// PriorityFactor multiplies the priority weight of the class.
	PriorityFactor float64
	// Limit bounds first attempts, in units a second; 0 for none.
	Limit float64
	// LimitBurst is the capacity of the limit's token bucket, in units.
	LimitBurst float64
}

// RetryBudget bounds the attempts past the first of an instance: within any Window at most
// MinRetries, and Ratio more for each request that arrived in it.
type RetryBudget struct {
	MinRetries float64
	Ratio      float64
	Window     time.Duration // must be more than 0
}

// SlowStart limits what a node is sent after it has started, while its caches are cold: more
// than it can bear makes it fail. The zero value is no limit.
type SlowStart struct {
	// WarmupDuration is how long after its start a node has its full capacity, 0 for at once.
	WarmupDuration time.Duration
	// InitialFraction is the fraction of its capacity that a node starts with. The capacity
	// grows linearly from there.
	InitialFraction float64
	// MinUnits is what any starting node bears within an OverloadWindow, from all instances
	// together, in units; 0 for the mean request.
	MinUnits float64
	// A node that is sent more than OverloadFactor times its present capacity over an
	// OverloadWindow is overloaded and fails.
	OverloadWindow time.Duration
	OverloadFactor float64
}

// Settings are given once, before the first event, and must not change afterwards.
type Settings struct {
	// Instances is how many gateway instances send to the nodes. It must be at least 1.
	Instances int
	// Classes and Plans are what Arrival.Class and Arrival.Plan number. Neither may be empty.
	Classes []Class
	Plans   []Plan
	// MaxUnits and MeanUnits are the sizes of the largest and of the mean request, in units.
	MaxUnits  float64
	MeanUnits float64
	// ExcessWeight is the fraction of the priority weight that units beyond the reserve earn.
	ExcessWeight float64

	// PollDiscovery has the scheduler ask for the endpoint list with WatchEndpoints. Otherwise
	// updates come unasked.
	PollDiscovery bool

	// MaxAttempts bounds the attempts of one request, 0 for no bound.
	MaxAttempts int
	// MaxRetryAfter is the Retry-After of rejections, 0 to send none.
	MaxRetryAfter time.Duration
	// KeyCooldown is how long the next request of an ordered key waits after an attempt that
	// may still run at its node, 0 for not at all.
	KeyCooldown time.Duration

	SlowStart SlowStart
	// RetryBudget is nil where retries are bounded by MaxAttempts alone.
	RetryBudget *RetryBudget
}

// SettingsError names the first setting that is out of range.
type SettingsError struct {
	Field string // as Classes[1].LatencyObjective
	Value any
	Want  string // what the value has to be
}

func (e *SettingsError) Error() string {
	return fmt.Sprintf("settings: %s is %v, want %s", e.Field, e.Value, e.Want)
}

// validate returns a *SettingsError for the first setting that is out of range.
func (s *Settings) validate() error {
	switch {
	case s.Instances < 1:
		return &SettingsError{"Instances", s.Instances, "at least 1"}
	case len(s.Classes) == 0:
		return &SettingsError{"Classes", "empty", "at least one class"}
	case len(s.Plans) == 0:
		return &SettingsError{"Plans", "empty", "at least one plan"}
	}
	if err := s.SlowStart.validate(); err != nil {
		return err
	}
	if err := s.RetryBudget.validate(); err != nil {
		return err
	}
	for i, class := range s.Classes {
		if class.LatencyObjective <= 0 {
			return &SettingsError{fmt.Sprintf("Classes[%d].LatencyObjective", i), class.LatencyObjective, "more than 0"}
		}
	}
	for i, plan := range s.Plans {
		if err := plan.validate(fmt.Sprintf("Plans[%d]", i)); err != nil {
			return err
		}
	}
	return nil
}

func (p *Plan) validate(name string) error {
	return checkNotNegative([]numericSetting{
		{name + ".Weight", p.Weight},
		{name + ".Reserve", p.Reserve},
		{name + ".Limit", p.Limit},
		{name + ".LimitBurst", p.LimitBurst},
	})
}

func (b *RetryBudget) validate() error {
	if b == nil {
		return nil
	}
	if b.Window <= 0 {
		return &SettingsError{"RetryBudget.Window", b.Window, "more than 0"}
	}
	return checkNotNegative([]numericSetting{
		{"RetryBudget.MinRetries", b.MinRetries},
		{"RetryBudget.Ratio", b.Ratio},
	})
}

func (s *SlowStart) validate() error {
	return checkNotNegative([]numericSetting{
		{"SlowStart.MinUnits", s.MinUnits},
		{"SlowStart.InitialFraction", s.InitialFraction},
		{"SlowStart.WarmupDuration", s.WarmupDuration.Seconds()},
		{"SlowStart.OverloadWindow", s.OverloadWindow.Seconds()},
	})
}

type numericSetting struct {
	field string
	value float64
}

// checkNotNegative returns an error for the first value that is negative, infinite or not a
// number.
func checkNotNegative(settings []numericSetting) error {
	for _, setting := range settings {
		if !(setting.value >= 0) || math.IsInf(setting.value, 0) {
			return &SettingsError{setting.field, setting.value, "at least 0 and finite"}
		}
	}
	return nil
}

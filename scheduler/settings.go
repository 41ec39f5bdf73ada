package scheduler

import (
	"fmt"
	"math"
	"time"
)

// Time is a monotonic clock reading: the time since an origin that the caller chooses. All times given
// to one Scheduler have the same origin.
type Time = time.Duration

// Effect says whether it is safe to run a request of a class more than once.
type Effect int

const (
	// Safe requests may run any number of times.
	Safe Effect = iota
	// Idempotent requests carry an idempotency key: the nodes of one deduplication scope drop repeats
	// during the deduplication window.
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

// DeduplicationScope is the set of nodes that share idempotency keys: each of them drops repeats of an
// idempotent request that another one has received.
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
	// LatencyObjective is the time within which a response counts with the full priority weight. It
	// must be more than 0.
	LatencyObjective time.Duration
	// Deadline is the time that a client waits over all its tries, 0 if that is unknown. It is used
	// for requests with Arrival.ClientRetry set.
	Deadline time.Duration
	Effect   Effect
	// DeduplicationScope and DeduplicationWindow say which nodes drop repeats of an idempotent
	// request, and for how long after the first attempt. They are ignored for other effects.
	DeduplicationScope  DeduplicationScope
	DeduplicationWindow time.Duration
	// Ordered makes requests with the same non-empty key run one at a time, in order of arrival.
	Ordered bool
	// PriorityWeight is the value of one unit that is served in time. Only its ratio to the weights of
	// other classes matters.
	PriorityWeight float64
	// LateWeightFactor is the fraction of PriorityWeight that a unit is worth after the latency
	// objective.
	LateWeightFactor float64
}

// Plan describes the service that a volume is entitled to. Its rates hold for the volume as a whole,
// over all instances and nodes.
type Plan struct {
	Name string
	// Rate is the load that the volume is sized for, in units per second. The scheduler does not use
	// it.
	Rate float64
	// Reserve is the load that counts with the full priority weight, in units per second.
	Reserve float64
	// Weight is the volume's share (φ) of the capacity that nodes have beyond the reserves, relative
	// to the weights of other plans. If all plans have weight 0, they share evenly.
	Weight float64
	// PriorityFactor multiplies the priority weight of the class.
	PriorityFactor float64
	// Limit is the maximum rate of first attempts, in units per second; 0 for no limit.
	Limit float64
	// LimitBurst is the capacity of the limit's token bucket, in units.
	LimitBurst float64
}

// RetryBudget bounds the retries of an instance, that is, attempts past the first of a request. Within
// any Window there are at most MinRetries, plus Ratio for each request that arrived in the window.
type RetryBudget struct {
	MinRetries float64
	Ratio      float64
	Window     time.Duration // must be more than 0
}

// SlowStart limits the load on a node that has just started. Its caches are cold, and load beyond its
// present capacity makes it fail. The zero value is no limit.
type SlowStart struct {
	// WarmupDuration is the time after its start at which a node has its full capacity, 0 for no slow
	// start.
	WarmupDuration time.Duration
	// InitialFraction is the fraction of its full capacity that a node has at its start. The capacity
	// grows linearly over WarmupDuration.
	InitialFraction float64
	// MinUnits is the number of units that any starting node can serve within an OverloadWindow, from
	// all instances together; 0 for Settings.MeanUnits.
	MinUnits float64
	// A node that is sent more than OverloadFactor times its present capacity within an OverloadWindow
	// is overloaded and fails.
	OverloadWindow time.Duration
	OverloadFactor float64
}

// Settings configures a Scheduler. It must not change after New.
type Settings struct {
	// Instances is the number of gateway instances that send to the nodes. It must be at least 1.
	Instances int
	// Classes and Plans are indexed by Arrival.Class and Arrival.Plan. Neither may be empty.
	Classes []Class
	Plans   []Plan
	// MaxUnits and MeanUnits are the costs of the largest and of the mean request, in units.
	MaxUnits  float64
	MeanUnits float64
	// ExcessWeight is the fraction of the priority weight that units beyond the reserve are worth.
	ExcessWeight float64

	// PollDiscovery makes the scheduler ask for the endpoint list with WatchEndpoints. Otherwise it
	// expects EndpointUpdate events without asking.
	PollDiscovery bool

	// MaxAttempts is the maximum number of attempts of one request, 0 for no bound.
	MaxAttempts int
	// MaxRetryAfter is the RetryAfter of rejections, 0 for none.
	MaxRetryAfter time.Duration
	// KeyCooldown is the pause before the next request of an ordered key after an attempt that may
	// still be running on its node, 0 for no pause.
	KeyCooldown time.Duration

	SlowStart SlowStart
	// RetryBudget is nil if only MaxAttempts bounds retries.
	RetryBudget *RetryBudget
}

// SettingsError reports the first setting that is out of range.
type SettingsError struct {
	Field string // name of the setting, for example Classes[1].LatencyObjective
	Value any
	Want  string // the values that are allowed
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

// numericSetting is a setting that checkNotNegative checks.
type numericSetting struct {
	field string
	value float64
}

// checkNotNegative returns a *SettingsError for the first value that is negative, infinite or not a
// number.
func checkNotNegative(settings []numericSetting) error {
	for _, setting := range settings {
		if !(setting.value >= 0) || math.IsInf(setting.value, 0) {
			return &SettingsError{setting.field, setting.value, "at least 0 and finite"}
		}
	}
	return nil
}

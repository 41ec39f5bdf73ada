// Package settings defines the JSON settings object of a site, validates it and converts it to
// scheduler.Settings. The simulator's protocol and the platform's configuration use the same object.
// This is the only package that maps the JSON keys and values to the terms of the code. It contains
// no policy and, apart from the single plan of a site without plans, no defaults.
package settings

import "time"

// Site is the settings object. The JSON keys are the names that users know. The fields have the names
// that the scheduler uses, and scheduler.Settings describes their meaning. All times are in
// microseconds (see Microseconds). Unknown keys are ignored.
type Site struct {
	Instances  int        `json:"fleetSize"`
	Discovery  string     `json:"discovery"` // discoveryPoll; any other value means pushed updates
	Classes    []Class    `json:"classes"`
	Plans      []Plan     `json:"grades"` // if empty, all volumes have the same plan
	Workload   Workload   `json:"familyInfo"`
	Guarantees Guarantees `json:"guarantees"`
	Limits     Limits     `json:"limits"`
	Zones      []string   `json:"zones"` // zone names; a zone's number is its index
}

// Class is a class of requests. See scheduler.Class.
type Class struct {
	Name                string  `json:"name"`
	LatencyObjective    int64   `json:"target"`
	Deadline            int64   `json:"deadline"`
	Effect              string  `json:"effect"` // a key of effects
	DeduplicationScope  string  `json:"group"`  // a key of deduplicationScopes
	DeduplicationWindow int64   `json:"window"`
	Ordered             bool    `json:"inTurn"`
	PriorityWeight      float64 `json:"gain"`
	LateWeightFactor    float64 `json:"lateWorth"`
}

// Plan is the service level that a volume has bought. See scheduler.Plan.
type Plan struct {
	Name           string  `json:"name"`
	Rate           float64 `json:"nominal"`
	Reserve        float64 `json:"guaranteed"`
	Weight         float64 `json:"shares"`
	PriorityFactor float64 `json:"valueFactor"`
	Limit          float64 `json:"ceilingRate"`
	LimitBurst     float64 `json:"limitBurst"`
}

// Workload describes the sizes of requests, the number of shards and the value of excess load.
type Workload struct {
	SlowStartMinUnits float64 `json:"coldUnits"`
	MaxUnits          float64 `json:"unitsTop"`
	MeanUnits         float64 `json:"usualUnits"`
	ExcessWeight      float64 `json:"fairWorth"`
	Shards            int     `json:"nShards"` // number of shards; 0 if unknown
	// Writes reports for each class, by its index, whether its requests are writes; empty if unknown.
	Writes []bool `json:"writes"`
}

// Guarantees are the rules that an instance must follow towards the nodes: slow start, the cooldown
// of ordered keys and the retry budget.
type Guarantees struct {
	WarmupDuration  int64   `json:"cold"`
	InitialFraction float64 `json:"coldFrom"`
	OverloadFactor  float64 `json:"fallMultiple"`
	OverloadWindow  int64   `json:"overloadFor"`
	KeyCooldown     int64   `json:"orderSettle"`
	// If RetryBudgetWindow is 0, there is no retry budget.
	RetryBudgetWindow     int64   `json:"countedOver"`
	RetryBudgetMinRetries float64 `json:"freeResends"`
	RetryBudgetRatio      float64 `json:"furtherRatio"`
}

// Limits bound attempts and connections.
type Limits struct {
	MaxAttempts int `json:"maxAttempts"` // attempts per request; 0 for no limit
	// MaxRetryAfter is the Retry-After time of rejections. It is sent only if SendRetryAfter is set.
	MaxRetryAfter  int64 `json:"maxRetryAfter"`
	SendRetryAfter bool  `json:"retryAfter"`
	ConnectionIdle int64 `json:"connIdle"`       // idle time after which nodes close a connection; 0 if unknown
	ConnectTimeout int64 `json:"connectTimeout"` // time to open a connection to a node; 0 for the default
}

// Microseconds converts a number of microseconds, the unit of all times in the settings, to a
// time.Duration.
func Microseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

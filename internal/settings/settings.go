// Package settings reads the settings object of a site, which is the same on the simulator's wire
// and in a platform's configuration, and makes scheduler.Settings of it. It is the one place where
// the object's words are mapped to the terms of the code; it holds no default and no decision.
package settings

import "time"

// Site is the settings object as it is in JSON. The keys are the users' words, the fields the terms
// that the scheduler has for them; see scheduler.Settings for their meaning. Times are in
// microseconds, see Microseconds. Keys that are not here are ignored.
type Site struct {
	Instances  int        `json:"fleetSize"`
	Discovery  string     `json:"discovery"` // discoveryPoll, or anything else for pushed updates
	Classes    []Class    `json:"classes"`
	Plans      []Plan     `json:"grades"` // none: all volumes have the same plan
	Workload   Workload   `json:"familyInfo"`
	Guarantees Guarantees `json:"guarantees"`
	Limits     Limits     `json:"limits"`
	Zones      []string   `json:"zones"`
}

// Class is a class of requests, see scheduler.Class.
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

// Plan is what a volume bought, see scheduler.Plan.
type Plan struct {
	Name           string  `json:"name"`
	Rate           float64 `json:"nominal"`
	Reserve        float64 `json:"guaranteed"`
	Weight         float64 `json:"shares"`
	PriorityFactor float64 `json:"valueFactor"`
	Limit          float64 `json:"ceilingRate"`
	LimitBurst     float64 `json:"limitBurst"`
}

// Workload describes the requests and the data.
type Workload struct {
	SlowStartMinUnits float64 `json:"coldUnits"`
	MaxUnits          float64 `json:"unitsTop"`
	MeanUnits         float64 `json:"usualUnits"`
	ExcessWeight      float64 `json:"fairWorth"`
	Shards            int     `json:"nShards"` // number of shards
	// Writes says of each class whether its requests write; empty where that is unknown.
	Writes []bool `json:"writes"`
}

// Guarantees are what the nodes and the site's rules ask of an instance.
type Guarantees struct {
	WarmupDuration  int64   `json:"cold"`
	InitialFraction float64 `json:"coldFrom"`
	OverloadFactor  float64 `json:"fallMultiple"`
	OverloadWindow  int64   `json:"overloadFor"`
	KeyCooldown     int64   `json:"orderSettle"`
	// A RetryBudgetWindow of 0 means that there is no retry budget.
	RetryBudgetWindow     int64   `json:"countedOver"`
	RetryBudgetMinRetries float64 `json:"freeResends"`
	RetryBudgetRatio      float64 `json:"furtherRatio"`
}

// Limits bound attempts and connections.
type Limits struct {
	MaxAttempts int `json:"maxAttempts"` // 0 for no bound
	// MaxRetryAfter is the Retry-After of rejections, sent where SendRetryAfter is set.
	MaxRetryAfter  int64 `json:"maxRetryAfter"`
	SendRetryAfter bool  `json:"retryAfter"`
	ConnectionIdle int64 `json:"connIdle"`       // after which nodes close a connection
	ConnectTimeout int64 `json:"connectTimeout"` // 0 for the default
}

// Microseconds returns a duration of so many microseconds.
func Microseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

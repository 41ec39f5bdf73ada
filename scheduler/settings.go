package scheduler

import (
	"fmt"
	"math"
	"time"
)

// Time is a clock reading: the time since a zero of the caller's choosing.
type Time = time.Duration

// Effect says whether a request of a class may run more than once.
type Effect int

// Effects of a class.
const (
	Safe          Effect = iota // may be repeated freely
	Idempotent                  // repeats are dropped within a group of nodes and a window
	NonIdempotent               // must never run twice
)

// DeduplicationScope names the nodes that drop each other's repeats of a keyed request.
type DeduplicationScope int

// Groups of a keyed class.
const (
	ScopeAll DeduplicationScope = iota
	ScopeZone
	ScopeShard
)

// Class describes one class of requests.
type Class struct {
	Name                string
	LatencyObjective    time.Duration // an answer within it earns the full worth
	Deadline            time.Duration // of a client over all its tries, 0: not told
	Effect              Effect
	DeduplicationScope  DeduplicationScope
	DeduplicationWindow time.Duration // how long repeats of a keyed request are dropped
	Ordered             bool          // requests with one key run one at a time, in turn
	PriorityWeight      float64
	// LateWeightFactor is the part of it that an answer after the aim earns.
	LateWeightFactor float64
}

// Plan describes what a volume bought. Its figures count over all heads and nodes.
type Plan struct {
	Name           string
	Rate           float64 // units a second the volume is sized for
	Reserve        float64 // units a second that earn their full worth
	Weight         float64
	PriorityFactor float64 // factor on the worth
	Limit          float64 // units a second, 0 for none
	LimitBurst     float64 // most units that the limit's bucket holds
}

// Settings are told once, before the first event. A zero value means that the
// site does not have the thing, unless the field says otherwise.
type Settings struct {
	Instances    int // how many there are
	Classes      []Class
	Plans        []Plan
	MaxUnits     float64 // of one request
	MeanUnits    float64
	ExcessWeight float64 // part of the worth that units beyond the reserve earn within the share

	PollDiscovery bool // the node list must be asked for

	MaxAttempts   int           // of one request, 0 for no bound
	MaxRetryAfter time.Duration // 0: clients are told nothing

	SlowStartMinUnits        float64       // always borne by a cold node within OverloadWindow, from all heads
	OverloadWindow           time.Duration // the window of the rule on cold nodes
	OverloadFactor           float64       // of its present capacity, past which a cold node falls over
	WarmupDuration           time.Duration // a started node is warm after this
	SlowStartInitialFraction float64       // share of its capacity that a started node begins at
	KeyCooldown              time.Duration // rest of a key after an attempt that may still run
	Budget                   bool          // further attempts are budgeted
	BudgetFree               float64
	BudgetShare              float64
	BudgetOver               time.Duration
}

// check names the first setting that is out of range.
func (s *Settings) check() error {
	bad := func(x float64) bool { return x < 0 || math.IsNaN(x) || math.IsInf(x, 0) }
	switch {
	case s.Instances < 1:
		return fmt.Errorf("settings: Heads is %d, want at least 1", s.Instances)
	case len(s.Classes) == 0:
		return fmt.Errorf("settings: Classes is empty")
	case len(s.Plans) == 0:
		return fmt.Errorf("settings: Plans is empty")
	case bad(s.SlowStartMinUnits) || bad(s.SlowStartInitialFraction) || s.WarmupDuration < 0 || s.OverloadWindow < 0:
		return fmt.Errorf("settings: ColdUnits, ColdFrom, Cold or FallWindow is negative or not a number")
	case s.Budget && (s.BudgetOver <= 0 || bad(s.BudgetFree) || bad(s.BudgetShare)):
		return fmt.Errorf("settings: BudgetOver, BudgetFree or BudgetShare is out of range")
	}
	for i, c := range s.Classes {
		if c.LatencyObjective <= 0 {
			return fmt.Errorf("settings: Classes[%d].Aim is %v, want more than 0", i, c.LatencyObjective)
		}
	}
	for i, p := range s.Plans {
		if bad(p.Weight) || bad(p.Reserve) || bad(p.Limit) || bad(p.LimitBurst) {
			return fmt.Errorf("settings: Plans[%d] has a negative Weight, Reserve, Limit or LimitBurst", i)
		}
	}
	return nil
}

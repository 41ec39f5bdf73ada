package soak

import (
	"reflect"
	"testing"
	"time"

	"maddergap/internal/syscalls"
)

var testOptions = Options{Seed: 5, Duration: 20 * time.Second, Instances: 8, Nodes: 8}

// Verifies that the same options give the same plan, and that another seed gives another plan. A run that
// found a violation is repeated by its seed.
func TestPlanFollowsFromSeed(t *testing.T) {
	other := testOptions
	other.Seed++
	first, again, different := GeneratePlan(&testOptions), GeneratePlan(&testOptions), GeneratePlan(&other)
	if !reflect.DeepEqual(first, again) {
		t.Error("got different plans for the same seed")
	}
	if reflect.DeepEqual(first, different) {
		t.Error("got the same plan for different seeds")
	}
}

// Verifies for many seeds that faults of every kind are drawn, each with a start time within the run and an
// existing target, and that every table of failing system calls can be parsed. Over the seeds, every
// series of signals is drawn, and some runs but not all have idle connections throughout.
func TestDrawnPlansAreValid(t *testing.T) {
	faultCounts := map[FaultKind]int{}
	seenSignals := map[SignalSeries]bool{}
	plansWithIdleConns := 0
	for seed := range uint64(50) {
		o := testOptions
		o.Seed = seed
		plan := GeneratePlan(&o)
		for _, fault := range plan.Faults {
			faultCounts[fault.Kind]++
			targets := o.Nodes
			if fault.Kind.component() != nodeComponent {
				targets = o.Instances
			}
			if fault.Kind == InstanceTerminate {
				seenSignals[fault.Signals] = true
			}
			if fault.Start < faultFreeStart || fault.Start > o.Duration || fault.Target >= targets || fault.String() == "" {
				t.Fatalf("seed %d: got fault %+v, out of range", seed, fault)
			}
		}
		if plan.HoldIdleConns {
			plansWithIdleConns++
		}
		for _, table := range plan.SyscallFaults {
			if _, err := syscalls.ParseFaultTable(table); err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
		}
	}
	for kind := range faultKindCount {
		if faultCounts[kind] == 0 {
			t.Errorf("got no fault of kind %v in any plan", kind)
		}
	}
	if want := 2 * 2 * (maxExtraSIGTERMs + 1); len(seenSignals) != want {
		t.Errorf("got %d series of signals, want %d", len(seenSignals), want)
	}
	if plansWithIdleConns == 0 || plansWithIdleConns == 50 {
		t.Errorf("got %d of 50 plans with HoldIdleConns, want some but not all", plansWithIdleConns)
	}
}

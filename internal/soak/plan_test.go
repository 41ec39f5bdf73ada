package soak

import (
	"reflect"
	"testing"
	"time"

	"maddergap/internal/syscalls"
)

var testOptions = Options{Seed: 5, Duration: 20 * time.Second, Instances: 8, Nodes: 8}

// A run that broke a rule is run again by its seed: the same seed has to give the same plan.
func TestPlanFollowsFromSeed(t *testing.T) {
	other := testOptions
	other.Seed++
	first, again, different := DrawPlan(&testOptions), DrawPlan(&testOptions), DrawPlan(&other)
	if !reflect.DeepEqual(first, again) {
		t.Error("the plans of one seed differ")
	}
	if reflect.DeepEqual(first, different) {
		t.Error("the plans of two seeds are the same")
	}
}

// Faults of every kind are drawn, each within the run and for a target that exists, and every table
// of failing system calls can be parsed.
func TestPlans(t *testing.T) {
	drawn := map[FaultKind]int{}
	signals := map[SignalSeries]bool{}
	crowds := 0
	for seed := range uint64(50) {
		o := testOptions
		o.Seed = seed
		plan := DrawPlan(&o)
		for _, fault := range plan.Faults {
			drawn[fault.Kind]++
			targets := o.Nodes
			if fault.Kind.component() != nodeComponent {
				targets = o.Instances
			}
			if fault.Kind == InstanceTerminate {
				signals[fault.Signals] = true
			}
			if fault.Start < quietStart || fault.Start > o.Duration || fault.Target >= targets || fault.String() == "" {
				t.Fatalf("seed %d: %+v", seed, fault)
			}
		}
		if plan.Crowd {
			crowds++
		}
		for _, table := range plan.SyscallFaults {
			if _, err := syscalls.ParseFaultTable(table); err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
		}
	}
	for kind := range faultKinds {
		if drawn[kind] == 0 {
			t.Errorf("%v is never drawn", kind)
		}
	}
	if want := 2 * 2 * (maxFurtherTerms + 1); len(signals) != want {
		t.Errorf("%d series of signals, want %d", len(signals), want)
	}
	if crowds == 0 || crowds == 50 {
		t.Errorf("%d of 50 runs have a crowd", crowds)
	}
}

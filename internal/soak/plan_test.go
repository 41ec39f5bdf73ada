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
			if fault.Start < quietStart || fault.Start > o.Duration || fault.Target >= targets || fault.String() == "" {
				t.Fatalf("seed %d: %+v", seed, fault)
			}
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
}

package soak

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"maddergap/internal/syscalls"
)

var options = Options{Seed: 5, Duration: 20 * time.Second, Instances: 8, Nodes: 8}

func TestSameSeedSameScript(t *testing.T) {
	other := options
	other.Seed++
	one, two, three := DrawPlan(&options), DrawPlan(&options), DrawPlan(&other)
	if !reflect.DeepEqual(one, two) || reflect.DeepEqual(one, three) {
		t.Error("a script does not follow from its seed")
	}
}

// Every kind of fault is drawn, within the run, against somebody who is there; and every
// table of failing calls can be read.
func TestScripts(t *testing.T) {
	seen := map[FaultKind]int{}
	for seed := range uint64(50) {
		o := options
		o.Seed = seed
		s := DrawPlan(&o)
		for _, e := range s.Faults {
			seen[e.Kind]++
			who := o.Nodes
			if e.Kind.component() != nodeComponent {
				who = o.Instances
			}
			if e.Start < quietStart || e.Start > o.Duration || e.Target >= who || e.String() == "" {
				t.Fatalf("seed %d: %+v", seed, e)
			}
		}
		for _, text := range s.SyscallFaults {
			if _, err := syscalls.ParseFaultTable(text); err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
		}
	}
	for k := range faultKinds {
		if seen[k] == 0 {
			t.Errorf("%v is never drawn", k)
		}
	}
}

func TestOptions(t *testing.T) {
	for _, o := range []Options{{Duration: time.Second, Instances: 4, Nodes: 8}, {Duration: time.Hour, Instances: 4, Nodes: 8},
		{Duration: 10 * time.Second, Nodes: 8}, {Duration: 10 * time.Second, Instances: 4, Nodes: 5}} {
		if o.Validate() == nil {
			t.Errorf("%+v is taken", o)
		}
	}
}

// What heads found broken themselves, or crashed with, is read from their logs.
func TestBrokenLines(t *testing.T) {
	file := filepath.Join(t.TempDir(), "head0.log")
	os.WriteFile(file, []byte(`{"msg":"serving"}
{"level":"ERROR","msg":"invariant violated","rule":"drain"}
panic: runtime error
{"msg":"stopped"}
`), 0o644)
	lines, err := brokenLines(file)
	if err != nil || len(lines) != 2 {
		t.Errorf("%q, %v", lines, err)
	}
}

package main

import (
	"bytes"
	"os"
	"testing"
	"time"

	"maddergap/internal/soak"
)

// Verifies that every rule holds under overlapping faults in a short soak on processes.
func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("takes more than 10 s")
	}
	t.Setenv(asProgram, "1")
	o := &soak.Options{Seed: 3, Duration: 10 * time.Second, Instances: 5, Nodes: 6}
	r, err := soak.Run(o, []string{os.Args[0]}, t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	var text bytes.Buffer
	r.Write(&text, "maddergap soak --seed 3 --duration 10s --heads 5 --nodes 6")
	if !r.Passed() {
		t.Error(text.String())
	}
	if r.Audit.Served < 200 {
		t.Errorf("got %d requests served, want at least 200:\n%s", r.Audit.Served, text.String())
	}
}

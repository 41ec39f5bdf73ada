package main

import (
	"bytes"
	"os"
	"testing"
	"time"

	"maddergap/internal/scenario"
)

// Verifies that all rules hold and at least half of the offered weight is earned in the short scenario,
// run on processes while every instance is flooded with connections.
func TestScenario(t *testing.T) {
	if testing.Short() {
		t.Skip("takes half a minute")
	}
	os.Setenv(asProgram, "1")
	defer os.Unsetenv(asProgram)
	size := scenario.Short
	size.Rate = 150 // two cores can sustain this while other tests run
	report, err := scenario.Run(&scenario.Options{Plan: scenario.GeneratePlan(1, size), Dir: t.TempDir(), Exe: []string{os.Args[0]}, LateTolerance: time.Second, Flood: true})
	if err != nil {
		t.Fatal(err)
	}
	var text bytes.Buffer
	report.Write(&text)
	if !report.Passed() {
		t.Errorf("%s", text.String())
	}
	if fraction := report.EarnedWeight / report.OfferedWeight; fraction < 0.5 || report.Served < 1000 {
		t.Errorf("less than half of the offered weight was earned, or fewer than 1000 requests were served:\n%s", text.String())
	}
	t.Log("\n" + text.String())
}

package main

import (
	"bytes"
	"os"
	"testing"
	"time"

	"maddergap/internal/scenario"
)

// The short scenario on processes, with every instance flooded with connections meanwhile: all
// rules hold, and at least half of what was due is earned.
func TestScenario(t *testing.T) {
	if testing.Short() {
		t.Skip("half a minute")
	}
	os.Setenv(asProgram, "1")
	defer os.Unsetenv(asProgram)
	size := scenario.Short
	size.Rate = 150 // what two cores bear beside other tests
	report, err := scenario.Run(&scenario.Options{Plan: scenario.Draw(1, size), Dir: t.TempDir(), Exe: []string{os.Args[0]}, LateTolerance: time.Second, Flood: true})
	if err != nil {
		t.Fatal(err)
	}
	var text bytes.Buffer
	report.Write(&text)
	if !report.Passed() {
		t.Errorf("%s", text.String())
	}
	if share := report.EarnedWeight / report.OfferedWeight; share < 0.5 || report.Served < 1000 {
		t.Errorf("too little was served:\n%s", text.String())
	}
	t.Log("\n" + text.String())
}

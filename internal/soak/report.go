package soak

import (
	"fmt"
	"io"
	"time"

	"maddergap/internal/audit"
)

// maxReportedLines is how many lines of a kind a printed report has.
const maxReportedLines = 10

// Report is the verdict on a run.
type Report struct {
	Options *Options
	Plan    *Plan
	Audit   *audit.Report
	// Violations are log lines of instances: invariants that they found violated, and crashes.
	Violations []string
	// Failures are processes that exited by themselves or did not start again, nodes that did not,
	// and stalled requests that an instance did not end.
	Failures []string
	// MaxStall is the longest time for which the soak itself did not run.
	MaxStall time.Duration
}

// Passed reports whether every rule held and nothing failed.
func (r *Report) Passed() bool {
	return r.Audit.Passed() && len(r.Violations) == 0 && len(r.Failures) == 0
}

// Write prints the report. If the run did not pass, the plan is printed too, and command, which
// runs the same again.
func (r *Report) Write(w io.Writer, command string) {
	r.Audit.Write(w)
	fmt.Fprintf(w, "the soak was held up %v at most\n", r.MaxStall.Round(time.Millisecond))
	if r.Passed() {
		fmt.Fprintf(w, "seed %d: everything held\n", r.Options.Seed)
		return
	}
	writeLines(w, "fault", r.Failures)
	writeLines(w, "found broken by a head", r.Violations)
	r.Plan.Write(w)
	fmt.Fprintf(w, "seed %d: BROKEN; again with: %s\n", r.Options.Seed, command)
}

// writeLines prints the first lines under a title, and how many more there are.
func writeLines(w io.Writer, title string, lines []string) {
	for i, line := range lines {
		if i == maxReportedLines {
			fmt.Fprintf(w, "%s: %d more\n", title, len(lines)-i)
			return
		}
		fmt.Fprintf(w, "%s: %s\n", title, line)
	}
}

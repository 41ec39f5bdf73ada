package soak

import (
	"fmt"
	"io"
	"time"

	"maddergap/internal/audit"
)

// maxReportedLines is the maximum number of failures, and of violations, that a printed report lists.
const maxReportedLines = 10

// Report is the result of a run.
type Report struct {
	Options *Options
	Plan    *Plan
	Audit   *audit.Report
	// Violations holds lines from the instances' logs that report violated invariants, requests aborted
	// at shutdown, and crashes.
	Violations []string
	// Failures describes processes that exited by themselves or did not restart, reloads that could not
	// be done, nodes that did not restart, and instances that did not end a stalled request in time.
	Failures []string
	// MaxStall is the longest time for which the operating system did not run the soak's own process.
	MaxStall time.Duration
}

// Passed reports whether there were no rule violations, no logged violations and no failures.
func (r *Report) Passed() bool {
	return r.Audit.Passed() && len(r.Violations) == 0 && len(r.Failures) == 0
}

// Write prints the report. If the run did not pass, it also prints the plan and command, the command
// line that repeats the run.
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

// writeLines prints the first maxReportedLines lines, each after title, and the number of further lines.
func writeLines(w io.Writer, title string, lines []string) {
	for i, line := range lines {
		if i == maxReportedLines {
			fmt.Fprintf(w, "%s: %d more\n", title, len(lines)-i)
			return
		}
		fmt.Fprintf(w, "%s: %s\n", title, line)
	}
}

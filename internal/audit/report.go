package audit

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"
	"time"
)

// Report is the result of judging a run.
type Report struct {
	Verdicts []Verdict // sorted by rule
	// OfferedWeight is the priority weight of all requests whose clients did not disconnect.
	// EarnedWeight is the part of it that their responses earned. Both are sums of units of work
	// multiplied by priority weight.
	OfferedWeight float64
	EarnedWeight  float64

	Requests     int // all requests: the sum of the next five fields
	Served       int
	Rejected     int // responded with 503
	Failed       int // responded with 502 or 504, or with a truncated response
	Disconnected int // disconnected by the client before the response
	Unanswered   int // no response
	Attempts     int // attempts that nodes received

	MissedObjective int             // served requests that took longer than their latency objective
	Latencies       []time.Duration // of served requests, sorted
	DeadlineMisses  DeadlineMisses
	Startup         StartupStats
}

// StartupStats holds the statistics of requests sent during the startup of a run.
type StartupStats struct {
	OfferedWeight, EarnedWeight float64
	Rejected, Unanswered        int
}

// Passed reports whether no rule was violated.
func (r *Report) Passed() bool { return len(r.ViolatedRules()) == 0 }

// ViolatedRules returns the violated rules in ascending order.
func (r *Report) ViolatedRules() []Rule {
	var violated []Rule
	for _, v := range r.Verdicts {
		if v.Violations > 0 {
			violated = append(violated, v.Rule)
		}
	}
	return violated
}

// LatencyQuantile returns the q-quantile (0 to 1) of the latencies of served requests, or 0 if no request
// was served.
func (r *Report) LatencyQuantile(q float64) time.Duration { return quantile(r.Latencies, q) }

// Write prints the report.
func (r *Report) Write(w io.Writer) {
	r.writeVerdicts(w)
	r.DeadlineMisses.write(w)
	fmt.Fprintf(w, "the first %v: worth on time %.3f of what was due, refused %d, without answer %d\n", startupDuration,
		ratio(r.Startup.EarnedWeight, r.Startup.OfferedWeight), r.Startup.Rejected, r.Startup.Unanswered)
	fmt.Fprintf(w, "requests %d: served %d (late %d), refused %d, failed %d, gave up %d, lost with a killed head %d; attempts %d\n",
		r.Requests, r.Served, r.MissedObjective, r.Rejected, r.Failed, r.Disconnected, r.Unanswered, r.Attempts)
	fmt.Fprintf(w, "served: p50 %v, p99 %v\n", roundForReport(r.LatencyQuantile(0.5)), roundForReport(r.LatencyQuantile(0.99)))
	fmt.Fprintf(w, "worth served on time %.0f of %.0f due: %.3f\n", r.EarnedWeight, r.OfferedWeight, ratio(r.EarnedWeight, r.OfferedWeight))
}

// writeVerdicts prints a table of the rules, followed by examples of violations.
func (r *Report) writeVerdicts(w io.Writer) {
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "rule\t\tfigure\tbound\tverdict\tof")
	for _, v := range r.Verdicts {
		verdict := "kept"
		if v.Violations > 0 {
			verdict = fmt.Sprintf("BROKEN %d times", v.Violations)
		}
		fmt.Fprintf(table, "%d\t%v\t%.4g\t%.4g\t%s\t%s\n", v.Rule, v.Rule, v.Figure, v.Bound, verdict, v.Rule.unit())
	}
	table.Flush()
	for _, v := range r.Verdicts {
		for _, example := range v.Examples {
			fmt.Fprintln(w, example)
		}
	}
}

func (d *DeadlineMisses) write(w io.Writer) {
	fmt.Fprintf(w, "answers after their deadline: %d (p50 %v, p99 %v, most %v); %d in the first %v; %d while the rig was held up (most %v)\n",
		len(d.Delays), roundForReport(quantile(d.Delays, 0.5)), roundForReport(quantile(d.Delays, 0.99)), roundForReport(quantile(d.Delays, 1)),
		d.DuringStartup, startupDuration, d.DuringStalls, roundForReport(d.LongestStall))
}

// roundForReport rounds a duration to the precision of the report.
func roundForReport(d time.Duration) time.Duration { return d.Round(100 * time.Microsecond) }

// ratio returns part/whole, or 0 if whole is 0.
func ratio(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return part / whole
}

// quantile returns the q-quantile (0 to 1) of a sorted list, or 0 if the list is empty.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	rank := int(math.Ceil(q * float64(len(sorted))))
	return sorted[min(rank-1, len(sorted)-1)]
}

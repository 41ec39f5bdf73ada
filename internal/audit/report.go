package audit

import (
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// Report is a judged run.
type Report struct {
	Verdicts        []Verdict
	OfferedWeight   float64 // worth
	EarnedWeight    float64
	Requests        int
	Served          int
	Rejected        int
	Failed          int
	Disconnected    int
	Unanswered      int // with a head that was killed
	Attempts        int
	MissedObjective int
	Latencies       []time.Duration // of answers served, sorted
	DeadlineMisses  DeadlineMisses
	Startup         StartupStats
}

// StartupStats is the day's first seconds, in which heads know nobody.
type StartupStats struct {
	OfferedWeight, EarnedWeight float64
	Rejected, Unanswered        int
}

// Passed tells whether no rule is broken.
func (r *Report) Passed() bool {
	for _, x := range r.Verdicts {
		if x.Violations > 0 {
			return false
		}
	}
	return true
}

// ViolatedRules lists their numbers.
func (r *Report) ViolatedRules() (out []int) {
	for _, x := range r.Verdicts {
		if x.Violations > 0 {
			out = append(out, x.Number)
		}
	}
	return out
}

// Write prints the report.
func (r *Report) Write(w io.Writer) {
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(tw, "rule\t\tfigure\tbound\tverdict\tof")
	for _, x := range r.Verdicts {
		verdict := "kept"
		if x.Violations > 0 {
			verdict = fmt.Sprintf("BROKEN %d times", x.Violations)
		}
		fmt.Fprintf(tw, "%d\t%s\t%.4g\t%.4g\t%s\t%s\n", x.Number, x.Name, x.Figure, x.Bound, verdict, x.Unit)
	}
	tw.Flush()
	for _, x := range r.Verdicts {
		for _, e := range x.Examples {
			fmt.Fprintf(w, "rule %d: %s\n", x.Number, strings.TrimSpace(e))
		}
	}
	ms := func(d time.Duration) time.Duration { return d.Round(100 * time.Microsecond) }
	fmt.Fprintf(w, "answers after their deadline: %d (p50 %v, p99 %v, most %v); %d in the first %v; %d while the rig was held up (most %v)\n",
		len(r.DeadlineMisses.Delays), ms(quantile(r.DeadlineMisses.Delays, 0.5)), ms(quantile(r.DeadlineMisses.Delays, 0.99)), ms(quantile(r.DeadlineMisses.Delays, 1)), r.DeadlineMisses.DuringStartup, opening,
		r.DeadlineMisses.DuringStalls, ms(r.DeadlineMisses.LongestStall))
	part := func(earned, due float64) float64 {
		if due == 0 {
			return 0
		}
		return earned / due
	}
	fmt.Fprintf(w, "the first %v: worth on time %.3f of what was due, refused %d, without answer %d\n", opening,
		part(r.Startup.EarnedWeight, r.Startup.OfferedWeight), r.Startup.Rejected, r.Startup.Unanswered)
	share := part(r.EarnedWeight, r.OfferedWeight)
	fmt.Fprintf(w, "requests %d: served %d (late %d), refused %d, failed %d, gave up %d, lost with a killed head %d; attempts %d\n",
		r.Requests, r.Served, r.MissedObjective, r.Rejected, r.Failed, r.Disconnected, r.Unanswered, r.Attempts)
	fmt.Fprintf(w, "served: p50 %v, p99 %v\n", r.LatencyQuantile(0.5).Round(100*time.Microsecond), r.LatencyQuantile(0.99).Round(100*time.Microsecond))
	fmt.Fprintf(w, "worth served on time %.0f of %.0f due: %.3f\n", r.EarnedWeight, r.OfferedWeight, share)
}

// worth sums what was due and what was earned.
func (j *judge) worth(r *Report) {
	for _, c := range j.clients {
		r.Requests++
		class := j.classes[c.Class]
		price := 1.0
		for _, v := range j.in.Config.Volumes {
			if v.Name == c.Volume {
				price = j.in.Config.Scheduler.Plans[v.Plan].PriorityFactor
			}
		}
		worth := class.PriorityWeight * price * c.Units
		early := j.early(c)
		if c.DisconnectedAt == 0 {
			r.OfferedWeight += worth
			if early {
				r.Startup.OfferedWeight += worth
			}
		}
		if early && c.Status == 503 {
			r.Startup.Rejected++
		}
		if early && c.Responses == 0 && c.DisconnectedAt == 0 {
			r.Startup.Unanswered++
		}
		earn := func(part float64) {
			r.EarnedWeight += worth * part
			if early {
				r.Startup.EarnedWeight += worth * part
			}
		}
		took := time.Duration(c.RespondedAt-c.SentAt) * time.Microsecond
		switch {
		case c.DisconnectedAt > 0:
			r.Disconnected++
		case c.Responses == 0:
			r.Unanswered++
		case c.Truncated || c.Status == 502 || c.Status == 504:
			r.Failed++
		case c.Status == 503:
			r.Rejected++
		default:
			r.Served++
			r.Latencies = append(r.Latencies, took)
			if took <= class.LatencyObjective {
				earn(1)
			} else {
				r.MissedObjective++
				earn(class.LateWeightFactor)
			}
		}
	}
	slices.Sort(r.Latencies)
	r.Attempts = len(j.all)
}

// LatencyQuantile of the answers served.
func (r *Report) LatencyQuantile(q float64) time.Duration { return quantile(r.Latencies, q) }

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(math.Ceil(q*float64(len(sorted))))-1, len(sorted)-1)]
}

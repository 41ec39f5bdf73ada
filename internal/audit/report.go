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
	Rules    []Rule
	Due      float64 // worth
	Earned   float64
	Requests int
	Served   int
	Refused  int
	Failed   int
	GaveUp   int
	Lost     int // with a head that was killed
	Attempts int
	Late     int
	Took     []time.Duration // of answers served, sorted
	Past     Past
	First    Opening
}

// Opening is the day's first seconds, in which heads know nobody.
type Opening struct {
	Due, Earned   float64
	Refused, Lost int
}

// Good tells whether no rule is broken.
func (r *Report) Good() bool {
	for _, x := range r.Rules {
		if x.Broken > 0 {
			return false
		}
	}
	return true
}

// BrokenRules lists their numbers.
func (r *Report) BrokenRules() (out []int) {
	for _, x := range r.Rules {
		if x.Broken > 0 {
			out = append(out, x.Number)
		}
	}
	return out
}

// Write prints the report.
func (r *Report) Write(w io.Writer) {
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(tw, "rule\t\tfigure\tbound\tverdict\tof")
	for _, x := range r.Rules {
		verdict := "kept"
		if x.Broken > 0 {
			verdict = fmt.Sprintf("BROKEN %d times", x.Broken)
		}
		fmt.Fprintf(tw, "%d\t%s\t%.4g\t%.4g\t%s\t%s\n", x.Number, x.Name, x.Figure, x.Bound, verdict, x.Unit)
	}
	tw.Flush()
	for _, x := range r.Rules {
		for _, e := range x.Examples {
			fmt.Fprintf(w, "rule %d: %s\n", x.Number, strings.TrimSpace(e))
		}
	}
	ms := func(d time.Duration) time.Duration { return d.Round(100 * time.Microsecond) }
	fmt.Fprintf(w, "answers after their deadline: %d (p50 %v, p99 %v, most %v); %d in the first %v; %d while the rig was held up (most %v)\n",
		len(r.Past.By), ms(quantile(r.Past.By, 0.5)), ms(quantile(r.Past.By, 0.99)), ms(quantile(r.Past.By, 1)), r.Past.Opening, opening,
		r.Past.Rig, ms(r.Past.RigMost))
	part := func(earned, due float64) float64 {
		if due == 0 {
			return 0
		}
		return earned / due
	}
	fmt.Fprintf(w, "the first %v: worth on time %.3f of what was due, refused %d, without answer %d\n", opening,
		part(r.First.Earned, r.First.Due), r.First.Refused, r.First.Lost)
	share := part(r.Earned, r.Due)
	fmt.Fprintf(w, "requests %d: served %d (late %d), refused %d, failed %d, gave up %d, lost with a killed head %d; attempts %d\n",
		r.Requests, r.Served, r.Late, r.Refused, r.Failed, r.GaveUp, r.Lost, r.Attempts)
	fmt.Fprintf(w, "served: p50 %v, p99 %v\n", r.Quantile(0.5).Round(100*time.Microsecond), r.Quantile(0.99).Round(100*time.Microsecond))
	fmt.Fprintf(w, "worth served on time %.0f of %.0f due: %.3f\n", r.Earned, r.Due, share)
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
		if c.GaveUp == 0 {
			r.Due += worth
			if early {
				r.First.Due += worth
			}
		}
		if early && c.Status == 503 {
			r.First.Refused++
		}
		if early && c.Answers == 0 && c.GaveUp == 0 {
			r.First.Lost++
		}
		earn := func(part float64) {
			r.Earned += worth * part
			if early {
				r.First.Earned += worth * part
			}
		}
		took := time.Duration(c.Answered-c.Sent) * time.Microsecond
		switch {
		case c.GaveUp > 0:
			r.GaveUp++
		case c.Answers == 0:
			r.Lost++
		case c.Cut || c.Status == 502 || c.Status == 504:
			r.Failed++
		case c.Status == 503:
			r.Refused++
		default:
			r.Served++
			r.Took = append(r.Took, took)
			if took <= class.LatencyObjective {
				earn(1)
			} else {
				r.Late++
				earn(class.LateWeightFactor)
			}
		}
	}
	slices.Sort(r.Took)
	r.Attempts = len(j.all)
}

// Quantile of the answers served.
func (r *Report) Quantile(q float64) time.Duration { return quantile(r.Took, q) }

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(math.Ceil(q*float64(len(sorted))))-1, len(sorted)-1)]
}

package audit

import (
	"slices"
)

// budget is rule 6, for each head: further attempts in any window against a few
// and a share of the requests taken in it.
func (j *judge) budget() Verdict {
	s := j.in.Config.Scheduler
	r := Verdict{Number: 6, Name: "attempt budget", Unit: "x the budget, in any window", Bound: 1}
	if s.RetryBudget == nil {
		return r
	}
	further, taken := map[int][]int64{}, map[int][]int64{}
	for t, list := range j.attempts {
		if c := j.clients[t]; c != nil {
			for _, e := range list[1:] {
				further[c.Instance] = append(further[c.Instance], e.ReceivedAt)
			}
		}
	}
	for _, c := range j.clients {
		if !c.Incomplete {
			taken[c.Instance] = append(taken[c.Instance], c.SentAt)
		}
	}
	over := s.RetryBudget.Window.Microseconds()
	for head, ends := range further {
		slices.Sort(ends)
		in := taken[head]
		slices.Sort(in)
		from := 0
		for i, at := range ends {
			for ends[from] < at-over {
				from++
			}
			lo, _ := slices.BinarySearch(in, at-over-j.blur())
			hi, _ := slices.BinarySearch(in, at+j.blur())
			budget := s.RetryBudget.MinRetries + s.RetryBudget.Ratio*float64(hi-lo)
			n := float64(i - from + 1)
			r.Figure = max(r.Figure, n/max(budget, 1e-9))
			if n > budget+1e-9 {
				r.breach("head %d made %.0f further attempts in %v, with %d requests %.1f are allowed", head, n, s.RetryBudget.Window, hi-lo, budget)
			}
		}
	}
	return r
}

// limits is rule 7, over all heads: a bucket of the limit's rate and burst, both
// with their slack, takes every first send.
func (j *judge) limits() Verdict {
	r := Verdict{Number: 7, Name: "limits with their slack", Unit: "x the bucket with its slack, at the fullest", Bound: 1}
	for _, v := range j.in.Config.Volumes {
		p := j.in.Config.Scheduler.Plans[v.Plan]
		if p.Limit <= 0 {
			continue
		}
		most := max(0.1*p.LimitBurst, j.in.Config.Scheduler.MaxUnits)
		rate, room := 1.1*p.Limit, p.LimitBurst+most
		level, last := 0.0, int64(0)
		for _, e := range j.all {
			c := j.clients[traceID(e.Traceparent)]
			if c == nil || c.Volume != v.Name || j.attempts[c.TraceID][0] != e {
				continue
			}
			if last > 0 {
				level = max(0, level-rate*float64(e.ReceivedAt-last)/1e6)
			}
			last, level = e.ReceivedAt, level+c.Units
			r.Figure = max(r.Figure, level/room)
			if level > room+rate*j.in.ClockTolerance.Seconds() {
				r.breach("volume %s is %.1f units over its limit at %s", v.Name, level-room, c.TraceID)
			}
		}
	}
	return r
}

package audit

import (
	"time"
)

// drains is rule 3.
func (j *judge) drains() Verdict {
	r := Verdict{Number: 3, Name: "drains kept", Unit: "ms past being told, of the last send", Bound: float64(j.in.DrainGrace.Milliseconds())}
	for _, d := range j.in.Drains {
		for _, e := range j.all {
			if e.Node != d.Name || e.ReceivedAt < d.From || (d.To > 0 && e.ReceivedAt > d.To) {
				continue
			}
			after := time.Duration(e.ReceivedAt-d.From) * time.Microsecond
			r.Figure = max(r.Figure, float64(after.Milliseconds()))
			if after > j.in.DrainGrace+j.in.ClockTolerance {
				r.breach("%s was sent %s %v after it was told to drain", e.Node, e.Path, after)
			}
		}
	}
	for _, n := range j.in.DrainNotices {
		j.noticed(&r, n)
	}
	return r
}

// noticed judges the attempts of one head at one node.
func (j *judge) noticed(r *Verdict, n Notice) {
	for _, e := range j.all {
		c := j.clients[traceID(e.Traceparent)]
		if e.Node != n.Node || c == nil || c.Instance != n.Instance || e.ReceivedAt < n.From || n.To > 0 && e.ReceivedAt > n.To {
			continue
		}
		after := time.Duration(e.ReceivedAt-n.From) * time.Microsecond
		r.Figure = max(r.Figure, float64(after.Milliseconds()))
		if after > j.in.DrainGrace+j.in.ClockTolerance {
			r.breach("%s was sent to %s by head %d %v after that was notified", c.TraceID, e.Node, n.Instance, after)
		}
	}
}

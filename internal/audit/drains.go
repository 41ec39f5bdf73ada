package audit

import (
	"time"
)

// drains is rule 3.
func (j *judge) drains() Rule {
	r := Rule{Number: 3, Name: "drains kept", Unit: "ms past being told, of the last send", Bound: float64(j.in.Grace.Milliseconds())}
	for _, d := range j.in.Drains {
		for _, e := range j.all {
			if e.Node != d.Name || e.In < d.From || (d.To > 0 && e.In > d.To) {
				continue
			}
			after := time.Duration(e.In-d.From) * time.Microsecond
			r.Figure = max(r.Figure, float64(after.Milliseconds()))
			if after > j.in.Grace+j.in.Blur {
				r.breach("%s was sent %s %v after it was told to drain", e.Node, e.Path, after)
			}
		}
	}
	for _, n := range j.in.Notices {
		j.noticed(&r, n)
	}
	return r
}

// noticed judges the attempts of one head at one node.
func (j *judge) noticed(r *Rule, n Notice) {
	for _, e := range j.all {
		c := j.clients[traceID(e.Trace)]
		if e.Node != n.Node || c == nil || c.Head != n.Head || e.In < n.From || n.To > 0 && e.In > n.To {
			continue
		}
		after := time.Duration(e.In-n.From) * time.Microsecond
		r.Figure = max(r.Figure, float64(after.Milliseconds()))
		if after > j.in.Grace+j.in.Blur {
			r.breach("%s was sent to %s by head %d %v after that was notified", c.Trace, e.Node, n.Head, after)
		}
	}
}

package audit

import (
	"time"

	"maddergap/internal/fakenode"
	"maddergap/scheduler"
)

// effects is rule 2.
func (j *judge) effects() Verdict {
	r := Verdict{Number: 2, Name: "no effect twice", Unit: "unsafe repeats or false refusals", Bound: 0}
	for t, list := range j.attempts {
		c := j.clients[t]
		if c == nil {
			continue
		}
		class := &j.classes[c.Class]
		if class.Effect == scheduler.Safe {
			continue
		}
		ran := 0
		for i, e := range list {
			if e.ExecutedAt > 0 {
				ran++
			}
			if i == 0 || notRun(list[i-1]) {
				continue
			}
			if class.Effect == scheduler.NonIdempotent {
				r.breach("%s (%s) was sent again to %s though the attempt before may have run", t, class.Name, e.Node)
			} else if late := time.Duration(e.ReceivedAt-list[0].ReceivedAt) * time.Microsecond; late > class.DeduplicationWindow+j.in.ClockTolerance {
				r.breach("%s (%s) was sent again after %v, its nodes remember %v", t, class.Name, late, class.DeduplicationWindow)
			}
		}
		if class.Effect == scheduler.NonIdempotent && ran > 1 {
			r.breach("%s (%s) ran %d times", t, class.Name, ran)
		}
		if c.Status == 503 && ran > 0 && class.Effect == scheduler.NonIdempotent {
			r.breach("%s (%s) was refused, but ran", t, class.Name)
		}
	}
	r.Figure = float64(r.Violations)
	return r
}

// notRun tells whether a node said of an attempt that it did not run.
func notRun(e *fakenode.Entry) bool { return e.Status == 503 && e.ExecutedAt == 0 }

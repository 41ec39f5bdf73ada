package audit

import (
	"slices"
	"time"

	"maddergap/internal/fakenode"
)

// answers is rule 1: one final answer in time for each request taken, and
// nothing sent for it after that.
func (j *judge) answers() Verdict {
	r := Verdict{Number: 1, Name: "one final answer in time", Unit: "requests without, or with another", Bound: 0}
	for t, c := range j.clients {
		end := max(c.RespondedAt, c.DisconnectedAt, c.ConnectionLostAt)
		switch {
		case c.Responses > 1:
			r.breach("%s has %d answers", t, c.Responses)
		case c.Incomplete, c.DisconnectedAt > 0, j.down(c.Instance, c.SentAt, end):
		case c.Responses == 0:
			r.breach("%s sent to head %d at %s has no answer, its connection ended %v later", t, c.Instance,
				time.UnixMicro(c.SentAt).UTC().Format("15:04:05.000000"), time.Duration(c.ConnectionLostAt-c.SentAt)*time.Microsecond)
		case c.RespondedAt > c.Deadline+j.in.LateTolerance.Microseconds():
			r.breach("%s was answered %v late", t, time.Duration(c.RespondedAt-c.Deadline)*time.Microsecond)
		}
		for _, e := range j.attempts[t] {
			j.begun(&r, c, e)
			if c.RespondedAt > 0 && e.ReceivedAt > c.RespondedAt+j.blur() {
				r.breach("%s was sent to %s %v after its answer", t, e.Node, time.Duration(e.ReceivedAt-c.RespondedAt)*time.Microsecond)
			}
		}
	}
	for t, list := range j.attempts {
		if j.clients[t] == nil {
			r.breach("an attempt at %s (%s %s, trace %q) belongs to no request", list[0].Node, list[0].Method, list[0].Path, t)
		}
	}
	r.Figure = float64(r.Violations)
	return r
}

// begun judges one attempt against its client: whether that is there still, and the time that
// is left to it.
func (j *judge) begun(r *Verdict, c *RequestRecord, e *fakenode.Entry) {
	if gone := c.DisconnectedAt; j.in.DisconnectGrace > 0 && gone > 0 && e.ReceivedAt > gone+j.in.DisconnectGrace.Microseconds()+j.blur() {
		r.breach("%s was sent to %s %v after its client had left", c.TraceID, e.Node, time.Duration(e.ReceivedAt-gone)*time.Microsecond)
	}
	if over := e.Timeout - (c.Deadline - e.ReceivedAt); j.in.TimeoutTolerance > 0 && e.Timeout > 0 && over > j.in.TimeoutTolerance.Microseconds()+j.blur() {
		r.breach("%s told %s %v more than is left to its client", c.TraceID, e.Node, time.Duration(over)*time.Microsecond)
	}
}

// past collects answers after their deadline, and tells those that came while the
// rig was held up, which may be its own doing.
func (j *judge) past(r *Report) {
	p := &r.DeadlineMisses
	for _, l := range j.in.Stalls {
		p.LongestStall = max(p.LongestStall, time.Duration(l.To-l.From)*time.Microsecond)
	}
	for i := range j.in.Requests {
		c := &j.in.Requests[i]
		if c.RespondedAt == 0 || c.RespondedAt <= c.Deadline || c.Deadline == 0 {
			continue
		}
		p.Delays = append(p.Delays, time.Duration(c.RespondedAt-c.Deadline)*time.Microsecond)
		if j.early(c) {
			p.DuringStartup++
		}
		if slices.ContainsFunc(j.in.Stalls, func(l Interval) bool { return l.From <= c.RespondedAt && l.To >= c.Deadline }) {
			p.DuringStalls++
		}
	}
	slices.Sort(p.Delays)
}

func (j *judge) early(c *RequestRecord) bool {
	return j.in.StartedAt > 0 && c.SentAt < j.in.StartedAt+opening.Microseconds()
}

// DeadlineMisses are the answers that came after their deadline, by the clients' clock,
// whether rule 1 allows it or not.
type DeadlineMisses struct {
	Delays        []time.Duration // sorted
	DuringStartup int             // of them in the day's first seconds
	DuringStalls  int             // of them while the rig itself was held up
	LongestStall  time.Duration   // longest that it was
}

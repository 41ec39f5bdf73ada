package audit

import (
	"slices"
	"time"

	"maddergap/internal/fakenode"
)

// answers is rule 1: one final answer in time for each request taken, and
// nothing sent for it after that.
func (j *judge) answers() Rule {
	r := Rule{Number: 1, Name: "one final answer in time", Unit: "requests without, or with another", Bound: 0}
	for t, c := range j.clients {
		end := max(c.Answered, c.GaveUp, c.Lost)
		switch {
		case c.Answers > 1:
			r.breach("%s has %d answers", t, c.Answers)
		case c.Unsent, c.GaveUp > 0, j.down(c.Head, c.Sent, end):
		case c.Answers == 0:
			r.breach("%s sent to head %d at %s has no answer, its connection ended %v later", t, c.Head,
				time.UnixMicro(c.Sent).UTC().Format("15:04:05.000000"), time.Duration(c.Lost-c.Sent)*time.Microsecond)
		case c.Answered > c.Deadline+j.in.Late.Microseconds():
			r.breach("%s was answered %v late", t, time.Duration(c.Answered-c.Deadline)*time.Microsecond)
		}
		for _, e := range j.attempts[t] {
			j.begun(&r, c, e)
			if c.Answered > 0 && e.In > c.Answered+j.blur() {
				r.breach("%s was sent to %s %v after its answer", t, e.Node, time.Duration(e.In-c.Answered)*time.Microsecond)
			}
		}
	}
	for t, list := range j.attempts {
		if j.clients[t] == nil {
			r.breach("an attempt at %s (%s %s, trace %q) belongs to no request", list[0].Node, list[0].Method, list[0].Path, t)
		}
	}
	r.Figure = float64(r.Broken)
	return r
}

// begun judges one attempt against its client: whether that is there still, and the time that
// is left to it.
func (j *judge) begun(r *Rule, c *Client, e *fakenode.Entry) {
	if gone := c.GaveUp; j.in.CancelGrace > 0 && gone > 0 && e.In > gone+j.in.CancelGrace.Microseconds()+j.blur() {
		r.breach("%s was sent to %s %v after its client had left", c.Trace, e.Node, time.Duration(e.In-gone)*time.Microsecond)
	}
	if over := e.Told - (c.Deadline - e.In); j.in.ToldSlack > 0 && e.Told > 0 && over > j.in.ToldSlack.Microseconds()+j.blur() {
		r.breach("%s told %s %v more than is left to its client", c.Trace, e.Node, time.Duration(over)*time.Microsecond)
	}
}

// past collects answers after their deadline, and tells those that came while the
// rig was held up, which may be its own doing.
func (j *judge) past(r *Report) {
	p := &r.Past
	for _, l := range j.in.Lags {
		p.RigMost = max(p.RigMost, time.Duration(l.To-l.From)*time.Microsecond)
	}
	for i := range j.in.Clients {
		c := &j.in.Clients[i]
		if c.Answered == 0 || c.Answered <= c.Deadline || c.Deadline == 0 {
			continue
		}
		p.By = append(p.By, time.Duration(c.Answered-c.Deadline)*time.Microsecond)
		if j.early(c) {
			p.Opening++
		}
		if slices.ContainsFunc(j.in.Lags, func(l Span) bool { return l.From <= c.Answered && l.To >= c.Deadline }) {
			p.Rig++
		}
	}
	slices.Sort(p.By)
}

func (j *judge) early(c *Client) bool {
	return j.in.Began > 0 && c.Sent < j.in.Began+opening.Microseconds()
}

// Past are the answers that came after their deadline, by the clients' clock,
// whether rule 1 allows it or not.
type Past struct {
	By      []time.Duration // sorted
	Opening int             // of them in the day's first seconds
	Rig     int             // of them while the rig itself was held up
	RigMost time.Duration   // longest that it was
}

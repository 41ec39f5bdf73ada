// Package audit judges the seven rules of a run from what passed on the
// sockets: the clients' records and the nodes' records, joined by trace id. It
// never asks a head. It is pure.
package audit

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"maddergap/internal/fakenode"
	"maddergap/scheduler"
)

// Verdict is a verdict on one rule.
type Verdict struct {
	Number     int
	Name       string
	Figure     float64
	Bound      float64
	Unit       string
	Violations int // times
	Examples   []string
}

// opening is how long they last.
const opening = 5 * time.Second

func (r *Verdict) breach(format string, args ...any) {
	if r.Violations++; len(r.Examples) < 3 {
		r.Examples = append(r.Examples, fmt.Sprintf(format, args...))
	}
}

// judge is a run with its records joined.
type judge struct {
	in       Input
	classes  []scheduler.Class
	clients  map[string]*RequestRecord
	attempts map[string][]*fakenode.Entry // by trace, in order of arrival
	all      []*fakenode.Entry            // the same of all
}

// Judge judges a run.
func Judge(in Input) *Report {
	j := &judge{in: in, classes: in.Config.Scheduler.Classes, clients: map[string]*RequestRecord{}, attempts: map[string][]*fakenode.Entry{}}
	for i := range in.Requests {
		j.clients[in.Requests[i].TraceID] = &in.Requests[i]
	}
	for i := range in.Attempts {
		e := &in.Attempts[i]
		t := traceID(e.Traceparent)
		j.attempts[t] = append(j.attempts[t], e)
		j.all = append(j.all, e)
	}
	byIn := func(a, b *fakenode.Entry) int { return cmp.Compare(a.ReceivedAt, b.ReceivedAt) }
	slices.SortStableFunc(j.all, byIn)
	for _, list := range j.attempts {
		slices.SortStableFunc(list, byIn)
	}
	r := &Report{Verdicts: []Verdict{j.answers(), j.effects(), j.drains(), j.cold(), j.order(), j.budget(), j.limits()}}
	j.worth(r)
	j.past(r)
	return r
}

func (j *judge) blur() int64 { return j.in.ClockTolerance.Microseconds() }

// down tells whether a head was down at some time in [from, to].
func (j *judge) down(head int, from, to int64) bool {
	name := fmt.Sprint(head)
	for _, d := range j.in.Outages {
		if d.Name == name && from <= d.To && (to == 0 || to >= d.From) {
			return true
		}
	}
	return false
}

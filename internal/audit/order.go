package audit

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"maddergap/internal/fakenode"
)

// order is rule 5: of one key nothing runs beside another, and in the order sent.
func (j *judge) order() Verdict {
	r := Verdict{Number: 5, Name: "order kept", Unit: "requests beside or before their turn", Bound: 0}
	type run struct {
		c *RequestRecord
		e *fakenode.Entry
	}
	keys := map[string][]run{}
	for t, list := range j.attempts {
		if c := j.clients[t]; c != nil && j.classes[c.Class].Ordered {
			for _, e := range list {
				key := fmt.Sprint(c.Instance, " ", c.OrderKey)
				keys[key] = append(keys[key], run{c, e})
			}
		}
	}
	for key, runs := range keys {
		slices.SortFunc(runs, func(a, b run) int { return cmp.Compare(a.e.ReceivedAt, b.e.ReceivedAt) })
		for i := 1; i < len(runs); i++ {
			a, b := runs[i-1], runs[i]
			if a.c == b.c {
				continue
			}
			if j.down(a.c.Instance, min(a.c.SentAt, b.c.SentAt), max(a.e.ReceivedAt, b.e.ReceivedAt)) {
				continue // a head that comes back knows nothing of what it sent before
			}
			out := a.e.RespondedAt
			if out == 0 {
				out = a.c.RespondedAt
			}
			if out > 0 && b.e.ReceivedAt < out-j.blur() {
				r.breach("key %s: %s went out %v before the one before it had an outcome", key, b.c.TraceID, time.Duration(out-b.e.ReceivedAt)*time.Microsecond)
			}
			if b.c.SentAt+j.blur() < a.c.SentAt {
				r.breach("key %s: %s went before %s, which came first", key, a.c.TraceID, b.c.TraceID)
			}
		}
	}
	r.Figure = float64(r.Violations)
	return r
}

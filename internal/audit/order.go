package audit

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"maddergap/internal/fakenode"
)

// order is rule 5: of one key nothing runs beside another, and in the order sent.
func (j *judge) order() Rule {
	r := Rule{Number: 5, Name: "order kept", Unit: "requests beside or before their turn", Bound: 0}
	type run struct {
		c *Client
		e *fakenode.Entry
	}
	keys := map[string][]run{}
	for t, list := range j.attempts {
		if c := j.clients[t]; c != nil && j.classes[c.Class].Ordered {
			for _, e := range list {
				key := fmt.Sprint(c.Head, " ", c.Key)
				keys[key] = append(keys[key], run{c, e})
			}
		}
	}
	for key, runs := range keys {
		slices.SortFunc(runs, func(a, b run) int { return cmp.Compare(a.e.In, b.e.In) })
		for i := 1; i < len(runs); i++ {
			a, b := runs[i-1], runs[i]
			if a.c == b.c {
				continue
			}
			if j.down(a.c.Head, min(a.c.Sent, b.c.Sent), max(a.e.In, b.e.In)) {
				continue // a head that comes back knows nothing of what it sent before
			}
			out := a.e.Out
			if out == 0 {
				out = a.c.Answered
			}
			if out > 0 && b.e.In < out-j.blur() {
				r.breach("key %s: %s went out %v before the one before it had an outcome", key, b.c.Trace, time.Duration(out-b.e.In)*time.Microsecond)
			}
			if b.c.Sent+j.blur() < a.c.Sent {
				r.breach("key %s: %s went before %s, which came first", key, a.c.Trace, b.c.Trace)
			}
		}
	}
	r.Figure = float64(r.Broken)
	return r
}

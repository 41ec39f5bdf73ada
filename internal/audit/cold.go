package audit

import (
	"math"
	"slices"
	"time"

	"maddergap/internal/fakenode"
)

// cold is rule 4: the sum over any window against a multiple of what the node
// could do in it, and that none fell.
func (j *judge) cold() Rule {
	k := j.in.Cold
	r := Rule{Number: 4, Name: "cold nodes not pushed over", Unit: "x what the node can do, in any window", Bound: k.Multiple}
	if k.Mean > 0 {
		r.Bound = 1
	}
	for _, s := range j.in.Starts {
		var window []*fakenode.Entry
		sum := 0.0
		for _, e := range j.all {
			age := time.Duration(e.In-s.From) * time.Microsecond
			if e.Node != s.Name || age < 0 || age > k.For {
				continue
			}
			window, sum = append(window, e), sum+e.Units
			for window[0].In < e.In-k.Window.Microseconds() {
				sum -= window[0].Units
				window = window[1:]
			}
			share := k.From + (1-k.From)*float64(age)/float64(k.For)
			r.Figure = max(r.Figure, k.borne(sum, share))
			if k.Mean > 0 && k.borne(sum, share) > 1 && j.blamed(s, window) {
				r.breach("%s got %.0f requests of mean work within %v, %v after its start", e.Node, sum/k.Mean, k.Window, age)
			}
		}
	}
	for _, e := range j.all {
		if e.Fell {
			r.breach("%s fell over with %s", e.Node, e.Path)
		}
	}
	return r
}

// blamed tells whether what a cold node got in a window is the doing of heads that had been
// notified of its start.
func (j *judge) blamed(start Span, window []*fakenode.Entry) bool {
	if len(j.in.Told) == 0 {
		return true
	}
	told, sum := 0.0, 0.0
	for _, e := range window {
		sum += e.Units
		if j.told(start, e) {
			told += e.Units
		}
	}
	return told > sum*2/3
}

// told tells whether the head of an attempt had been notified of a node's start.
func (j *judge) told(start Span, e *fakenode.Entry) bool {
	c := j.clients[traceID(e.Trace)]
	return c != nil && slices.ContainsFunc(j.in.Told, func(n Notice) bool {
		return n.Head == c.Head && n.Node == start.Name && n.From >= start.From && n.From <= e.In
	})
}

// borne is what a node got in a window as a part of what it bears at a share of its capacity.
func (k *Cold) borne(units, share float64) float64 {
	if k.Mean <= 0 {
		return units / (share * k.Rate * k.Window.Seconds())
	}
	n := max(k.Units, k.Multiple*share*k.Rate*k.Window.Seconds()) / k.Mean
	slack := 2*math.Sqrt(n) + 2
	if n < 30 {
		slack = 3*math.Sqrt(n) + 3
	}
	return units / k.Mean / (n + slack)
}

package audit

import (
	"math"
	"slices"
	"time"

	"maddergap/internal/fakenode"
)

// cold is rule 4: the sum over any window against a multiple of what the node
// could do in it, and that none fell.
func (j *judge) cold() Verdict {
	k := j.in.SlowStart
	r := Verdict{Number: 4, Name: "cold nodes not pushed over", Unit: "x what the node can do, in any window", Bound: k.OverloadFactor}
	if k.MeanUnits > 0 {
		r.Bound = 1
	}
	for _, s := range j.in.NodeStarts {
		var window []*fakenode.Entry
		sum := 0.0
		for _, e := range j.all {
			age := time.Duration(e.ReceivedAt-s.From) * time.Microsecond
			if e.Node != s.Name || age < 0 || age > k.WarmupDuration {
				continue
			}
			window, sum = append(window, e), sum+e.Units
			for window[0].ReceivedAt < e.ReceivedAt-k.OverloadWindow.Microseconds() {
				sum -= window[0].Units
				window = window[1:]
			}
			share := k.InitialFraction + (1-k.InitialFraction)*float64(age)/float64(k.WarmupDuration)
			r.Figure = max(r.Figure, k.borne(sum, share))
			if k.MeanUnits > 0 && k.borne(sum, share) > 1 && j.blamed(s, window) {
				r.breach("%s got %.0f requests of mean work within %v, %v after its start", e.Node, sum/k.MeanUnits, k.OverloadWindow, age)
			}
		}
	}
	for _, e := range j.all {
		if e.Overloaded {
			r.breach("%s fell over with %s", e.Node, e.Path)
		}
	}
	return r
}

// blamed tells whether what a cold node got in a window is the doing of heads that had been
// notified of its start.
func (j *judge) blamed(start Interval, window []*fakenode.Entry) bool {
	if len(j.in.StartNotices) == 0 {
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
func (j *judge) told(start Interval, e *fakenode.Entry) bool {
	c := j.clients[traceID(e.Traceparent)]
	return c != nil && slices.ContainsFunc(j.in.StartNotices, func(n Notice) bool {
		return n.Instance == c.Instance && n.Node == start.Name && n.From >= start.From && n.From <= e.ReceivedAt
	})
}

// borne is what a node got in a window as a part of what it bears at a share of its capacity.
func (k *SlowStart) borne(units, share float64) float64 {
	if k.MeanUnits <= 0 {
		return units / (share * k.Capacity * k.OverloadWindow.Seconds())
	}
	n := max(k.MinUnits, k.OverloadFactor*share*k.Capacity*k.OverloadWindow.Seconds()) / k.MeanUnits
	slack := 2*math.Sqrt(n) + 2
	if n < 30 {
		slack = 3*math.Sqrt(n) + 3
	}
	return units / k.MeanUnits / (n + slack)
}

package fakenode

import "time"

// warmup tracks the reduced capacity of a node after a restart, when its caches are cold. The zero
// value is that of a node that has not restarted. Times count from the epoch of the script.
type warmup struct {
	restarted bool
	startedAt time.Duration // time at which the restart ends; valid if restarted
	// recent lists the load received within the last overload window, the oldest first.
	recent []load
}

// load is the work of one request.
type load struct {
	at    time.Duration // when the request had been read
	units float64
}

// begin resets the state for a restart that ends at a time.
func (w *warmup) begin(at time.Duration) {
	*w = warmup{restarted: true, startedAt: at}
}

// capacity returns the capacity of the node at a time as a fraction of its capacity when warm, and
// whether the node is warming up. The fraction grows linearly.
func (w *warmup) capacity(o *Options, at time.Duration) (fraction float64, warmingUp bool) {
	age := at - w.startedAt
	if !w.restarted || age < 0 || age >= o.WarmupDuration {
		return 1, false
	}
	return o.InitialFraction + (1-o.InitialFraction)*float64(age)/float64(o.WarmupDuration), true
}

// addLoad adds the work of a request to the recent load and reports whether the node is warming up
// and whether the recent load overloads it. Only a node that is warming up can be overloaded.
func (w *warmup) addLoad(o *Options, at time.Duration, units float64) (warmingUp, overloaded bool) {
	fraction, warmingUp := w.capacity(o, at)
	if !warmingUp || o.OverloadFactor <= 0 || o.UnitTime <= 0 {
		return warmingUp, false
	}
	w.recent = append(w.recent, load{at, units})
	for len(w.recent) > 0 && w.recent[0].at < at-o.OverloadWindow {
		w.recent = w.recent[1:]
	}
	received := 0.0
	for _, l := range w.recent {
		received += l.units
	}
	capacity := fraction * float64(o.Cores) / o.UnitTime.Seconds() // units per second
	return true, received > o.OverloadFactor*capacity*o.OverloadWindow.Seconds()
}

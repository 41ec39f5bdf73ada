package fakenode

import "time"

// warmup is the state of a node after a restart, when its caches are cold. The zero value is a
// node that did not restart. Times are those of the script.
type warmup struct {
	restarted bool
	startedAt time.Duration // valid if restarted
	// recent is the load that came within the last overload window, the oldest first.
	recent []load
}

// load is the work of a request.
type load struct {
	at    time.Duration
	units float64
}

// begin starts the warm-up at the end of a restart.
func (w *warmup) begin(at time.Duration) {
	*w = warmup{restarted: true, startedAt: at}
}

// capacity returns the node's capacity at a time as a fraction of that of a warm node, and
// whether it is warming up. The fraction grows linearly.
func (w *warmup) capacity(o *Options, at time.Duration) (fraction float64, warmingUp bool) {
	age := at - w.startedAt
	if !w.restarted || age < 0 || age >= o.WarmupDuration {
		return 1, false
	}
	return o.InitialFraction + (1-o.InitialFraction)*float64(age)/float64(o.WarmupDuration), true
}

// receive counts the work of a request, and reports whether it overloads the node.
func (w *warmup) receive(o *Options, at time.Duration, units float64) (warmingUp, overloaded bool) {
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
	capacity := fraction * float64(o.Cores) / o.UnitTime.Seconds() // units a second
	return true, received > o.OverloadFactor*capacity*o.OverloadWindow.Seconds()
}

package scheduler

import (
	"slices"
	"testing"
	"time"
)

// bangna-main-later big-1: a timer told as a fraction of a microsecond came early,
// no other was set, and a held request was never answered.
func TestHeldRequestIsAnsweredThoughTimersAreCoarse(t *testing.T) {
	r := newHarness(t, testSettings(), nodeA)
	n := r.scheduler.members.nodes[0]
	var timers []Time
	do := func(acts []Action) {
		for _, a := range acts {
			if w, ok := a.(SetTimer); ok {
				timers = append(timers, r.now+w.After.Truncate(time.Microsecond))
			}
		}
		slices.Sort(timers)
	}
	do(r.handleAfter(0, newArrival(1, func(a *Arrival) { a.TimeRemaining = 100 * ms })))
	do(r.endAttempt(1, OK))
	n.window, n.pacingJitter, n.lastSendAt = 0.1, 1, r.now
	n.observations.latency.sum = 0.1 + 1e-7/3 // a gap that ends between microseconds
	do(r.handleAfter(0, newArrival(2, func(a *Arrival) { a.TimeRemaining = 3 * time.Second })))
	for len(timers) > 0 {
		next := timers[0]
		timers = timers[1:]
		acts := r.handleAfter(next-r.now, TimerFired{})
		do(acts)
		if r.attempts[2] > 0 || len(finalResponses(acts)) > 0 {
			return
		}
	}
	t.Error("neither sent nor answered, and no timer set")
}

// A request that others went before is told of it at half of its time; one at a node
// that sends rarely keeps all of it, and so does one that a node had already.
func TestOvertakenRequestIsRefusedAtHalfOfItsTime(t *testing.T) {
	late := func(overtakers int) time.Duration {
		r := newHarness(t, testSettings(func(s *Settings) {
			s.Plans = append(s.Plans, Plan{Name: "limited", Weight: 1, PriorityFactor: 1, Limit: 0.001, LimitBurst: 10})
		}), Endpoint{Node: "n0"})
		came := r.now
		r.handleAfter(0, Arrival{ID: 9, Class: 1, Plan: 1, Volume: "v", TimeRemaining: 2 * time.Second, Units: 1}) // its limit holds it
		for i := range overtakers {
			id := uint64(20 + i)
			r.handleAfter(0, Arrival{ID: id, Volume: "w", TimeRemaining: 5 * time.Second, Units: 1})
			r.endAttempt(id, OK)
		}
		for r.now < came+3*time.Second {
			if finalResponses(r.handleAfter(5*ms, TimerFired{}))[9] == "r" {
				return r.now - came
			}
		}
		return 0
	}
	if at := late(2); at < 950*ms || at > time.Second {
		t.Errorf("overtaken by two it was refused after %v, want just before 1s", at)
	}
	if at := late(0); at < 1950*ms || at > 2*time.Second {
		t.Errorf("overtaken by none it was refused after %v, want just before 2s", at)
	}
}

// A client's marked repeat has its aim counted from the first try: what is late already
// does not go before what can still be in time.
func TestRepeatAimsFromItsFirstTry(t *testing.T) {
	for _, again := range []bool{false, true} {
		r := newHarness(t, testSettings(func(s *Settings) { s.Classes[0].Deadline = time.Second }), Endpoint{Node: "n0"})
		for id := uint64(1); id <= 2; id++ {
			r.handleAfter(0, Arrival{ID: id, Volume: "x", TimeRemaining: time.Second, Units: 1})
		}
		r.handleAfter(0, Arrival{ID: 3, Volume: "v", TimeRemaining: 600 * ms, Units: 1, ClientRetry: again})
		r.handleAfter(0, Arrival{ID: 4, Volume: "w", TimeRemaining: time.Second, Units: 1})
		r.handleAfter(20*ms, AttemptEnded{ID: 1, Outcome: OK, Responded: true})
		want := []uint64{1, 2, 3}
		if again {
			want[2] = 4
		}
		if got := r.sentIDs(); len(got) < 3 || !slices.Equal(got[:3], want) {
			t.Errorf("again %v: sent %v, want %v first", again, got, want)
		}
	}
}

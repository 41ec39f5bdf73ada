package scheduler

import (
	"slices"
	"testing"
	"time"
)

// A timer for a fraction of a microsecond fired early, rounded down. Nothing was due at that time, no
// other timer was set, and a queued request never got a response. Timers are whole milliseconds now.
func TestQueuedRequestIsAnsweredWithCoarseTimers(t *testing.T) {
	h := newHarness(t, testSettings(), nodeA)
	n := h.scheduler.members.nodes[0]
	var timers []Time
	recordTimers := func(actions []Action) {
		for _, action := range actions {
			if timer, ok := action.(SetTimer); ok {
				timers = append(timers, h.now+timer.After.Truncate(time.Microsecond))
			}
		}
		slices.Sort(timers)
	}
	recordTimers(h.handleAfter(0, newArrival(1, func(a *Arrival) { a.TimeRemaining = 100 * ms })))
	recordTimers(h.endAttempt(1, OK))
	n.window, n.pacingJitter, n.lastSendAt = 0.1, 1, h.now
	n.observations.latency.sum = 0.1 + 1e-7/3 // a gap that ends between microseconds
	recordTimers(h.handleAfter(0, newArrival(2, func(a *Arrival) { a.TimeRemaining = 3 * time.Second })))
	for len(timers) > 0 {
		next := timers[0]
		timers = timers[1:]
		actions := h.handleAfter(next-h.now, TimerFired{})
		recordTimers(actions)
		if h.attempts[2] > 0 || len(finalResponses(actions)) > 0 {
			return
		}
	}
	t.Error("neither sent nor rejected, and no timer set")
}

// Under overload, requests of other volumes go before a request until its deadline, and its client
// learns so when it has no time to try again. A request that others went before is therefore
// rejected at half of its time. One at a node that is rarely sent anything keeps all of its time.
func TestOvertakenRequestIsRejectedAtHalfOfItsTime(t *testing.T) {
	rejectedAfter := func(overtakers int) time.Duration {
		h := newHarness(t, testSettings(func(s *Settings) {
			s.Plans = append(s.Plans, Plan{Name: "limited", Weight: 1, PriorityFactor: 1, Limit: 0.001, LimitBurst: 10})
		}), Endpoint{Node: "n0"})
		arrivedAt := h.now
		h.handleAfter(0, Arrival{ID: 9, Class: 1, Plan: 1, Volume: "v", TimeRemaining: 2 * time.Second, Units: 1}) // blocked by its limit
		for i := range overtakers {
			id := uint64(20 + i)
			h.handleAfter(0, Arrival{ID: id, Volume: "w", TimeRemaining: 5 * time.Second, Units: 1})
			h.endAttempt(id, OK)
		}
		for h.now < arrivedAt+3*time.Second {
			if finalResponses(h.handleAfter(5*ms, TimerFired{}))[9] == "r" {
				return h.now - arrivedAt
			}
		}
		return 0
	}
	if at := rejectedAfter(2); at < 950*ms || at > time.Second {
		t.Errorf("overtaken by two, it was rejected after %v, want just before 1s", at)
	}
	if at := rejectedAfter(0); at < 1950*ms || at > 2*time.Second {
		t.Errorf("overtaken by none, it was rejected after %v, want just before 2s", at)
	}
}

// Retries of clients that gave up waiting look like new requests, and would go before requests that
// can still meet their latency objective. The objective of a marked retry counts from its first try.
func TestLatencyDeadlineOfClientRetryCountsFromFirstTry(t *testing.T) {
	for _, isRetry := range []bool{false, true} {
		h := newHarness(t, testSettings(func(s *Settings) { s.Classes[0].Deadline = time.Second }), Endpoint{Node: "n0"})
		for id := uint64(1); id <= 2; id++ {
			h.handleAfter(0, Arrival{ID: id, Volume: "x", TimeRemaining: time.Second, Units: 1})
		}
		h.handleAfter(0, Arrival{ID: 3, Volume: "v", TimeRemaining: 600 * ms, Units: 1, ClientRetry: isRetry})
		h.handleAfter(0, Arrival{ID: 4, Volume: "w", TimeRemaining: time.Second, Units: 1})
		h.handleAfter(20*ms, AttemptEnded{ID: 1, Outcome: OK, Responded: true})
		want := []uint64{1, 2, 3}
		if isRetry {
			want[2] = 4
		}
		if got := h.sentIDs(); len(got) < 3 || !slices.Equal(got[:3], want) {
			t.Errorf("client retry %v: sent %v, want %v first", isRetry, got, want)
		}
	}
}

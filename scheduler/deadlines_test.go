package scheduler

import (
	"slices"
	"testing"
	"time"
)

// Guards against a queued request that never gets a response. A timer for a fraction of a microsecond
// was rounded down and fired early, when nothing was due yet, and no other timer was set. Timers are
// therefore whole milliseconds.
func TestQueuedRequestGetsResponseWithCoarseTimers(t *testing.T) {
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
	n.observations.latency.sum = 0.1 + 1e-7/3 // a pacing gap that ends between two microseconds
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
	t.Error("request 2 is neither sent nor rejected, and no timer is set")
}

// Guards against rejections that come too late for the client to retry. Under overload, requests of
// other volumes may keep a request waiting until its deadline. Such a request is rejected after half
// of its time. A request at a node to which little is sent keeps all of its time.
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
	if after := rejectedAfter(2); after < 950*ms || after > time.Second {
		t.Errorf("overtaken by two requests: rejected after %v, want just before 1s", after)
	}
	if after := rejectedAfter(0); after < 1950*ms || after > 2*time.Second {
		t.Errorf("overtaken by no request: rejected after %v, want just before 2s", after)
	}
}

// Guards against retries of clients that look like new requests and are sent before requests that can
// still meet their latency objective. The objective of a marked retry counts from the client's first
// try.
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
			t.Errorf("client retry %v: sent %v, want %v to be sent first", isRetry, got, want)
		}
	}
}

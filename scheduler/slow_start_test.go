package scheduler

import (
	"math"
	"testing"
	"time"
)

// With forty instances, each one's even part of what a starting node bears in a window is less than a
// request. The node is used all the same, and within what it bears in every window.
func TestSlowStartAccruesOverManyInstances(t *testing.T) {
	const instances, minUnits = 40, 24.0
	s := testSettings(func(s *Settings) {
		s.Instances = instances
		s.SlowStart = SlowStart{WarmupDuration: 10 * time.Second, InitialFraction: 0.5, MinUnits: minUnits, OverloadWindow: time.Second}
		s.Plans[0].Reserve = 100
	})
	sent := map[int]float64{} // units by tenth of a second
	for seed := uint64(1); seed <= instances; seed++ {
		scheduler, err := New(s, seed, 0)
		if err != nil {
			t.Fatal(err)
		}
		scheduler.Handle(2*time.Second, []Event{EndpointUpdate{Endpoints: []Endpoint{{Node: "A", Started: 2 * time.Second}}}})
		for i := range 50 {
			now := 2*time.Second + time.Duration(i)*100*ms
			for _, a := range scheduler.Handle(now, []Event{newArrival(uint64(i+1), func(a *Arrival) { a.TimeRemaining = 200 * ms })}) {
				if x, ok := a.(Send); ok {
					sent[i] += 2
					scheduler.Handle(now, []Event{AttemptEnded{ID: x.ID, Outcome: OK, Responded: true, Node: "A"}})
				}
			}
		}
	}
	var all float64
	for i := range 50 {
		var window float64
		for k := i; k < i+10; k++ {
			window += sent[k]
		}
		if most := minUnits * (1 + max(0, float64(i)-10)/100) * 1.5; window > most {
			t.Errorf("window from %d: %v units, more than %v", i, window, most)
		}
		all += sent[i]
	}
	if all < minUnits*5/2 {
		t.Errorf("%v units in five windows of %v: the node is left idle", all, minUnits)
	}
}

// The capacity of a starting node is not known. What an instance was served on its shard before shows
// its part of what the node bore, and it may send a fraction of that.
func TestSlowStartFollowsUnitsServedBefore(t *testing.T) {
	s := testSettings(func(s *Settings) {
		s.Instances = 100
		s.SlowStart = SlowStart{WarmupDuration: 10 * time.Second, InitialFraction: 0.25, MinUnits: 1, OverloadWindow: time.Second, OverloadFactor: 3}
	})
	h := newHarness(t, s, nodeA, nodeB)
	for id := uint64(1); id <= 400; id++ { // 20 units a second on A, none on B
		h.handleAfter(100*ms, newArrival(id))
		h.endAttempt(id, OK)
	}
	h.handleAfter(0, EndpointUpdate{Endpoints: []Endpoint{{Node: "A", Shard: 0, Started: h.now}, {Node: "B", Shard: 1, Started: h.now}}})
	a, b := h.scheduler.members.nodes[0].slowStart.rate, h.scheduler.members.nodes[1].slowStart.rate
	if want := 3.0 * 0.25 * 20; math.Abs(a-want) > want/5 {
		t.Errorf("rate at A %.2f, want about %.2f", a, want)
	}
	if b > a/10 {
		t.Errorf("rate at B %.2f, where nothing was served, against %.2f at A", b, a)
	}
}

// Two nodes shared a shard. One that restarts bears its half of what both bore, not all of it.
func TestSlowStartOfNodeThatSharesItsShard(t *testing.T) {
	s := testSettings(func(s *Settings) {
		s.Instances = 100
		s.SlowStart = SlowStart{WarmupDuration: 10 * time.Second, InitialFraction: 0.25, MinUnits: 1, OverloadWindow: time.Second, OverloadFactor: 3}
	})
	both := []Endpoint{{Node: "A", Shard: 0}, {Node: "B", Shard: 0}}
	h := newHarness(t, s, both...)
	for id := uint64(1); id <= 400; id++ { // 20 units a second on the shard
		h.handleAfter(100*ms, newArrival(id))
		h.endAttempt(id, OK)
	}
	h.handleAfter(0, EndpointUpdate{Endpoints: []Endpoint{{Node: "A", Shard: 0, Started: h.now}}})
	if a, want := h.scheduler.members.nodes[0].slowStart.rate, 3.0*0.25*20/2; math.Abs(a-want) > want/5 {
		t.Errorf("rate at A %.2f, want about %.2f", a, want)
	}
}

// After its own start an instance sends nothing to a starting node for one window: its earlier process
// may have sent all that the node bears in it.
func TestSlowStartWindowCountsAsSpentAfterRestart(t *testing.T) {
	s := testSettings(func(s *Settings) {
		s.SlowStart = SlowStart{WarmupDuration: 10 * time.Second, InitialFraction: 0.25, MinUnits: 12, OverloadWindow: time.Second}
	})
	h := newHarness(t, s, Endpoint{Node: "A", Shard: 0, Started: time.Minute - time.Second})
	h.handleAfter(0, newArrival(1, func(a *Arrival) { a.TimeRemaining = 3 * time.Second }))
	h.runFor(900 * ms)
	assertEqual(t, "sent in the first window", len(h.sends), 0)
	h.runFor(300 * ms)
	assertEqual(t, "sent after it", len(h.sends), 1)
}

// During a rolling release, exports and requests beyond the reserve used up what starting nodes bear,
// while reads within reserves waited. The used part counts as pressure, so that the rest is kept for
// higher priorities.
func TestSlowStartIsKeptForHighPriority(t *testing.T) {
	s := testSettings(func(s *Settings) {
		s.SlowStart = SlowStart{WarmupDuration: 10 * time.Second, InitialFraction: 0.25, MinUnits: 12, OverloadWindow: time.Second}
		s.ExcessWeight = 0.3
		s.Plans = append(s.Plans, Plan{Weight: 1, PriorityFactor: 1, Reserve: 50})
	})
	h := newHarness(t, s)
	h.runFor(2 * time.Second)
	h.handleAfter(0, EndpointUpdate{Endpoints: []Endpoint{{Node: "A", Shard: 0, Started: h.now}}})
	n := h.scheduler.members.nodes[0]
	n.window = 8
	n.slowStart.level = n.slowStart.capacity / 2
	h.handleAfter(0, newArrival(1, withVolume("excess", 0), withUnits(1)), newArrival(10, withVolume("reserved", 1), withUnits(1)))
	assertEqual(t, "sent with half of the bucket", h.sentIDs(), []uint64{10})
	n.slowStart.level = n.slowStart.capacity
	h.handleAfter(20*ms, TimerFired{})
	assertEqual(t, "sent with all of it", h.sentIDs(), []uint64{10, 1})
}

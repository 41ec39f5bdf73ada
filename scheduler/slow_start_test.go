package scheduler

import (
	"math"
	"testing"
	"time"
)

// Forty heads before one cold node: the even part of each is less than a
// request, and still the node is used, within what it bears in every window.
func TestColdBudgetAccruesOverManyHeads(t *testing.T) {
	const heads, cold = 40, 24.0
	s := testSettings(func(s *Settings) {
		s.Instances = heads
		s.SlowStart = SlowStart{WarmupDuration: 10 * time.Second, InitialFraction: 0.5, MinUnits: cold, OverloadWindow: time.Second}
		s.Plans[0].Reserve = 100
	})
	sent := map[int]float64{} // units by tenth of a second
	for seed := uint64(1); seed <= heads; seed++ {
		h, err := New(s, seed, 0)
		if err != nil {
			t.Fatal(err)
		}
		h.Handle(2*time.Second, []Event{EndpointUpdate{Endpoints: []Endpoint{{Node: "A", Started: 2 * time.Second}}}})
		for i := range 50 {
			now := 2*time.Second + time.Duration(i)*100*ms
			for _, a := range h.Handle(now, []Event{newArrival(uint64(i+1), func(a *Arrival) { a.TimeRemaining = 200 * ms })}) {
				if x, ok := a.(Send); ok {
					sent[i] += 2
					h.Handle(now, []Event{AttemptEnded{ID: x.ID, Outcome: OK, Responded: true, Node: "A"}})
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
		if most := cold * (1 + max(0, float64(i)-10)/100) * 1.5; window > most {
			t.Errorf("window from %d: %v units, more than %v", i, window, most)
		}
		all += sent[i]
	}
	if all < cold*5/2 {
		t.Errorf("%v units in five windows of %v: the node is left idle", all, cold)
	}
}

// What heads were served on the shard before is what they may send a part of.
func TestColdBudgetFollowsWhatWasServedBefore(t *testing.T) {
	s := testSettings(func(s *Settings) {
		s.Instances = 100
		s.SlowStart = SlowStart{WarmupDuration: 10 * time.Second, InitialFraction: 0.25, MinUnits: 1, OverloadWindow: time.Second, OverloadFactor: 3}
	})
	r := newHarness(t, s, nodeA, nodeB)
	for id := uint64(1); id <= 400; id++ { // 20 units a second on A, none on B
		r.handleAfter(100*ms, newArrival(id))
		r.endAttempt(id, OK)
	}
	r.handleAfter(0, EndpointUpdate{Endpoints: []Endpoint{{Node: "A", Shard: 0, Started: r.now}, {Node: "B", Shard: 1, Started: r.now}}})
	a, b := r.scheduler.members.nodes[0].slowStart.rate, r.scheduler.members.nodes[1].slowStart.rate
	if want := 3.0 * 0.25 * 20; math.Abs(a-want) > want/5 {
		t.Errorf("rate at A %.2f, want about %.2f", a, want)
	}
	if b > a/10 {
		t.Errorf("rate at B %.2f, where nothing was served, against %.2f at A", b, a)
	}
}

// Of two nodes that shared a shard, one that comes back bears half of what both bore.
func TestColdBudgetOfANodeThatSharedItsShard(t *testing.T) {
	s := testSettings(func(s *Settings) {
		s.Instances = 100
		s.SlowStart = SlowStart{WarmupDuration: 10 * time.Second, InitialFraction: 0.25, MinUnits: 1, OverloadWindow: time.Second, OverloadFactor: 3}
	})
	both := []Endpoint{{Node: "A", Shard: 0}, {Node: "B", Shard: 0}}
	r := newHarness(t, s, both...)
	for id := uint64(1); id <= 400; id++ { // 20 units a second on the shard
		r.handleAfter(100*ms, newArrival(id))
		r.endAttempt(id, OK)
	}
	r.handleAfter(0, EndpointUpdate{Endpoints: []Endpoint{{Node: "A", Shard: 0, Started: r.now}}})
	if a, want := r.scheduler.members.nodes[0].slowStart.rate, 3.0*0.25*20/2; math.Abs(a-want) > want/5 {
		t.Errorf("rate at A %.2f, want about %.2f", a, want)
	}
}

func TestColdWindowCountsAsSpentAfterARestart(t *testing.T) {
	s := testSettings(func(s *Settings) {
		s.SlowStart = SlowStart{WarmupDuration: 10 * time.Second, InitialFraction: 0.25, MinUnits: 12, OverloadWindow: time.Second}
	})
	r := newHarness(t, s, Endpoint{Node: "A", Shard: 0, Started: time.Minute - time.Second})
	r.handleAfter(0, newArrival(1, func(a *Arrival) { a.TimeRemaining = 3 * time.Second }))
	r.runFor(900 * ms)
	assertEqual(t, "sent in the first window", len(r.sends), 0)
	r.runFor(300 * ms)
	assertEqual(t, "sent after it", len(r.sends), 1)
}

// ia9f140: during a rolling release a cold node's budget went to exports and
// excess while reads within reserves waited.
func TestColdBudgetIsKeptForWhatEarnsMost(t *testing.T) {
	s := testSettings(func(s *Settings) {
		s.SlowStart = SlowStart{WarmupDuration: 10 * time.Second, InitialFraction: 0.25, MinUnits: 12, OverloadWindow: time.Second}
		s.ExcessWeight = 0.3
		s.Plans = append(s.Plans, Plan{Weight: 1, PriorityFactor: 1, Reserve: 50})
	})
	r := newHarness(t, s)
	r.runFor(2 * time.Second)
	r.handleAfter(0, EndpointUpdate{Endpoints: []Endpoint{{Node: "A", Shard: 0, Started: r.now}}})
	n := r.scheduler.members.nodes[0]
	n.window = 8
	n.slowStart.level = n.slowStart.capacity / 2
	r.handleAfter(0, newArrival(1, withVolume("excess", 0), withUnits(1)), newArrival(10, withVolume("reserved", 1), withUnits(1)))
	assertEqual(t, "sent at half of the budget", r.sentIDs(), []uint64{10})
	n.slowStart.level = n.slowStart.capacity
	r.handleAfter(20*ms, TimerFired{})
	assertEqual(t, "sent at all of it", r.sentIDs(), []uint64{10, 1})
}

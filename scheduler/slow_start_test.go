package scheduler

import (
	"math"
	"testing"
	"time"
)

// Verifies slow start with forty instances, where an instance's even share of the capacity of a
// starting node in a window is less than one request. The node must still be used, and not get more
// than its capacity in any window.
func TestSlowStartWithShareBelowOneRequest(t *testing.T) {
	const instances, minUnits = 40, 24.0
	s := testSettings(func(s *Settings) {
		s.Instances = instances
		s.SlowStart = SlowStart{WarmupDuration: 10 * time.Second, InitialFraction: 0.5, MinUnits: minUnits, OverloadWindow: time.Second}
		s.Plans[0].Reserve = 100
	})
	sent := map[int]float64{} // units sent, by tenth of a second
	for seed := uint64(1); seed <= instances; seed++ {
		scheduler, err := New(s, seed, 0)
		if err != nil {
			t.Fatal(err)
		}
		scheduler.Handle(2*time.Second, []Event{EndpointUpdate{Endpoints: []Endpoint{{Node: "A", Started: 2 * time.Second}}}})
		for i := range 50 {
			now := 2*time.Second + time.Duration(i)*100*ms
			for _, a := range scheduler.Handle(now, []Event{newArrival(uint64(i+1), func(a *Arrival) { a.TimeRemaining = 200 * ms })}) {
				if send, ok := a.(Send); ok {
					sent[i] += 2
					scheduler.Handle(now, []Event{AttemptEnded{ID: send.ID, Outcome: OK, Responded: true, Node: "A"}})
				}
			}
		}
	}
	var total float64
	for i := range 50 {
		var window float64
		for k := i; k < i+10; k++ {
			window += sent[k]
		}
		if maxUnits := minUnits * (1 + max(0, float64(i)-10)/100) * 1.5; window > maxUnits {
			t.Errorf("window from %d: %v units sent, want at most %v", i, window, maxUnits)
		}
		total += sent[i]
	}
	if total < minUnits*5/2 {
		t.Errorf("%v units sent in five windows of %v, want at least half of that", total, minUnits)
	}
}

// Verifies that an instance may send a starting node a fraction of what the node's shard served for it
// before. The capacity of the node is not known, but was at least that.
func TestSlowStartRateFollowsServedRate(t *testing.T) {
	s := testSettings(func(s *Settings) {
		s.Instances = 100
		s.SlowStart = SlowStart{WarmupDuration: 10 * time.Second, InitialFraction: 0.25, MinUnits: 1, OverloadWindow: time.Second, OverloadFactor: 3}
	})
	h := newHarness(t, s, nodeA, nodeB)
	for id := uint64(1); id <= 400; id++ { // 20 units per second at A, none at B
		h.handleAfter(100*ms, newArrival(id))
		h.endAttempt(id, OK)
	}
	h.handleAfter(0, EndpointUpdate{Endpoints: []Endpoint{{Node: "A", Shard: 0, Started: h.now}, {Node: "B", Shard: 1, Started: h.now}}})
	rateA, rateB := h.scheduler.members.nodes[0].slowStart.rate, h.scheduler.members.nodes[1].slowStart.rate
	if want := 3.0 * 0.25 * 20; math.Abs(rateA-want) > want/5 {
		t.Errorf("rate at A is %.2f, want about %.2f", rateA, want)
	}
	if rateB > rateA/10 {
		t.Errorf("rate at B, where nothing was served, is %.2f, want at most a tenth of %.2f at A", rateB, rateA)
	}
}

// Verifies that a restarting node that shares its shard with another node gets half of the load that
// both served, not all of it.
func TestSlowStartRateIsDividedAmongNodesOfShard(t *testing.T) {
	s := testSettings(func(s *Settings) {
		s.Instances = 100
		s.SlowStart = SlowStart{WarmupDuration: 10 * time.Second, InitialFraction: 0.25, MinUnits: 1, OverloadWindow: time.Second, OverloadFactor: 3}
	})
	both := []Endpoint{{Node: "A", Shard: 0}, {Node: "B", Shard: 0}}
	h := newHarness(t, s, both...)
	for id := uint64(1); id <= 400; id++ { // 20 units per second on the shard
		h.handleAfter(100*ms, newArrival(id))
		h.endAttempt(id, OK)
	}
	h.handleAfter(0, EndpointUpdate{Endpoints: []Endpoint{{Node: "A", Shard: 0, Started: h.now}}})
	if rateA, want := h.scheduler.members.nodes[0].slowStart.rate, 3.0*0.25*20/2; math.Abs(rateA-want) > want/5 {
		t.Errorf("rate at A is %.2f, want about %.2f", rateA, want)
	}
}

// Verifies that an instance sends nothing to a starting node for one window after its own start,
// because its earlier process may have sent all that the node can serve in that window.
func TestNoSendsToStartingNodeForOneWindowAfterRestart(t *testing.T) {
	s := testSettings(func(s *Settings) {
		s.SlowStart = SlowStart{WarmupDuration: 10 * time.Second, InitialFraction: 0.25, MinUnits: 12, OverloadWindow: time.Second}
	})
	h := newHarness(t, s, Endpoint{Node: "A", Shard: 0, Started: time.Minute - time.Second})
	h.handleAfter(0, newArrival(1, func(a *Arrival) { a.TimeRemaining = 3 * time.Second }))
	h.runFor(900 * ms)
	assertEqual(t, "sent in the first window", len(h.sends), 0)
	h.runFor(300 * ms)
	assertEqual(t, "sent after the first window", len(h.sends), 1)
}

// Guards against requests of low priority, such as exports and requests beyond the reserve, using up
// the capacity of starting nodes while reads within reserves wait. The used part of the bucket counts
// as pressure, so the rest is kept for higher priorities.
func TestSlowStartPrefersHighPriority(t *testing.T) {
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
	assertEqual(t, "sent with half a bucket", h.sentIDs(), []uint64{10})
	n.slowStart.level = n.slowStart.capacity
	h.handleAfter(20*ms, TimerFired{})
	assertEqual(t, "sent with a full bucket", h.sentIDs(), []uint64{10, 1})
}

package scheduler

import (
	"testing"
	"time"
)

// Every guard is named, and its reason is the one that a request which it keeps is given.
func TestWaitReason(t *testing.T) {
	for _, c := range []struct {
		want  Reason
		setUp func(r *harness) (id uint64)
	}{
		{ReasonAllowed, func(r *harness) uint64 { return 99 }},
		{ReasonAllowed, func(r *harness) uint64 { r.handleAfter(0, newArrival(1)); return 1 }}, // it is out
		{ReasonNoNode, func(r *harness) uint64 { r.handleAfter(0, newArrival(1, withShard(7))); return 1 }},
		{ReasonKeyOrder, func(r *harness) uint64 {
			r.handleAfter(0, newArrival(1, withKey("k")), newArrival(2, withKey("k")))
			return 2
		}},
		{ReasonKeyOrder, func(r *harness) uint64 {
			r.handleAfter(0, newArrival(1, withKey("k")), newArrival(2, withKey("k")))
			r.endAttempt(1, Reset)
			return 2
		}},
		{ReasonRetryBackoff, func(r *harness) uint64 { r.handleAfter(0, newArrival(1)); r.endAttempt(1, QueueFull); return 1 }},
		{ReasonBreakerOpen, func(r *harness) uint64 {
			n := r.scheduler.members.nodes[0]
			n.breaker.open, n.breaker.trialAt = true, r.now+time.Hour
			r.handleAfter(0, newArrival(1))
			return 1
		}},
		{ReasonWindowFull, func(r *harness) uint64 {
			r.scheduler.members.nodes[0].window = 1
			r.handleAfter(0, newArrival(1), newArrival(2))
			return 2
		}},
		{ReasonBackpressure, func(r *harness) uint64 {
			n := r.scheduler.members.nodes[0]
			n.observations.add(r.now, 100, 0, 100)
			n.lastResponseAt = r.now
			r.handleAfter(0, newArrival(1, withClass(1)))
			return 1
		}},
		{ReasonRetryBudget, func(r *harness) uint64 {
			r.handleAfter(0, newArrival(1))
			r.endAttempt(1, Reset)
			r.runFor(50 * ms)
			return 1
		}},
		{ReasonSlowStart, func(r *harness) uint64 {
			r.handleAfter(0, EndpointUpdate{Endpoints: []Endpoint{{Node: "A", Started: r.now}}})
			r.scheduler.members.nodes[0].slowStart.at, r.scheduler.members.nodes[0].slowStart.level = r.now, 0
			r.handleAfter(0, newArrival(1))
			return 1
		}},
		{ReasonTenantLimit, func(r *harness) uint64 {
			r.handleAfter(0, newArrival(1, withUnits(8)), newArrival(2, withUnits(8)))
			return 2
		}},
		{ReasonTooLate, func(r *harness) uint64 {
			n := r.scheduler.members.nodes[0]
			n.observations.add(r.now, 1e6, 1e6*10, 0)
			n.lastSendAt = r.now
			r.handleAfter(0, newArrival(1))
			return 1
		}},
	} {
		r := newHarness(t, testSettings(func(s *Settings) {
			s.ExcessWeight, s.Classes[0].Ordered, s.KeyCooldown = 0.3, true, time.Second
			s.RetryBudget = &RetryBudget{Window: time.Second}
			s.Plans[0].Limit, s.Plans[0].LimitBurst, s.Plans[0].Reserve, s.Classes[1].PriorityWeight = 10, 10, 100, 1
			s.SlowStart = SlowStart{WarmupDuration: 10 * time.Second, InitialFraction: 0.25, MinUnits: 1, OverloadWindow: time.Second, OverloadFactor: 1}
		}), nodeA)
		r.runFor(2 * time.Second) // the limit's bucket fills
		id := c.setUp(r)
		if got := r.scheduler.WaitReason(id); got != c.want {
			t.Errorf("request %d waits for %v, want %v", id, got, c.want)
		}
	}
	seen := map[string]bool{}
	for reason := ReasonAllowed; reason < reasonCount; reason++ {
		if name := reason.String(); name == "" || name == "unknown" || seen[name] {
			t.Errorf("reason %d is called %q", reason, name)
		} else {
			seen[name] = true
		}
	}
	for _, list := range [][]sendRule{nodeRules, profileRules, requestRules} {
		for _, g := range list {
			if g.reason == ReasonAllowed || g.blocks == nil {
				t.Errorf("a guard without a reason or a rule: %+v", g.reason)
			}
		}
	}
}

// ic23155, ifb7f1d: what earns little must stand back at a crowded node.
func TestLittleWorthStandsBackWhileTheNodeIsSlow(t *testing.T) {
	s := testSettings(func(s *Settings) {
		s.ExcessWeight, s.Classes[0].LateWeightFactor, s.Classes[1].PriorityWeight = 0.3, 0.1, 1
	})
	r := newHarness(t, s, nodeA)
	n := r.scheduler.members.nodes[0]
	for _, c := range []struct {
		name     string
		pressure float64
		silent   time.Duration
		class    int
		excess   bool
		late     bool
		want     bool
	}{
		{"in time, within the reserve", 2, 0, 0, false, false, false},
		{"late", 0.9, 0, 0, false, true, true},
		{"beyond the reserve", 0.9, 0, 0, true, false, true},
		{"class of half the worth", 0.9, 0, 1, false, false, true},
		{"half the worth, some pressure", 0.4, 0, 1, false, false, false},
		{"late at a quick node", 0.05, 0, 0, false, true, false},
		{"late, nothing heard for long", 0.9, 3 * time.Second, 0, false, true, false},
	} {
		v := r.scheduler.volumeOf(newArrival(1))
		q := &profile{class: &r.scheduler.settings.Classes[c.class], plan: v.plan, instances: v.instances, beyondReserve: c.excess}
		n.pressure, n.lastResponseAt = c.pressure, r.now-c.silent
		assertEqual(t, c.name, r.scheduler.shedsForPriority(candidate{node: n, profile: q, missesObjective: c.late}), c.want)
	}
}

// All heads of a volume together try a crowded node at the pace of one.
func TestPressureFadesSlowerWithMoreHosts(t *testing.T) {
	r := newHarness(t, testSettings(func(s *Settings) { s.Instances, s.ExcessWeight = 100, 0.3 }), nodeA)
	n := r.scheduler.members.nodes[0]
	for _, c := range []struct {
		hosts int
		after time.Duration
		want  bool // still stands back
	}{{1, 200 * ms, true}, {1, time.Second, false}, {20, time.Second, true}, {20, 25 * time.Second, false}} {
		v := r.scheduler.volumeOf(newArrival(1, withInstances(c.hosts)))
		q := &profile{class: &r.scheduler.settings.Classes[0], plan: v.plan, instances: v.instances, beyondReserve: true}
		n.pressure, n.lastResponseAt = 0.9, r.now-c.after
		if got := r.scheduler.shedsForPriority(candidate{node: n, profile: q}); got != c.want {
			t.Errorf("%d hosts after %v: stands back %v, want %v", c.hosts, c.after, got, c.want)
		}
	}
}

package scheduler

import (
	"testing"
	"time"
)

// A request that a rule blocks reports the rule's reason. Every reason has a name, and every rule a
// reason.
func TestWaitReason(t *testing.T) {
	for _, c := range []struct {
		want  Reason
		setUp func(h *harness) (id uint64)
	}{
		{ReasonAllowed, func(h *harness) uint64 { return 99 }},
		{ReasonAllowed, func(h *harness) uint64 { h.handleAfter(0, newArrival(1)); return 1 }}, // it is in flight
		{ReasonNoNode, func(h *harness) uint64 { h.handleAfter(0, newArrival(1, withShard(7))); return 1 }},
		{ReasonKeyOrder, func(h *harness) uint64 {
			h.handleAfter(0, newArrival(1, withKey("k")), newArrival(2, withKey("k")))
			return 2
		}},
		{ReasonKeyOrder, func(h *harness) uint64 {
			h.handleAfter(0, newArrival(1, withKey("k")), newArrival(2, withKey("k")))
			h.endAttempt(1, Reset)
			return 2
		}},
		{ReasonRetryBackoff, func(h *harness) uint64 { h.handleAfter(0, newArrival(1)); h.endAttempt(1, QueueFull); return 1 }},
		{ReasonBreakerOpen, func(h *harness) uint64 {
			n := h.scheduler.members.nodes[0]
			n.breaker.open, n.breaker.trialAt = true, h.now+time.Hour
			h.handleAfter(0, newArrival(1))
			return 1
		}},
		{ReasonWindowFull, func(h *harness) uint64 {
			h.scheduler.members.nodes[0].window = 1
			h.handleAfter(0, newArrival(1), newArrival(2))
			return 2
		}},
		{ReasonBackpressure, func(h *harness) uint64 {
			n := h.scheduler.members.nodes[0]
			n.observations.add(h.now, 100, 0, 100)
			n.lastResponseAt = h.now
			h.handleAfter(0, newArrival(1, withClass(1)))
			return 1
		}},
		{ReasonRetryBudget, func(h *harness) uint64 {
			h.handleAfter(0, newArrival(1))
			h.endAttempt(1, Reset)
			h.runFor(50 * ms)
			return 1
		}},
		{ReasonSlowStart, func(h *harness) uint64 {
			h.handleAfter(0, EndpointUpdate{Endpoints: []Endpoint{{Node: "A", Started: h.now}}})
			h.scheduler.members.nodes[0].slowStart.at, h.scheduler.members.nodes[0].slowStart.level = h.now, 0
			h.handleAfter(0, newArrival(1))
			return 1
		}},
		{ReasonTenantLimit, func(h *harness) uint64 {
			h.handleAfter(0, newArrival(1, withUnits(8)), newArrival(2, withUnits(8)))
			return 2
		}},
		{ReasonTooLate, func(h *harness) uint64 {
			n := h.scheduler.members.nodes[0]
			n.observations.add(h.now, 1e6, 1e6*10, 0)
			n.lastSendAt = h.now
			h.handleAfter(0, newArrival(1))
			return 1
		}},
	} {
		h := newHarness(t, testSettings(func(s *Settings) {
			s.ExcessWeight, s.Classes[0].Ordered, s.KeyCooldown = 0.3, true, time.Second
			s.RetryBudget = &RetryBudget{Window: time.Second}
			s.Plans[0].Limit, s.Plans[0].LimitBurst, s.Plans[0].Reserve, s.Classes[1].PriorityWeight = 10, 10, 100, 1
			s.SlowStart = SlowStart{WarmupDuration: 10 * time.Second, InitialFraction: 0.25, MinUnits: 1, OverloadWindow: time.Second, OverloadFactor: 1}
		}), nodeA)
		h.runFor(2 * time.Second) // the limit's bucket fills
		id := c.setUp(h)
		if got := h.scheduler.WaitReason(id); got != c.want {
			t.Errorf("request %d waits for %v, want %v", id, got, c.want)
		}
	}
	seen := map[string]bool{}
	for reason := ReasonAllowed; reason < reasonCount; reason++ {
		if name := reason.String(); name == "" || name == "unknown" || seen[name] {
			t.Errorf("reason %d has the name %q", reason, name)
		} else {
			seen[name] = true
		}
	}
	for _, list := range [][]sendRule{nodeRules, profileRules, requestRules} {
		for _, rule := range list {
			if rule.reason == ReasonAllowed || rule.blocks == nil {
				t.Errorf("a send rule without a reason or a condition: %+v", rule.reason)
			}
		}
	}
}

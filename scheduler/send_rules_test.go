package scheduler

import (
	"testing"
	"time"
)

// waitReasonSettings changes settings so that each send rule can block.
func waitReasonSettings(s *Settings) {
	s.ExcessWeight, s.KeyCooldown = 0.3, time.Second
	s.Classes[0].Ordered, s.Classes[1].PriorityWeight = true, 1
	s.Plans[0].Limit, s.Plans[0].LimitBurst, s.Plans[0].Reserve = 10, 10, 100
	s.RetryBudget = &RetryBudget{Window: time.Second}
	s.SlowStart = SlowStart{WarmupDuration: 10 * time.Second, InitialFraction: 0.25, MinUnits: 1, OverloadWindow: time.Second, OverloadFactor: 1}
}

// Verifies that WaitReason returns the reason of the first rule that blocks a waiting request.
func TestWaitReason(t *testing.T) {
	for _, c := range []struct {
		name  string
		want  Reason
		setUp func(h *harness) (id uint64)
	}{
		{"unknown", ReasonAllowed, func(h *harness) uint64 { return 99 }},
		{"in flight", ReasonAllowed, func(h *harness) uint64 { h.handleAfter(0, newArrival(1)); return 1 }},
		{"no node of the shard", ReasonNoNode, func(h *harness) uint64 { h.handleAfter(0, newArrival(1, withShard(7))); return 1 }},
		{"behind another request of its key", ReasonKeyOrder, func(h *harness) uint64 {
			h.handleAfter(0, newArrival(1, withKey("k")), newArrival(2, withKey("k")))
			return 2
		}},
		{"behind a retry of its key", ReasonKeyOrder, func(h *harness) uint64 {
			h.handleAfter(0, newArrival(1, withKey("k")), newArrival(2, withKey("k")))
			h.endAttempt(1, Reset)
			return 2
		}},
		{"after a full queue", ReasonRetryBackoff, func(h *harness) uint64 { h.handleAfter(0, newArrival(1)); h.endAttempt(1, QueueFull); return 1 }},
		{"breaker open", ReasonBreakerOpen, func(h *harness) uint64 {
			n := h.scheduler.members.nodes[0]
			n.breaker.open, n.breaker.trialAt = true, h.now+time.Hour
			h.handleAfter(0, newArrival(1))
			return 1
		}},
		{"window full", ReasonWindowFull, func(h *harness) uint64 {
			h.scheduler.members.nodes[0].window = 1
			h.handleAfter(0, newArrival(1), newArrival(2))
			return 2
		}},
		{"pressure", ReasonBackpressure, func(h *harness) uint64 {
			n := h.scheduler.members.nodes[0]
			n.observations.add(h.now, 100, 0, 100)
			n.lastResponseAt = h.now
			h.handleAfter(0, newArrival(1, withClass(1)))
			return 1
		}},
		{"retry budget spent", ReasonRetryBudget, func(h *harness) uint64 {
			h.handleAfter(0, newArrival(1))
			h.endAttempt(1, Reset)
			h.runFor(50 * ms)
			return 1
		}},
		{"warming up", ReasonSlowStart, func(h *harness) uint64 {
			h.handleAfter(0, EndpointUpdate{Endpoints: []Endpoint{{Node: "A", Started: h.now}}})
			h.scheduler.members.nodes[0].slowStart.updatedAt, h.scheduler.members.nodes[0].slowStart.level = h.now, 0
			h.handleAfter(0, newArrival(1))
			return 1
		}},
		{"over the limit", ReasonTenantLimit, func(h *harness) uint64 {
			h.handleAfter(0, newArrival(1, withUnits(8)), newArrival(2, withUnits(8)))
			return 2
		}},
		{"expected too late", ReasonTooLate, func(h *harness) uint64 {
			n := h.scheduler.members.nodes[0]
			n.observations.add(h.now, 1e6, 1e6*10, 0)
			n.lastSendAt = h.now
			h.handleAfter(0, newArrival(1))
			return 1
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, testSettings(waitReasonSettings), nodeA)
			h.runFor(2 * time.Second) // fills the bucket of the limit
			id := c.setUp(h)
			if got := h.scheduler.WaitReason(id); got != c.want {
				t.Errorf("request %d has wait reason %v, want %v", id, got, c.want)
			}
		})
	}
}

// Verifies that each reason has a unique name, and each send rule a reason and a condition.
func TestReasonsAndSendRulesAreNamed(t *testing.T) {
	seen := map[string]bool{}
	for reason := ReasonAllowed; reason < reasonCount; reason++ {
		if name := reason.String(); name == "" || name == "unknown" || seen[name] {
			t.Errorf("reason %d has the name %q, want a unique one", reason, name)
		} else {
			seen[name] = true
		}
	}
	for _, list := range [][]sendRule{nodeRules, profileRules, requestRules} {
		for _, rule := range list {
			if rule.reason == ReasonAllowed || rule.blocks == nil {
				t.Errorf("send rule without a reason or a condition: %+v", rule.reason)
			}
		}
	}
}

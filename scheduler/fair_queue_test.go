package scheduler

import (
	"math"
	"testing"
)

// Compares tags with values computed by hand from S = max(v, F + delay/φ) and F = S + cost/φ.
func TestStartAndFinishTags(t *testing.T) {
	twoPlans := func(s *Settings) { s.Plans = []Plan{{Weight: 1, PriorityFactor: 1}, {Weight: 3, PriorityFactor: 1}} }
	type step struct {
		volume string
		plan   int
		node   int
		units  float64
		start  float64
		finish float64
	}
	for _, c := range []struct {
		name  string
		s     Settings
		steps []step
	}{
		{"one volume on one node, single plan", testSettings(), []step{{"f", 0, 0, 2, 0, 2}, {"f", 0, 0, 3, 2, 5}}},
		{"a single plan has no delay", testSettings(), []step{{"f", 0, 0, 2, 0, 2}, {"f", 0, 1, 4, 0, 4}, {"f", 0, 0, 2, 2, 4}}},
		// φ = 1/4, so cost 1 adds 4 to F. The delay is the two units sent elsewhere, below its bound
		// of 2/(3/4) = 2.67.
		{"two nodes", testSettings(twoPlans), []step{{"f", 0, 0, 1, 0, 4}, {"f", 0, 1, 2, 0, 8}, {"f", 0, 0, 2, 4 + 8, 20}}},
		// Nine units were sent elsewhere. The delay is bounded to 1/(3/4) = 4/3, which at φ = 1/4 adds
		// 16/3.
		{"the bound on the delay", testSettings(twoPlans), []step{{"f", 0, 0, 1, 0, 4}, {"f", 0, 1, 9, 0, 36}, {"f", 0, 0, 1, 4 + 16.0/3, 8 + 16.0/3}}},
		{"weights", testSettings(twoPlans), []step{{"f", 0, 0, 3, 0, 12}, {"g", 1, 0, 3, 0, 4}, {"g", 1, 0, 3, 4, 8}}},
		{"zero weights count as equal", testSettings(twoPlans, func(s *Settings) { s.Plans[0].Weight, s.Plans[1].Weight = 0, 0 }),
			[]step{{"f", 0, 0, 1, 0, 2}, {"g", 1, 0, 1, 0, 2}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, c.s, nodeA, nodeB)
			for i, s := range c.steps {
				r := &request{Arrival: newArrival(uint64(i), withVolume(s.volume, s.plan), withUnits(s.units))}
				r.volume = h.scheduler.upsertVolume(r.Arrival)
				r.volume.reserve = tokenBucket{level: -1, updatedAt: h.now} // every request is beyond the reserve
				h.scheduler.tag(r, h.scheduler.members.nodes[s.node])
				nodeStream := r.volume.streams[h.scheduler.members.nodes[s.node]]
				if math.Abs(r.startTag-s.start) > 1e-9 || math.Abs(nodeStream.finishTag-s.finish) > 1e-9 {
					t.Errorf("step %d: got S %v and F %v, want %v and %v", i, r.startTag, nodeStream.finishTag, s.start, s.finish)
				}
			}
		})
	}
}

// Verifies that a volume does not save up service while it is idle: its tags start at the node's
// virtual time. The state of idle volumes is deleted.
func TestIdleVolumeResumesAtVirtualTime(t *testing.T) {
	h := newHarness(t, testSettings(), nodeA)
	h.scheduler.members.nodes[0].virtualTime = 50
	h.handleAfter(0, newArrival(1, withUnits(6)), newArrival(2, withUnits(6)), newArrival(3, withUnits(6)))
	nodeStream := h.scheduler.volumes.byName["v"].streams[h.scheduler.members.nodes[0]]
	if nodeStream.finishTag < 50 {
		t.Errorf("finish tag is %v, want at least the virtual time 50", nodeStream.finishTag)
	}
	for id := uint64(1); id <= 3; id++ {
		h.endAttempt(id, OK)
	}
	h.runFor(volumeIdleTimeout * 2)
	assertEqual(t, "idle volumes", len(h.scheduler.volumes.byName), 0)
}

// Verifies that a request within its volume's reserve is sent before earlier requests beyond the
// reserve: its start tag is the virtual time.
func TestRequestsWithinReserveGoFirst(t *testing.T) {
	s := testSettings(func(s *Settings) {
		s.Plans = []Plan{{Weight: 1, PriorityFactor: 1}, {Weight: 1, PriorityFactor: 1, Reserve: 10}}
	})
	h := newHarness(t, s, nodeA)
	h.scheduler.members.nodes[0].window = 1
	h.handleAfter(0, newArrival(1, withVolume("heavy", 0)), newArrival(2, withVolume("heavy", 0)), newArrival(3, withVolume("reserved", 1)))
	h.handleAfter(90*ms, TimerFired{})
	h.endAttempt(1, OK)
	if got := h.sentIDs(); len(got) < 2 || got[1] != 3 {
		t.Errorf("sent %v, want request 3, which is within the reserve, to be second", got)
	}
}

// Verifies an instance's share of a reserve, which it computes without communication with the others:
// two even shares, at most the whole reserve, and room for at least one largest request.
func TestReserveIsDividedAmongInstances(t *testing.T) {
	for _, c := range []struct {
		instances int
		rate      float64
	}{{1, 8}, {2, 8}, {4, 4}, {16, 1}, {0, 8.0 * reserveShareFactor / 50}, {99, 8.0 * reserveShareFactor / 50}} {
		h := newHarness(t, testSettings(func(s *Settings) { s.Instances, s.Plans[0].Reserve = 50, 8 }), nodeA)
		v := h.scheduler.upsertVolume(newArrival(1, withInstances(c.instances)))
		if math.Abs(v.reserve.rate-c.rate) > 1e-9 || v.reserve.level < h.scheduler.settings.MaxUnits {
			t.Errorf("%d instances: got rate %v and level %v, want rate %v and a level of at least one largest request", c.instances, v.reserve.rate,
				v.reserve.level, c.rate)
		}
	}
}

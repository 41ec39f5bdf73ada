package scheduler

import (
	"math"
	"testing"
)

// Tags computed by hand from S = max(v, F + delay/φ) and F = S + cost/φ.
func TestStartAndFinishTags(t *testing.T) {
	two := func(s *Settings) { s.Plans = []Plan{{Weight: 1, PriorityFactor: 1}, {Weight: 3, PriorityFactor: 1}} }
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
		// φ = 1/4: cost 1 is 4; two units elsewhere are under the bound 2/(3/4) = 2.67.
		{"two nodes", testSettings(two), []step{{"f", 0, 0, 1, 0, 4}, {"f", 0, 1, 2, 0, 8}, {"f", 0, 0, 2, 4 + 8, 20}}},
		// Nine units elsewhere, bounded to 1/(3/4) = 4/3, over φ 16/3.
		{"the bound on the delay", testSettings(two), []step{{"f", 0, 0, 1, 0, 4}, {"f", 0, 1, 9, 0, 36}, {"f", 0, 0, 1, 4 + 16.0/3, 8 + 16.0/3}}},
		{"weights", testSettings(two), []step{{"f", 0, 0, 3, 0, 12}, {"g", 1, 0, 3, 0, 4}, {"g", 1, 0, 3, 4, 8}}},
		{"zero weights count as equal", testSettings(two, func(s *Settings) { s.Plans[0].Weight, s.Plans[1].Weight = 0, 0 }),
			[]step{{"f", 0, 0, 1, 0, 2}, {"g", 1, 0, 1, 0, 2}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, c.s, nodeA, nodeB)
			for i, s := range c.steps {
				q := &request{Arrival: newArrival(uint64(i), withVolume(s.volume, s.plan), withUnits(s.units))}
				q.volume = h.scheduler.upsertVolume(q.Arrival)
				q.volume.reserve = tokenBucket{level: -1, updatedAt: h.now} // all of it beyond the reserve
				h.scheduler.tag(q, h.scheduler.members.nodes[s.node])
				e := q.volume.streams[h.scheduler.members.nodes[s.node]]
				if math.Abs(q.startTag-s.start) > 1e-9 || math.Abs(e.finishTag-s.finish) > 1e-9 {
					t.Errorf("step %d: S %v F %v, want %v %v", i, q.startTag, e.finishTag, s.start, s.finish)
				}
			}
		})
	}
}

// A volume that sent nothing for a while must not have saved up service: its tags start at the
// node's virtual time. The state of idle volumes is dropped.
func TestVolumeBackFromIdleStartsAtVirtualTime(t *testing.T) {
	h := newHarness(t, testSettings(), nodeA)
	h.scheduler.members.nodes[0].virtualTime = 50
	h.handleAfter(0, newArrival(1, withUnits(6)), newArrival(2, withUnits(6)), newArrival(3, withUnits(6)))
	e := h.scheduler.volumes["v"].streams[h.scheduler.members.nodes[0]]
	if e.finishTag < 50 {
		t.Errorf("finish tag %v lies before virtual time 50", e.finishTag)
	}
	for id := uint64(1); id <= 3; id++ {
		h.endAttempt(id, OK)
	}
	h.runFor(volumeIdleTimeout * 2)
	assertEqual(t, "idle volumes", len(h.scheduler.volumes), 0)
}

// A request within its volume's reserve gets the virtual time as its tag, and so goes before
// requests beyond the reserve that arrived earlier.
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
		t.Errorf("sent %v, want the reserved request 3 second", got)
	}
}

// Instances do not talk, so each holds a part of a reserve by itself: two even parts, the whole
// reserve at most, and room for one largest request at least.
func TestReserveIsDividedAmongInstances(t *testing.T) {
	for _, c := range []struct {
		instances int
		rate      float64
	}{{1, 8}, {2, 8}, {4, 4}, {16, 1}, {0, 8.0 * reserveShareFactor / 50}, {99, 8.0 * reserveShareFactor / 50}} {
		h := newHarness(t, testSettings(func(s *Settings) { s.Instances, s.Plans[0].Reserve = 50, 8 }), nodeA)
		v := h.scheduler.upsertVolume(newArrival(1, withInstances(c.instances)))
		if math.Abs(v.reserve.rate-c.rate) > 1e-9 || v.reserve.level < h.scheduler.settings.MaxUnits {
			t.Errorf("%d instances: rate %v level %v, want rate %v and one largest request", c.instances, v.reserve.rate,
				v.reserve.level, c.rate)
		}
	}
}

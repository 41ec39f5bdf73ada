package scheduler

import (
	"math"
	"testing"
)

// Tags worked by hand: S = max(v, F + delay/φ), F = S + cost/φ.
func TestTags(t *testing.T) {
	two := func(s *Settings) { s.Plans = []Plan{{Weight: 1, PriorityFactor: 1}, {Weight: 3, PriorityFactor: 1}} }
	type step struct {
		vol    string
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
		// φ = 1/4: cost 1 is 4; two units elsewhere are under the clip 2/(3/4) = 2.67.
		{"two nodes", testSettings(two), []step{{"f", 0, 0, 1, 0, 4}, {"f", 0, 1, 2, 0, 8}, {"f", 0, 0, 2, 4 + 8, 20}}},
		// Nine units elsewhere, clipped at 1/(3/4) = 4/3, over φ 16/3.
		{"the clip", testSettings(two), []step{{"f", 0, 0, 1, 0, 4}, {"f", 0, 1, 9, 0, 36}, {"f", 0, 0, 1, 4 + 16.0/3, 8 + 16.0/3}}},
		{"weights", testSettings(two), []step{{"f", 0, 0, 3, 0, 12}, {"g", 1, 0, 3, 0, 4}, {"g", 1, 0, 3, 4, 8}}},
		{"zero weights count as equal", testSettings(two, func(s *Settings) { s.Plans[0].Weight, s.Plans[1].Weight = 0, 0 }),
			[]step{{"f", 0, 0, 1, 0, 2}, {"g", 1, 0, 1, 0, 2}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newHarness(t, c.s, nodeA, nodeB)
			for i, s := range c.steps {
				q := &request{Arrival: newArrival(uint64(i), withVolume(s.vol, s.plan), withUnits(s.units))}
				q.volume = r.scheduler.volumeOf(q.Arrival)
				q.volume.reserve = tokenBucket{level: -1, at: r.now} // all of it beyond the reserve
				r.scheduler.tag(q, r.scheduler.members.nodes[s.node])
				e := q.volume.streams[r.scheduler.members.nodes[s.node]]
				if math.Abs(q.startTag-s.start) > 1e-9 || math.Abs(e.finishTag-s.finish) > 1e-9 {
					t.Errorf("step %d: S %v F %v, want %v %v", i, q.startTag, e.finishTag, s.start, s.finish)
				}
			}
		})
	}
}

func TestVolumeBackFromIdleStartsAtVirtualTime(t *testing.T) {
	r := newHarness(t, testSettings(), nodeA)
	r.scheduler.members.nodes[0].virtualTime = 50
	r.handleAfter(0, newArrival(1, withUnits(6)), newArrival(2, withUnits(6)), newArrival(3, withUnits(6)))
	e := r.scheduler.volumes["v"].streams[r.scheduler.members.nodes[0]]
	if e.finishTag < 50 {
		t.Errorf("finish tag %v lies before virtual time 50", e.finishTag)
	}
	for id := uint64(1); id <= 3; id++ {
		r.endAttempt(id, OK)
	}
	r.runFor(volumeIdleTimeout * 2)
	assertEqual(t, "idle volumes", len(r.scheduler.volumes), 0)
}

func TestWithinReserveLeavesBeforeExcess(t *testing.T) {
	s := testSettings(func(s *Settings) {
		s.Plans = []Plan{{Weight: 1, PriorityFactor: 1}, {Weight: 1, PriorityFactor: 1, Reserve: 10}}
	})
	r := newHarness(t, s, nodeA)
	r.scheduler.members.nodes[0].window = 1
	r.handleAfter(0, newArrival(1, withVolume("heavy", 0)), newArrival(2, withVolume("heavy", 0)), newArrival(3, withVolume("reserved", 1)))
	r.handleAfter(90*ms, TimerFired{})
	r.endAttempt(1, OK)
	if got := r.sentIDs(); len(got) < 2 || got[1] != 3 {
		t.Errorf("sent %v, want the reserved request 3 second", got)
	}
}

func TestReserveIsHeldInPartsByHosts(t *testing.T) {
	for _, c := range []struct {
		hosts int
		rate  float64
	}{{1, 8}, {2, 8}, {4, 4}, {16, 1}, {0, 8.0 * reserveShareFactor / 50}, {99, 8.0 * reserveShareFactor / 50}} {
		r := newHarness(t, testSettings(func(s *Settings) { s.Instances, s.Plans[0].Reserve = 50, 8 }), nodeA)
		v := r.scheduler.volumeOf(newArrival(1, withInstances(c.hosts)))
		if math.Abs(v.reserve.rate-c.rate) > 1e-9 || v.reserve.level < r.scheduler.settings.MaxUnits {
			t.Errorf("%d hosts: rate %v level %v, want rate %v and one largest request", c.hosts, v.reserve.rate,
				v.reserve.level, c.rate)
		}
	}
}

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
		{"one volume on one node, single plan", site(), []step{{"f", 0, 0, 2, 0, 2}, {"f", 0, 0, 3, 2, 5}}},
		{"a single plan has no delay", site(), []step{{"f", 0, 0, 2, 0, 2}, {"f", 0, 1, 4, 0, 4}, {"f", 0, 0, 2, 2, 4}}},
		// φ = 1/4: cost 1 is 4; two units elsewhere are under the clip 2/(3/4) = 2.67.
		{"two nodes", site(two), []step{{"f", 0, 0, 1, 0, 4}, {"f", 0, 1, 2, 0, 8}, {"f", 0, 0, 2, 4 + 8, 20}}},
		// Nine units elsewhere, clipped at 1/(3/4) = 4/3, over φ 16/3.
		{"the clip", site(two), []step{{"f", 0, 0, 1, 0, 4}, {"f", 0, 1, 9, 0, 36}, {"f", 0, 0, 1, 4 + 16.0/3, 8 + 16.0/3}}},
		{"weights", site(two), []step{{"f", 0, 0, 3, 0, 12}, {"g", 1, 0, 3, 0, 4}, {"g", 1, 0, 3, 4, 8}}},
		{"zero weights count as equal", site(two, func(s *Settings) { s.Plans[0].Weight, s.Plans[1].Weight = 0, 0 }),
			[]step{{"f", 0, 0, 1, 0, 2}, {"g", 1, 0, 1, 0, 2}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := start(t, c.s, nodeA, nodeB)
			for i, s := range c.steps {
				q := &request{Arrival: req(uint64(i), ofVolume(s.vol, s.plan), units(s.units))}
				q.volume = r.h.volumeOf(q.Arrival)
				q.volume.reserve = tokenBucket{level: -1, at: r.now} // all of it beyond the reserve
				r.h.tag(q, r.h.members.nodes[s.node])
				e := q.volume.streams[r.h.members.nodes[s.node]]
				if math.Abs(q.startTag-s.start) > 1e-9 || math.Abs(e.finishTag-s.finish) > 1e-9 {
					t.Errorf("step %d: S %v F %v, want %v %v", i, q.startTag, e.finishTag, s.start, s.finish)
				}
			}
		})
	}
}

func TestVolumeBackFromIdleStartsAtVirtualTime(t *testing.T) {
	r := start(t, site(), nodeA)
	r.h.members.nodes[0].virtualTime = 50
	r.at(0, req(1, units(6)), req(2, units(6)), req(3, units(6)))
	e := r.h.volumes["v"].streams[r.h.members.nodes[0]]
	if e.finishTag < 50 {
		t.Errorf("finish tag %v lies before virtual time 50", e.finishTag)
	}
	for id := uint64(1); id <= 3; id++ {
		r.end(id, OK)
	}
	r.wait(idleVolume * 2)
	want(t, "idle volumes", len(r.h.volumes), 0)
}

func TestWithinReserveLeavesBeforeExcess(t *testing.T) {
	s := site(func(s *Settings) {
		s.Plans = []Plan{{Weight: 1, PriorityFactor: 1}, {Weight: 1, PriorityFactor: 1, Reserve: 10}}
	})
	r := start(t, s, nodeA)
	r.h.members.nodes[0].window = 1
	r.at(0, req(1, ofVolume("heavy", 0)), req(2, ofVolume("heavy", 0)), req(3, ofVolume("reserved", 1)))
	r.at(90*ms, TimerFired{})
	r.end(1, OK)
	if got := r.sent(); len(got) < 2 || got[1] != 3 {
		t.Errorf("sent %v, want the reserved request 3 second", got)
	}
}

func TestReserveIsHeldInPartsByHosts(t *testing.T) {
	for _, c := range []struct {
		hosts int
		rate  float64
	}{{1, 8}, {2, 8}, {4, 4}, {16, 1}, {0, 8.0 * reserveShareFactor / 50}, {99, 8.0 * reserveShareFactor / 50}} {
		r := start(t, site(func(s *Settings) { s.Instances, s.Plans[0].Reserve = 50, 8 }), nodeA)
		v := r.h.volumeOf(req(1, hosts(c.hosts)))
		if math.Abs(v.reserve.rate-c.rate) > 1e-9 || v.reserve.level < r.h.settings.MaxUnits {
			t.Errorf("%d hosts: rate %v level %v, want rate %v and one largest request", c.hosts, v.reserve.rate,
				v.reserve.level, c.rate)
		}
	}
}

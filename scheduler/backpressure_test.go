package scheduler

import (
	"testing"
	"time"
)

// Requests that earn little filled the queue of a slow node while those of other instances that earn
// in full waited behind them. They are held back the sooner, the less they earn, and are sent again
// once the node responds fast or has been silent for a while.
func TestLowPriorityIsHeldBackUnderPressure(t *testing.T) {
	s := testSettings(func(s *Settings) {
		s.ExcessWeight, s.Classes[0].LateWeightFactor, s.Classes[1].PriorityWeight = 0.3, 0.1, 1
	})
	h := newHarness(t, s, nodeA)
	n := h.scheduler.members.nodes[0]
	for _, c := range []struct {
		name            string
		pressure        float64
		silence         time.Duration
		class           int
		beyondReserve   bool
		missesObjective bool
		want            bool
	}{
		{"in time, within the reserve", 2, 0, 0, false, false, false},
		{"late", 0.9, 0, 0, false, true, true},
		{"beyond the reserve", 0.9, 0, 0, true, false, true},
		{"class of half the weight", 0.9, 0, 1, false, false, true},
		{"half the weight, some pressure", 0.4, 0, 1, false, false, false},
		{"late at a fast node", 0.05, 0, 0, false, true, false},
		{"late, after long silence", 0.9, 3 * time.Second, 0, false, true, false},
	} {
		v := h.scheduler.upsertVolume(newArrival(1))
		q := &profile{class: &h.scheduler.settings.Classes[c.class], plan: v.plan, instances: v.instances, beyondReserve: c.beyondReserve}
		n.pressure, n.lastResponseAt = c.pressure, h.now-c.silence
		assertEqual(t, c.name, h.scheduler.backpressureBlocks(candidate{node: n, profile: q, missesObjective: c.missesObjective}), c.want)
	}
}

// With more instances each tries a node under pressure less often, so that all of them together try it
// about as often as one would.
func TestPressureFadesSlowerWithMoreInstances(t *testing.T) {
	h := newHarness(t, testSettings(func(s *Settings) { s.Instances, s.ExcessWeight = 100, 0.3 }), nodeA)
	n := h.scheduler.members.nodes[0]
	for _, c := range []struct {
		instances int
		after     time.Duration
		want      bool // still held back
	}{{1, 200 * ms, true}, {1, time.Second, false}, {20, time.Second, true}, {20, 25 * time.Second, false}} {
		v := h.scheduler.upsertVolume(newArrival(1, withInstances(c.instances)))
		q := &profile{class: &h.scheduler.settings.Classes[0], plan: v.plan, instances: v.instances, beyondReserve: true}
		n.pressure, n.lastResponseAt = 0.9, h.now-c.after
		if got := h.scheduler.backpressureBlocks(candidate{node: n, profile: q}); got != c.want {
			t.Errorf("%d instances after %v: held back %v, want %v", c.instances, c.after, got, c.want)
		}
	}
}

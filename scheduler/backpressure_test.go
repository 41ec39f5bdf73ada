package scheduler

import (
	"testing"
	"time"
)

// Guards against requests of low value filling the queue of a slow node while requests of other
// instances, of full value, wait behind them. The lower their value, the earlier requests are held
// back. They are sent again once the node responds fast, or has not responded for a while.
func TestLowPriorityIsBlockedUnderPressure(t *testing.T) {
	s := testSettings(func(s *Settings) {
		s.ExcessWeight, s.Classes[0].LateWeightFactor, s.Classes[1].PriorityWeight = 0.3, 0.1, 1
	})
	h := newHarness(t, s, nodeA)
	n := h.scheduler.members.nodes[0]
	for _, c := range []struct {
		name            string
		pressure        float64
		sinceResponse   time.Duration
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
		{"late, after a long time without a response", 0.9, 3 * time.Second, 0, false, true, false},
	} {
		v := h.scheduler.upsertVolume(newArrival(1))
		p := &profile{class: &h.scheduler.settings.Classes[c.class], plan: v.plan, instances: v.instances, beyondReserve: c.beyondReserve}
		n.pressure, n.lastResponseAt = c.pressure, h.now-c.sinceResponse
		assertEqual(t, c.name, h.scheduler.backpressureBlocks(candidate{node: n, profile: p, missesObjective: c.missesObjective}), c.want)
	}
}

// Verifies that each instance tries a node under pressure less often the more instances there are, so
// that all of them together try it about as often as a single one.
func TestPressureDecaysSlowerWithMoreInstances(t *testing.T) {
	h := newHarness(t, testSettings(func(s *Settings) { s.Instances, s.ExcessWeight = 100, 0.3 }), nodeA)
	n := h.scheduler.members.nodes[0]
	for _, c := range []struct {
		instances int
		after     time.Duration
		want      bool // still held back
	}{{1, 200 * ms, true}, {1, time.Second, false}, {20, time.Second, true}, {20, 25 * time.Second, false}} {
		v := h.scheduler.upsertVolume(newArrival(1, withInstances(c.instances)))
		p := &profile{class: &h.scheduler.settings.Classes[0], plan: v.plan, instances: v.instances, beyondReserve: true}
		n.pressure, n.lastResponseAt = 0.9, h.now-c.after
		if got := h.scheduler.backpressureBlocks(candidate{node: n, profile: p}); got != c.want {
			t.Errorf("%d instances, %v after the last response: held back %v, want %v", c.instances, c.after, got, c.want)
		}
	}
}

package scheduler

import (
	"math"
	"testing"
	"time"
)

// Verifies the estimate of a node with few observations: it is blended with the responses of all
// nodes, because with many instances each gets a response from a node only every few seconds. Old
// responses count less. Timeouts and full queues count as responses that waited for all of the latency
// objective.
func TestFewObservationsAreBlendedWithAllNodes(t *testing.T) {
	newAttempt := func(n *node) *attempt {
		return &attempt{request: &request{Arrival: newArrival(1), class: &Class{LatencyObjective: 200 * ms}}, node: n}
	}
	for _, c := range []struct {
		name    string
		outcome Outcome
		latency time.Duration
		age     time.Duration
		want    float64 // approximate pressure of node A
	}{
		{"a fast response", OK, 20 * ms, 0, 0.05},
		{"a slow response", OK, 300 * ms, 0, 1},
		{"queue full", QueueFull, 2 * ms, 0, 1},
		{"time-out", TimedOut, time.Second, 0, 1},
		{"an old slow response, then fast ones of another node", OK, 300 * ms, 10 * observationHalfLife, 0.05},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, testSettings(), nodeA, nodeB)
			h.scheduler.estimates.unitServiceTime = 0.005 // two units take 10 ms without waiting
			n, other := h.scheduler.members.nodes[0], h.scheduler.members.nodes[1]
			a := newAttempt(n)
			a.sentAt = h.now - c.latency
			h.scheduler.recordOutcome(n, a, AttemptEnded{Outcome: c.outcome})
			if c.age > 0 {
				h.runFor(c.age)
				otherAttempt := newAttempt(other)
				otherAttempt.sentAt = h.now - 20*ms
				for range 10 {
					h.scheduler.recordOutcome(other, otherAttempt, AttemptEnded{Outcome: OK})
				}
			}
			h.scheduler.updateEstimate(n)
			if math.Abs(n.pressure-c.want) > 0.05 {
				t.Errorf("pressure %.2f, want about %.2f", n.pressure, c.want)
			}
		})
	}
}

// Verifies that a load report counts half and the latency the other half, because a node may report
// its load wrongly, or the same load forever. An invalid report does not count.
func TestLoadReportCountsHalfAtMost(t *testing.T) {
	for _, c := range []struct {
		name      string
		hasReport bool
		reported  float64
		latency   time.Duration
		low, high float64
	}{
		{"none", false, 0, 110 * ms, 0.45, 0.55},
		{"not a number", true, math.NaN(), 110 * ms, 0.45, 0.55},
		{"infinite", true, math.Inf(1), 110 * ms, 0.45, 0.55},
		{"negative", true, -5, 110 * ms, 0.45, 0.55},
		{"nothing waiting", true, 0, 110 * ms, 0.2, 0.3},
		{"zero while responses are slow", true, 0, 500 * ms, 0.95, 1},
		{"high with a fast response", true, 30, 10 * ms, 0.7, 0.8},
		{"absurd", true, 1e12, 10 * ms, 1, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, testSettings(), nodeA)
			h.scheduler.estimates.unitServiceTime = 0.005
			n := h.scheduler.members.nodes[0]
			a := &attempt{request: &request{Arrival: newArrival(1), class: &h.scheduler.settings.Classes[0]}, node: n, sentAt: h.now - c.latency}
			h.scheduler.recordOutcome(n, a, AttemptEnded{Outcome: OK, HasLoadReport: c.hasReport, ReportedLoad: c.reported})
			h.scheduler.updateEstimate(n)
			if n.pressure < c.low-0.01 || n.pressure > c.high+0.01 {
				t.Errorf("pressure %.3f, want %.2f to %.2f", n.pressure, c.low, c.high)
			}
		})
	}
}

// Guards against timeouts at a few hung nodes that raise the pressure of all nodes, so that instances
// hold back requests for healthy nodes. A timeout must count for its own node only.
func TestTimeoutsCountAtTheirNodeAlone(t *testing.T) {
	h := newHarness(t, testSettings(), nodeA, nodeB)
	for id := uint64(1); id <= 6; id++ {
		h.handleAfter(50*ms, newArrival(id, withShard(0)))
		if h.attempts[id] > 0 {
			h.endAttempt(id, TimedOut)
		}
	}
	h.scheduler.updateEstimate(h.scheduler.members.nodes[0])
	h.scheduler.updateEstimate(h.scheduler.members.nodes[1])
	if hung, other := h.scheduler.members.nodes[0].pressure, h.scheduler.members.nodes[1].pressure; hung < 0.9 || other > 0.1 {
		t.Errorf("pressure is %.2f at the hung node and %.2f at the other, want at least 0.9 and at most 0.1", hung, other)
	}
}

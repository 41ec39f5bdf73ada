package scheduler

import (
	"math"
	"testing"
	"time"
)

// At size a head hears of one node every few seconds: what it hears of the
// others stands in, old answers count less, and what has no answer counts too.
func TestFewObservationsLeanOnAllNodes(t *testing.T) {
	slow := func(n *node) *attempt {
		return &attempt{request: &request{Arrival: newArrival(1), class: &Class{LatencyObjective: 200 * ms}}, node: n}
	}
	for _, c := range []struct {
		name    string
		outcome Outcome
		took    time.Duration
		age     time.Duration
		want    float64 // pressure held of node A, about
	}{
		{"a quick answer", OK, 20 * ms, 0, 0.05},
		{"a slow answer", OK, 300 * ms, 0, 1},
		{"turned away at once", QueueFull, 2 * ms, 0, 1},
		{"no answer", TimedOut, time.Second, 0, 1},
		{"a slow answer long ago, others quick since", OK, 300 * ms, 10 * observationHalfLife, 0.05},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newHarness(t, testSettings(), nodeA, nodeB)
			r.scheduler.estimates.unitServiceTime = 0.005 // ten milliseconds of two units are work, not waiting
			n, other := r.scheduler.members.nodes[0], r.scheduler.members.nodes[1]
			a := slow(n)
			a.sentAt = r.now - c.took
			r.scheduler.recordOutcome(n, a, AttemptEnded{Outcome: c.outcome})
			if c.age > 0 {
				r.runFor(c.age)
				b := slow(other)
				b.sentAt = r.now - 20*ms
				for range 10 {
					r.scheduler.recordOutcome(other, b, AttemptEnded{Outcome: OK})
				}
			}
			r.scheduler.updateEstimate(n)
			if math.Abs(n.pressure-c.want) > 0.05 {
				t.Errorf("pressure %.2f, want about %.2f", n.pressure, c.want)
			}
		})
	}
}

// A report counts half at most; one that is absent or no number, not at all.
func TestReportsAreBounded(t *testing.T) {
	for _, c := range []struct {
		name     string
		says     bool
		reported float64
		took     time.Duration
		lo, hi   float64
	}{
		{"none", false, 0, 110 * ms, 0.45, 0.55},
		{"not a number", true, math.NaN(), 110 * ms, 0.45, 0.55},
		{"infinite", true, math.Inf(1), 110 * ms, 0.45, 0.55},
		{"negative", true, -5, 110 * ms, 0.45, 0.55},
		{"none waiting halves", true, 0, 110 * ms, 0.2, 0.3},
		{"stands at zero while answers are slow", true, 0, 500 * ms, 0.95, 1},
		{"a crowd behind a quick answer", true, 30, 10 * ms, 0.7, 0.8},
		{"absurd", true, 1e12, 10 * ms, 1, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newHarness(t, testSettings(), nodeA)
			r.scheduler.estimates.unitServiceTime = 0.005
			n := r.scheduler.members.nodes[0]
			a := &attempt{request: &request{Arrival: newArrival(1), class: &r.scheduler.settings.Classes[0]}, node: n, sentAt: r.now - c.took}
			r.scheduler.recordOutcome(n, a, AttemptEnded{Outcome: OK, HasLoadReport: c.says, ReportedLoad: c.reported})
			r.scheduler.updateEstimate(n)
			if n.pressure < c.lo-0.01 || n.pressure > c.hi+0.01 {
				t.Errorf("pressure %.3f, want %.2f to %.2f", n.pressure, c.lo, c.hi)
			}
		})
	}
}

// bangna-main-later big-1: seven hung nodes made every head stand back everywhere.
func TestASickNodeTellsOfItselfAlone(t *testing.T) {
	r := newHarness(t, testSettings(), nodeA, nodeB)
	for id := uint64(1); id <= 6; id++ {
		r.handleAfter(50*ms, newArrival(id, withShard(0)))
		if r.attempts[id] > 0 {
			r.endAttempt(id, TimedOut)
		}
	}
	r.scheduler.updateEstimate(r.scheduler.members.nodes[0])
	r.scheduler.updateEstimate(r.scheduler.members.nodes[1])
	if a, b := r.scheduler.members.nodes[0].pressure, r.scheduler.members.nodes[1].pressure; a < 0.9 || b > 0.1 {
		t.Errorf("pressure %.2f at the sick node, %.2f at the other", a, b)
	}
}

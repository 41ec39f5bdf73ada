package scheduler

import (
	"math"
	"time"
)

// What is held of nodes: how long their answers take, and how much of that is waiting.

const (
	observationHalfLife = 3 * time.Second // what was observed of a node counts half after this
	// unitTimeStep is by how much the estimate of a unit's time follows an answer.
	unitTimeStep = 0.02
	// unitTimeFall is how many such steps it takes downwards: it rests at the quickest quarter.
	unitTimeFall = 3
	// priorWeight is how many answers those of all nodes together count for at one node.
	priorWeight = 4.0
	// minObservations keeps the division by their weight defined.
	minObservations = 1e-9
)

// estimates are what answers of all nodes told.
type estimates struct {
	unitTime float64 // seconds that a unit takes where nothing waits
	fleet    observations
	served   map[int]*decayingSum // units served, by shard
}

func newEstimates() estimates { return estimates{served: map[int]*decayingSum{}} }

// observations are answers, weighed by age.
type observations struct{ weight, latency, waiting decayingSum }

func (o *observations) add(now Time, weight, latency, waiting float64) {
	o.weight.add(now, weight, observationHalfLife)
	o.latency.add(now, latency, observationHalfLife)
	o.waiting.add(now, waiting, observationHalfLife)
}

// at returns the sums at a time.
func (o *observations) at(now Time) (weight, latency, waiting float64) {
	o.add(now, 0, 0, 0)
	return o.weight.sum, o.latency.sum, o.waiting.sum
}

// answer is what is observed of one answer, or of what stands for one.
type answer struct {
	latency float64 // seconds
	waiting float64 // the part of the aim that was spent waiting
}

// bookAnswer books an answer of a node.
func (s *Scheduler) bookAnswer(n *node, a answer) {
	s.bookSilence(n, a)
	s.estimates.fleet.add(s.now, 1, a.latency, a.clampedWaiting())
}

// bookSilence books what stands for an answer, at that node alone: a sick node tells of itself.
func (s *Scheduler) bookSilence(n *node, a answer) {
	n.observed.add(s.now, 1, a.latency, a.clampedWaiting())
}

func (a answer) clampedWaiting() float64 { return min(max(a.waiting, 0), 1) }

// estimate sets what is held of a node: its own answers by age and, as far as these are few or
// old, those of all nodes. Guards against a head that hears of a node too seldom.
func (s *Scheduler) estimate(n *node) {
	weight, latency, waiting := n.observed.at(s.now)
	all, allLatency, allWaiting := s.estimates.fleet.at(s.now)
	prior := priorWeight / max(all, priorWeight)
	weight = max(weight+prior*all, minObservations)
	n.latency = (latency + prior*allLatency) / weight
	n.pressure = (waiting + prior*allWaiting) / weight
}

// serviceTime returns what a request should take where nothing waits: its units times what the
// quickest quarter of answers took a unit.
func (s *Scheduler) serviceTime(took float64, r *request) float64 {
	e := &s.estimates
	perUnit := took / max(r.Units, 1)
	switch {
	case e.unitTime == 0:
		e.unitTime = perUnit
	case perUnit < e.unitTime:
		e.unitTime *= 1 - unitTimeFall*unitTimeStep
	default:
		e.unitTime *= 1 + unitTimeStep
	}
	return e.unitTime * r.Units
}

// waitingTime is how much of an answer's time was waiting. A load report stands for its
// requests at a unit's usual time and counts half. Guards against reports that stand still or
// lie: answer times outweigh them.
func (s *Scheduler) waitingTime(took float64, r *request, e AttemptEnded) float64 {
	waited := took - s.serviceTime(took, r)
	if !e.HasLoadReport || e.ReportedLoad < 0 || !(e.ReportedLoad < math.Inf(1)) {
		return waited
	}
	reported := e.ReportedLoad * s.estimates.unitTime * s.settings.MeanUnits
	return (max(waited, 0) + reported) / 2
}

// expected is how long an answer should take, from the node's recent ones; a request that is
// out for longer already counts as one.
func (s *Scheduler) expected(n *node, units float64) time.Duration {
	seconds := max(n.latency+s.estimates.unitTime*(units-s.settings.MeanUnits), 0)
	if len(n.inFlight) > 0 {
		seconds = max(seconds, (s.now-n.inFlight[0].outSince(s.now)).Seconds()/2)
	}
	return time.Duration(seconds * float64(time.Second))
}

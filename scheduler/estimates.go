package scheduler

import (
	"math"
	"time"
)

// What is held of nodes: how long their answers take, and how much of that is waiting.

const (
	observationHalfLife = 3 * time.Second // what was observed of a node counts half after this
	// serviceTimeStep is by how much the estimate of a unit's time follows an answer.
	serviceTimeStep = 0.02
	// serviceTimeDecreaseSteps is how many such steps it takes downwards: it rests at the quickest quarter.
	serviceTimeDecreaseSteps = 3
	// priorWeight is how many answers those of all nodes together count for at one node.
	priorWeight = 4.0
	// minObservations keeps the division by their weight defined.
	minObservations = 1e-9
)

// estimates are what answers of all nodes told.
type estimates struct {
	unitServiceTime float64 // seconds that a unit takes where nothing waits
	allNodes        observations
	servedByShard   map[int]*decayingSum // units served, by shard
}

func newEstimates() estimates { return estimates{servedByShard: map[int]*decayingSum{}} }

// observations are answers, weighed by age.
type observations struct{ weight, latency, waitingFraction decayingSum }

func (o *observations) add(now Time, weight, latency, waiting float64) {
	o.weight.add(now, weight, observationHalfLife)
	o.latency.add(now, latency, observationHalfLife)
	o.waitingFraction.add(now, waiting, observationHalfLife)
}

// at returns the sums at a time.
func (o *observations) at(now Time) (weight, latency, waiting float64) {
	o.add(now, 0, 0, 0)
	return o.weight.sum, o.latency.sum, o.waitingFraction.sum
}

// observation is what is observed of one answer, or of what stands for one.
type observation struct {
	latency         float64 // seconds
	waitingFraction float64 // the part of the aim that was spent waiting
}

// recordResponse books an answer of a node.
func (s *Scheduler) recordResponse(n *node, a observation) {
	s.recordNodeObservation(n, a)
	s.estimates.allNodes.add(s.now, 1, a.latency, a.clampedWaiting())
}

// recordNodeObservation books what stands for an answer, at that node alone: a sick node tells of itself.
func (s *Scheduler) recordNodeObservation(n *node, a observation) {
	n.observations.add(s.now, 1, a.latency, a.clampedWaiting())
}

func (a observation) clampedWaiting() float64 { return min(max(a.waitingFraction, 0), 1) }

// updateEstimate sets what is held of a node: its own answers by age and, as far as these are few or
// old, those of all nodes. Guards against a head that hears of a node too seldom.
func (s *Scheduler) updateEstimate(n *node) {
	weight, latency, waiting := n.observations.at(s.now)
	all, allLatency, allWaiting := s.estimates.allNodes.at(s.now)
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
	case e.unitServiceTime == 0:
		e.unitServiceTime = perUnit
	case perUnit < e.unitServiceTime:
		e.unitServiceTime *= 1 - serviceTimeDecreaseSteps*serviceTimeStep
	default:
		e.unitServiceTime *= 1 + serviceTimeStep
	}
	return e.unitServiceTime * r.Units
}

// waitingTime is how much of an answer's time was waiting. A load report stands for its
// requests at a unit's usual time and counts half. Guards against reports that stand still or
// lie: answer times outweigh them.
func (s *Scheduler) waitingTime(took float64, r *request, e AttemptEnded) float64 {
	waited := took - s.serviceTime(took, r)
	if !e.HasLoadReport || e.ReportedLoad < 0 || !(e.ReportedLoad < math.Inf(1)) {
		return waited
	}
	reported := e.ReportedLoad * s.estimates.unitServiceTime * s.settings.MeanUnits
	return (max(waited, 0) + reported) / 2
}

// expectedLatency is how long an answer should take, from the node's recent ones; a request that is
// out for longer already counts as one.
func (s *Scheduler) expectedLatency(n *node, units float64) time.Duration {
	seconds := max(n.latency+s.estimates.unitServiceTime*(units-s.settings.MeanUnits), 0)
	if len(n.inFlight) > 0 {
		seconds = max(seconds, (s.now-n.inFlight[0].inFlightSince(s.now)).Seconds()/2)
	}
	return time.Duration(seconds * float64(time.Second))
}

package scheduler

import (
	"math"
	"time"
)

// Estimates of nodes: the latency of a response, and pressure, which is how much of the latency
// objectives is spent waiting at the node.

const (
	// observationHalfLife is after what time an observation counts half.
	observationHalfLife = 3 * time.Second
	// serviceTimeStep is by what fraction the estimated service time of a unit follows a response.
	serviceTimeStep = 0.02
	// serviceTimeDecreaseSteps is how many such steps it makes downwards. At three it rests where
	// one response in four is faster: the fastest responses are those that did not wait.
	serviceTimeDecreaseSteps = 3
	// priorWeight is how many observations of a node the mean of all nodes counts for.
	priorWeight = 4.0
	// oldestInFlightFraction is how much of the time that the oldest attempt has been in flight a
	// response is expected to take at least.
	oldestInFlightFraction = 0.5
	// minObservations keeps the division by their weight defined.
	minObservations = 1e-9
)

// estimates are what the responses of all nodes show.
type estimates struct {
	unitServiceTime    float64 // seconds a unit takes at a node without waiting, 0 before any response
	allNodes           observations
	servedUnitsByShard map[int]*decayingSum // units, with half-life servedHalfLife
}

func newEstimates() estimates { return estimates{servedUnitsByShard: map[int]*decayingSum{}} }

// observation is one response, or what a failure counts as.
type observation struct {
	latency         float64 // seconds
	waitingFraction float64 // of the latency objective, spent waiting at the node
}

// observations are sums of observations, weighted by age.
type observations struct{ weight, latency, waitingFraction decayingSum }

func (o *observations) add(now Time, weight, latency, waitingFraction float64) {
	o.weight.add(now, weight, observationHalfLife)
	o.latency.add(now, latency, observationHalfLife)
	o.waitingFraction.add(now, waitingFraction, observationHalfLife)
}

// at returns the sums at a time.
func (o *observations) at(now Time) (weight, latency, waitingFraction float64) {
	o.add(now, 0, 0, 0)
	return o.weight.sum, o.latency.sum, o.waitingFraction.sum
}

// observeResponse counts a response of a node.
func (s *Scheduler) observeResponse(n *node, o observation) {
	s.observeAtNode(n, o)
	s.estimates.allNodes.add(s.now, 1, o.latency, o.clampedWaitingFraction())
}

// observeAtNode counts an observation at its node alone. Time-outs and full queues count so: a few
// hung nodes would otherwise make requests wait at healthy ones.
func (s *Scheduler) observeAtNode(n *node, o observation) {
	n.observations.add(s.now, 1, o.latency, o.clampedWaitingFraction())
}

func (o observation) clampedWaitingFraction() float64 { return min(max(o.waitingFraction, 0), 1) }

// updateEstimate computes a node's latency and pressure from its own observations and, as far as
// these are few or old, from those of all nodes: one instance of many hears from a node only every
// few seconds.
func (s *Scheduler) updateEstimate(n *node) {
	weight, latency, waiting := n.observations.at(s.now)
	allWeight, allLatency, allWaiting := s.estimates.allNodes.at(s.now)
	prior := priorWeight / max(allWeight, priorWeight)
	weight = max(weight+prior*allWeight, minObservations)
	n.latency = (latency + prior*allLatency) / weight
	n.pressure = (waiting + prior*allWaiting) / weight
}

// updateUnitServiceTime moves the estimated service time of a unit by a response, in small steps to
// a low quantile of what responses show.
func (e *estimates) updateUnitServiceTime(latency, units float64) {
	perUnit := latency / max(units, 1)
	switch {
	case e.unitServiceTime == 0:
		e.unitServiceTime = perUnit
	case perUnit < e.unitServiceTime:
		e.unitServiceTime *= 1 - serviceTimeDecreaseSteps*serviceTimeStep
	default:
		e.unitServiceTime *= 1 + serviceTimeStep
	}
}

// waitingTime returns how many seconds of a response's latency were spent waiting: what it took
// beyond its service time, as estimated with this response. A load report, taken as that many mean requests to wait for, counts
// half. A node whose reports stand still or are wrong is thus still judged by its latency; an
// invalid report is ignored.
func (s *Scheduler) waitingTime(latency float64, r *request, e AttemptEnded) float64 {
	waited := latency - s.estimates.unitServiceTime*r.Units
	if !e.HasLoadReport || e.ReportedLoad < 0 || !(e.ReportedLoad < math.Inf(1)) {
		return waited
	}
	reported := e.ReportedLoad * s.estimates.unitServiceTime * s.settings.MeanUnits
	return (max(waited, 0) + reported) / 2
}

// expectedLatency returns how long a request of so many units should take at a node: its estimated
// latency, corrected for the size, and at least a fraction of the time that the oldest attempt has
// been in flight.
func (s *Scheduler) expectedLatency(n *node, units float64) time.Duration {
	seconds := max(n.latency+s.estimates.unitServiceTime*(units-s.settings.MeanUnits), 0)
	if len(n.inFlight) > 0 {
		seconds = max(seconds, (s.now-n.inFlight[0].inFlightSince(s.now)).Seconds()*oldestInFlightFraction)
	}
	return time.Duration(seconds * float64(time.Second))
}

package scheduler

import (
	"math"
	"time"
)

// Estimates of the state of nodes: the latency of a response, and the pressure, which is the time
// spent waiting at the node as a fraction of the latency objective. A unit (of work) is the measure
// of a request's cost, see Arrival.Units.

const (
	// observationHalfLife is the time after which an observation counts half.
	observationHalfLife = 3 * time.Second
	// serviceTimeStep is the fraction by which a response changes the estimated service time of a
	// unit.
	serviceTimeStep = 0.02
	// serviceTimeDecreaseSteps is the number of such steps that a decrease takes. With 3, the estimate
	// converges to the 25th percentile of the observed times. The percentile is low because the
	// fastest responses are those that did not wait at the node.
	serviceTimeDecreaseSteps = 3
	// priorWeight is the maximum weight of the mean of all nodes in a node's estimate, where one
	// recent observation of the node has weight 1.
	priorWeight = 4.0
	// oldestInFlightFraction limits the expected latency from below: to this fraction of the time that
	// the oldest attempt at the node has been in flight.
	oldestInFlightFraction = 0.5
	// minObservations prevents a division by zero where there are no observations.
	minObservations = 1e-9
)

// estimates holds what is estimated from the responses of all nodes.
type estimates struct {
	unitServiceTime    float64 // seconds that a node takes for a unit without waiting, 0 before the first response
	allNodes           observations
	servedUnitsByShard map[int]*decayingSum // units served on each shard, with half-life servedHalfLife
}

func newEstimates() estimates { return estimates{servedUnitsByShard: map[int]*decayingSum{}} }

// observation is the measurement of one response, or of a timeout or a full queue, which are counted for
// their node only (see observeAtNode).
type observation struct {
	latency         float64 // seconds
	waitingFraction float64 // fraction of the latency objective spent waiting at the node
}

// observations holds sums over observations, which decay with their age: their number (weight), their
// latencies and their waiting fractions.
type observations struct{ weight, latency, waitingFraction decayingSum }

func (o *observations) add(now Time, weight, latency, waitingFraction float64) {
	o.weight.add(now, weight, observationHalfLife)
	o.latency.add(now, latency, observationHalfLife)
	o.waitingFraction.add(now, waitingFraction, observationHalfLife)
}

// at returns the sums at the time now.
func (o *observations) at(now Time) (weight, latency, waitingFraction float64) {
	o.add(now, 0, 0, 0)
	return o.weight.sum, o.latency.sum, o.waitingFraction.sum
}

// observeResponse counts a response of a node for the node and for all nodes.
func (s *Scheduler) observeResponse(n *node, o observation) {
	s.observeAtNode(n, o)
	s.estimates.allNodes.add(s.now, 1, o.latency, o.clampedWaitingFraction())
}

// observeAtNode counts an observation for its node alone. Timeouts and full queues are counted this
// way. Otherwise a few hung nodes would raise the pressure of all nodes, and requests for healthy ones
// would be held back.
func (s *Scheduler) observeAtNode(n *node, o observation) {
	n.observations.add(s.now, 1, o.latency, o.clampedWaitingFraction())
}

func (o observation) clampedWaitingFraction() float64 { return min(max(o.waitingFraction, 0), 1) }

// updateEstimate computes a node's latency and pressure from its own observations and those of all
// nodes. The latter count more if the node has few or old observations: with many instances, each of
// them gets a response from a node only every few seconds.
func (s *Scheduler) updateEstimate(n *node) {
	weight, latency, waiting := n.observations.at(s.now)
	allWeight, allLatency, allWaiting := s.estimates.allNodes.at(s.now)
	priorScale := priorWeight / max(allWeight, priorWeight)
	weight = max(weight+priorScale*allWeight, minObservations)
	n.latency = (latency + priorScale*allLatency) / weight
	n.pressure = (waiting + priorScale*allWaiting) / weight
}

// updateUnitServiceTime adjusts the estimated service time of a unit to a response. In small steps it
// converges to a low quantile of the observed times.
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

// waitingTime returns the seconds of a response's latency that were spent waiting: the latency less
// the estimated service time, which this response has already updated. If the node reported its load,
// which is the number of requests in flight or queued there, the result is the average of this time
// and the time that the node needs to serve that number of requests of mean size.
// Because the report counts only half, a node whose reports are stale or wrong is still judged by its
// latency. An invalid report is ignored.
func (s *Scheduler) waitingTime(latency float64, r *request, e AttemptEnded) float64 {
	waitedSeconds := latency - s.estimates.unitServiceTime*r.Units
	if !e.HasLoadReport || e.ReportedLoad < 0 || !(e.ReportedLoad < math.Inf(1)) {
		return waitedSeconds
	}
	reportedSeconds := e.ReportedLoad * s.estimates.unitServiceTime * s.settings.MeanUnits
	return (max(waitedSeconds, 0) + reportedSeconds) / 2
}

// expectedLatency returns the expected latency of a request of the given units at a node: the node's
// estimated latency, corrected for the size of the request, but at least oldestInFlightFraction of the
// time that the oldest attempt has been in flight.
func (s *Scheduler) expectedLatency(n *node, units float64) time.Duration {
	seconds := max(n.latency+s.estimates.unitServiceTime*(units-s.settings.MeanUnits), 0)
	if len(n.inFlight) > 0 {
		seconds = max(seconds, (s.now-n.inFlight[0].stallAdjustedSentAt(s.now)).Seconds()*oldestInFlightFraction)
	}
	return time.Duration(seconds * float64(time.Second))
}

package scheduler

import "math"

// Backpressure by priority. An instance does not see the requests of other instances that wait at a
// node, only the resulting latency of the node's responses, which it measures as pressure. While a
// node is under pressure, the instance holds back requests whose relative priority is below the
// pressure, even if the window has room. All instances do the same, so that the requests of the
// highest priority get the node.

const (
	// minPressure is the pressure up to which no request is held back, whatever its priority.
	minPressure = 0.02
	// pressureHalfLifeObjectives is the half-life with which a node's pressure decays after its last
	// response, as a multiple of the shortest latency objective of all classes. Without responses
	// nothing corrects the estimate, so it has to decay for requests to be sent to the node again.
	pressureHalfLifeObjectives = 1.5
	// pressureHalfLifeObjectivesLate is the same for requests that are expected to miss their latency
	// objective. It is longer because these requests have too little weight to be sent as soon.
	pressureHalfLifeObjectivesLate = 4.0
	// halfLifeFactorPerInstance makes the half-life longer if the volume's requests arrive through n
	// instances: the half-life is multiplied by halfLifeFactorPerInstance*(n-1), but at least by 1.
	// All instances together thus try the node about as often as a single one.
	halfLifeFactorPerInstance = 2.0
)

// backpressureBlocks reports whether requests are held back in favor of those of higher priority. They
// are not rejected: they stay in the queue until the pressure is lower or they expire. Requests of the
// highest priority that are expected in time and within their reserve are never held back.
func (s *Scheduler) backpressureBlocks(c candidate) bool {
	priority := s.relativePriority(c)
	return s.pressureFor(c) > max(priority, minPressure) && priority < 1
}

// relativePriority returns the value of a unit as a fraction of the highest value of any unit.
func (s *Scheduler) relativePriority(c candidate) float64 {
	priority := c.profile.priorityWeight() / s.maxPriorityWeight
	if c.missesObjective {
		priority *= c.profile.class.LateWeightFactor
	}
	if c.profile.beyondReserve {
		priority *= s.settings.ExcessWeight
	}
	return priority
}

// pressureFor returns the pressure of a node, decayed by the time since its last response. While the
// node is warming up, the used fraction of its slow-start bucket counts as pressure too, so that the
// rest is kept for requests of high priority.
func (s *Scheduler) pressureFor(c candidate) float64 {
	n := c.node
	halfLife := pressureHalfLifeObjectives
	if c.missesObjective {
		halfLife = pressureHalfLifeObjectivesLate
	}
	otherInstances := c.profile.instances - 1
	objectivesSinceResponse := float64(s.now-n.lastResponseAt) / float64(s.shortestObjective)
	halfLives := objectivesSinceResponse / halfLife / max(1, halfLifeFactorPerInstance*otherInstances)
	pressure := n.pressure * math.Exp2(-halfLives)
	if s.isWarmingUp(n) {
		pressure = max(pressure, s.slowStartUsed(n))
	}
	return pressure
}

package scheduler

import "math"

// Backpressure by priority. Requests of other instances wait at a node unseen; only the latency of
// its responses shows them, as pressure. While a node is under pressure, this instance holds back
// requests whose relative priority is below the pressure, and leaves a free place in its window
// unused if need be. Each instance does, so those of the highest priority get the node.

const (
	// minPressure is the pressure up to which nothing is held back, whatever its priority.
	minPressure = 0.02
	// pressureHalfLifeObjectives is after what time without a response a node's pressure counts half, in
	// shortest latency objectives of all classes. Without responses nothing corrects the estimate,
	// so it has to fade for requests to be tried again.
	pressureHalfLifeObjectives = 1.5
	// pressureHalfLifeObjectivesLate is the same for requests that miss their latency objective, which earn
	// too little to be tried as soon.
	pressureHalfLifeObjectivesLate = 4.0
	// halfLifeFactorPerInstance multiplies the half-life for each further instance that the volume's
	// requests arrive through, so that all of them together try the node about as often as one.
	halfLifeFactorPerInstance = 2.0
)

// backpressureBlocks reports whether requests are held back for those of higher priority. That rejects
// nothing: they stay in the queue until the pressure is lower or they expire. Requests of the
// highest priority that are in time and within their reserve are never held back.
func (s *Scheduler) backpressureBlocks(c candidate) bool {
	priority := s.relativePriority(c)
	return s.pressureFor(c) > max(priority, minPressure) && priority < 1
}

// relativePriority is what a unit earns, as a fraction of the most that any unit earns.
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

// pressureFor is the pressure of a node, faded by the time since its last response. What a node can
// bear while it is warming up is kept for high priorities in the same way: the used part of its
// slow start counts as pressure.
func (s *Scheduler) pressureFor(c candidate) float64 {
	n := c.node
	halfLife := pressureHalfLifeObjectives
	if c.missesObjective {
		halfLife = pressureHalfLifeObjectivesLate
	}
	otherInstances := c.profile.instances - 1
	silence := float64(s.now-n.lastResponseAt) / float64(s.shortestObjective)
	halfLives := silence / halfLife / max(1, halfLifeFactorPerInstance*otherInstances)
	pressure := n.pressure * math.Exp2(-halfLives)
	if s.isWarmingUp(n) {
		pressure = max(pressure, s.slowStartUsed(n))
	}
	return pressure
}

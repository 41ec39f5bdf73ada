package scheduler

import "math"

// Load shedding by priority. Requests of other instances wait at a node unseen; only the latency of
// its responses shows them, as pressure. While a node is under pressure, this instance holds back
// requests whose relative priority is below the pressure, and leaves a free place in its window
// unused if need be. Each instance does, so those of the highest priority get the node.

const (
	// minPressure is the pressure up to which nothing is held back, whatever its priority.
	minPressure = 0.02
	// pressureHalfLife is after what time without a response a node's pressure counts half, in
	// shortest latency objectives of all classes. Without responses nothing corrects the estimate,
	// so it has to fade for requests to be tried again.
	pressureHalfLife = 1.5
	// pressureHalfLifeLate is the same for requests that miss their latency objective, which earn
	// too little to be tried as soon.
	pressureHalfLifeLate = 4.0
	// halfLifePerOtherInstance lengthens the half-life for each further instance that the volume's
	// requests arrive through, so that all of them together try the node about as often as one.
	halfLifePerOtherInstance = 2.0
)

// shedsForPriority reports whether requests are held back for those of higher priority. Requests of
// the highest priority never are.
func (s *Scheduler) shedsForPriority(c candidate) bool {
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
	halfLife := pressureHalfLife
	if c.missesObjective {
		halfLife = pressureHalfLifeLate
	}
	otherInstances := c.profile.instances - 1
	silence := float64(s.now-n.lastResponseAt) / float64(s.shortestObjective)
	halfLives := silence / halfLife / max(1, halfLifePerOtherInstance*otherInstances)
	pressure := n.pressure * math.Exp2(-halfLives)
	if s.isWarmingUp(n) {
		pressure = max(pressure, s.slowStartUsed(n))
	}
	return pressure
}

package scheduler

import (
	"cmp"
	"math"
	"time"
)

// Slow start of nodes that have just started: a token bucket for each. Its rate is this head's
// even part of what is always borne or, where that is more, a part in proportion to what it was
// served by a node of the shard before, which over all heads adds up to what such a node really
// bore: its capacity is not told, and is no less than that.

const (
	// slowStartRateFraction is the part of the budget that the bucket fills at; it holds the rest.
	slowStartRateFraction = 0.67
	// servedHalfLife is after what time the units served on a shard count half.
	servedHalfLife = 30 * time.Second
	// minOverloadWindow and minBucketCapacity keep divisions defined.
	minOverloadWindow = 1e-3
	minBucketCapacity = 1e-9
)

func (s *Scheduler) isWarmingUp(n *node) bool {
	return n.Started > 0 && s.settings.SlowStart.WarmupDuration > 0 && s.now < n.Started+s.settings.SlowStart.WarmupDuration
}

// beginSlowStart sets a node's bucket for the time that it is cold. At many heads the rate is
// less than one request in a window: it accrues, and each head starts at a level by chance, so
// that their turns are spread. After the head's own start a window passes first, as its life
// before may have spent it.
func (s *Scheduler) beginSlowStart(n *node) {
	if !s.isWarmingUp(n) {
		return
	}
	settings := &s.settings
	window := max(settings.SlowStart.OverloadWindow.Seconds(), minOverloadWindow)
	units := cmp.Or(settings.SlowStart.MinUnits, settings.MeanUnits)
	evenPart := slowStartRateFraction * units / float64(settings.Instances) / window
	servedPart := settings.SlowStart.OverloadFactor * settings.SlowStart.InitialFraction * s.recordServed(n.Shard, n.Started, 0) / s.nodesOfShard(n)
	rate := max(evenPart, servedPart)
	n.slowStart = tokenBucket{rate: rate, capacity: rate * window * (1 - slowStartRateFraction) / slowStartRateFraction}
	n.slowStart.at = max(s.now, s.startedAt+settings.SlowStart.OverloadWindow)
	n.slowStart.level = n.slowStart.capacity - s.random.Float64()*settings.MeanUnits
}

// nodesOfShard is how many nodes a shard's requests were shared among before one of them
// started. Guards against a cold node that is held to bear what several bore together.
func (s *Scheduler) nodesOfShard(started *node) (nodes float64) {
	for _, n := range s.members.byShard[started.Shard] {
		if n.State != Removed {
			nodes++
		}
	}
	return max(nodes, 1)
}

// recordServed counts units served on a shard and returns the mean rate up to a time.
func (s *Scheduler) recordServed(shard int, until Time, units float64) float64 {
	served := s.estimates.servedByShard[shard]
	if served == nil {
		served = &decayingSum{}
		s.estimates.servedByShard[shard] = served
	}
	halfLives := float64(until-s.startedAt) / float64(servedHalfLife)
	sum := served.add(until, units, servedHalfLife)
	if halfLives <= 0 {
		return 0
	}
	return sum * math.Ln2 / servedHalfLife.Seconds() / (1 - math.Exp2(-halfLives))
}

// fillSlowStart fills a cold node's bucket, which grows as its capacity must, and returns it
// as it is by now.
func (s *Scheduler) fillSlowStart(n *node) tokenBucket {
	grown := 1.0
	if from := s.settings.SlowStart.InitialFraction; from > 0 && from < 1 {
		age := float64(s.now-n.Started-s.settings.SlowStart.OverloadWindow) / float64(s.settings.SlowStart.WarmupDuration)
		grown += max(0, age) * (1 - from) / from
	}
	bucket := n.slowStart
	bucket.rate, bucket.capacity = bucket.rate*grown, bucket.capacity*grown
	if s.now > bucket.at {
		bucket.fill(s.now)
		n.slowStart.level, n.slowStart.at = bucket.level, bucket.at
	}
	return bucket
}

// slowStartAllows tells whether a node may be sent so many units as far as it is cold.
func (s *Scheduler) slowStartAllows(n *node, units float64) bool {
	if !s.isWarmingUp(n) {
		return true
	}
	bucket := s.fillSlowStart(n)
	return s.now >= bucket.at && bucket.level >= min(units, bucket.capacity)
}

// slowStartUsed is the part of a cold node's bucket that is used.
func (s *Scheduler) slowStartUsed(n *node) float64 {
	bucket := s.fillSlowStart(n)
	return 1 - bucket.level/max(bucket.capacity, minBucketCapacity)
}

// drawSlowStart books a send on a cold node's bucket.
func (s *Scheduler) drawSlowStart(n *node, units float64) {
	if s.isWarmingUp(n) {
		n.slowStart.level -= units
	}
}

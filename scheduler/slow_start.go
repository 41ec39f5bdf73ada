package scheduler

import (
	"cmp"
	"math"
	"time"
)

// Slow start of nodes that have just started: what an instance sends such a node is bounded by a
// token bucket. Its rate is the larger of two parts of what the node can bear:
//
//   - this instance's even part of Settings.SlowStart.MinUnits, and
//   - a part in proportion to what this instance was served on the shard before the node started.
//     Over all instances that adds up to the load that the shard's nodes really bore. The capacity
//     of a node is not known, but is no less than that.

const (
	// slowStartRateFraction divides an instance's even part for one overload window: this fraction
	// (two thirds) fills the bucket within a window, and the rest is the bucket's capacity. What is
	// sent in any window is then no more than the even part, but for the debt that one request may
	// take the bucket into. The part by what was served before is
	// not divided so: it is a lower bound of what the node can bear.
	slowStartRateFraction = 0.67
	// servedHalfLife is after what time the units served on a shard count half.
	servedHalfLife = 30 * time.Second
	// minOverloadWindow (seconds) and minBucketCapacity (units) keep divisions defined.
	minOverloadWindow = 1e-3
	minBucketCapacity = 1e-9
)

// isWarmingUp reports whether a node started so lately that it does not have its full capacity yet.
// Started is 0 for a node that has run for long.
func (s *Scheduler) isWarmingUp(n *node) bool {
	warmup := s.settings.SlowStart.WarmupDuration
	return n.Started > 0 && warmup > 0 && s.now < n.Started+warmup
}

// beginSlowStart sets the bucket of a node that is warming up.
//
// With many instances the rate is less than one request in a window, so a request may take the
// bucket into debt, and each instance starts from a random level, which spreads their sends. After
// this instance's own start one window passes first: an earlier process of it may have sent there.
func (s *Scheduler) beginSlowStart(n *node) {
	if !s.isWarmingUp(n) {
		return
	}
	settings := &s.settings.SlowStart
	window := max(settings.OverloadWindow.Seconds(), minOverloadWindow)
	minUnits := cmp.Or(settings.MinUnits, s.settings.MeanUnits)
	evenPart := slowStartRateFraction * minUnits / float64(s.settings.Instances) / window
	overloadFactorAtStart := settings.OverloadFactor * settings.InitialFraction
	servedPart := overloadFactorAtStart * s.servedRate(n.Shard, n.Started) / s.nodesOfShard(n)
	rate := max(evenPart, servedPart)
	n.slowStart = tokenBucket{rate: rate, capacity: rate * window * (1 - slowStartRateFraction) / slowStartRateFraction}
	n.slowStart.updatedAt = max(s.now, s.startedAt+settings.OverloadWindow)
	n.slowStart.level = n.slowStart.capacity - s.random.Float64()*s.settings.MeanUnits
}

// nodesOfShard returns how many nodes of the list hold a node's shard, at least 1. Where several
// share a shard, one that starts can bear its part only, not what all of them bore together.
func (s *Scheduler) nodesOfShard(started *node) (count float64) {
	for _, n := range s.members.byShard[started.Shard] {
		if n.State != Removed {
			count++
		}
	}
	return max(count, 1)
}

// recordServedUnits counts units that this instance was served on a shard.
func (s *Scheduler) recordServedUnits(shard int, units float64) {
	s.servedUnits(shard).add(s.now, units, servedHalfLife)
}

// servedRate returns the units a second that this instance was served on a shard, as a mean over
// about the last half-life before a time, or since this instance's start if that is shorter.
func (s *Scheduler) servedRate(shard int, until Time) float64 {
	sum := s.servedUnits(shard).at(until, servedHalfLife)
	halfLives := float64(until-s.startedAt) / float64(servedHalfLife)
	if halfLives <= 0 {
		return 0
	}
	return sum * math.Ln2 / servedHalfLife.Seconds() / (1 - math.Exp2(-halfLives))
}

func (s *Scheduler) servedUnits(shard int) *decayingSum {
	served := s.estimates.servedUnitsByShard[shard]
	if served == nil {
		served = &decayingSum{}
		s.estimates.servedUnitsByShard[shard] = served
	}
	return served
}

// fillSlowStart fills the bucket of a node that is warming up and returns it with the rate and
// capacity that it has by now: these grow with the node's capacity. They are those of one overload
// window ago, as a window must not exceed what the node could bear when the window began.
func (s *Scheduler) fillSlowStart(n *node) tokenBucket {
	settings := &s.settings.SlowStart
	growth := 1.0
	if initial := settings.InitialFraction; initial > 0 && initial < 1 {
		warm := float64(s.now-n.Started-settings.OverloadWindow) / float64(settings.WarmupDuration)
		growth += max(0, warm) * (1 - initial) / initial
	}
	bucket := n.slowStart
	bucket.rate, bucket.capacity = bucket.rate*growth, bucket.capacity*growth
	if s.now > bucket.updatedAt {
		bucket.fill(s.now)
		n.slowStart.level, n.slowStart.updatedAt = bucket.level, bucket.updatedAt
	}
	return bucket
}

// slowStartAllows reports whether a node may be sent so many units, as far as it is warming up. A
// request larger than the bucket goes when the bucket is full.
func (s *Scheduler) slowStartAllows(n *node, units float64) bool {
	if !s.isWarmingUp(n) {
		return true
	}
	bucket := s.fillSlowStart(n)
	return s.now >= bucket.updatedAt && bucket.level >= min(units, bucket.capacity)
}

// slowStartUsed returns the fraction of the bucket of a node that is warming up that is used.
func (s *Scheduler) slowStartUsed(n *node) float64 {
	bucket := s.fillSlowStart(n)
	return 1 - bucket.level/max(bucket.capacity, minBucketCapacity)
}

// chargeSlowStart counts a send.
func (s *Scheduler) chargeSlowStart(n *node, units float64) {
	if s.isWarmingUp(n) {
		n.slowStart.level -= units
	}
}

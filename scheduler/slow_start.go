package scheduler

import (
	"cmp"
	"math"
	"time"
)

// Slow start: a token bucket bounds what an instance sends to a node that has just started. The rate
// of the bucket is the larger of two shares of the node's capacity:
//
//   - this instance's even share of Settings.SlowStart.MinUnits, and
//   - a share in proportion to the units that the node's shard served for this instance before the
//     node started. Over all instances these units add up to the load that the nodes of the shard
//     really had. The capacity of a node is not known, but is no less than that.

const (
	// slowStartRateFraction divides an instance's even share for one overload window. This fraction
	// (two thirds) is added to the bucket within a window, and the rest is the capacity of the bucket.
	// The units sent within any window thus do not exceed the even share, except for the debt into
	// which one request may take the bucket. The share in proportion to the units served before is not
	// divided in this way, because it is a lower bound of the capacity of the node.
	slowStartRateFraction = 0.67
	// servedHalfLife is the time after which the units served on a shard count half.
	servedHalfLife = 30 * time.Second
	// minOverloadWindow (in seconds) and minBucketCapacity (in units) prevent divisions by zero.
	minOverloadWindow = 1e-3
	minBucketCapacity = 1e-9
)

// isWarmingUp reports whether a node started so recently that it does not have its full capacity yet.
// Started is 0 for a node that started long ago.
func (s *Scheduler) isWarmingUp(n *node) bool {
	warmup := s.settings.SlowStart.WarmupDuration
	return n.Started > 0 && warmup > 0 && s.now < n.Started+warmup
}

// beginSlowStart sets up the bucket of a node if it is warming up.
//
// With many instances the rate is less than one request per overload window. A request may therefore
// take the bucket into debt, and each instance starts from a random level, which spreads their sends
// over time. For one window after this instance's own start nothing is sent to the node, because an
// earlier process of this instance may have sent to it.
func (s *Scheduler) beginSlowStart(n *node) {
	if !s.isWarmingUp(n) {
		return
	}
	settings := &s.settings.SlowStart
	window := max(settings.OverloadWindow.Seconds(), minOverloadWindow)
	minUnits := cmp.Or(settings.MinUnits, s.settings.MeanUnits)
	evenShareRate := slowStartRateFraction * minUnits / float64(s.settings.Instances) / window
	overloadFactorAtStart := settings.OverloadFactor * settings.InitialFraction
	servedShareRate := overloadFactorAtStart * s.servedRate(n.Shard, n.Started) / s.nodesOfShard(n)
	rate := max(evenShareRate, servedShareRate)
	n.slowStart = tokenBucket{rate: rate, capacity: rate * window * (1 - slowStartRateFraction) / slowStartRateFraction}
	n.slowStart.updatedAt = max(s.now, s.startedAt+settings.OverloadWindow)
	n.slowStart.level = n.slowStart.capacity - s.random.Float64()*s.settings.MeanUnits
}

// nodesOfShard returns the number of listed nodes that hold a node's shard, at least 1. If several
// nodes hold a shard, one that starts can serve only its part of the load that all of them had
// together.
func (s *Scheduler) nodesOfShard(started *node) (count float64) {
	for _, n := range s.members.byShard[started.Shard] {
		if n.State != Removed {
			count++
		}
	}
	return max(count, 1)
}

// recordServedUnits counts units that a shard served for this instance.
func (s *Scheduler) recordServedUnits(shard int, units float64) {
	s.servedUnits(shard).add(s.now, units, servedHalfLife)
}

// servedRate returns the units per second that a shard served for this instance. It is a mean over
// about the last half-life before the time until, or since this instance's start if that is shorter.
func (s *Scheduler) servedRate(shard int, until Time) float64 {
	sum := s.servedUnits(shard).at(until, servedHalfLife)
	halfLives := float64(until-s.startedAt) / float64(servedHalfLife)
	if halfLives <= 0 {
		return 0
	}
	return sum * math.Ln2 / servedHalfLife.Seconds() / (1 - math.Exp2(-halfLives))
}

// servedUnits returns the sum of the units that a shard served for this instance. It creates the sum
// if necessary.
func (s *Scheduler) servedUnits(shard int) *decayingSum {
	served := s.estimates.servedUnitsByShard[shard]
	if served == nil {
		served = &decayingSum{}
		s.estimates.servedUnitsByShard[shard] = served
	}
	return served
}

// fillSlowStart fills the bucket of a node that is warming up. It returns the bucket with its present
// rate and capacity, which grow with the capacity of the node. They are those of one overload window
// ago, because the units sent within a window must not exceed what the node could serve when the
// window began.
func (s *Scheduler) fillSlowStart(n *node) tokenBucket {
	settings := &s.settings.SlowStart
	growth := 1.0
	if initialFraction := settings.InitialFraction; initialFraction > 0 && initialFraction < 1 {
		warmFraction := float64(s.now-n.Started-settings.OverloadWindow) / float64(settings.WarmupDuration)
		growth += max(0, warmFraction) * (1 - initialFraction) / initialFraction
	}
	bucket := n.slowStart
	bucket.rate, bucket.capacity = bucket.rate*growth, bucket.capacity*growth
	if s.now > bucket.updatedAt {
		bucket.fill(s.now)
		n.slowStart.level, n.slowStart.updatedAt = bucket.level, bucket.updatedAt
	}
	return bucket
}

// slowStartAllows reports whether a node may be sent a request of the given units. It returns true for
// a node that is not warming up. A request larger than the capacity of the bucket is allowed when the
// bucket is full.
func (s *Scheduler) slowStartAllows(n *node, units float64) bool {
	if !s.isWarmingUp(n) {
		return true
	}
	bucket := s.fillSlowStart(n)
	return s.now >= bucket.updatedAt && bucket.level >= min(units, bucket.capacity)
}

// slowStartUsed returns the used fraction of the bucket of a node that is warming up. It is more than
// 1 while the bucket is in debt.
func (s *Scheduler) slowStartUsed(n *node) float64 {
	bucket := s.fillSlowStart(n)
	return 1 - bucket.level/max(bucket.capacity, minBucketCapacity)
}

// chargeSlowStart takes the units of a sent request from the bucket of a node that is warming up.
func (s *Scheduler) chargeSlowStart(n *node, units float64) {
	if s.isWarmingUp(n) {
		n.slowStart.level -= units
	}
}

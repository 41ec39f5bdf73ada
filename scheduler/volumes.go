package scheduler

import "time"

const (
	// volumeIdleTimeout is after what time without a request a volume or a stream is forgotten.
	volumeIdleTimeout = 10 * time.Second
	// reserveShareFactor is how many even shares of a volume's reserve one instance holds, all of
	// the reserve at most: a volume's requests seldom arrive evenly over its instances.
	reserveShareFactor = 2.0
	// instancesPerNodeFactor estimates how many instances send to one node, as a multiple of the
	// largest number of instances that any volume's requests arrive through.
	instancesPerNodeFactor = 2.0
	// minNormalizedWeight keeps the division by a volume's weight defined.
	minNormalizedWeight = 1e-6
)

// shares are what the shares of volumes and instances are computed from.
type shares struct {
	totalWeight float64 // of all plans
	// instancesPerNode is how many instances may be sending to one node: at least 1, at most
	// Settings.Instances, and never falling.
	instancesPerNode float64
}

func newShares(settings *Settings) shares {
	all := shares{instancesPerNode: 1}
	for _, plan := range settings.Plans {
		all.totalWeight += plan.Weight
	}
	return all
}

// volume is the state of one volume at this instance, a stream of the paper.
type volume struct {
	plan      *Plan
	weight    float64 // φ, normalized over the plans
	instances float64 // that its requests arrive through, 1 to Settings.Instances
	streams   map[*node]*stream
	// unitsRequested counts the units of its requests to all nodes.
	unitsRequested float64
	reserve        tokenBucket // in units, this instance's part
	limit          tokenBucket // in units, this instance's part; see limits.go
	lastUsedAt     Time
}

// upsertVolume returns the volume of an arriving request.
func (s *Scheduler) upsertVolume(a Arrival) *volume {
	v := s.volumes[a.Volume]
	if v == nil {
		v = s.newVolume(a.Plan)
		s.volumes[a.Volume] = v
	}
	all, own := float64(s.settings.Instances), float64(a.Instances)
	if own < 1 || own > all {
		own = all
	}
	v.instances = own
	s.shares.instancesPerNode = max(s.shares.instancesPerNode, min(all, instancesPerNodeFactor*own))
	s.setReserve(v)
	v.setLimit()
	v.lastUsedAt = s.now
	return v
}

func (s *Scheduler) newVolume(planIndex int) *volume {
	plans := s.settings.Plans
	plan := &plans[min(max(planIndex, 0), len(plans)-1)]
	v := &volume{plan: plan, weight: 1 / float64(len(plans)), streams: map[*node]*stream{}}
	if s.shares.totalWeight > 0 {
		v.weight = max(plan.Weight/s.shares.totalWeight, minNormalizedWeight)
	}
	v.reserve.updatedAt, v.limit.updatedAt = s.startedAt, s.startedAt
	return v
}

// setReserve sets the bucket of this instance's part of the reserve: that part of one second's
// reserve and of the largest request, but one largest request at least. It starts full.
func (s *Scheduler) setReserve(v *volume) {
	largest := s.settings.MaxUnits
	if part := min(1, reserveShareFactor/v.instances); v.plan.Reserve > 0 {
		v.reserve.rate = part * v.plan.Reserve
		v.reserve.capacity = max(part*(v.plan.Reserve+largest), largest)
	}
	if v.lastUsedAt == 0 {
		v.reserve.level = v.reserve.capacity
	}
}

// sweepVolumes forgets idle volumes and streams. A volume whose limit's bucket is not full is
// kept: created anew, its bucket could hold more than it does now.
func (s *Scheduler) sweepVolumes() {
	for name, v := range s.volumes {
		s.sweepStreams(v)
		v.limit.fill(s.now)
		if s.now-v.lastUsedAt > volumeIdleTimeout && len(v.streams) == 0 && v.limit.level >= v.limit.capacity {
			delete(s.volumes, name)
		}
	}
}

func (s *Scheduler) sweepStreams(v *volume) {
	for n, at := range v.streams {
		if s.now-at.lastUsedAt > volumeIdleTimeout {
			delete(v.streams, n)
		}
	}
}

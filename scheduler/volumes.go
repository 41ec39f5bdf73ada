package scheduler

import (
	"container/list"
	"time"
)

const (
	// volumeIdleTimeout is the time without a request after which a volume or a stream is deleted.
	volumeIdleTimeout = 10 * time.Second
	// reserveShareFactor is the fraction of a volume's reserve that one instance holds, as a multiple
	// of an even share. It is more than 1 because a volume's requests seldom arrive evenly over its
	// instances. An instance holds at most the whole reserve.
	reserveShareFactor = 2.0
	// instancesPerNodeFactor estimates the number of instances that send to one node, as a multiple of
	// the largest number of instances that any volume's requests arrive through.
	instancesPerNodeFactor = 2.0
	// minNormalizedWeight prevents a division by zero where a plan has weight 0.
	minNormalizedWeight = 1e-6
)

// shares holds the values from which the shares of volumes and instances are computed.
type shares struct {
	totalWeight float64 // sum of the weights of all plans
	// instancesPerNode is an estimate of the number of instances that send to one node: at least 1, at
	// most Settings.Instances. It never decreases.
	instancesPerNode float64
}

func newShares(settings *Settings) shares {
	result := shares{instancesPerNode: 1}
	for _, plan := range settings.Plans {
		result.totalWeight += plan.Weight
	}
	return result
}

// volume is the state of a volume at this instance. The paper calls it a stream.
type volume struct {
	plan      *Plan
	weight    float64 // φ: the weight of the plan as a fraction of the weights of all plans
	instances float64 // number of instances that its requests arrive through, 1 to Settings.Instances
	streams   map[*node]*stream
	// unitsRequested is the sum of the units of its requests to all nodes.
	unitsRequested float64
	reserve        tokenBucket // this instance's share of the reserve, in units
	limit          tokenBucket // this instance's share of the limit, in units; see limits.go
	lastUsedAt     Time
	requests       int // number of requests that are not completed
	name           string
	element        *list.Element // element of volumeTable.byUse
}

// upsertVolume returns the volume of an arriving request. It creates the volume if necessary, and
// updates its shares to the number of instances that the request names.
func (s *Scheduler) upsertVolume(a Arrival) *volume {
	v := s.findOrAddVolume(a)
	allInstances, volumeInstances := float64(s.settings.Instances), float64(a.Instances)
	if volumeInstances < 1 || volumeInstances > allInstances {
		volumeInstances = allInstances
	}
	v.instances = volumeInstances
	s.shares.instancesPerNode = max(s.shares.instancesPerNode, min(allInstances, instancesPerNodeFactor*volumeInstances))
	s.setReserve(v)
	v.setLimit()
	v.lastUsedAt = s.now
	if v.element != nil {
		s.volumes.byUse.MoveToBack(v.element)
	}
	return v
}

func (s *Scheduler) newVolume(planIndex int) *volume {
	v := &volume{streams: map[*node]*stream{}}
	s.setPlan(v, planIndex)
	v.reserve.updatedAt, v.limit.updatedAt = s.startedAt, s.startedAt
	return v
}

// planAt returns the plan with an index. An index out of range stands for the nearest one.
func (s *Scheduler) planAt(index int) *Plan {
	plans := s.settings.Plans
	return &plans[min(max(index, 0), len(plans)-1)]
}

// setPlan sets the plan of a volume and the weight that follows from it.
func (s *Scheduler) setPlan(v *volume, planIndex int) {
	v.plan = s.planAt(planIndex)
	v.weight = 1 / float64(len(s.settings.Plans))
	if s.shares.totalWeight > 0 {
		v.weight = max(v.plan.Weight/s.shares.totalWeight, minNormalizedWeight)
	}
}

// handlePlanAssigned changes the plan of a volume that has requests. What its buckets hold stays, up to
// their new capacity, so that a change of plan gives no units anew. Requests that are queued keep the
// priority of the former plan.
func (s *Scheduler) handlePlanAssigned(e PlanAssigned) {
	v := s.volumes.byName[e.Volume]
	if v == nil || v.plan == s.planAt(e.Plan) {
		return
	}
	v.limit.fill(s.now)
	s.setPlan(v, e.Plan)
	v.reserve.rate, v.reserve.capacity = 0, 0 // in case that the new plan has no reserve
	s.setReserve(v)
	v.setLimit()
}

// setReserve sets the rate and capacity of this instance's share of the reserve. The capacity is that
// share of one second's reserve and one largest request together, but at least one largest request.
// The bucket starts full.
func (s *Scheduler) setReserve(v *volume) {
	largestRequest := s.settings.MaxUnits
	if share := min(1, reserveShareFactor/v.instances); v.plan.Reserve > 0 {
		v.reserve.rate = share * v.plan.Reserve
		v.reserve.capacity = max(share*(v.plan.Reserve+largestRequest), largestRequest)
	}
	if v.lastUsedAt == 0 {
		v.reserve.level = v.reserve.capacity
	}
}

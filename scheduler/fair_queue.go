package scheduler

// Start-time fair queuing, as in Wang and Merchant, "Proportional-Share Scheduling for
// Distributed Storage Systems", section 3 (HYBRID-DSFQ). A stream of the paper is a volume, a
// brick a node, the cost of a request its units. Each head has a queue and a virtual time of
// its own for each node.

const (
	// minShareFraction is φmin of the paper (3.4), as a part of φ.
	minShareFraction = 0.5
	// minNormalizedWeight keeps the division by φ defined.
	minNormalizedWeight = 1e-6
	// reserveShareFactor is how many even parts of a volume's reserve a host holds, all of it
	// at most.
	reserveShareFactor = 2.0
	// instancesPerNodeFactor is how many heads may stand before a node, as a multiple of the most
	// hosts of a volume.
	instancesPerNodeFactor = 2.0
)

// shares are what the volumes' shares are normalized by.
type shares struct {
	totalWeight float64 // of all plans
	// instancesPerNode is how many heads may stand before one node.
	instancesPerNode float64
}

func newShares(settings *Settings) shares {
	all := shares{instancesPerNode: 1}
	for _, plan := range settings.Plans {
		all.totalWeight += plan.Weight
	}
	return all
}

// volume is a stream.
type volume struct {
	plan           *Plan
	weight         float64 // φ, normalized over the plans
	instances      float64 // through which its requests may come
	streams        map[*node]*stream
	unitsRequested float64 // units asked of all nodes
	reserve        tokenBucket
	limit          tokenBucket
	lastUsedAt     Time
}

// stream is a volume's state at one node.
type stream struct {
	finishTag          float64 // F of its last request there
	unitsRequestedThen float64 // the volume's total when it last came to this node
	lastUsedAt         Time
}

// volumeOf returns the state of a request's volume.
func (s *Scheduler) volumeOf(a Arrival) *volume {
	v := s.volumes[a.Volume]
	if v == nil {
		v = s.newVolume(a.Plan)
		s.volumes[a.Volume] = v
	}
	heads, hosts := float64(s.settings.Instances), float64(a.Instances)
	if hosts < 1 || hosts > heads {
		hosts = heads
	}
	v.instances = hosts
	s.shares.instancesPerNode = max(s.shares.instancesPerNode, min(heads, instancesPerNodeFactor*hosts))
	s.setReserve(v)
	v.setLimit()
	v.lastUsedAt = s.now
	return v
}

func (s *Scheduler) newVolume(planNumber int) *volume {
	plans := s.settings.Plans
	plan := &plans[min(max(planNumber, 0), len(plans)-1)]
	v := &volume{plan: plan, weight: 1 / float64(len(plans)), streams: map[*node]*stream{}}
	if s.shares.totalWeight > 0 {
		v.weight = max(plan.Weight/s.shares.totalWeight, minNormalizedWeight)
	}
	v.reserve.at, v.limit.at = s.startedAt, s.startedAt
	return v
}

// setReserve sizes the bucket of this host's part of a volume's reserve.
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

// tag gives a request its start tag at a node, by formulas 5 and 6 of the paper:
//
//	S = max(v, F' + delay/φ)
//	F = S + cost/φ
//
// Departure: units within the volume's reserve leave at v with no delay and are not booked on
// F, as in mClock.
func (s *Scheduler) tag(r *request, n *node) {
	v := r.volume
	at := v.streams[n]
	if at == nil {
		at = &stream{unitsRequestedThen: v.unitsRequested}
		v.streams[n] = at
	}
	delay := v.delay(at, r.Units)
	v.unitsRequested += r.Units
	at.unitsRequestedThen, at.lastUsedAt = v.unitsRequested, s.now
	if v.reserve.take(s.now, r.Units) {
		r.startTag, r.beyondReserve = n.virtualTime, false
		return
	}
	r.beyondReserve = true
	r.startTag = max(n.virtualTime, at.finishTag+delay/v.weight)
	at.finishTag = r.startTag + r.Units/v.weight
}

// delay is what the volume was served elsewhere since its last request to this node (formula
// 7), but no more than keeps φmin of the node its own (formulas 11 and 12).
func (v *volume) delay(at *stream, cost float64) float64 {
	if v.weight >= 1 {
		return 0
	}
	elsewhere := v.unitsRequested - at.unitsRequestedThen
	most := (1/minShareFraction - 1) / (1 - v.weight) * cost
	return min(elsewhere, most)
}

// advanceVirtualTime sets v to the start tag of the request last sent (3.2).
func (n *node) advanceVirtualTime(sent *request) {
	n.virtualTime = max(n.virtualTime, sent.startTag)
}

package scheduler

// Start-time fair queuing across nodes: HYBRID-DSFQ of Wang and Merchant, "Proportional-Share
// Scheduling for Distributed Storage Systems", section 3. Streams of the paper are volumes here,
// bricks are nodes, and the cost of a request is its units. Each instance has a queue and a virtual
// time of its own for each node.

// minShareFraction is φmin of the paper (section 3.4) as a fraction of φ: the share of a node that a
// volume keeps however much other nodes serve it.
const minShareFraction = 0.5

// stream is the state of a volume at one node.
type stream struct {
	finishTag float64 // F of the volume's last request at the node that was beyond its reserve
	// volumeUnitsAtLastRequest is the volume's unitsRequested just after its last request to the node.
	volumeUnitsAtLastRequest float64
	lastUsedAt               Time
}

// tag assigns a request its start tag at a node, by formulas 5 and 6 of the paper:
//
//	S = max(v, F' + delay/φ)
//	F = S + cost/φ
//
// In addition to the paper, units within the volume's reserve get S = v and do not count in F. As in
// the mClock scheduler, reserves are thus served first, and the rest is shared by weight.
func (s *Scheduler) tag(r *request, n *node) {
	v := r.volume
	nodeStream := v.streams[n]
	if nodeStream == nil {
		nodeStream = &stream{volumeUnitsAtLastRequest: v.unitsRequested}
		v.streams[n] = nodeStream
	}
	delay := v.delay(nodeStream, r.Units)
	v.unitsRequested += r.Units
	nodeStream.volumeUnitsAtLastRequest, nodeStream.lastUsedAt = v.unitsRequested, s.now
	if v.reserve.take(s.now, r.Units) {
		r.startTag, r.beyondReserve = n.virtualTime, false
		return
	}
	r.beyondReserve = true
	r.startTag = max(n.virtualTime, nodeStream.finishTag+delay/v.weight)
	nodeStream.finishTag = r.startTag + r.Units/v.weight
}

// delay returns the units that the volume requested of other nodes since its last request to this node
// (formula 7 of the paper). It is bounded so that the volume keeps φmin of this node (formulas 11 and
// 12).
func (v *volume) delay(nodeStream *stream, cost float64) float64 {
	if v.weight >= 1 {
		return 0
	}
	unitsElsewhere := v.unitsRequested - nodeStream.volumeUnitsAtLastRequest
	maxDelay := (1/minShareFraction - 1) / (1 - v.weight) * cost
	return min(unitsElsewhere, maxDelay)
}

// advanceVirtualTime raises v to the start tag of a request that is sent (section 3.2).
func (n *node) advanceVirtualTime(sent *request) {
	n.virtualTime = max(n.virtualTime, sent.startTag)
}

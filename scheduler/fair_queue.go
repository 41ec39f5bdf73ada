package scheduler

// Start-time fair queuing across nodes: HYBRID-DSFQ of Wang and Merchant, "Proportional-Share
// Scheduling for Distributed Storage Systems", section 3. A stream of the paper is a volume, a
// brick a node, and the cost of a request its units. Each instance has a queue and a virtual time
// of its own for each node.

// minShareFraction is φmin of the paper (section 3.4), as a fraction of φ: the share of a node that
// a volume keeps however much it is served elsewhere.
const minShareFraction = 0.5

// stream is the state of a volume at one node.
type stream struct {
	finishTag float64 // F of the volume's last request there that was beyond its reserve
	// volumeUnitsAtLastRequest is the volume's unitsRequested after its last request there.
	volumeUnitsAtLastRequest float64
	lastUsedAt               Time
}

// tag gives a request its start tag at a node, by formulas 5 and 6 of the paper:
//
//	S = max(v, F' + delay/φ)
//	F = S + cost/φ
//
// In addition to the paper, units within the volume's reserve get S = v and do not count in F: as
// in mClock, reserves are served first and weights share the rest.
func (s *Scheduler) tag(r *request, n *node) {
	v := r.volume
	at := v.streams[n]
	if at == nil {
		at = &stream{volumeUnitsAtLastRequest: v.unitsRequested}
		v.streams[n] = at
	}
	delay := v.delay(at, r.Units)
	v.unitsRequested += r.Units
	at.volumeUnitsAtLastRequest, at.lastUsedAt = v.unitsRequested, s.now
	if v.reserve.take(s.now, r.Units) {
		r.startTag, r.beyondReserve = n.virtualTime, false
		return
	}
	r.beyondReserve = true
	r.startTag = max(n.virtualTime, at.finishTag+delay/v.weight)
	at.finishTag = r.startTag + r.Units/v.weight
}

// delay returns what the volume requested of other nodes since its last request to this one
// (formula 7 of the paper), bounded so that it keeps φmin of this node (formulas 11 and 12).
func (v *volume) delay(at *stream, cost float64) float64 {
	if v.weight >= 1 {
		return 0
	}
	elsewhere := v.unitsRequested - at.volumeUnitsAtLastRequest
	longest := (1/minShareFraction - 1) / (1 - v.weight) * cost
	return min(elsewhere, longest)
}

// advanceVirtualTime sets v to the start tag of the request last sent (section 3.2).
func (n *node) advanceVirtualTime(sent *request) {
	n.virtualTime = max(n.virtualTime, sent.startTag)
}

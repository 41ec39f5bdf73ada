package admission

import (
	"math"
	"net/netip"
	"slices"
	"time"
)

// learnedClients keeps a score of the addresses whose requests were served lately. An address
// gets at most one point per second, if a request was served. Becoming known thus takes time,
// however many requests an address sends. Points decay by half within each half-life. An address
// becomes known at the threshold, and stays known until its points are below half of the threshold.
//
// The number of addresses is bounded. When the bound is reached, a new address replaces one of
// the first evictionSample addresses in evictionOrder: of those that are not known, the one with
// the fewest points.
type learnedClients struct {
	capacity      int     // maximum number of addresses, 0 turns learning off
	threshold     float64 // points needed to become known, 0 turns learning off
	halfLife      time.Duration
	byAddress     map[netip.Prefix]*score
	evictionOrder []netip.Prefix // keys of byAddress; the first ones are considered next
}

// score holds the points of one address.
type score struct {
	points    float64 // as of updatedAt
	updatedAt Time
	lastPoint Time // when the last point was added
	known     bool // as of updatedAt
}

// evictionSample is the number of addresses that one eviction considers.
const evictionSample = 8

func newLearnedClients(c KnownClients) *learnedClients {
	return &learnedClients{
		capacity:  c.MaxLearned,
		threshold: float64(c.LearnSeconds),
		halfLife:  c.HalfLife,
		byAddress: map[netip.Prefix]*score{},
	}
}

// decay updates the points and known of a score to the current time.
func (l *learnedClients) decay(now Time, s *score) {
	s.points *= math.Exp2(-float64(now-s.updatedAt) / float64(l.halfLife))
	s.updatedAt = now
	s.known = s.points >= l.threshold || (s.known && s.points >= l.threshold/2)
}

// isKnown reports whether an address is known now.
func (l *learnedClients) isKnown(now Time, address netip.Prefix) bool {
	s := l.byAddress[address]
	if s == nil {
		return false
	}
	l.decay(now, s)
	return s.known
}

// recordServed records that a request of an address was served. A new address is ignored if
// the table is full and nothing can be evicted.
func (l *learnedClients) recordServed(now Time, address netip.Prefix) {
	if l.capacity == 0 || l.threshold == 0 {
		return
	}
	s := l.byAddress[address]
	if s == nil {
		if len(l.byAddress) >= l.capacity && !l.evict(now) {
			return
		}
		s = &score{updatedAt: now, lastPoint: now - time.Second}
		l.byAddress[address] = s
		l.evictionOrder = append(l.evictionOrder, address)
	}
	if now < s.lastPoint+time.Second {
		return
	}
	l.decay(now, s)
	s.points++
	s.lastPoint = now
	l.decay(now, s) // updates known
}

// evict removes the address with the fewest points that is not known, out of a sample from
// the front of evictionOrder. It reports whether there was one. The other addresses of the sample
// move to the back, so that the next eviction considers different ones.
func (l *learnedClients) evict(now Time) bool {
	sample := min(evictionSample, len(l.evictionOrder))
	victim := -1
	for i, address := range l.evictionOrder[:sample] {
		s := l.byAddress[address]
		l.decay(now, s)
		if !s.known && (victim < 0 || s.points < l.byAddress[l.evictionOrder[victim]].points) {
			victim = i
		}
	}
	if victim >= 0 {
		delete(l.byAddress, l.evictionOrder[victim])
		l.evictionOrder = slices.Delete(l.evictionOrder, victim, victim+1)
		sample--
	}
	l.evictionOrder = append(slices.Clone(l.evictionOrder[sample:]), l.evictionOrder[:sample]...)
	return victim >= 0
}

package admission

import (
	"math"
	"net/netip"
	"slices"
	"time"
)

// learnedClients holds addresses that behaved well lately. An address gets a point for
// each second in which a request of it was served; points decay by half within the
// half-life. So to become known takes time, not many requests. Half of the points keep an
// address known.
//
// The table is bounded. For a new address one of the oldest is evicted, that with the
// fewest points, but never one that is known.
type learnedClients struct {
	capacity  int
	threshold float64 // points to become known, 0: learning is off
	halfLife  time.Duration
	byAddress map[netip.Prefix]*score
	order     []netip.Prefix // in which eviction looks at them
}

// score is the merit of one address.
type score struct {
	points    float64 // at the time updatedAt
	updatedAt Time
	lastPoint Time
	known     bool
}

// evictionSample is how many addresses one eviction looks at.
const evictionSample = 8

func newLearnedClients(c KnownClients) *learnedClients {
	return &learnedClients{
		capacity:  c.MaxLearned,
		threshold: float64(c.LearnSeconds),
		halfLife:  c.HalfLife,
		byAddress: map[netip.Prefix]*score{},
	}
}

// decay brings a score up to date.
func (l *learnedClients) decay(now Time, s *score) {
	s.points *= math.Exp2(-float64(now-s.updatedAt) / float64(l.halfLife))
	s.updatedAt = now
	s.known = s.points >= l.threshold || (s.known && s.points >= l.threshold/2)
}

func (l *learnedClients) isKnown(now Time, address netip.Prefix) bool {
	s := l.byAddress[address]
	if s == nil {
		return false
	}
	l.decay(now, s)
	return s.known
}

// recordServed notes that a request of an address was served.
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
		l.order = append(l.order, address)
	}
	if now < s.lastPoint+time.Second {
		return
	}
	l.decay(now, s)
	s.points++
	s.lastPoint = now
	l.decay(now, s) // it may be known now
}

// evict drops one of the oldest addresses that is not known, and returns whether there
// was one. Those it looked at and kept go to the end, so that the next eviction looks at
// others.
func (l *learnedClients) evict(now Time) bool {
	sample := min(evictionSample, len(l.order))
	victim := -1
	for i, address := range l.order[:sample] {
		s := l.byAddress[address]
		l.decay(now, s)
		if !s.known && (victim < 0 || s.points < l.byAddress[l.order[victim]].points) {
			victim = i
		}
	}
	if victim >= 0 {
		delete(l.byAddress, l.order[victim])
		l.order = slices.Delete(l.order, victim, victim+1)
		sample--
	}
	l.order = append(slices.Clone(l.order[sample:]), l.order[:sample]...)
	return victim >= 0
}

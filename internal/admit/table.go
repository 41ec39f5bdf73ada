package admit

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"
)

// ways is how many places an address may stand in.
const ways = 8

// entry is what is held of an address or a prefix.
type entry struct {
	key     netip.Prefix
	conns   int
	limiter *rate.Limiter
	shared  bool // of all that found no place
	used    bool
}

// table holds a fixed number of entries in sets of eight. A newcomer takes the
// place of the entry of its set with the most of its rate left and no
// connection; an entry whose rate is used up, or that holds connections, stays.
// Where all eight stay, newcomers share one entry and its caps: a flood from very
// many addresses is then held as if it came from one, and a heavy hitter is never
// forgotten for it. The seed keeps anybody from choosing who shares a set.
type table struct {
	sets  [][ways]entry
	seed  uint64
	rate  rate.Limit
	burst int
	crowd entry
	used  int
}

func limits(perSecond float64, burst int) (rate.Limit, int) {
	if perSecond <= 0 {
		return rate.Inf, 0
	}
	return rate.Limit(perSecond), max(burst, 1)
}

func newTable(entries int, seed uint64, perSecond float64, burst int) *table {
	t := &table{sets: make([][ways]entry, max(1, entries/ways)), seed: seed}
	t.rate, t.burst = limits(perSecond, burst)
	t.crowd = entry{shared: true, limiter: rate.NewLimiter(t.rate, t.burst)}
	return t
}

func (t *table) change(perSecond float64, burst int) {
	t.rate, t.burst = limits(perSecond, burst)
	set := func(e *entry) {
		if e.limiter != nil {
			e.limiter.SetLimit(t.rate)
			e.limiter.SetBurst(t.burst)
		}
	}
	set(&t.crowd)
	for i := range t.sets {
		for k := range t.sets[i] {
			set(&t.sets[i][k])
		}
	}
}

func (t *table) get(now Time, key netip.Prefix) *entry {
	b := key.Addr().As16()
	var d xxhash.Digest
	d.ResetWithSeed(t.seed)
	d.Write(b[:])
	set := &t.sets[d.Sum64()%uint64(len(t.sets))]
	var place *entry
	most := -1.0
	for i := range set {
		e := &set[i]
		switch {
		case e.used && e.key == key:
			return e
		case !e.used && most < math.Inf(1):
			place, most = e, math.Inf(1)
		case e.used && e.conns == 0 && t.rate == rate.Inf && most < 0:
			place, most = e, 0
		case e.used && e.conns == 0 && t.rate != rate.Inf:
			// The whole rate is left: nothing is lost with it. Part of it is left: it stays.
			if left := e.limiter.TokensAt(clock(now)); left >= float64(t.burst) && left > most {
				place, most = e, left
			}
		}
	}
	if place == nil {
		return &t.crowd
	}
	if !place.used {
		t.used++
	}
	*place = entry{key: key, used: true, limiter: place.limiter} // whose whole rate is left
	if place.limiter == nil {
		place.limiter = rate.NewLimiter(t.rate, t.burst)
	}
	return place
}

// learned holds addresses that behaved well lately: one point for each second
// in which a request of theirs was served, fading by half. It takes time to win,
// not many requests; half of the points keep it. The table is bounded: of some of
// the oldest the least gives way, and one that is known never does.
type learned struct {
	most  int
	need  float64
	half  time.Duration
	by    map[netip.Prefix]*merit
	order []netip.Prefix // for eviction
}

type merit struct {
	points float64
	at     Time
	last   Time // of the last point
	known  bool
}

func newLearned(most, need int, half time.Duration) *learned {
	return &learned{most: most, need: float64(need), half: half, by: map[netip.Prefix]*merit{}}
}

func (l *learned) fade(now Time, m *merit) {
	m.points *= math.Exp2(-float64(now-m.at) / float64(l.half))
	m.at = now
	m.known = m.points >= l.need || (m.known && m.points >= l.need/2)
}

func (l *learned) known(now Time, key netip.Prefix) bool {
	m := l.by[key]
	if m == nil {
		return false
	}
	l.fade(now, m)
	return m.known
}

func (l *learned) good(now Time, key netip.Prefix) {
	if l.most == 0 || l.need == 0 {
		return
	}
	m := l.by[key]
	if m == nil {
		if len(l.by) >= l.most && !l.evict(now) {
			return
		}
		m = &merit{at: now, last: now - time.Second}
		l.by[key] = m
		l.order = append(l.order, key)
	}
	if now >= m.last+time.Second {
		l.fade(now, m)
		m.points, m.last = m.points+1, now
		l.fade(now, m)
	}
}

// evict looks at eight of the oldest and drops the least that is not known.
func (l *learned) evict(now Time) bool {
	look := min(ways, len(l.order))
	least := -1
	for i, key := range l.order[:look] {
		m := l.by[key]
		if l.fade(now, m); !m.known && (least < 0 || m.points < l.by[l.order[least]].points) {
			least = i
		}
	}
	var gone netip.Prefix
	if least >= 0 {
		gone = l.order[least]
		l.order = slices.Delete(l.order, least, least+1)
		delete(l.by, gone)
		look--
	}
	// The rest go to the end, so that the next look sees others.
	l.order = append(slices.Clone(l.order[look:]), l.order[:look]...)
	return least >= 0
}

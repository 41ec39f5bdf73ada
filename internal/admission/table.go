package admission

import (
	"container/list"
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
	hoard   list.List // connections that were never served and may give way
	shared  bool      // of all that found no place
	set     *set      // where it stands, nil for the shared one
	at      int
}

// set is the places that an address may stand in. What a look at it needs stands
// together, so that a flood of addresses costs a few lines of memory for each.
type set struct {
	hash    [ways]uint64
	free    [ways]Time // from when on the entry may be taken over; never, while it has connections
	entries [ways]entry
}

const (
	unused  = Time(-1)
	notFree = Time(math.MaxInt64)
)

// table holds a fixed number of entries in sets of eight. A newcomer takes the
// place of the entry of its set whose rate was whole again first, and which has no
// connection; an entry whose rate is used up, or that holds connections, stays.
// Where all eight stay, newcomers share one entry and its caps: a flood from very
// many addresses is then held as if it came from one, and a heavy hitter is never
// forgotten for it. The seed keeps anybody from choosing who shares a set.
type table struct {
	sets  []set
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
	t := &table{sets: make([]set, max(1, entries/ways)), seed: seed}
	for i := range t.sets {
		for k := range ways {
			t.sets[i].free[k] = unused
		}
	}
	t.rate, t.burst = limits(perSecond, burst)
	t.crowd = entry{shared: true, limiter: rate.NewLimiter(t.rate, t.burst)}
	return t
}

// change puts another rate in force, of every entry.
func (t *table) change(now Time, perSecond float64, burst int) {
	t.rate, t.burst = limits(perSecond, burst)
	change := func(e *entry) {
		if e.limiter != nil {
			e.limiter.SetLimitAt(clock(now), t.rate)
			e.limiter.SetBurstAt(clock(now), t.burst)
			t.mark(now, e)
		}
	}
	change(&t.crowd)
	for i := range t.sets {
		for k := range t.sets[i].entries {
			change(&t.sets[i].entries[k])
		}
	}
}

// mark books when an entry may be taken over: once its whole rate is left, as
// nothing is lost with it then, and not while it has connections.
func (t *table) mark(now Time, e *entry) {
	if e.set == nil {
		return
	}
	free := now
	if e.conns > 0 {
		free = notFree
	} else if t.rate != rate.Inf {
		if missing := float64(t.burst) - e.limiter.TokensAt(clock(now)); missing > 0 {
			free += Time(missing/float64(t.rate)*float64(time.Second)) + 1
		}
	}
	e.set.free[e.at] = free
}

// join and part count an entry's connections; join takes one from its rate.
func (t *table) join(now Time, e *entry) {
	e.conns++
	if t.rate != rate.Inf {
		e.limiter.AllowN(clock(now), 1)
	}
	if e.set != nil {
		e.set.free[e.at] = notFree
	}
}

func (t *table) part(now Time, e *entry) {
	if e.conns--; e.conns == 0 {
		t.mark(now, e)
	}
}

func (t *table) get(now Time, key netip.Prefix) *entry {
	b := key.Addr().As16()
	var d xxhash.Digest
	d.ResetWithSeed(t.seed)
	d.Write(b[:])
	hash := d.Sum64()
	s := &t.sets[hash%uint64(len(t.sets))]
	place := -1
	for i, free := range s.free {
		if s.hash[i] == hash && free != unused && s.entries[i].key == key {
			return &s.entries[i]
		}
		if free <= now && (place < 0 || free < s.free[place]) {
			place = i
		}
	}
	if place < 0 {
		return &t.crowd
	}
	if s.free[place] == unused {
		t.used++
	}
	e := &s.entries[place]
	s.hash[place], s.free[place] = hash, now
	e.key, e.set, e.at = key, s, place // its whole rate is left, and it has no connection
	if e.limiter == nil {
		e.limiter = rate.NewLimiter(t.rate, t.burst)
	}
	return e
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

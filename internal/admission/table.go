package admission

import (
	"container/list"
	"math"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"
)

// setSize is how many slots an address may stand in.
const setSize = 8

// entry is an address or a prefix in a table.
type entry struct {
	key      netip.Prefix
	conns    int           // its open connections
	limiter  *rate.Limiter // of its new connections
	unserved list.List     // its connections that were never served and may be preempted, oldest first
	overflow bool          // it is the shared entry of all that found no slot

	set  *entrySet // where it stands, nil for the overflow entry
	slot int
}

// tokens is how many connections the entry's rate allows at once now.
func (e *entry) tokens(now Time) float64 { return e.limiter.TokensAt(limiterTime(now)) }

// entrySet is the slots that one address may stand in. What a lookup compares is kept
// together, so that a flood of addresses touches few cache lines for each.
type entrySet struct {
	hash [setSize]uint64
	// evictableAt is when another address may take the slot: never while the entry has
	// connections, and emptySlot for a slot that was not used yet.
	evictableAt [setSize]Time
	entries     [setSize]entry
}

const (
	emptySlot = Time(-1)
	never     = Time(math.MaxInt64)
)

// table is a set-associative table of a fixed number of entries. A new key takes, in its
// set, the slot of the entry without connections whose rate limiter was full first. An
// entry stays while it has connections, or has used up part of its rate.
//
// Where the whole set stays, further keys share the overflow entry and its limits. Guards
// against a flood from very many addresses: it is limited as if it came from one, and no
// address with heavy use is forgotten for it. The seed of the hash keeps clients from
// choosing who shares a set.
type table struct {
	sets     []entrySet
	seed     uint64
	rate     rate.Limit
	burst    int
	overflow entry
	used     int // slots
}

func newTable(entries int, seed uint64, limit RateLimit) *table {
	t := &table{sets: make([]entrySet, max(1, entries/setSize)), seed: seed}
	for i := range t.sets {
		for slot := range setSize {
			t.sets[i].evictableAt[slot] = emptySlot
		}
	}
	t.rate, t.burst = limiterParams(limit)
	t.overflow = entry{overflow: true, limiter: rate.NewLimiter(t.rate, t.burst)}
	return t
}

// limiterParams are the parameters of a limiter of connections, where 0 is no limit.
func limiterParams(limit RateLimit) (rate.Limit, int) {
	if limit.PerSecond <= 0 {
		return rate.Inf, 0
	}
	return rate.Limit(limit.PerSecond), max(limit.Burst, 1)
}

// setRate changes the rate of every entry.
func (t *table) setRate(now Time, limit RateLimit) {
	t.rate, t.burst = limiterParams(limit)
	t.updateLimiter(now, &t.overflow)
	for i := range t.sets {
		for slot := range t.sets[i].entries {
			t.updateLimiter(now, &t.sets[i].entries[slot])
		}
	}
}

func (t *table) updateLimiter(now Time, e *entry) {
	if e.limiter == nil { // its slot was not used yet
		return
	}
	e.limiter.SetLimitAt(limiterTime(now), t.rate)
	e.limiter.SetBurstAt(limiterTime(now), t.burst)
	t.updateEvictable(now, e)
}

// updateEvictable sets when the entry's slot may be taken: once its limiter is full, as
// nothing is forgotten with it then, and not while it has connections.
func (t *table) updateEvictable(now Time, e *entry) {
	if e.set == nil {
		return
	}
	at := now
	if e.conns > 0 {
		at = never
	} else if t.rate != rate.Inf {
		if missing := float64(t.burst) - e.tokens(now); missing > 0 {
			at += Time(missing/float64(t.rate)*float64(time.Second)) + 1
		}
	}
	e.set.evictableAt[e.slot] = at
}

// addConn counts a new connection of an entry and takes a token for it.
func (t *table) addConn(now Time, e *entry) {
	e.conns++
	if t.rate != rate.Inf {
		e.limiter.AllowN(limiterTime(now), 1)
	}
	if e.set != nil {
		e.set.evictableAt[e.slot] = never
	}
}

// removeConn counts a closed connection of an entry.
func (t *table) removeConn(now Time, e *entry) {
	e.conns--
	if e.conns == 0 {
		t.updateEvictable(now, e)
	}
}

// get returns the entry of a key: its own, which is made if there is a slot for it, or
// the overflow entry.
func (t *table) get(now Time, key netip.Prefix) *entry {
	hash := t.hash(key)
	s := &t.sets[hash%uint64(len(t.sets))]
	slot := -1 // the one that a new entry takes
	for i, evictableAt := range s.evictableAt {
		if s.hash[i] == hash && evictableAt != emptySlot && s.entries[i].key == key {
			return &s.entries[i]
		}
		if evictableAt <= now && (slot < 0 || evictableAt < s.evictableAt[slot]) {
			slot = i
		}
	}
	if slot < 0 {
		return &t.overflow
	}
	if s.evictableAt[slot] == emptySlot {
		t.used++
	}
	s.hash[slot], s.evictableAt[slot] = hash, now
	e := &s.entries[slot]
	e.key, e.set, e.slot = key, s, slot // the rest is as new: no connection, and a full limiter
	if e.limiter == nil {
		e.limiter = rate.NewLimiter(t.rate, t.burst)
	}
	return e
}

func (t *table) hash(key netip.Prefix) uint64 {
	address := key.Addr().As16()
	var d xxhash.Digest
	d.ResetWithSeed(t.seed)
	d.Write(address[:])
	return d.Sum64()
}

package admission

import (
	"container/list"
	"math"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"
)

// slotsPerSet is the number of slots in a set. A key may take any slot of its set.
const slotsPerSet = 8

// entry holds the open connections and the rate limit of an address or a prefix in a table.
type entry struct {
	key      netip.Prefix
	conns    int           // number of open connections
	limiter  *rate.Limiter // limits new connections
	unserved list.List     // preemptible connections without a served request, oldest state first
	overflow bool          // set for the entry that is shared by the keys without a slot

	set  *entrySet // set that holds the entry, nil for the overflow entry
	slot int       // index in the set
}

// tokens returns the number of connections that the rate limit allows at once now.
func (e *entry) tokens(now Time) float64 { return e.limiter.TokensAt(limiterTime(now)) }

// entrySet is one set of a table. The fields that a lookup compares are stored together, so
// that a lookup touches few cache lines even in a flood of addresses.
type entrySet struct {
	hash [slotsPerSet]uint64
	// evictableAt is the time from which another key may take the slot: never while the entry
	// has connections, and emptySlot for a slot that was never used.
	evictableAt [slotsPerSet]Time
	entries     [slotsPerSet]entry
}

// Special values of evictableAt.
const (
	emptySlot = Time(-1)
	never     = Time(math.MaxInt64)
)

// table is a set-associative table with a fixed number of entries. An entry cannot be evicted
// while it has connections or its rate limiter is not full. A new key takes an unused slot of
// its set, or replaces the evictable entry whose limiter was full first.
//
// If no entry of the set can be evicted, further keys share the overflow entry and its limits.
// A flood from many addresses is thus limited as if it came from one address, and does not evict
// addresses that have used up their rate. The hash is seeded, so that clients cannot choose
// addresses that share a set.
type table struct {
	sets      []entrySet
	seed      uint64
	rate      rate.Limit
	burst     int
	overflow  entry
	usedSlots int // number of slots that were ever used
}

func newTable(entries int, seed uint64, limit RateLimit) *table {
	t := &table{sets: make([]entrySet, max(1, entries/slotsPerSet)), seed: seed}
	for i := range t.sets {
		for slot := range slotsPerSet {
			t.sets[i].evictableAt[slot] = emptySlot
		}
	}
	t.rate, t.burst = limiterParams(limit)
	t.overflow = entry{overflow: true, limiter: rate.NewLimiter(t.rate, t.burst)}
	return t
}

// limiterParams returns the parameters of a limiter of new connections; a rate of 0 is no limit.
func limiterParams(limit RateLimit) (rate.Limit, int) {
	if limit.PerSecond <= 0 {
		return rate.Inf, 0
	}
	return rate.Limit(limit.PerSecond), max(limit.Burst, 1)
}

// setRate changes the rate limit of every entry.
func (t *table) setRate(now Time, limit RateLimit) {
	t.rate, t.burst = limiterParams(limit)
	t.updateLimiter(now, &t.overflow)
	for i := range t.sets {
		for slot := range t.sets[i].entries {
			t.updateLimiter(now, &t.sets[i].entries[slot])
		}
	}
}

// updateLimiter sets the limiter of an entry to the table's rate and burst.
func (t *table) updateLimiter(now Time, e *entry) {
	if e.limiter == nil { // the slot was never used
		return
	}
	e.limiter.SetLimitAt(limiterTime(now), t.rate)
	e.limiter.SetBurstAt(limiterTime(now), t.burst)
	t.updateEvictable(now, e)
}

// updateEvictable sets the time from which an entry may be evicted: never while it has
// connections, otherwise when its limiter is full, as eviction then loses no state.
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

// addConn counts a new connection of an entry and takes a token from its limiter.
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

// getOrCreate returns the entry of a key. If there is none, it creates one; if no slot of the
// set is free or evictable, it returns the overflow entry.
func (t *table) getOrCreate(now Time, key netip.Prefix) *entry {
	hash := t.hash(key)
	s := &t.sets[hash%uint64(len(t.sets))]
	slot := -1 // slot for a new entry, -1 for none
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
		t.usedSlots++
	}
	s.hash[slot], s.evictableAt[slot] = hash, now
	e := &s.entries[slot]
	e.key, e.set, e.slot = key, s, slot // an evicted entry has no connections, and its limiter is full
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

// Package admit decides about connections, not requests: which are accepted,
// which are refused with an answer or closed, and which idle one gives way. It is
// told of arrivals, requests and closings. It is pure: no I/O, no clock, chance
// from its seed alone, and every table has a bound.
//
// What holds at every step, whatever comes:
//   - connections in all, of a listener, an address and a wider prefix stay
//     under their caps;
//   - unknown clients' connections with a request under way leave the reserve
//     free, so that known clients get it back at once by closing idle ones;
//   - a connection with a request under way is never closed for room;
//   - an address that used its rate up is not forgotten for one that did not.
package admit

import (
	"container/list"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"golang.org/x/time/rate"
)

// Time is a clock reading.
type Time = time.Duration

// Config says what is allowed. A cap of 0 is none, but for Total.
type Config struct {
	Total    int // connections in all
	Listener int // of one listener
	Address  int // of one address
	Wide     int // of one wide prefix
	Reserve  int // of Total, for known clients

	AddressRate, WideRate   float64 // new connections a second, 0: any
	AddressBurst, WideBurst int

	V6Bits         int // of an IPv6 address that count as one address
	Wide4, Wide6   int // bits of the wide prefixes
	Known          []netip.Prefix
	Learn          int           // good seconds after which an address counts as known, 0: never
	Forget         time.Duration // what was learned counts half after this
	Entries        int           // of the table of addresses, and of that of prefixes
	Learned        int           // addresses that may be known by what was learned
	AnswerRate     float64       // refusals a second that are told, the rest is closed
	AnswerBurst    int
	KnownMultiple  int // known addresses may have so many times the caps of one address
	PressureIdle   int // connections left, under which idle unknown ones are not kept
	IdleUnderPress time.Duration
}

// Check says what does not add up.
func (c *Config) Check() error {
	var errs []error
	bad := func(format string, args ...any) { errs = append(errs, fmt.Errorf(format, args...)) }
	if c.Total < 1 {
		bad("the cap of all connections is %d, want at least 1", c.Total)
	}
	for name, n := range map[string]int{"listener": c.Listener, "address": c.Address, "wide": c.Wide} {
		if n < 0 || n > c.Total {
			bad("the cap %s is %d, want 1 to %d (all connections)", name, n, c.Total)
		}
	}
	if c.Wide > 0 && c.Address > c.Wide {
		bad("the cap of an address, %d, is over that of its prefix, %d", c.Address, c.Wide)
	}
	if c.Reserve < 0 || c.Reserve >= c.Total {
		bad("the reserve is %d of %d connections: nothing is left for others", c.Reserve, c.Total)
	}
	if c.V6Bits < 1 || c.V6Bits > 128 || c.Wide6 < 1 || c.Wide6 > c.V6Bits || c.Wide4 < 1 || c.Wide4 > 32 {
		bad("prefix lengths: want 1 <= wide6 <= v6 <= 128 and 1 <= wide4 <= 32")
	}
	if c.Entries < ways || c.Learned < 0 {
		bad("the table of addresses has %d entries, want at least %d", c.Entries, ways)
	}
	if c.Learn > 0 && (c.Learned < 1 || time.Duration(c.Learn)*time.Second > c.Forget) {
		bad("an address is known after %d good seconds, but they fade within %v, or none is kept", c.Learn, c.Forget)
	}
	for i, a := range c.Known {
		for _, b := range c.Known[:i] {
			if a.Overlaps(b) {
				bad("the known prefixes %v and %v overlap", b, a)
			}
		}
	}
	return errors.Join(errs...)
}

// Reason says why a connection or a request was not admitted.
type Reason uint8

// Reasons.
const (
	None Reason = iota
	ByTotal
	ByListener
	ByAddress
	ByWide
	ByAddressRate
	ByWideRate
	ByReserve // a request of an unknown client would take what is kept for known ones
	Reasons   // how many there are
)

func (r Reason) String() string {
	return [...]string{"", "total", "listener", "address", "prefix", "address rate", "prefix rate", "reserve"}[r]
}

// Verdict on an arrival.
type Verdict struct {
	Accept bool
	Tell   bool   // refuse with an answer, else close quietly
	Reason Reason // of a refusal
	Known  bool
	Close  uint64 // an idle connection that gives way, if Way
	Way    bool
}

// conn is what is held of a connection.
type conn struct {
	id       uint64
	listener int
	addr     *entry
	wide     *entry
	known    bool
	busy     bool // a request is under way
	served   bool // it had one
	since    Time // of its present state
	at       *list.Element
}

// Admission holds the connections of one head. It is not safe for concurrent use.
type Admission struct {
	c         Config
	now       Time
	conns     map[uint64]*conn
	listeners map[int]int
	addrs     *table
	knowns    *table // addresses of known clients apart, so that no flood crowds them out
	wides     *table
	learned   *learned
	answers   *rate.Limiter
	known     int // connections of known clients
	busy      int // of unknown clients with a request under way
	// Idle connections, those longest so first: unknown that never had a request
	// served, unknown that had, known.
	idle [3]list.List
}

// New returns an admission for a checked configuration.
func New(c Config, seed uint64) (*Admission, error) {
	if err := c.Check(); err != nil {
		return nil, err
	}
	a := &Admission{c: c, conns: map[uint64]*conn{}, listeners: map[int]int{}, learned: newLearned(c.Learned, c.Learn, c.Forget),
		answers: rate.NewLimiter(rate.Limit(c.AnswerRate), c.AnswerBurst)}
	a.addrs = newTable(c.Entries, seed, c.AddressRate, c.AddressBurst)
	a.knowns = newTable(c.Entries, seed+1, 0, 0)
	a.wides = newTable(c.Entries, ^seed, c.WideRate, c.WideBurst)
	return a, nil
}

// Change takes new caps; nothing that stands is closed.
func (a *Admission) Change(c Config) error {
	if err := c.Check(); err != nil {
		return err
	}
	if c.Entries != a.c.Entries || c.Learned != a.c.Learned {
		return errors.New("the tables' sizes change with a restart only")
	}
	a.c = c
	a.answers.SetLimitAt(clock(a.now), rate.Limit(c.AnswerRate))
	a.answers.SetBurstAt(clock(a.now), c.AnswerBurst)
	a.addrs.change(c.AddressRate, c.AddressBurst)
	a.wides.change(c.WideRate, c.WideBurst)
	return nil
}

func clock(now Time) time.Time { return time.Unix(0, int64(now)) }

// keys returns what an address counts as, and the prefix above it.
func (a *Admission) keys(addr netip.Addr) (one, wide netip.Prefix) {
	addr = addr.Unmap().WithZone("")
	bits, up := 32, a.c.Wide4
	if addr.Is6() {
		bits, up = a.c.V6Bits, a.c.Wide6
	}
	one, _ = addr.Prefix(bits)
	wide, _ = addr.Prefix(up)
	return one, wide
}

// Arrive decides about a new connection. An accepted one is held until Closed.
func (a *Admission) Arrive(now Time, id uint64, listener int, addr netip.Addr) Verdict {
	a.now = max(now, a.now)
	one, wide := a.keys(addr)
	known := a.learned.known(a.now, one)
	for _, p := range a.c.Known {
		known = known || p.Contains(addr.Unmap())
	}
	var ea, ew *entry
	if known {
		ea = a.knowns.get(a.now, one)
	} else {
		ea, ew = a.addrs.get(a.now, one), a.wides.get(a.now, wide)
	}
	v := Verdict{Known: known}
	v.Reason = a.refusal(ea, ew, listener, known)
	if v.Reason == ByTotal || v.Reason == ByAddress {
		// Room is made by an idle connection: for a known client by any unknown one;
		// within a full address by one of its own that never had a request served, so
		// that a hoard does not keep out a good client behind the same address.
		if gone := a.giveWay(v.Reason, ea, known); gone != nil {
			v.Way, v.Close = true, gone.id
			a.remove(gone)
			v.Reason = a.refusal(ea, ew, listener, known)
		}
	}
	if v.Reason != None {
		v.Tell = a.answers.AllowN(clock(a.now), 1)
		return v
	}
	v.Accept = true
	c := &conn{id: id, listener: listener, addr: ea, wide: ew, known: known, since: a.now}
	a.conns[id] = c
	a.listeners[listener]++
	ea.conns++
	if known {
		a.known++
	} else {
		ew.conns++
		ea.limiter.AllowN(clock(a.now), 1)
		ew.limiter.AllowN(clock(a.now), 1)
	}
	a.rest(c)
	return v
}

// refusal is the first cap that keeps a connection out.
func (a *Admission) refusal(ea, ew *entry, listener int, known bool) Reason {
	c := &a.c
	if known { // what a listed or learned client does is bounded by its address alone
		if most := c.Address * max(c.KnownMultiple, 1); c.Address > 0 && ea.conns >= most {
			return ByAddress
		}
	} else {
		at := clock(a.now)
		switch {
		case c.Address > 0 && ea.conns >= c.Address:
			return ByAddress
		case c.Wide > 0 && ew.conns >= c.Wide:
			return ByWide
		case c.AddressRate > 0 && ea.limiter.TokensAt(at) < 1:
			return ByAddressRate
		case c.WideRate > 0 && ew.limiter.TokensAt(at) < 1:
			return ByWideRate
		}
	}
	switch {
	case len(a.conns) >= c.Total:
		return ByTotal
	case c.Listener > 0 && a.listeners[listener] >= c.Listener:
		return ByListener
	}
	return None
}

// giveWay picks the idle connection that makes room, nil if none may.
func (a *Admission) giveWay(why Reason, ea *entry, known bool) *conn {
	if why == ByAddress {
		for e := a.idle[0].Front(); e != nil; e = e.Next() {
			if c := e.Value.(*conn); c.addr == ea {
				return c
			}
		}
		return nil
	}
	if !known {
		return nil
	}
	for i := range 2 {
		if e := a.idle[i].Front(); e != nil {
			return e.Value.(*conn)
		}
	}
	return nil
}

// rest puts a connection among the idle ones.
func (a *Admission) rest(c *conn) {
	c.busy, c.since = false, a.now
	c.at = a.idle[c.class()].PushBack(c)
}

func (c *conn) class() int {
	switch {
	case c.known:
		return 2
	case c.served:
		return 1
	}
	return 0
}

// Begin tells that a connection has a whole request header, and returns whether
// the request may be taken; one that may not is refused, its connection closed.
func (a *Admission) Begin(now Time, id uint64) (bool, Reason) {
	a.now = max(now, a.now)
	c := a.conns[id]
	if c == nil || c.busy {
		return c != nil, None
	}
	if !c.known && a.busy >= a.c.Total-a.c.Reserve {
		return false, ByReserve
	}
	a.idle[c.class()].Remove(c.at)
	c.at, c.busy = nil, true
	if !c.known {
		a.busy++
	}
	return true, None
}

// End tells that a request's answer went out. good: it was served, to a client
// that took it in time.
func (a *Admission) End(now Time, id uint64, good bool) {
	a.now = max(now, a.now)
	c := a.conns[id]
	if c == nil || !c.busy {
		return
	}
	if !c.known {
		a.busy--
	}
	c.served = c.served || good
	a.rest(c)
	if good && !c.addr.shared {
		a.learned.good(a.now, c.addr.key)
	}
}

// Closed tells that an accepted connection is gone.
func (a *Admission) Closed(now Time, id uint64) {
	a.now = max(now, a.now)
	if c := a.conns[id]; c != nil {
		a.remove(c)
	}
}

func (a *Admission) remove(c *conn) {
	delete(a.conns, c.id)
	if a.listeners[c.listener]--; a.listeners[c.listener] == 0 {
		delete(a.listeners, c.listener)
	}
	c.addr.conns--
	if c.known {
		a.known--
	} else {
		c.wide.conns--
		if c.busy {
			a.busy--
		}
	}
	if c.at != nil {
		a.idle[c.class()].Remove(c.at)
	}
}

// Pressed returns an idle unknown connection that is not worth its place while
// few are left: idle for longer than IdleUnderPress, those never served first.
// It is to be closed, and told of as Closed, before the next is asked for.
func (a *Admission) Pressed(now Time) (id uint64, ok bool) {
	a.now = max(now, a.now)
	if a.c.Total-len(a.conns) >= a.c.PressureIdle {
		return 0, false
	}
	for i := range 2 {
		if e := a.idle[i].Front(); e != nil {
			if c := e.Value.(*conn); a.now >= c.since+a.c.IdleUnderPress {
				return c.id, true
			}
		}
	}
	return 0, false
}

// Counts are what is held now.
type Counts struct {
	Conns, Known, BusyUnknown, Addresses, Prefixes, Learned int
}

// Counts returns what is held now.
func (a *Admission) Counts() Counts {
	return Counts{len(a.conns), a.known, a.busy, a.addrs.used + a.knowns.used, a.wides.used, len(a.learned.by)}
}

// Package admission decides about connections, not requests: which are accepted,
// which are refused with an answer or closed, and which idle one gives way. It is
// told of arrivals, requests and closings. It is pure: no I/O, no clock, chance
// from its seed alone, and every table has a bound.
//
// What holds at every step, whatever comes:
//   - connections in all, of a listener, an address and a wider prefix stay
//     under their caps;
//   - unknown clients' connections with a request under way leave the reserve
//     free, so that known clients get it back at once by closing idle ones;
//   - a connection with a request taken is never closed for room;
//   - no request is begun for which the buffers of all have no room;
//   - an address that used its rate up is not forgotten for one that did not.
package admission

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
	KnownMultiple  int   // known addresses may have so many times the caps of one address
	Buffers        int64 // bytes held for all client connections, 0: any
	BufferLeast    int   // bytes that a connection may hold whatever the others do
	PressureIdle   int   // connections left, under which idle unknown ones are not kept
	IdleUnderPress time.Duration
	Displace       bool // a newcomer takes the place of the unknown connection that is idle for the longest
}

// Check says what does not add up.
func (c *Config) Check() error {
	var errs []error
	bad := func(format string, args ...any) { errs = append(errs, fmt.Errorf(format, args...)) }
	if c.Total < 1 {
		bad("the cap of all connections is %d, want at least 1", c.Total)
	}
	for _, limit := range []struct {
		name string
		n    int
	}{{"listener", c.Listener}, {"address", c.Address}, {"wide", c.Wide}} {
		if limit.n < 0 || limit.n > c.Total {
			bad("the cap %s is %d, want 1 to %d (all connections)", limit.name, limit.n, c.Total)
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
	if c.Buffers > 0 && (c.BufferLeast < 1 || c.Buffers < int64(c.Total)*int64(c.BufferLeast)) {
		bad("%d bytes of buffers are less than %d for each of %d connections", c.Buffers, c.BufferLeast, c.Total)
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

// ReasonCount.
const (
	None Reason = iota
	ByTotal
	ByListener
	ByAddress
	ByWide
	ByAddressRate
	ByWideRate
	ByReserve   // a request of an unknown client would take what is kept for known ones
	ByBuffers   // what is held for all leaves no room for another request
	ReasonCount // how many there are
)

func (r Reason) String() string {
	return [...]string{"", "total", "listener", "address", "prefix", "address rate", "prefix rate", "reserve", "buffers"}[r]
}

// Decision on an arrival.
type Decision struct {
	Accept        bool
	SendRejection bool   // refuse with an answer, else close quietly
	Reason        Reason // of a refusal
	Known         bool
	PreemptID     uint64 // a connection that gives way, if Way: idle, or with a request that is not taken
	Preempt       bool
}

// conn is what is held of a connection.
type conn struct {
	id       uint64
	listener int
	addr     *entry
	wide     *entry
	known    bool
	state    state
	served   bool          // it had one
	since    Time          // of its present state
	at       *list.Element // among those that may give way
	hoarded  *list.Element // the same of its address, while it was never served
}

// state is what a connection is doing.
type state uint8

const (
	idle  state = iota
	slow        // a request has begun, and its body is still to come: nothing of it is taken
	taken       // a request is owed its answer
)

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
	busy      int // of unknown clients with a request begun or taken
	// Connections that may give way, those longest so first, by class.
	idle [classes]list.List
}

// Classes of connections that may give way, in the order in which they do.
const (
	neverServed = iota // idle, of unknown clients
	onceServed
	slowBody // of unknown clients, with a request not taken
	ofKnown  // idle; these give way to nobody
	classes
)

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
	a.addrs.change(a.now, c.AddressRate, c.AddressBurst)
	a.wides.change(a.now, c.WideRate, c.WideBurst)
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

// Admit decides about a new connection. An accepted one is held until Closed.
func (a *Admission) Admit(now Time, id uint64, listener int, addr netip.Addr) Decision {
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
	v := Decision{Known: known}
	v.Reason = a.refusal(ea, ew, listener, known)
	if v.Reason == ByTotal || v.Reason == ByAddress {
		// Room is made by an idle connection: for a known client by any unknown one;
		// within a full address by one of its own that never had a request served, so
		// that a hoard does not keep out a good client behind the same address.
		// Where newcomers displace, any may: silent connections then never keep one out.
		if gone := a.giveWay(v.Reason, ea, known || a.c.Displace); gone != nil {
			v.Preempt, v.PreemptID = true, gone.id
			a.remove(gone)
			v.Reason = a.refusal(ea, ew, listener, known)
		}
	}
	if v.Reason != None {
		v.SendRejection = a.answers.AllowN(clock(a.now), 1)
		return v
	}
	v.Accept = true
	c := &conn{id: id, listener: listener, addr: ea, wide: ew, known: known, since: a.now}
	a.conns[id] = c
	a.listeners[listener]++
	if known {
		a.known++
		a.knowns.join(a.now, ea)
	} else {
		a.addrs.join(a.now, ea)
		a.wides.join(a.now, ew)
	}
	a.enter(c, idle)
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

// giveWay picks the connection that makes room, nil if none may: within a full
// address one of its own that was never served, for a known client any unknown one
// that is idle, then one whose request has not come whole.
func (a *Admission) giveWay(why Reason, ea *entry, known bool) *conn {
	if why == ByAddress {
		if e := ea.hoard.Front(); e != nil {
			return e.Value.(*conn)
		}
		return nil
	}
	if !known {
		return nil
	}
	for i := range ofKnown {
		if e := a.idle[i].Front(); e != nil {
			c := e.Value.(*conn)
			if i == slowBody && a.c.Displace && a.now < c.since+a.c.IdleUnderPress {
				continue // it is given a while for its body
			}
			return c
		}
	}
	return nil
}

// enter puts a connection into a state, and among those that may give way in it.
func (a *Admission) enter(c *conn, s state) {
	a.leave(c)
	c.state, c.since = s, a.now
	if s != idle && !c.known {
		a.busy++
	}
	class := neverServed
	switch {
	case s == taken, s == slow && c.known:
		return
	case c.known:
		class = ofKnown
	case s == slow:
		class = slowBody
	case c.served:
		class = onceServed
	}
	c.at = a.idle[class].PushBack(c)
	if !c.served {
		c.hoarded = c.addr.hoard.PushBack(c)
	}
}

// leave takes a connection out of its state.
func (a *Admission) leave(c *conn) {
	if c.state != idle && !c.known {
		a.busy--
	}
	if c.at != nil {
		for i := range a.idle {
			a.idle[i].Remove(c.at) // of the one list that has it
		}
		c.at = nil
	}
	if c.hoarded != nil {
		c.addr.hoard.Remove(c.hoarded)
		c.hoarded = nil
	}
	c.state = idle
}

// BeginRequest tells that a connection has a whole request header, whether its body is
// whole with it, and how much is held for all, and returns whether the request may
// go on; one that may not is refused, its connection closed. Until its body is whole
// or it is Taken, nothing is owed for it.
func (a *Admission) BeginRequest(now Time, id uint64, held int64, whole bool) (bool, Reason) {
	a.now = max(now, a.now)
	c := a.conns[id]
	switch {
	case c == nil || c.state != idle:
		return c != nil, None
	case !c.known && a.busy >= a.c.Total-a.c.Reserve:
		return false, ByReserve
	case a.c.Buffers > 0 && held >= a.buffers(c.known):
		return false, ByBuffers
	}
	if whole {
		a.enter(c, taken)
	} else {
		a.enter(c, slow)
	}
	return true, None
}

// buffers is up to how many bytes held another request may begin: known clients
// have the reserve's part to themselves.
func (a *Admission) buffers(known bool) int64 {
	if known {
		return a.c.Buffers
	}
	return a.c.Buffers / int64(a.c.Total) * int64(a.c.Total-a.c.Reserve)
}

// BufferAllowance returns how much of its bound one connection may hold while so much is held
// for all. Past the bound of all, each has its least alone: what others hold drains
// meanwhile, and none stands still for good.
func (a *Admission) BufferAllowance(held int64, bound int) int {
	if a.c.Buffers > 0 && held >= a.c.Buffers {
		return min(bound, a.c.BufferLeast)
	}
	return bound
}

// RequestAccepted tells that a connection's request is owed its answer from now on.
func (a *Admission) RequestAccepted(now Time, id uint64) {
	a.now = max(now, a.now)
	if c := a.conns[id]; c != nil && c.state == slow {
		a.enter(c, taken)
	}
}

// EndRequest tells that a request's answer went out. good: it was served, to a client
// that took it in time.
func (a *Admission) EndRequest(now Time, id uint64, good bool) {
	a.now = max(now, a.now)
	c := a.conns[id]
	if c == nil || c.state == idle {
		return
	}
	c.served = c.served || good
	a.enter(c, idle)
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
	a.leave(c)
	if c.known {
		a.known--
		a.knowns.part(a.now, c.addr)
	} else {
		a.addrs.part(a.now, c.addr)
		a.wides.part(a.now, c.wide)
	}
}

// NextToPreempt returns an unknown connection that is not worth its place while few are
// left: idle, or with a request that has not come whole, for longer than
// IdleUnderPress; those never served first, the slow ones last.
// It is to be closed, and told of as Closed, before the next is asked for.
func (a *Admission) NextToPreempt(now Time) (id uint64, ok bool) {
	a.now = max(now, a.now)
	if a.c.Total-len(a.conns) >= a.c.PressureIdle {
		return 0, false
	}
	for i := range ofKnown {
		if i == slowBody && a.c.Displace {
			break // it gives way to a newcomer alone, where there is no more room
		}
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

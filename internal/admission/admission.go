// Package admission decides about connections, not about the scheduling of requests:
// which connections are accepted, which are rejected with a response or closed, and which
// idle one is preempted. Its caller reports new connections, requests and closings. It
// does no I/O and reads no clock, all randomness is from its seed, and every table has a
// bound.
//
// These hold at any time, whatever the clients do:
//   - the connections in all, of a listener, of an address and of a prefix are within
//     their caps;
//   - unknown clients' connections with a request under way leave the reserve free, so
//     that known clients can have it back at once by the preemption of idle ones;
//   - a connection with an accepted request is never preempted;
//   - no request begins for which the buffers of all connections have no room;
//   - an address that has used its rate up is not forgotten for one that has not.
package admission

import (
	"container/list"
	"errors"
	"net/netip"
	"time"

	"golang.org/x/time/rate"
)

// Time is a clock reading.
type Time = time.Duration

// ErrTableSizeChanged is returned by Reconfigure for a configuration that needs a restart.
var ErrTableSizeChanged = errors.New("the tables' sizes change with a restart only")

// Admission holds the client connections of one gateway. It is not safe for concurrent use.
type Admission struct {
	config          Config
	now             Time
	conns           map[uint64]*conn
	connsByListener map[int]int
	knownConns      int // connections of known clients
	unknownRequests int // connections of unknown clients that are receiving or busy

	addresses *table // of unknown clients
	prefixes  *table // of unknown clients
	// knownAddresses are apart, so that no flood of unknown addresses crowds them out.
	knownAddresses *table
	learned        *learnedClients
	rejections     *rate.Limiter
	// preemptible has a queue for each class, the connection that waits longest first.
	preemptible [classCount]list.List
}

// New returns an Admission. Its error is that of Config.Check.
func New(c Config, seed uint64) (*Admission, error) {
	if err := c.Check(); err != nil {
		return nil, err
	}
	return &Admission{
		config:          c,
		conns:           map[uint64]*conn{},
		connsByListener: map[int]int{},
		addresses:       newTable(c.TableEntries, seed, c.Rates.Address),
		prefixes:        newTable(c.TableEntries, ^seed, c.Rates.Prefix),
		knownAddresses:  newTable(c.TableEntries, seed+1, RateLimit{}),
		learned:         newLearnedClients(c.KnownClients),
		rejections:      rate.NewLimiter(rate.Limit(c.Rejections.PerSecond), c.Rejections.Burst),
	}, nil
}

// Reconfigure puts another configuration in force. It closes no connection, also where
// there are more than a new cap allows. The prefix lengths, the known prefixes, the caps
// and the rates are taken; LearnSeconds and HalfLife stay those of New. Its errors are those
// of Config.Check, and ErrTableSizeChanged.
func (a *Admission) Reconfigure(c Config) error {
	if err := c.Check(); err != nil {
		return err
	}
	if c.TableEntries != a.config.TableEntries || c.KnownClients.MaxLearned != a.config.KnownClients.MaxLearned {
		return ErrTableSizeChanged
	}
	a.config = c
	a.rejections.SetLimitAt(limiterTime(a.now), rate.Limit(c.Rejections.PerSecond))
	a.rejections.SetBurstAt(limiterTime(a.now), c.Rejections.Burst)
	a.addresses.setRate(a.now, c.Rates.Address)
	a.prefixes.setRate(a.now, c.Rates.Prefix)
	return nil
}

// limiterTime converts a clock reading to the form that the rate limiter takes.
func limiterTime(now Time) time.Time { return time.Unix(0, int64(now)) }

// advance sets the time, which never goes back.
func (a *Admission) advance(now Time) { a.now = max(now, a.now) }

// Admit decides about a new connection. The id of an accepted one is in use until Closed.
func (a *Admission) Admit(now Time, id uint64, listener int, addr netip.Addr) Decision {
	a.advance(now)
	origin := a.clientOf(addr)
	d := Decision{Known: origin.known}
	d.Reason = a.exceededLimit(origin, listener)
	if d.Reason == ConnLimit || d.Reason == AddressLimit {
		if victim := a.selectVictim(d.Reason, origin); victim != nil {
			d.Preempt, d.PreemptID = true, victim.id
			a.remove(victim)
			d.Reason = a.exceededLimit(origin, listener)
		}
	}
	if d.Reason != ReasonNone {
		d.SendRejection = a.rejections.AllowN(limiterTime(a.now), 1)
		return d
	}
	d.Accept = true
	a.add(id, listener, origin)
	return d
}

// exceededLimit returns the first limit that keeps a new connection out: those of its
// origin before those of all.
func (a *Admission) exceededLimit(origin client, listener int) Reason {
	var limit Reason
	if origin.known {
		limit = a.exceededKnownLimit(origin)
	} else {
		limit = a.exceededUnknownLimit(origin)
	}
	switch caps := &a.config.Caps; {
	case limit != ReasonNone:
		return limit
	case len(a.conns) >= a.config.MaxConns:
		return ConnLimit
	case caps.Listener > 0 && a.connsByListener[listener] >= caps.Listener:
		return ListenerLimit
	}
	return ReasonNone
}

// exceededKnownLimit applies the one limit of a known client, a multiple of the cap of an address.
func (a *Admission) exceededKnownLimit(origin client) Reason {
	limit := a.config.Caps.Address * max(a.config.KnownClients.CapMultiple, 1)
	if limit > 0 && origin.address.conns >= limit {
		return AddressLimit
	}
	return ReasonNone
}

func (a *Admission) exceededUnknownLimit(origin client) Reason {
	caps, rates := &a.config.Caps, &a.config.Rates
	switch {
	case caps.Address > 0 && origin.address.conns >= caps.Address:
		return AddressLimit
	case caps.Prefix > 0 && origin.prefix.conns >= caps.Prefix:
		return PrefixLimit
	case rates.Address.PerSecond > 0 && origin.address.tokens(a.now) < 1:
		return AddressRate
	case rates.Prefix.PerSecond > 0 && origin.prefix.tokens(a.now) < 1:
		return PrefixRate
	}
	return ReasonNone
}

// BeginRequest reports that a connection has a complete request header, and whether its
// body is complete with it. buffered is the size of the buffers of all connections, in
// bytes. It returns whether the request may go on; otherwise the request is rejected for
// the reason returned, and its connection closed. Until its body is complete, or
// RequestAccepted is called, the connection may still be preempted.
func (a *Admission) BeginRequest(now Time, id uint64, buffered int64, complete bool) (bool, Reason) {
	a.advance(now)
	c := a.conns[id]
	switch {
	case c == nil || c.state != connIdle:
		return c != nil, ReasonNone
	case !c.client.known && a.unknownRequests >= a.config.MaxConns-a.config.Reserve:
		return false, ReserveLimit
	case a.config.Buffers.TotalBytes > 0 && buffered >= a.maxBuffered(c.client.known):
		return false, BufferLimit
	}
	if complete {
		a.setState(c, connBusy)
	} else {
		a.setState(c, connReceiving)
	}
	return true, ReasonNone
}

// maxBuffered is the size of the buffers, in bytes, below which another request may
// begin. The reserve's part is for known clients only.
func (a *Admission) maxBuffered(known bool) int64 {
	total := a.config.Buffers.TotalBytes
	if known {
		return total
	}
	return total / int64(a.config.MaxConns) * int64(a.config.MaxConns-a.config.Reserve)
}

// BufferAllowance returns how many bytes of its own bound one connection may buffer,
// where buffered is the size of the buffers of all. Past the total each has its minimum
// only. Guards against a deadlock of connections that wait for each other's buffers.
func (a *Admission) BufferAllowance(buffered int64, bound int) int {
	b := &a.config.Buffers
	if b.TotalBytes > 0 && buffered >= b.TotalBytes {
		return min(bound, b.MinConnBytes)
	}
	return bound
}

// RequestAccepted reports that a connection's request is accepted: from now on its
// response is owed, and the connection is not preempted.
func (a *Admission) RequestAccepted(now Time, id uint64) {
	a.advance(now)
	if c := a.conns[id]; c != nil && c.state == connReceiving {
		a.setState(c, connBusy)
	}
}

// EndRequest reports that a request's response was written. served tells that the request
// succeeded and its client read the response in time.
func (a *Admission) EndRequest(now Time, id uint64, served bool) {
	a.advance(now)
	c := a.conns[id]
	if c == nil || c.state == connIdle {
		return
	}
	c.served = c.served || served
	a.setState(c, connIdle)
	if served && !c.client.address.overflow {
		a.learned.recordServed(a.now, c.client.address.key)
	}
}

// Closed reports that an accepted connection is closed.
func (a *Admission) Closed(now Time, id uint64) {
	a.advance(now)
	if c := a.conns[id]; c != nil {
		a.remove(c)
	}
}

// Counts are the sizes of what an Admission holds.
type Counts struct {
	Conns       int // connections
	Known       int // of them, of known clients
	BusyUnknown int // of them, of unknown clients with a request under way
	Addresses   int // entries of the tables of addresses
	Prefixes    int // entries of the table of prefixes
	Learned     int // addresses held for learning
}

// Counts returns the present sizes.
func (a *Admission) Counts() Counts {
	return Counts{
		Conns:       len(a.conns),
		Known:       a.knownConns,
		BusyUnknown: a.unknownRequests,
		Addresses:   a.addresses.used + a.knownAddresses.used,
		Prefixes:    a.prefixes.used,
		Learned:     len(a.learned.byAddress),
	}
}

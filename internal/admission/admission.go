// Package admission decides which client connections a gateway accepts, which it rejects
// (with a response or without one), and which it preempts to make room. It also decides
// whether a request may begin, but does not schedule requests. The caller reports new
// connections, requests and closed connections. The package does no I/O and reads no
// clock, all randomness comes from a seed, and every table is bounded.
//
// These invariants hold whatever the clients do:
//   - A connection is accepted only while the numbers of connections in total and of its
//     listener, address and prefix are below their caps. A known client has a higher cap
//     by address and none by prefix.
//   - At most MaxConns-Reserve connections of unknown clients have a request under way.
//     The others can be preempted, so that known clients get the reserve back at once.
//   - A connection with an accepted request is never preempted.
//   - No request begins while the buffers of all connections are at their bound.
//   - An address that has used up part of its rate limit is not evicted from its table.
package admission

import (
	"container/list"
	"errors"
	"net/netip"
	"time"

	"golang.org/x/time/rate"
)

// Time is a reading of the caller's monotonic clock.
type Time = time.Duration

// ErrTableSizeChanged is returned by Reconfigure for a configuration that changes the size of
// a table. Such a change requires a restart.
var ErrTableSizeChanged = errors.New("the tables' sizes change with a restart only")

// Admission tracks the client connections of one gateway and enforces the limits of its
// Config. It is not safe for concurrent use.
type Admission struct {
	config          Config
	now             Time
	conns           map[uint64]*conn // accepted connections by id
	connsByListener map[int]int      // number of connections
	knownConns      int              // number of connections of known clients
	unknownRequests int              // number of connections of unknown clients that are receiving or busy

	addresses *table // addresses of unknown clients
	prefixes  *table // prefixes of unknown clients
	// knownAddresses is a separate table, so that a flood of unknown addresses cannot fill it.
	knownAddresses *table
	learned        *learnedClients
	rejections     *rate.Limiter // limits the responses to rejected connections
	// preemptible holds a queue of connections for each preemption class. The connection that
	// has been in its state longest is at the front.
	preemptible [classCount]list.List
}

// New returns an Admission without connections. It fails with the error of Config.Check.
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

// Reconfigure replaces the configuration. LearnSeconds and HalfLife keep the values given to
// New. No connection is closed, even if a new cap is exceeded. Reconfigure fails, and changes
// nothing, with the error of Config.Check or with ErrTableSizeChanged.
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

// limiterTime converts a clock reading to the type that rate.Limiter takes.
func limiterTime(now Time) time.Time { return time.Unix(0, int64(now)) }

// advance sets the current time. An earlier time than the current one is ignored.
func (a *Admission) advance(now Time) { a.now = max(now, a.now) }

// Admit decides whether to accept a new connection. The caller chooses id, which must not be
// in use. The id of an accepted connection is in use until Closed, or until a later Decision
// preempts the connection.
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

// exceededLimit returns the first limit that rejects a new connection, or ReasonNone. The
// limits of its address and prefix are checked before MaxConns and the cap of the listener.
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

// exceededKnownLimit checks the only limit on the origin of a known client: a multiple of
// the cap of an address.
func (a *Admission) exceededKnownLimit(origin client) Reason {
	limit := a.config.Caps.Address * max(a.config.KnownClients.CapMultiple, 1)
	if limit > 0 && origin.address.conns >= limit {
		return AddressLimit
	}
	return ReasonNone
}

// exceededUnknownLimit checks the caps and the rates of an unknown client's address and prefix.
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

// NewRequest describes a request that is about to begin.
type NewRequest struct {
	Complete bool  // the body was received completely
	Long     bool  // the body is or may be longer than Buffers.MinConnBytes
	Buffered int64 // size of the buffers of all connections in bytes
}

// BeginRequest is called when the request header on a connection is complete. It reports whether the
// request may proceed. If not, the caller rejects the request for the returned reason and closes the
// connection. While the body is incomplete, the connection of an unknown client may be preempted until
// RequestAccepted is called.
func (a *Admission) BeginRequest(now Time, id uint64, r NewRequest) (bool, Reason) {
	a.advance(now)
	c := a.conns[id]
	switch {
	case c == nil || c.state != connIdle:
		return c != nil, ReasonNone
	case !c.client.known && a.unknownRequests >= a.config.MaxConns-a.config.Reserve:
		return false, ReserveLimit
	case a.config.Buffers.TotalBytes > 0 && r.Buffered >= a.maxBuffered(c.client.known, r.Long):
		return false, BufferLimit
	}
	if r.Complete {
		a.setState(c, connBusy)
	} else {
		a.setState(c, connReceiving)
	}
	return true, ReasonNone
}

// RequestAccepted reports that the request on a connection was accepted for processing.
// From now on the connection is not preempted, as that would lose the response.
func (a *Admission) RequestAccepted(now Time, id uint64) {
	a.advance(now)
	if c := a.conns[id]; c != nil && c.state == connReceiving {
		a.setState(c, connBusy)
	}
}

// EndRequest reports that the response to the request on a connection was written. served
// reports whether the request succeeded and the client read the response in time.
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

// Counts are the numbers of connections and table entries of an Admission.
type Counts struct {
	Conns           int // open connections
	Known           int // connections of known clients
	UnknownRequests int // connections of unknown clients with a request under way
	Addresses       int // entries in the tables of unknown and of known addresses
	Prefixes        int // entries in the table of prefixes
	Learned         int // addresses whose points are tracked, known or not
}

// Counts returns the current numbers.
func (a *Admission) Counts() Counts {
	return Counts{
		Conns:           len(a.conns),
		Known:           a.knownConns,
		UnknownRequests: a.unknownRequests,
		Addresses:       a.addresses.usedSlots + a.knownAddresses.usedSlots,
		Prefixes:        a.prefixes.usedSlots,
		Learned:         len(a.learned.byAddress),
	}
}

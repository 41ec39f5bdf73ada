package admission

import (
	"container/list"
	"net/netip"
)

// connState is what a connection is doing.
type connState uint8

const (
	connIdle      connState = iota // it has no request
	connReceiving                  // its request's body is incomplete, and nothing of it was accepted
	connBusy                       // it has an accepted request, whose response is owed
)

// String names the state.
func (s connState) String() string { return [...]string{"idle", "receiving", "busy"}[s] }

// conn is one accepted connection. Of unknown clients, those that are not busy stand
// in the preemption queue of their class.
type conn struct {
	id       uint64
	listener int
	client   client
	since    Time // since when it is in its state
	state    connState
	served   bool // it had a request that was served

	queue    *list.List    // the preemption queue it stands in, nil for none
	inQueue  *list.Element // of queue
	unserved *list.Element // in the address's unserved connections, nil if it is not there
}

// client is the origin of a connection.
type client struct {
	known   bool
	address *entry
	prefix  *entry // nil for a known client
}

// clientOf finds out whose address it is.
func (a *Admission) clientOf(addr netip.Addr) client {
	addressKey, prefixKey := a.config.PrefixBits.keys(addr)
	if a.isKnown(addr, addressKey) {
		return client{known: true, address: a.knownAddresses.get(a.now, addressKey)}
	}
	return client{address: a.addresses.get(a.now, addressKey), prefix: a.prefixes.get(a.now, prefixKey)}
}

func (a *Admission) isKnown(addr netip.Addr, key netip.Prefix) bool {
	known := a.learned.isKnown(a.now, key)
	for _, p := range a.config.KnownClients.Prefixes {
		known = known || p.Contains(addr.Unmap())
	}
	return known
}

// keys returns what an address counts as, and the prefix above it. An IPv4 address
// mapped into IPv6 counts as itself.
func (b PrefixBits) keys(addr netip.Addr) (address, prefix netip.Prefix) {
	addr = addr.Unmap().WithZone("")
	addressBits, prefixBits := addr.BitLen(), b.IPv4
	if addr.Is6() {
		addressBits, prefixBits = b.AddressIPv6, b.IPv6
	}
	address, _ = addr.Prefix(addressBits)
	prefix, _ = addr.Prefix(prefixBits)
	return address, prefix
}

// add holds an accepted connection.
func (a *Admission) add(id uint64, listener int, cl client) {
	c := &conn{id: id, listener: listener, client: cl, since: a.now}
	a.conns[id] = c
	a.connsByListener[listener]++
	if cl.known {
		a.knownConns++
		a.knownAddresses.addConn(a.now, cl.address)
	} else {
		a.addresses.addConn(a.now, cl.address)
		a.prefixes.addConn(a.now, cl.prefix)
	}
	a.setState(c, connIdle)
}

// remove gives up a connection.
func (a *Admission) remove(c *conn) {
	delete(a.conns, c.id)
	a.connsByListener[c.listener]--
	if a.connsByListener[c.listener] == 0 {
		delete(a.connsByListener, c.listener)
	}
	a.leaveState(c)
	if c.client.known {
		a.knownConns--
		a.knownAddresses.removeConn(a.now, c.client.address)
	} else {
		a.addresses.removeConn(a.now, c.client.address)
		a.prefixes.removeConn(a.now, c.client.prefix)
	}
}

// setState puts a connection into a state, and into the queue that goes with it.
func (a *Admission) setState(c *conn, s connState) {
	a.leaveState(c)
	c.state, c.since = s, a.now
	if s != connIdle && !c.client.known {
		a.unknownRequests++
	}
	class, preemptible := classOf(c)
	if !preemptible {
		return
	}
	c.queue = &a.preemptible[class]
	c.inQueue = c.queue.PushBack(c)
	if !c.served {
		c.unserved = c.client.address.unserved.PushBack(c)
	}
}

// leaveState takes a connection out of its state and its queue.
func (a *Admission) leaveState(c *conn) {
	if c.state != connIdle && !c.client.known {
		a.unknownRequests--
	}
	if c.inQueue != nil {
		c.queue.Remove(c.inQueue)
		c.queue, c.inQueue = nil, nil
	}
	if c.unserved != nil {
		c.client.address.unserved.Remove(c.unserved)
		c.unserved = nil
	}
	c.state = connIdle
}

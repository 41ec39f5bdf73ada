package admission

import (
	"container/list"
	"net/netip"
)

// connState is the state of a connection with regard to its request.
type connState uint8

const (
	connIdle      connState = iota // no request under way
	connReceiving                  // the request body is incomplete and the request is not accepted yet
	connBusy                       // the request is complete or accepted, and its response is not written yet
)

// String returns the name of the state.
func (s connState) String() string { return [...]string{"idle", "receiving", "busy"}[s] }

// conn is an accepted connection. A connection that may be preempted is in the queue of its
// preemption class.
type conn struct {
	id         uint64
	listener   int
	client     client
	stateSince Time // time at which the connection entered its state
	state      connState
	served     bool // set once a request of the connection was served

	queue        *list.List    // the connection's preemption queue, nil if it is in none
	queueElement *list.Element // the connection's element of queue
	unserved     *list.Element // the connection's element of client.address.unserved, nil if it is not in there
}

// client is the origin of a connection: the table entries that its limits apply to.
type client struct {
	known   bool
	address *entry
	prefix  *entry // nil for a known client
}

// clientOf returns the client that an address belongs to.
func (a *Admission) clientOf(addr netip.Addr) client {
	addressKey, prefixKey := a.config.PrefixBits.keys(addr)
	if a.isKnown(addr, addressKey) {
		return client{known: true, address: a.knownAddresses.getOrCreate(a.now, addressKey)}
	}
	return client{address: a.addresses.getOrCreate(a.now, addressKey), prefix: a.prefixes.getOrCreate(a.now, prefixKey)}
}

// isKnown reports whether an address is in a known prefix, or its key was learned.
func (a *Admission) isKnown(addr netip.Addr, key netip.Prefix) bool {
	known := a.learned.isKnown(a.now, key)
	for _, p := range a.config.KnownClients.Prefixes {
		known = known || p.Contains(addr.Unmap())
	}
	return known
}

// keys returns the table keys of an address: the prefix that counts as one address, and the
// wider prefix that groups addresses. An IPv4-mapped IPv6 address counts as the IPv4 address.
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

// add starts tracking an accepted connection.
func (a *Admission) add(id uint64, listener int, origin client) {
	c := &conn{id: id, listener: listener, client: origin, stateSince: a.now}
	a.conns[id] = c
	a.connsByListener[listener]++
	if origin.known {
		a.knownConns++
		a.knownAddresses.addConn(a.now, origin.address)
	} else {
		a.addresses.addConn(a.now, origin.address)
		a.prefixes.addConn(a.now, origin.prefix)
	}
	a.setState(c, connIdle)
}

// remove stops tracking a connection that is closed or preempted.
func (a *Admission) remove(c *conn) {
	delete(a.conns, c.id)
	a.connsByListener[c.listener]--
	if a.connsByListener[c.listener] == 0 {
		delete(a.connsByListener, c.listener)
	}
	a.resetState(c)
	if c.client.known {
		a.knownConns--
		a.knownAddresses.removeConn(a.now, c.client.address)
	} else {
		a.addresses.removeConn(a.now, c.client.address)
		a.prefixes.removeConn(a.now, c.client.prefix)
	}
}

// setState sets the state of a connection and adds it to the queue of its preemption class, if
// it has one.
func (a *Admission) setState(c *conn, newState connState) {
	a.resetState(c)
	c.state, c.stateSince = newState, a.now
	if newState != connIdle && !c.client.known {
		a.unknownRequests++
	}
	class, preemptible := classOf(c)
	if !preemptible {
		return
	}
	c.queue = &a.preemptible[class]
	c.queueElement = c.queue.PushBack(c)
	if !c.served {
		c.unserved = c.client.address.unserved.PushBack(c)
	}
}

// resetState sets a connection's state to connIdle and removes it from its queues.
func (a *Admission) resetState(c *conn) {
	if c.state != connIdle && !c.client.known {
		a.unknownRequests--
	}
	if c.queueElement != nil {
		c.queue.Remove(c.queueElement)
		c.queue, c.queueElement = nil, nil
	}
	if c.unserved != nil {
		c.client.address.unserved.Remove(c.unserved)
		c.unserved = nil
	}
	c.state = connIdle
}

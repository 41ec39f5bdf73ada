package admission

// preemptionClass orders the connections that may be closed to make room.
type preemptionClass int

// Classes, in the order in which they are preempted. All before knownIdle are of unknown clients:
// the loops over the classes rely on that order.
const (
	neverServed preemptionClass = iota // idle, of unknown clients
	servedIdle                         // idle after a served request, of unknown clients
	slowBody                           // receiving, of unknown clients
	// knownIdle is for idle connections of known clients, which are preempted only for a new
	// connection of their own address.
	knownIdle
	classCount
)

// classOf returns the class of a connection by its state; a busy one has none, as its
// response is owed, and neither has a known client's that is receiving.
func classOf(c *conn) (class preemptionClass, preemptible bool) {
	switch {
	case c.state == connBusy, c.state == connReceiving && c.client.known:
		return 0, false
	case c.client.known:
		return knownIdle, true
	case c.state == connReceiving:
		return slowBody, true
	case c.served:
		return servedIdle, true
	}
	return neverServed, true
}

// selectVictim picks the connection to close for a new one that a limit keeps out, nil
// if there is none:
//
//   - Within a full address, the one of the same address that has been there for the
//     longest and was never served. Guards against a hoard of idle connections that
//     keeps a good client behind the same address out.
//   - Where MaxConns is reached, and for a known client (or, with ForUnknownClients,
//     for any): the unknown connection that is first by class, then by time. With
//     ForUnknownClients one that is receiving has MaxIdle for its body first.
func (a *Admission) selectVictim(limit Reason, origin client) *conn {
	if limit == AddressLimit {
		if oldest := origin.address.unserved.Front(); oldest != nil {
			return oldest.Value.(*conn)
		}
		return nil
	}
	rules := &a.config.Preemption
	if !origin.known && !rules.ForUnknownClients {
		return nil
	}
	for class := range knownIdle {
		oldest := a.preemptible[class].Front()
		if oldest == nil {
			continue
		}
		c := oldest.Value.(*conn)
		if class == slowBody && rules.ForUnknownClients && a.now < c.since+rules.MaxIdle {
			continue
		}
		return c
	}
	return nil
}

// NextToPreempt returns an unknown client's connection to close while few connections
// are free: one that has been idle, or receiving, for longer than MaxIdle, first by
// class. ok is false if there is none. The caller closes it and reports it by Closed
// before it asks for the next.
func (a *Admission) NextToPreempt(now Time) (id uint64, ok bool) {
	a.advance(now)
	rules := &a.config.Preemption
	if a.config.MaxConns-len(a.conns) >= rules.MinFreeConns {
		return 0, false
	}
	for class := range knownIdle {
		if class == slowBody && rules.ForUnknownClients {
			break // it is closed for a new connection only, when there is no room at all
		}
		oldest := a.preemptible[class].Front()
		if oldest == nil {
			continue
		}
		if c := oldest.Value.(*conn); a.now >= c.since+rules.MaxIdle {
			return c.id, true
		}
	}
	return 0, false
}

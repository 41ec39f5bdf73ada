package admission

// preemptionClass is a group of connections that may be preempted.
type preemptionClass int

// Classes, in the order in which they are preempted. All classes before knownIdle are of unknown
// clients; the loops over the classes rely on this.
const (
	neverServed   preemptionClass = iota // idle, no request served yet
	servedIdle                           // idle, a request was served
	receivingBody                        // receiving a request that is not accepted yet
	// knownIdle holds the idle connections of known clients. They are preempted only for a new
	// connection of the same address.
	knownIdle
	classCount
)

// classOf returns the preemption class of a connection. A busy connection cannot be preempted, as
// its response would be lost, nor can a receiving connection of a known client.
func classOf(c *conn) (class preemptionClass, preemptible bool) {
	switch {
	case c.state == connBusy, c.state == connReceiving && c.client.known:
		return 0, false
	case c.client.known:
		return knownIdle, true
	case c.state == connReceiving:
		return receivingBody, true
	case c.served:
		return servedIdle, true
	}
	return neverServed, true
}

// selectVictim returns the connection to preempt for a new connection that a limit rejects, or
// nil if there is none:
//
//   - For AddressLimit, the preemptible connection of the same address that has been in its
//     state longest and never had a request served. Otherwise a client could hold idle
//     connections and so shut out other clients behind the same address.
//   - For ConnLimit, if the new client is known or ForUnknownClients is set: a connection of
//     an unknown client, of the first class that has one, and of that class the one that has
//     been in its state longest. With ForUnknownClients, a receiving connection is not
//     preempted before MaxIdle.
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
		if class == receivingBody && rules.ForUnknownClients && a.now < c.stateSince+rules.MaxIdle {
			continue
		}
		return c
	}
	return nil
}

// NextToPreempt returns a connection to close if fewer than MinFreeConns connections are free:
// a connection of an unknown client that has been idle or receiving for MaxIdle, of the first
// class that has one. With ForUnknownClients, receiving connections are left out. ok is false
// if there is none. The caller closes the connection and calls Closed before it calls
// NextToPreempt again.
func (a *Admission) NextToPreempt(now Time) (id uint64, ok bool) {
	a.advance(now)
	rules := &a.config.Preemption
	if a.config.MaxConns-len(a.conns) >= rules.MinFreeConns {
		return 0, false
	}
	for class := range knownIdle {
		if class == receivingBody && rules.ForUnknownClients {
			break // a receiving connection is preempted only for a new one that MaxConns rejects
		}
		oldest := a.preemptible[class].Front()
		if oldest == nil {
			continue
		}
		if c := oldest.Value.(*conn); a.now >= c.stateSince+rules.MaxIdle {
			return c.id, true
		}
	}
	return 0, false
}

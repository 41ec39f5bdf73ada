package gateway

// ConnID identifies a connection. The low 32 bits are its slot. The high 32 bits are the
// slot's generation, which is the number of earlier connections in that slot. Therefore an
// event of a closed connection never reaches the next connection in the slot.
type ConnID uint64

// Slot returns a small number that is unique among the open connections. Drivers can use it
// as an index.
func (id ConnID) Slot() int { return int(uint32(id)) }

// connTable holds the open connections, indexed by slot.
//
// A slot whose connection the gateway closes is free again only after the driver has
// carried out the Close or Abort. Otherwise the driver would get actions for the new
// connection before it has closed the old one, and would apply them to the old one. The
// slot is in closing until Advance returns the action, and then in closed until the next
// call of Advance. By that time the driver has carried out the action.
type connTable struct {
	slots       []connection // nil: the slot has no open connection
	generations []uint32
	free        []uint32 // slots that can be reused at once
	closing     []uint32 // slots whose Close or Abort is queued
	closed      []uint32 // slots whose Close or Abort was returned by the last Advance
}

// nextID returns the id that the next call of add will return.
func (t *connTable) nextID() ConnID {
	if n := len(t.free); n > 0 {
		return t.id(t.free[n-1])
	}
	return ConnID(len(t.slots))
}

func (t *connTable) id(slot uint32) ConnID {
	return ConnID(t.generations[slot])<<32 | ConnID(slot)
}

// add assigns a slot to a connection, and returns the connection's id.
func (t *connTable) add(c connection) ConnID {
	var slot uint32
	if n := len(t.free); n > 0 {
		slot = t.free[n-1]
		t.free = t.free[:n-1]
	} else {
		slot = uint32(len(t.slots))
		t.slots, t.generations = append(t.slots, nil), append(t.generations, 0)
	}
	t.slots[slot] = c
	return t.id(slot)
}

// find returns the open connection with an id, or nil if there is none.
func (t *connTable) find(id ConnID) connection {
	slot := id.Slot()
	if slot >= len(t.slots) || t.id(uint32(slot)) != id {
		return nil
	}
	return t.slots[slot]
}

// findClient returns the open client connection with an id, or nil if there is none.
func (t *connTable) findClient(id ConnID) *clientConn {
	c, _ := t.find(id).(*clientConn)
	return c
}

// remove removes a connection. Its slot is free at once if the driver has already closed the
// connection, and otherwise after the driver has carried out the Close or Abort.
func (t *connTable) remove(id ConnID, closedByDriver bool) {
	slot := uint32(id.Slot())
	t.slots[slot] = nil
	t.generations[slot]++
	if closedByDriver {
		t.free = append(t.free, slot)
	} else {
		t.closing = append(t.closing, slot)
	}
}

// beginAdvance frees the slots whose Close or Abort the driver has carried out.
func (t *connTable) beginAdvance() {
	t.free, t.closed = append(t.free, t.closed...), t.closed[:0]
}

// endAdvance records that Advance returns the queued Close and Abort actions now.
func (t *connTable) endAdvance() {
	t.closing, t.closed = t.closed[:0], t.closing
}

package gateway

// ConnID names a connection: its slot in the low 32 bits, and in the high 32 bits
// the slot's generation, which is how often the slot was used before. An event of a
// connection that is closed therefore never reaches the next one in its slot.
type ConnID uint64

// Slot returns a small number that is unique among the open connections.
func (id ConnID) Slot() int { return int(uint32(id)) }

// connTable holds the open connections, indexed by slot.
//
// A slot whose connection the gateway closes is free again only after the driver has
// carried out the Close or Abort. Otherwise the driver would get actions on the new
// connection before it has closed the old one, and would take the one for the other.
// Such a slot is in closing until Advance returns the action, then in closed until
// the next call of Advance, by which time the driver has carried it out.
type connTable struct {
	slots       []connection // nil: the slot is free
	generations []uint32
	free        []uint32 // slots that may be used at once
	closing     []uint32 // slots whose Close or Abort is queued
	closed      []uint32 // slots whose Close or Abort was returned by the last Advance
}

// nextID returns the id that add will give.
func (t *connTable) nextID() ConnID {
	if n := len(t.free); n > 0 {
		return t.id(t.free[n-1])
	}
	return ConnID(len(t.slots))
}

func (t *connTable) id(slot uint32) ConnID {
	return ConnID(t.generations[slot])<<32 | ConnID(slot)
}

// add gives a connection a slot and returns its id.
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

// find returns an open connection, or nil if the connection is closed.
func (t *connTable) find(id ConnID) connection {
	slot := id.Slot()
	if slot >= len(t.slots) || t.id(uint32(slot)) != id {
		return nil
	}
	return t.slots[slot]
}

// findClient returns an open connection of a client, or nil if there is none of that id.
func (t *connTable) findClient(id ConnID) *clientConn {
	c, _ := t.find(id).(*clientConn)
	return c
}

// remove frees the slot of a connection: at once if the driver has closed the
// connection itself, and after its Close or Abort was carried out otherwise.
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

// endAdvance notes that the queued actions go to the driver now.
func (t *connTable) endAdvance() {
	t.closing, t.closed = t.closed[:0], t.closing
}

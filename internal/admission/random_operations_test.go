package admission

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Verifies the caps, the reserve and the counts of an Admission after each of a random sequence of
// operations on connections and requests, by comparison with a model.
func TestRandomOperationsKeepInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := testConfig()
		c.TableEntries = 1024
		if rapid.Bool().Draw(t, "no rates") {
			c.Rates.Address.PerSecond, c.Rates.Prefix.PerSecond = 0, 0
		}
		a, err := New(c, 3)
		if err != nil {
			t.Fatal(err)
		}
		m := &modelTest{t: t, config: c, admission: a, conns: map[uint64]*modelConn{}, nextID: 1}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			m.now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
			if rapid.IntRange(0, 5).Draw(t, "step") <= 2 {
				m.connect()
			} else if len(m.ids) > 0 {
				m.useConn()
			}
			m.check()
		}
	})
}

// modelTest applies random operations to an Admission and to a model of its connections.
type modelTest struct {
	t         *rapid.T
	config    Config
	admission *Admission
	now       Time
	nextID    uint64
	conns     map[uint64]*modelConn
	ids       []uint64 // keys of conns in the order of admission
}

// modelConn is an accepted connection in the model.
type modelConn struct {
	addr     netip.Addr
	listener int
	known    bool
	busy     bool // a request is under way
	accepted bool // the request is accepted
}

// listed reports whether an address is in the known prefix 10.9.0.0/16. The second byte of all
// addresses of this test is 9.
func listed(addr netip.Addr) bool { return addr.As4()[0] == 10 }

// connect opens a connection from a random address. It checks that only a connection of an unknown
// client without an accepted request is preempted, and that MaxConns rejects no known client
// while the reserve has room.
func (m *modelTest) connect() {
	t := m.t
	first := byte(rapid.SampledFrom([]int{1, 2, 10}).Draw(t, "first byte"))
	third := byte(rapid.IntRange(0, 1).Draw(t, "third byte"))
	fourth := byte(rapid.IntRange(0, 5).Draw(t, "fourth byte"))
	addr := netip.AddrFrom4([4]byte{first, 9, third, fourth})
	listener := rapid.IntRange(0, 1).Draw(t, "listener")
	known, ofAddress := m.countConns(addr)

	d := m.admission.Admit(m.now, m.nextID, listener, addr)
	if d.Preempt {
		c := m.conns[d.PreemptID]
		if c == nil || c.accepted || c.known {
			t.Fatalf("connection %d was preempted: %+v", d.PreemptID, c)
		}
		m.remove(d.PreemptID)
	}
	if listed(addr) && !d.Known {
		t.Fatal("a client in a listed prefix is not known")
	}
	if d.Known && !d.Accept && known < m.config.Reserve && ofAddress < m.config.Caps.Address && d.Reason == ConnLimit {
		t.Fatalf("a known client is rejected by MaxConns with %d known connections and a reserve of %d", known, m.config.Reserve)
	}
	if d.Accept {
		m.conns[m.nextID] = &modelConn{addr: addr, listener: listener, known: d.Known}
		m.ids = append(m.ids, m.nextID)
	}
	m.nextID++
}

// countConns returns the number of connections of known clients and the number of an address.
func (m *modelTest) countConns(addr netip.Addr) (known, ofAddress int) {
	for _, c := range m.conns {
		if c.known {
			known++
		}
		if c.addr == addr {
			ofAddress++
		}
	}
	return known, ofAddress
}

// useConn applies a random operation to a random connection.
func (m *modelTest) useConn() {
	t := m.t
	id := m.ids[rapid.IntRange(0, len(m.ids)-1).Draw(t, "connection")]
	c := m.conns[id]
	switch rapid.IntRange(0, 3).Draw(t, "use") {
	case 0:
		complete := rapid.Bool().Draw(t, "complete")
		if ok, _ := m.admission.BeginRequest(m.now, id, NewRequest{Complete: complete}); ok {
			c.busy, c.accepted = true, c.accepted || complete && !c.busy
		}
	case 1:
		m.admission.EndRequest(m.now, id, rapid.Bool().Draw(t, "served"))
		c.busy, c.accepted = false, false
	case 2:
		m.admission.Closed(m.now, id)
		m.remove(id)
	case 3:
		m.admission.RequestAccepted(m.now, id)
		c.accepted = c.busy
	}
}

// remove removes a connection from the model.
func (m *modelTest) remove(id uint64) {
	delete(m.conns, id)
	m.ids = slices.DeleteFunc(m.ids, func(other uint64) bool { return other == id })
}

// check compares the model with each limit and with the counts of the Admission.
func (m *modelTest) check() {
	t, caps := m.t, m.config.Caps
	byAddress, byPrefix, byListener := map[netip.Addr]int{}, map[netip.Prefix]int{}, map[int]int{}
	busyUnknown, known := 0, 0
	for _, c := range m.conns {
		byAddress[c.addr]++
		byListener[c.listener]++
		if c.known {
			known++
			continue
		}
		prefix, _ := c.addr.Prefix(24)
		byPrefix[prefix]++
		if c.busy {
			busyUnknown++
		}
	}
	knownCap := caps.Address * m.config.KnownClients.CapMultiple
	for addr, n := range byAddress {
		// An address that became known by its served requests may have connections from before.
		if n > caps.Address+knownCap || (listed(addr) && n > knownCap) {
			t.Fatalf("address %v has %d connections, more than its cap", addr, n)
		}
	}
	for prefix, n := range byPrefix {
		if n > caps.Prefix {
			t.Fatalf("prefix %v has %d connections, more than its cap", prefix, n)
		}
	}
	for listener, n := range byListener {
		if n > caps.Listener {
			t.Fatalf("listener %d has %d connections, more than its cap", listener, n)
		}
	}
	if len(m.conns) > m.config.MaxConns || busyUnknown > m.config.MaxConns-m.config.Reserve {
		t.Fatalf("%d connections, and %d of unknown clients with a request under way: one is more than its limit", len(m.conns), busyUnknown)
	}
	if got := m.admission.Counts(); got.Conns != len(m.conns) || got.UnknownRequests != busyUnknown || got.Known != known {
		t.Fatalf("got counts %+v, want Conns %d, UnknownRequests %d, Known %d", got, len(m.conns), busyUnknown, known)
	}
}

package admission

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// After every step of a random history of connections and requests, the caps, the reserve
// and the counts hold, compared with a model that the test keeps.
func TestInvariantsInAnyHistory(t *testing.T) {
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
		h := &history{t: t, config: c, admission: a, conns: map[uint64]*modelConn{}, nextID: 1}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			h.now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
			if rapid.IntRange(0, 5).Draw(t, "step") <= 2 {
				h.connect()
			} else if len(h.ids) > 0 {
				h.useConn()
			}
			h.check()
		}
	})
}

// history drives an Admission through random steps, and models what it should hold.
type history struct {
	t         *rapid.T
	config    Config
	admission *Admission
	now       Time
	nextID    uint64
	conns     map[uint64]*modelConn
	ids       []uint64 // of conns, in the order of their admission
}

// modelConn is an accepted connection.
type modelConn struct {
	addr     netip.Addr
	listener int
	known    bool
	busy     bool // it has a request under way
	accepted bool // its request is accepted
}

func listed(addr netip.Addr) bool { return addr.As4()[0] == 10 }

// connect opens a connection of a random address. Preempted may be only what is of an
// unknown client and has no accepted request, and a known client gets in while the reserve
// has room.
func (h *history) connect() {
	t := h.t
	first := byte(rapid.SampledFrom([]int{1, 2, 10}).Draw(t, "first byte"))
	third := byte(rapid.IntRange(0, 1).Draw(t, "third byte"))
	fourth := byte(rapid.IntRange(0, 5).Draw(t, "fourth byte"))
	addr := netip.AddrFrom4([4]byte{first, 9, third, fourth})
	listener := rapid.IntRange(0, 1).Draw(t, "listener")
	known, ofAddress := h.countKnownAnd(addr)

	d := h.admission.Admit(h.now, h.nextID, listener, addr)
	if d.Preempt {
		c := h.conns[d.PreemptID]
		if c == nil || c.accepted || c.known {
			t.Fatalf("%d was preempted: %+v", d.PreemptID, c)
		}
		h.remove(d.PreemptID)
	}
	if listed(addr) && !d.Known {
		t.Fatal("a listed client is not known")
	}
	if d.Known && !d.Accept && known < h.config.Reserve && ofAddress < h.config.Caps.Address && d.Reason == ConnLimit {
		t.Fatalf("a known client is rejected with %d of the reserve of %d used", known, h.config.Reserve)
	}
	if d.Accept {
		h.conns[h.nextID] = &modelConn{addr: addr, listener: listener, known: d.Known}
		h.ids = append(h.ids, h.nextID)
	}
	h.nextID++
}

func (h *history) countKnownAnd(addr netip.Addr) (known, ofAddress int) {
	for _, c := range h.conns {
		if c.known {
			known++
		}
		if c.addr == addr {
			ofAddress++
		}
	}
	return known, ofAddress
}

// useConn takes a random connection and does something with it.
func (h *history) useConn() {
	t := h.t
	id := h.ids[rapid.IntRange(0, len(h.ids)-1).Draw(t, "connection")]
	c := h.conns[id]
	switch rapid.IntRange(0, 3).Draw(t, "use") {
	case 0:
		complete := rapid.Bool().Draw(t, "complete")
		if ok, _ := h.admission.BeginRequest(h.now, id, 0, complete); ok {
			c.busy, c.accepted = true, c.accepted || complete && !c.busy
		}
	case 1:
		h.admission.EndRequest(h.now, id, rapid.Bool().Draw(t, "served"))
		c.busy, c.accepted = false, false
	case 2:
		h.admission.Closed(h.now, id)
		h.remove(id)
	case 3:
		h.admission.RequestAccepted(h.now, id)
		c.accepted = c.busy
	}
}

func (h *history) remove(id uint64) {
	delete(h.conns, id)
	h.ids = slices.DeleteFunc(h.ids, func(other uint64) bool { return other == id })
}

// check compares the model with every limit, and with the counts of the Admission.
func (h *history) check() {
	t, caps := h.t, h.config.Caps
	byAddress, byPrefix, byListener := map[netip.Addr]int{}, map[netip.Prefix]int{}, map[int]int{}
	busyUnknown, known := 0, 0
	for _, c := range h.conns {
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
	knownCap := caps.Address * h.config.KnownClients.CapMultiple
	for addr, n := range byAddress {
		// One that became known by behaviour may have connections from before.
		if n > caps.Address+knownCap || (listed(addr) && n > knownCap) {
			t.Fatalf("%v has %d connections", addr, n)
		}
	}
	for prefix, n := range byPrefix {
		if n > caps.Prefix {
			t.Fatalf("%v has %d connections", prefix, n)
		}
	}
	for listener, n := range byListener {
		if n > caps.Listener {
			t.Fatalf("listener %d has %d connections", listener, n)
		}
	}
	if len(h.conns) > h.config.MaxConns || busyUnknown > h.config.MaxConns-h.config.Reserve {
		t.Fatalf("%d connections, %d of unknown clients with a request under way", len(h.conns), busyUnknown)
	}
	if got := h.admission.Counts(); got.Conns != len(h.conns) || got.BusyUnknown != busyUnknown || got.Known != known {
		t.Fatalf("%+v, want %d, %d, %d", got, len(h.conns), busyUnknown, known)
	}
}

package admission

import (
	"fmt"
	"net/netip"
	"testing"
	"time"
)

// A flood from very many addresses fills the table. The table does not grow, a heavy
// hitter is not forgotten (as it would be if the oldest entry were evicted), and known
// clients still connect.
func TestFloodOfAddresses(t *testing.T) {
	c := testConfig()
	c.Caps.Address, c.Caps.Prefix, c.Rates.Prefix.PerSecond = 0, 0, 0
	c.Rates.Address.PerSecond, c.Rates.Address.Burst = 0.01, 4
	a := newAdmission(t, c)
	id := uint64(0)
	connect := func(addr netip.Addr) Decision {
		id++
		v := a.Admit(time.Second, id, 0, addr)
		if v.Accept {
			a.Closed(time.Second, id)
		}
		return v
	}
	for range 4 {
		connect(ip("1.1.1.1"))
	}
	accepted := 0
	for i := range 100_000 {
		if connect(netip.AddrFrom4([4]byte{20, byte(i >> 16), byte(i >> 8), byte(i)})).Accept {
			accepted++
		}
	}
	if v := connect(ip("1.1.1.1")); v.Accept || v.Reason != AddressRate {
		t.Errorf("the heavy hitter is forgotten: %+v", v)
	}
	if n := a.Counts(); n.Addresses > 64 {
		t.Errorf("%d addresses are held, want 64 at most", n.Addresses)
	}
	if accepted > 64*4+8 { // what the table and the overflow entry allow
		t.Errorf("%d accepted of a flood", accepted)
	}
	if v := connect(ip("10.9.1.1")); !v.Accept { // known clients have another table
		t.Errorf("a known client in the flood: %+v", v)
	}
}

// A flood of unknown clients fills its table of addresses. Known clients have a table of
// their own and are accepted.
func TestKnownClientsHaveTheirOwnTable(t *testing.T) {
	c := testConfig()
	c.MaxConns, c.Caps.Listener, c.Caps.Address, c.Caps.Prefix, c.Rates.Address.PerSecond, c.Rates.Prefix.PerSecond, c.TableEntries = 100, 0, 1, 0, 0, 0, setSize
	a := newAdmission(t, c)
	for i := range 40 {
		if a.Admit(0, uint64(i), 0, ip(fmt.Sprintf("1.1.%d.1", i))).Accept {
			acceptRequest(a, 0, uint64(i))
		}
	}
	if n := a.Counts().Conns; n != setSize+1 {
		t.Fatalf("%d connections, want one for each entry and one for the overflow entry", n)
	}
	for i := range 4 {
		if v := a.Admit(0, uint64(100+i), 0, ip(fmt.Sprintf("10.9.%d.1", i))); !v.Accept {
			t.Errorf("known client %d is rejected by %v", i, v.Reason)
		}
	}
}

// Every address of a set has used its rate up. Further addresses share the overflow
// entry, and none of the set is evicted, which would give it its rate anew.
func TestUsedUpAddressesAreNotEvicted(t *testing.T) {
	c := testConfig()
	c.Caps.Address, c.Caps.Prefix, c.Rates.Prefix.PerSecond, c.Rates.Address.PerSecond, c.Rates.Address.Burst, c.TableEntries = 0, 0, 0, 0.001, 2, setSize
	a := newAdmission(t, c)
	accepted := 0
	for i := range 50 {
		for k := range 2 {
			if id := uint64(10*i + k); a.Admit(0, id, 0, ip(fmt.Sprintf("1.1.%d.1", i))).Accept {
				a.Closed(0, id)
				accepted++
			}
		}
	}
	if accepted != 2*setSize+2 { // further addresses share the overflow entry's rate
		t.Errorf("%d accepted, want two of each entry and two of the overflow entry", accepted)
	}
	for i := range setSize {
		if v := a.Admit(0, uint64(1000+i), 0, ip(fmt.Sprintf("1.1.%d.1", i))); v.Accept {
			t.Errorf("address %d was evicted", i)
		}
	}
}

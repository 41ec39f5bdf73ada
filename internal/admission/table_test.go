package admission

import (
	"fmt"
	"net/netip"
	"testing"
	"time"
)

// Verifies that a flood from many addresses, which fills the table, does not grow it and evicts no
// address that has used up its rate. A table that evicts its oldest entry would evict that address.
// Known clients can still connect.
func TestFloodOfAddresses(t *testing.T) {
	c := testConfig()
	c.Caps.Address, c.Caps.Prefix, c.Rates.Prefix.PerSecond = 0, 0, 0
	c.Rates.Address.PerSecond, c.Rates.Address.Burst = 0.01, 4
	a := newAdmission(t, c)
	id := uint64(0)
	connect := func(addr netip.Addr) Decision {
		id++
		d := a.Admit(time.Second, id, 0, addr)
		if d.Accept {
			a.Closed(time.Second, id)
		}
		return d
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
	if d := connect(ip("1.1.1.1")); d.Accept || d.Reason != AddressRate {
		t.Errorf("address that had used up its rate: got %+v, want it rejected by its rate", d)
	}
	if n := a.Counts(); n.Addresses > 64 {
		t.Errorf("the tables have %d addresses, want at most 64", n.Addresses)
	}
	if accepted > 64*4+8 { // a burst of 4 for each entry, and some for the overflow entry
		t.Errorf("%d connections of the flood accepted, want at most the burst of each entry", accepted)
	}
	if d := connect(ip("10.9.1.1")); !d.Accept { // known clients have a separate table
		t.Errorf("known client during the flood: got %+v, want it accepted", d)
	}
}

// Verifies that known clients are accepted while a flood of unknown clients fills the table of
// unknown addresses, as known addresses have a separate table.
func TestKnownClientsHaveTheirOwnTable(t *testing.T) {
	c := testConfig()
	c.MaxConns, c.Caps.Listener, c.Caps.Address, c.Caps.Prefix, c.Rates.Address.PerSecond, c.Rates.Prefix.PerSecond, c.TableEntries = 100, 0, 1, 0, 0, 0, slotsPerSet
	a := newAdmission(t, c)
	for i := range 40 {
		if a.Admit(0, uint64(i), 0, ip(fmt.Sprintf("1.1.%d.1", i))).Accept {
			acceptRequest(a, 0, uint64(i))
		}
	}
	if n := a.Counts().Conns; n != slotsPerSet+1 {
		t.Fatalf("%d connections, want one for each entry of the table and one for the overflow entry", n)
	}
	for i := range 4 {
		if d := a.Admit(0, uint64(100+i), 0, ip(fmt.Sprintf("10.9.%d.1", i))); !d.Accept {
			t.Errorf("known client %d is rejected by the limit %v", i, d.Reason)
		}
	}
}

// Verifies that addresses that have used up their rate are not evicted, which would reset their
// rate limit. Further addresses share the overflow entry.
func TestUsedUpAddressesAreNotEvicted(t *testing.T) {
	c := testConfig()
	c.Caps.Address, c.Caps.Prefix, c.Rates.Prefix.PerSecond, c.Rates.Address.PerSecond, c.Rates.Address.Burst, c.TableEntries = 0, 0, 0, 0.001, 2, slotsPerSet
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
	if accepted != 2*slotsPerSet+2 { // further addresses share the overflow entry's rate
		t.Errorf("%d connections accepted, want two of each entry and two of the overflow entry", accepted)
	}
	for i := range slotsPerSet {
		if d := a.Admit(0, uint64(1000+i), 0, ip(fmt.Sprintf("1.1.%d.1", i))); d.Accept {
			t.Errorf("address %d is accepted, so its used-up rate limit was evicted", i)
		}
	}
}

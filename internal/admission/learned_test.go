package admission

import (
	"fmt"
	"net/netip"
	"testing"
	"time"
)

// Verifies that an address becomes known by served requests in several seconds, not by many
// requests in one second. It stays known when many other addresses follow, and is no longer
// known after a minute without requests.
func TestLearnedClients(t *testing.T) {
	a := newAdmission(t, testConfig())
	serve := func(now Time, id uint64, addr string) Decision {
		d := a.Admit(now, id, 0, ip(addr))
		acceptRequest(a, now, id)
		a.EndRequest(now, id, true)
		a.Closed(now, id)
		return d
	}
	for i := range uint64(100) { // a hundred requests within a second
		a.Admit(0, i, 0, ip("2.2.2.2"))
		acceptRequest(a, 0, i)
		a.EndRequest(0, i, true)
		a.Closed(0, i)
	}
	if d := serve(time.Second/2, 200, "2.2.2.2"); d.Known {
		t.Error("the address is known after half a second")
	}
	now := time.Second
	for i := range 8 {
		serve(now, uint64(300+i), "3.3.3.3")
		now += time.Second
	}
	if d := serve(now, 400, "3.3.3.3"); !d.Known {
		t.Error("the address is not known after eight seconds with a served request each")
	}
	for i := range 50 {
		serve(now, uint64(500+i), fmt.Sprintf("4.4.%d.4", i))
	}
	if n := a.Counts().Learned; n > 4 {
		t.Errorf("%d addresses are tracked, want at most 4", n)
	}
	if d := serve(now, 600, "3.3.3.3"); !d.Known {
		t.Error("the known address was evicted for other addresses")
	}
	if d := serve(now+time.Minute, 700, "3.3.3.3"); d.Known {
		t.Error("the address is still known after a minute without requests")
	}
}

// Verifies that new addresses evict no known address, even if the table is full of known addresses.
func TestKnownAddressesAreNotEvicted(t *testing.T) {
	l := newLearnedClients(KnownClients{MaxLearned: 3, LearnSeconds: 2, HalfLife: time.Minute})
	key := func(i int) netip.Prefix { return netip.PrefixFrom(netip.AddrFrom4([4]byte{1, 1, 1, byte(i)}), 32) }
	now := Time(0)
	for range 4 {
		for i := range 3 {
			l.recordServed(now, key(i))
		}
		now += time.Second
	}
	for i := range 20 {
		l.recordServed(now, key(10+i))
	}
	for i := range 3 {
		if !l.isKnown(now, key(i)) {
			t.Errorf("known address %d was evicted for a new address", i)
		}
	}
}

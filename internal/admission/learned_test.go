package admission

import (
	"fmt"
	"net/netip"
	"testing"
	"time"
)

// An unknown address becomes known by good behaviour over some seconds, not by many
// requests in one. Many other addresses come, and it stays known; a minute later it is
// forgotten.
func TestLearnedClients(t *testing.T) {
	a := newAdmission(t, testConfig())
	serve := func(now Time, id uint64, addr string) Decision {
		v := a.Admit(now, id, 0, ip(addr))
		acceptRequest(a, now, id)
		a.EndRequest(now, id, true)
		a.Closed(now, id)
		return v
	}
	for i := range uint64(100) { // a hundred requests within a second
		a.Admit(0, i, 0, ip("2.2.2.2"))
		acceptRequest(a, 0, i)
		a.EndRequest(0, i, true)
		a.Closed(0, i)
	}
	if v := serve(time.Second/2, 200, "2.2.2.2"); v.Known {
		t.Error("known after half a second")
	}
	now := time.Second
	for i := range 8 {
		serve(now, uint64(300+i), "3.3.3.3")
		now += time.Second
	}
	if v := serve(now, 400, "3.3.3.3"); !v.Known {
		t.Error("not known after eight good seconds")
	}
	for i := range 50 {
		serve(now, uint64(500+i), fmt.Sprintf("4.4.%d.4", i))
	}
	if n := a.Counts().Learned; n > 4 {
		t.Errorf("%d learned, want 4 at most", n)
	}
	if v := serve(now, 600, "3.3.3.3"); !v.Known {
		t.Error("forgotten for other addresses")
	}
	if v := serve(now+time.Minute, 700, "3.3.3.3"); v.Known {
		t.Error("still known after a minute")
	}
}

// Every learned address is known and the table is full. New addresses evict none.
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
			t.Errorf("known address %d was evicted", i)
		}
	}
}

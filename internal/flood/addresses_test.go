package flood

import (
	"net/netip"
	"testing"
)

// Verifies that each kind of client has a network of its own. Known clients share a prefix, so that a
// configuration can list it; other clients have different prefixes.
func TestAddresses(t *testing.T) {
	for _, c := range []struct {
		name                string
		addrs               func(int) []netip.Addr
		first, second, next string // addresses 0, 1 and 250
	}{
		{"sources", SourceAddrs, "127.20.0.1", "127.20.0.2", "127.20.1.1"},
		{"known clients", KnownClientAddrs, "127.9.0.1", "127.9.0.2", "127.9.1.1"},
		{"other clients", OtherClientAddrs, "127.10.1.1", "127.10.2.1", "127.10.1.2"},
	} {
		t.Run(c.name, func(t *testing.T) {
			addrs := c.addrs(1000)
			if len(addrs) != 1000 {
				t.Fatalf("got %d addresses, want 1000", len(addrs))
			}
			for i, want := range map[int]string{0: c.first, 1: c.second, 250: c.next} {
				if addrs[i].String() != want {
					t.Errorf("address %d is %v, want %s", i, addrs[i], want)
				}
			}
			unique := map[netip.Addr]bool{}
			for _, addr := range addrs {
				unique[addr] = true
			}
			if len(unique) != len(addrs) {
				t.Errorf("only %d of %d addresses are unique", len(unique), len(addrs))
			}
		})
	}
}

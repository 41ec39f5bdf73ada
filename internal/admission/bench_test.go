package admission

import (
	"fmt"
	"net/netip"
	"testing"
	"time"
)

// BenchmarkAdmit measures a decision, which should cost the same after ten addresses as after a
// million. Every address has connected before and the tables are filled. All connections are
// accepted, or all are rejected.
func BenchmarkAdmit(b *testing.B) {
	for _, rejected := range []bool{false, true} {
		for _, seen := range []int{10, 1000, 100_000, 1_000_000} {
			b.Run(fmt.Sprintf("rejected=%v/seen=%d", rejected, seen), func(b *testing.B) {
				c := testConfig()
				c.MaxConns, c.Caps.Listener, c.TableEntries, c.KnownClients.Prefixes = 1000, 0, 1<<16, nil
				c.Rates.Address.PerSecond, c.Rates.Prefix.PerSecond = 1e6, 1e6
				c.Rates.Address.Burst, c.Rates.Prefix.Burst = 1e6, 1e6
				if rejected {
					c.Caps.Listener = 1
				}
				a, err := New(c, 1)
				if err != nil {
					b.Fatal(err)
				}
				if rejected {
					a.Admit(0, 1<<40, 0, ip("9.9.9.9"))
				}
				addr := func(i int) netip.Addr {
					return netip.AddrFrom4([4]byte{byte(i>>24) + 20, byte(i >> 16), byte(i >> 8), byte(i)})
				}
				id := uint64(0)
				connect := func(i int) {
					id++
					now := Time(id) * time.Millisecond
					if a.Admit(now, id, 0, addr(i)).Accept {
						a.Closed(now, id)
					}
				}
				for i := range max(seen, 100_000) { // fills the tables, equally in every run
					connect(i % seen * 256)
				}
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					connect(i % seen * 256)
				}
			})
		}
	}
}

// BenchmarkFullAddress measures the rejection of an address at its cap, which should cost the same
// however many connections of other addresses are idle.
func BenchmarkFullAddress(b *testing.B) {
	for _, idle := range []int{10, 1000, 100_000} {
		b.Run(fmt.Sprint(idle), func(b *testing.B) {
			c := testConfig()
			c.MaxConns, c.Caps.Listener, c.Caps.Prefix, c.Caps.Address, c.TableEntries, c.Rates.Address.PerSecond, c.Rates.Prefix.PerSecond = 200_000, 0, 0, 4, 1<<18, 0, 0
			a, err := New(c, 1)
			if err != nil {
				b.Fatal(err)
			}
			for i := range idle {
				a.Admit(0, uint64(i), 0, netip.AddrFrom4([4]byte{20, byte(i >> 16), byte(i >> 8), byte(i)}))
			}
			for i := range uint64(4) {
				a.Admit(0, 1<<40+i, 0, ip("9.9.9.9"))
				acceptRequest(a, 0, 1<<40+i)
			}
			for id := uint64(1 << 41); b.Loop(); id++ {
				if a.Admit(0, id, 0, ip("9.9.9.9")).Accept {
					b.Fatal("a connection beyond the cap of its address is accepted")
				}
			}
		})
	}
}

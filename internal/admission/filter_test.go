package admission

import (
	"net/netip"
	"testing"

	"golang.org/x/net/bpf"
	"pgregory.net/rapid"
)

// networkHeader is the network header of a packet, as far as the filter reads it.
func networkHeader(a netip.Addr) []byte {
	b := make([]byte, 40)
	if a.Is4() {
		b[0] = 4<<4 | 5
		copy(b[12:], a.AsSlice())
		return b
	}
	b[0] = 6 << 4
	copy(b[8:], a.AsSlice())
	return b
}

// The kernel's filter and the list of prefixes agree about any address.
func TestKnownClientFilter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c Config
		addr := rapid.Custom(func(t *rapid.T) netip.Addr {
			if rapid.Bool().Draw(t, "v4") {
				return netip.AddrFrom4([4]byte(rapid.SliceOfN(rapid.ByteRange(0, 3), 4, 4).Draw(t, "a")))
			}
			return netip.AddrFrom16([16]byte(rapid.SliceOfN(rapid.ByteRange(0, 1), 16, 16).Draw(t, "a")))
		})
		for range rapid.IntRange(1, 60).Draw(t, "prefixes") {
			a := addr.Draw(t, "of")
			p, _ := a.Prefix(rapid.IntRange(0, a.BitLen()).Draw(t, "bits"))
			c.KnownClients.Prefixes = append(c.KnownClients.Prefixes, p)
		}
		raw := c.KnownClientFilter(0)
		ins, ok := bpf.Disassemble(raw)
		if !ok {
			t.Fatal("the program cannot be disassembled")
		}
		vm, err := bpf.NewVM(ins)
		if err != nil {
			t.Fatal(err)
		}
		for range 20 {
			a := addr.Draw(t, "from")
			want := 0
			for _, p := range c.KnownClients.Prefixes {
				if p.Contains(a) {
					want = 1
				}
			}
			if got, err := vm.Run(networkHeader(a)); err != nil || got != want {
				t.Fatalf("%v of %v: %d %v, want %d", a, c.KnownClients.Prefixes, got, err, want)
			}
		}
	})
	many := Config{}
	for i := range 2000 {
		many.KnownClients.Prefixes = append(many.KnownClients.Prefixes, netip.PrefixFrom(netip.AddrFrom4([4]byte{10, byte(i >> 8), byte(i), 0}), 32))
	}
	if many.KnownClientFilter(0) != nil || (&Config{}).KnownClientFilter(0) != nil {
		t.Error("want no program for too many prefixes, and for none")
	}
}

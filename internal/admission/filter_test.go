package admission

import (
	"net/netip"
	"testing"

	"golang.org/x/net/bpf"
	"pgregory.net/rapid"
)

// networkHeader returns a network header with the version and the source address set, which are
// the fields that the filter reads.
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

// Verifies that the BPF program matches exactly the addresses in the known prefixes, for random
// prefixes and addresses, and that there is no program for too many prefixes or for none.
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
		instructions, ok := bpf.Disassemble(raw)
		if !ok {
			t.Fatal("the program contains unknown instructions")
		}
		vm, err := bpf.NewVM(instructions)
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
				t.Fatalf("address %v, known prefixes %v: got %d, error %v; want %d", a, c.KnownClients.Prefixes, got, err, want)
			}
		}
	})
	many := Config{}
	for i := range 2000 {
		many.KnownClients.Prefixes = append(many.KnownClients.Prefixes, netip.PrefixFrom(netip.AddrFrom4([4]byte{10, byte(i >> 8), byte(i), 0}), 32))
	}
	if many.KnownClientFilter(0) != nil || (&Config{}).KnownClientFilter(0) != nil {
		t.Error("got a program for too many prefixes or for none")
	}
}

package admission

import (
	"net/netip"
	"testing"

	"golang.org/x/net/bpf"
	"pgregory.net/rapid"
)

// header is the network header of a packet, as far as the sorter reads it.
func header(a netip.Addr) []byte {
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

// The sorter says of any address what the list of prefixes says.
func TestSorter(t *testing.T) {
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
			c.Known = append(c.Known, p)
		}
		raw := c.KnownClientFilter(0)
		ins, ok := bpf.Disassemble(raw)
		if !ok {
			t.Fatal("it cannot be read back")
		}
		vm, err := bpf.NewVM(ins)
		if err != nil {
			t.Fatal(err)
		}
		for range 20 {
			a := addr.Draw(t, "from")
			want := 0
			for _, p := range c.Known {
				if p.Contains(a) {
					want = 1
				}
			}
			if got, err := vm.Run(header(a)); err != nil || got != want {
				t.Fatalf("%v of %v: %d %v, want %d", a, c.Known, got, err, want)
			}
		}
	})
	many := Config{}
	for i := range 2000 {
		many.Known = append(many.Known, netip.PrefixFrom(netip.AddrFrom4([4]byte{10, byte(i >> 8), byte(i), 0}), 32))
	}
	if many.KnownClientFilter(0) != nil || (&Config{}).KnownClientFilter(0) != nil {
		t.Error("a program of too many prefixes, or of none")
	}
}

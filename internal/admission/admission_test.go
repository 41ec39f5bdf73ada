package admission

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func config() Config {
	return Config{Total: 20, Listener: 18, Address: 4, Wide: 8, Reserve: 5, AddressRate: 2, AddressBurst: 4, WideRate: 5, WideBurst: 10,
		V6Bits: 64, Wide4: 24, Wide6: 48, Known: []netip.Prefix{netip.MustParsePrefix("10.9.0.0/16")}, Learn: 3, Forget: 10 * time.Second,
		Entries: 64, Learned: 4, AnswerRate: 1, AnswerBurst: 3, KnownMultiple: 2, PressureIdle: 5, IdleUnderPress: time.Second}
}

func must(t *testing.T, c Config) *Admission {
	t.Helper()
	a, err := New(c, 7)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// take begins a request and has it taken.
func take(a *Admission, now Time, id uint64) (bool, Reason) {
	ok, why := a.BeginRequest(now, id, 0, false)
	if ok {
		a.RequestAccepted(now, id)
	}
	return ok, why
}

func ip(s string) netip.Addr { return netip.MustParseAddr(s) }

func TestCheck(t *testing.T) {
	for want, f := range map[string]func(*Config){
		"want at least 1":                     func(c *Config) { c.Total = 0 },
		"the cap listener is 30":              func(c *Config) { c.Listener = 30 },
		"over that of its prefix":             func(c *Config) { c.Address = 9 },
		"nothing is left for others":          func(c *Config) { c.Reserve = 20 },
		"prefix lengths":                      func(c *Config) { c.Wide6 = 65 },
		"want at least 8":                     func(c *Config) { c.Entries = 1 },
		"they fade within":                    func(c *Config) { c.Learn = 11 },
		"10.9.0.0/16 and 10.9.1.0/24 overlap": func(c *Config) { c.Known = append(c.Known, netip.MustParsePrefix("10.9.1.0/24")) },
	} {
		c := config()
		f(&c)
		if err := c.Check(); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want %q", err, want)
		}
	}
}

// Caps by address, IPv6 prefix, wider prefix and listener, each by itself.
func TestCaps(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*Config)
		addr   func(i int) string
		taken  int
		reason Reason
	}{
		{"address", func(c *Config) { c.AddressRate, c.WideRate = 0, 0 }, func(int) string { return "1.1.1.1" }, 4, ByAddress},
		{"mapped address", func(c *Config) { c.AddressRate, c.WideRate = 0, 0 }, func(i int) string {
			return []string{"1.1.1.1", "::ffff:1.1.1.1"}[i%2]
		}, 4, ByAddress},
		{"v6", func(c *Config) { c.AddressRate, c.WideRate = 0, 0 }, func(i int) string { return fmt.Sprintf("2001:db8::%x", i+1) }, 4, ByAddress},
		{"wide", func(c *Config) { c.AddressRate, c.WideRate = 0, 0 }, func(i int) string { return fmt.Sprintf("1.1.1.%d", i) }, 8, ByWide},
		{"address rate", func(c *Config) { c.Address, c.Wide, c.WideRate = 0, 0, 0 }, func(int) string { return "1.1.1.1" }, 4, ByAddressRate},
		{"wide rate", func(c *Config) { c.Address, c.Wide, c.AddressRate = 0, 0, 0 }, func(i int) string { return fmt.Sprintf("1.1.1.%d", i) }, 10, ByWideRate},
		{"listener", func(c *Config) { c.AddressRate, c.WideRate = 0, 0 }, func(i int) string { return fmt.Sprintf("1.%d.1.1", i) }, 18, ByListener},
		{"total", func(c *Config) { c.AddressRate, c.WideRate, c.Listener = 0, 0, 0 }, func(i int) string { return fmt.Sprintf("1.%d.1.1", i) }, 20, ByTotal},
	} {
		conf := config()
		c.change(&conf)
		a := must(t, conf)
		taken := 0
		for i := range 40 {
			v := a.Admit(time.Second, uint64(i), 0, ip(c.addr(i)))
			if v.Preempt {
				t.Errorf("%s: an idle connection gave way to an equal", c.name)
			}
			if v.Accept {
				take(a, time.Second, uint64(i)) // so that none is idle
				taken++
			} else if v.Reason != c.reason {
				t.Errorf("%s: refused by %v", c.name, v.Reason)
			}
		}
		if taken != c.taken {
			t.Errorf("%s: %d taken, want %d", c.name, taken, c.taken)
		}
	}
}

// The reserve is lent and got back at once: idle unknown connections give way,
// those with a request under way never do, and they never use it up.
func TestReserve(t *testing.T) {
	c := config()
	c.AddressRate, c.WideRate, c.Listener = 0, 0, 0
	a := must(t, c)
	begun := 0
	for i := range 20 {
		if v := a.Admit(0, uint64(i), 0, ip(fmt.Sprintf("1.%d.1.1", i))); !v.Accept {
			t.Fatalf("connection %d of 20 is refused by %v: the reserve is not lent", i, v.Reason)
		}
		if ok, why := take(a, 0, uint64(i)); ok {
			begun++
		} else if why != ByReserve {
			t.Fatal(why)
		}
	}
	if begun != 15 {
		t.Errorf("%d requests of unknown clients under way, want 15", begun)
	}
	for i := range 5 {
		v := a.Admit(0, uint64(100+i), 0, ip(fmt.Sprintf("10.9.0.%d", i)))
		if !v.Accept || !v.Preempt || v.PreemptID < 15 {
			t.Errorf("known client %d: %+v", i, v)
		}
	}
	if v := a.Admit(0, 200, 0, ip("10.9.0.9")); v.Accept || v.Reason != ByTotal {
		t.Errorf("with nothing idle left: %+v", v)
	}
}

// Behind one address: a hoard of idle connections does not keep a newcomer out,
// and one that is served is not closed for it.
func TestSharedAddress(t *testing.T) {
	c := config()
	c.AddressRate, c.WideRate = 0, 0
	a := must(t, c)
	for i := range uint64(4) {
		a.Admit(0, i, 0, ip("1.1.1.1"))
	}
	take(a, 0, 0)
	a.EndRequest(0, 0, true)
	for i := range uint64(10) {
		v := a.Admit(0, 10+i, 0, ip("1.1.1.1"))
		if !v.Accept || !v.Preempt || v.PreemptID == 0 {
			t.Fatalf("%+v", v)
		}
	}
}

// Being known takes time, not many requests; it fades; the table is bounded, and
// what is known is not lost to newcomers.
func TestLearned(t *testing.T) {
	a := must(t, config())
	serve := func(now Time, id uint64, addr string) Decision {
		v := a.Admit(now, id, 0, ip(addr))
		take(a, now, id)
		a.EndRequest(now, id, true)
		a.Closed(now, id)
		return v
	}
	for i := range uint64(100) { // a hundred requests within a second
		a.Admit(0, i, 0, ip("2.2.2.2"))
		take(a, 0, i)
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
		t.Error("forgotten for newcomers")
	}
	if v := serve(now+time.Minute, 700, "3.3.3.3"); v.Known {
		t.Error("still known after a minute")
	}
}

// A flood from very many addresses fills the table: its size stays, and a heavy
// hitter is not forgotten, as it would be by the oldest giving way.
func TestFloodOfAddresses(t *testing.T) {
	c := config()
	c.Address, c.Wide, c.WideRate = 0, 0, 0
	c.AddressRate, c.AddressBurst = 0.01, 4
	a := must(t, c)
	id := uint64(0)
	come := func(addr netip.Addr) Decision {
		id++
		v := a.Admit(time.Second, id, 0, addr)
		if v.Accept {
			a.Closed(time.Second, id)
		}
		return v
	}
	for range 4 {
		come(ip("1.1.1.1"))
	}
	accepted := 0
	for i := range 100_000 {
		if come(netip.AddrFrom4([4]byte{20, byte(i >> 16), byte(i >> 8), byte(i)})).Accept {
			accepted++
		}
	}
	if v := come(ip("1.1.1.1")); v.Accept || v.Reason != ByAddressRate {
		t.Errorf("the heavy hitter was forgotten: %+v", v)
	}
	if n := a.Counts(); n.Addresses > 64 {
		t.Errorf("%d addresses are held, want 64 at most", n.Addresses)
	}
	if accepted > 64*4+8 { // what the table and the shared entry can give
		t.Errorf("%d accepted of a flood", accepted)
	}
	if v := come(ip("10.9.1.1")); !v.Accept { // a known client does not stand in that table
		t.Errorf("a known client in the flood: %+v", v)
	}
}

func TestRefusalsAreTold(t *testing.T) {
	c := config()
	c.Address = 1
	a := must(t, c)
	a.Admit(0, 1, 0, ip("1.1.1.1"))
	take(a, 0, 1)
	told := 0
	for i := range 50 {
		if v := a.Admit(0, uint64(2+i), 0, ip("1.1.1.1")); v.SendRejection {
			told++
		}
	}
	if told != 3 {
		t.Errorf("%d told, want the burst of 3", told)
	}
}

func TestPressed(t *testing.T) {
	c := config()
	c.AddressRate, c.WideRate, c.Listener = 0, 0, 0
	a := must(t, c)
	for i := range 16 {
		a.Admit(0, uint64(i), 0, ip(fmt.Sprintf("1.%d.1.1", i)))
	}
	take(a, 0, 0)
	a.EndRequest(0, 1, true)
	if _, ok := a.NextToPreempt(time.Second / 2); ok {
		t.Error("closed before its time")
	}
	id, ok := a.NextToPreempt(2 * time.Second)
	if !ok || id == 0 {
		t.Errorf("%d %v", id, ok)
	}
	a.Closed(2*time.Second, id)
	if _, ok := a.NextToPreempt(2 * time.Second); ok {
		t.Error("closed without need")
	}
}

// Buffers: an unknown client's request begins while the reserve's part is free, a
// known one's up to the bound; past it each connection has its least.
func TestBuffers(t *testing.T) {
	c := config()
	c.AddressRate, c.WideRate, c.Listener = 0, 0, 0
	c.Buffers, c.BufferLeast = 20*100, 100
	a := must(t, c)
	a.Admit(0, 1, 0, ip("1.1.1.1"))
	a.Admit(0, 2, 0, ip("10.9.0.1"))
	if ok, why := a.BeginRequest(0, 1, 1500, false); ok || why != ByBuffers {
		t.Errorf("an unknown client past its part: %v %v", ok, why)
	}
	if ok, _ := a.BeginRequest(0, 2, 1999, false); !ok {
		t.Error("a known client within the bound is refused")
	}
	a.EndRequest(0, 2, true)
	if ok, why := a.BeginRequest(0, 2, 2000, false); ok || why != ByBuffers {
		t.Errorf("a known client past the bound: %v %v", ok, why)
	}
	if ok, _ := a.BeginRequest(0, 1, 1499, false); !ok {
		t.Error("an unknown client within its part is refused")
	}
	if a.BufferAllowance(1999, 500) != 500 || a.BufferAllowance(2000, 500) != 100 || a.BufferAllowance(2000, 50) != 50 {
		t.Error("what one may hold")
	}
	c.Buffers = 20*100 - 1
	if c.Check() == nil {
		t.Error("buffers under the least of all connections")
	}
}

// Among unknown connections those give way first that were never served, then idle
// ones, then slow ones; taken ones never.
func TestOrderOfGivingWay(t *testing.T) {
	c := config()
	c.AddressRate, c.WideRate, c.Listener, c.Reserve = 0, 0, 0, 5
	c.Total = 12
	a := must(t, c)
	for i := range uint64(12) {
		a.Admit(Time(i), i, 0, ip(fmt.Sprintf("1.%d.1.1", i)))
	}
	a.BeginRequest(20, 0, 0, false) // slow
	take(a, 20, 1)                  // taken
	for i := uint64(2); i < 12; i++ {
		if i != 5 {
			take(a, 30, i)
			a.EndRequest(30, i, true)
		}
	}
	var order []uint64
	for i := range uint64(11) {
		v := a.Admit(40, 100+i, 0, ip(fmt.Sprintf("10.9.0.%d", i)))
		if !v.Accept {
			t.Fatalf("known client %d: %+v", i, v)
		}
		order = append(order, v.PreemptID)
	}
	if order[0] != 5 || order[10] != 0 {
		t.Errorf("gave way in the order %v, want 5 (never served) first and 0 (slow) last", order)
	}
	if v := a.Admit(40, 200, 0, ip("10.9.0.50")); v.Accept || v.Reason != ByTotal {
		t.Errorf("what was taken gave way: %+v", v)
	}
}

// At every step of any history the caps, the reserve and the bounds hold, by a
// count of the test's own.
func TestAnyHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := config()
		c.Entries = 1024
		if rapid.Bool().Draw(t, "no rates") {
			c.AddressRate, c.WideRate = 0, 0
		}
		a, err := New(c, 3)
		if err != nil {
			t.Fatal(err)
		}
		type state struct {
			addr     netip.Addr
			listener int
			known    bool
			busy     bool
			taken    bool
		}
		live := map[uint64]*state{}
		ids := []uint64{}
		now, next := Time(0), uint64(1)
		drop := func(id uint64) {
			delete(live, id)
			for i, x := range ids {
				if x == id {
					ids = append(ids[:i], ids[i+1:]...)
					return
				}
			}
		}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0, 1, 2:
				addr := netip.AddrFrom4([4]byte{byte(rapid.SampledFrom([]int{1, 2, 10}).Draw(t, "a")), 9, byte(rapid.IntRange(0, 1).Draw(t, "c")), byte(rapid.IntRange(0, 5).Draw(t, "d"))})
				listener := rapid.IntRange(0, 1).Draw(t, "listener")
				knownNow := 0
				ofAddr := 0
				for _, s := range live {
					if s.known {
						knownNow++
					}
					if s.addr == addr {
						ofAddr++
					}
				}
				v := a.Admit(now, next, listener, addr)
				if v.Preempt {
					s := live[v.PreemptID]
					if s == nil || s.taken || s.known {
						t.Fatalf("%d gave way: %+v", v.PreemptID, s)
					}
					drop(v.PreemptID)
				}
				if v.Known != (addr.As4()[0] == 10) && addr.As4()[0] == 10 {
					t.Fatal("a listed client is not known")
				}
				if v.Known && !v.Accept && knownNow < c.Reserve && ofAddr < c.Address && v.Reason == ByTotal {
					t.Fatalf("a known client is refused with %d of the reserve of %d used", knownNow, c.Reserve)
				}
				if v.Accept {
					live[next] = &state{addr, listener, v.Known, false, false}
					ids = append(ids, next)
				}
				next++
			default:
				if len(ids) == 0 {
					continue
				}
				id := ids[rapid.IntRange(0, len(ids)-1).Draw(t, "which")]
				s := live[id]
				switch rapid.IntRange(0, 3).Draw(t, "do") {
				case 0:
					whole := rapid.Bool().Draw(t, "whole")
					if ok, _ := a.BeginRequest(now, id, 0, whole); ok {
						s.busy, s.taken = true, s.taken || whole && !s.busy
					}
				case 3:
					a.RequestAccepted(now, id)
					s.taken = s.busy
				case 1:
					a.EndRequest(now, id, rapid.Bool().Draw(t, "good"))
					s.busy, s.taken = false, false
				case 2:
					a.Closed(now, id)
					drop(id)
				}
			}
			byAddr, byWide, byListener := map[netip.Addr]int{}, map[netip.Prefix]int{}, map[int]int{}
			busyUnknown, known := 0, 0
			for _, s := range live {
				byAddr[s.addr]++
				byListener[s.listener]++
				if s.known {
					known++
					continue
				}
				p, _ := s.addr.Prefix(24)
				byWide[p]++
				if s.busy {
					busyUnknown++
				}
			}
			for addr, n := range byAddr {
				if n > c.Address*(1+c.KnownMultiple) || (addr.As4()[0] == 10 && n > c.Address*c.KnownMultiple) {
					t.Fatalf("%v has %d connections", addr, n)
				}
			}
			for p, n := range byWide {
				if n > c.Wide {
					t.Fatalf("%v has %d connections", p, n)
				}
			}
			for l, n := range byListener {
				if n > c.Listener {
					t.Fatalf("listener %d has %d connections", l, n)
				}
			}
			if len(live) > c.Total || busyUnknown > c.Total-c.Reserve {
				t.Fatalf("%d connections, %d unknown under way", len(live), busyUnknown)
			}
			if got := a.Counts(); got.Conns != len(live) || got.BusyUnknown != busyUnknown || got.Known != known {
				t.Fatalf("%+v, want %d, %d, %d", got, len(live), busyUnknown, known)
			}
		}
	})
}

// Decisions cost the same after ten addresses and after a million, like for like:
// each arrival is of an address seen long ago, in a table that is as full as it
// gets, and all are accepted, or all refused.
func BenchmarkArrive(b *testing.B) {
	for _, refused := range []bool{false, true} {
		for _, seen := range []int{10, 1000, 100_000, 1_000_000} {
			b.Run(fmt.Sprintf("refused=%v/seen=%d", refused, seen), func(b *testing.B) {
				c := config()
				c.Total, c.Listener, c.Entries, c.Known = 1000, 0, 1<<16, nil
				c.AddressRate, c.WideRate = 1e6, 1e6
				c.AddressBurst, c.WideBurst = 1e6, 1e6
				if refused {
					c.Listener = 1
				}
				a, err := New(c, 1)
				if err != nil {
					b.Fatal(err)
				}
				if refused {
					a.Admit(0, 1<<40, 0, ip("9.9.9.9"))
				}
				addr := func(i int) netip.Addr {
					return netip.AddrFrom4([4]byte{byte(i>>24) + 20, byte(i >> 16), byte(i >> 8), byte(i)})
				}
				id := uint64(0)
				come := func(i int) {
					id++
					now := Time(id) * time.Millisecond
					if a.Admit(now, id, 0, addr(i)).Accept {
						a.Closed(now, id)
					}
				}
				for i := range max(seen, 100_000) { // tables as warm in every run
					come(i % seen * 256)
				}
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					come(i % seen * 256)
				}
			})
		}
	}
}

// A flood from an address at its cap costs the same however many others are idle.
func BenchmarkFullAddress(b *testing.B) {
	for _, idle := range []int{10, 1000, 100_000} {
		b.Run(fmt.Sprint(idle), func(b *testing.B) {
			c := config()
			c.Total, c.Listener, c.Wide, c.Address, c.Entries, c.AddressRate, c.WideRate = 200_000, 0, 0, 4, 1<<18, 0, 0
			a, err := New(c, 1)
			if err != nil {
				b.Fatal(err)
			}
			for i := range idle {
				a.Admit(0, uint64(i), 0, netip.AddrFrom4([4]byte{20, byte(i >> 16), byte(i >> 8), byte(i)}))
			}
			for i := range uint64(4) {
				a.Admit(0, 1<<40+i, 0, ip("9.9.9.9"))
				take(a, 0, 1<<40+i)
			}
			for id := uint64(1 << 41); b.Loop(); id++ {
				if a.Admit(0, id, 0, ip("9.9.9.9")).Accept {
					b.Fatal("past its cap")
				}
			}
		})
	}
}

// Known clients do not stand in the table that a flood fills.
func TestKnownStandApart(t *testing.T) {
	c := config()
	c.Total, c.Listener, c.Address, c.Wide, c.AddressRate, c.WideRate, c.Entries = 100, 0, 1, 0, 0, 0, ways
	a := must(t, c)
	for i := range 40 {
		if a.Admit(0, uint64(i), 0, ip(fmt.Sprintf("1.1.%d.1", i))).Accept {
			take(a, 0, uint64(i))
		}
	}
	if n := a.Counts().Conns; n != ways+1 {
		t.Fatalf("%d connections, want one for each entry and one shared", n)
	}
	for i := range 4 {
		if v := a.Admit(0, uint64(100+i), 0, ip(fmt.Sprintf("10.9.%d.1", i))); !v.Accept {
			t.Errorf("known client %d is refused by %v", i, v.Reason)
		}
	}
}

// Where every address of a set has used its rate up, none is forgotten for a newcomer.
func TestSpentAddressesStay(t *testing.T) {
	c := config()
	c.Address, c.Wide, c.WideRate, c.AddressRate, c.AddressBurst, c.Entries = 0, 0, 0, 0.001, 2, ways
	a := must(t, c)
	accepted := 0
	for i := range 50 {
		for k := range 2 {
			if id := uint64(10*i + k); a.Admit(0, id, 0, ip(fmt.Sprintf("1.1.%d.1", i))).Accept {
				a.Closed(0, id)
				accepted++
			}
		}
	}
	if accepted != 2*ways+2 { // a newcomer has the shared rate, not what a spent address left
		t.Errorf("%d accepted, want two of each entry and two of the shared one", accepted)
	}
	for i := range ways {
		if v := a.Admit(0, uint64(1000+i), 0, ip(fmt.Sprintf("1.1.%d.1", i))); v.Accept {
			t.Errorf("address %d was forgotten", i)
		}
	}
}

// A table of learned addresses that are all known takes no newcomer.
func TestKnownAreNotEvicted(t *testing.T) {
	l := newLearned(3, 2, time.Minute)
	key := func(i int) netip.Prefix { return netip.PrefixFrom(netip.AddrFrom4([4]byte{1, 1, 1, byte(i)}), 32) }
	now := Time(0)
	for range 4 {
		for i := range 3 {
			l.good(now, key(i))
		}
		now += time.Second
	}
	for i := range 20 {
		l.good(now, key(10+i))
	}
	for i := range 3 {
		if !l.known(now, key(i)) {
			t.Errorf("known address %d gave way to a newcomer", i)
		}
	}
}

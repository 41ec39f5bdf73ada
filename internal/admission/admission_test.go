package admission

import (
	"fmt"
	"net/netip"
	"testing"
	"time"
)

// testConfig returns a small configuration with a value for every limit except Buffers. Clients
// in 10.9.0.0/16 are known.
func testConfig() Config {
	return Config{
		MaxConns:   20,
		Reserve:    5,
		Caps:       Caps{Listener: 18, Address: 4, Prefix: 8},
		Rates:      Rates{Address: RateLimit{PerSecond: 2, Burst: 4}, Prefix: RateLimit{PerSecond: 5, Burst: 10}},
		PrefixBits: PrefixBits{AddressIPv6: 64, IPv4: 24, IPv6: 48},
		KnownClients: KnownClients{
			Prefixes:     []netip.Prefix{netip.MustParsePrefix("10.9.0.0/16")},
			CapMultiple:  2,
			LearnSeconds: 3,
			HalfLife:     10 * time.Second,
			MaxLearned:   4,
		},
		TableEntries: 64,
		Rejections:   RateLimit{PerSecond: 1, Burst: 3},
		Preemption:   Preemption{MinFreeConns: 5, MaxIdle: time.Second},
	}
}

func newAdmission(t *testing.T, c Config) *Admission {
	t.Helper()
	a, err := New(c, 7)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// acceptRequest begins a request, and accepts it if it may proceed.
func acceptRequest(a *Admission, now Time, id uint64) (bool, Reason) {
	ok, reason := a.BeginRequest(now, id, NewRequest{})
	if ok {
		a.RequestAccepted(now, id)
	}
	return ok, reason
}

func ip(s string) netip.Addr { return netip.MustParseAddr(s) }

// Verifies each cap and rate on its own: connections are accepted up to the limit and rejected
// with its reason beyond it. No busy connection is preempted.
func TestCaps(t *testing.T) {
	for _, c := range []struct {
		name     string
		change   func(*Config)
		addr     func(i int) string
		accepted int
		reason   Reason
	}{
		{"address", func(c *Config) { c.Rates.Address.PerSecond, c.Rates.Prefix.PerSecond = 0, 0 }, func(int) string { return "1.1.1.1" }, 4, AddressLimit},
		{"mapped address", func(c *Config) { c.Rates.Address.PerSecond, c.Rates.Prefix.PerSecond = 0, 0 }, func(i int) string {
			return []string{"1.1.1.1", "::ffff:1.1.1.1"}[i%2]
		}, 4, AddressLimit},
		{"v6", func(c *Config) { c.Rates.Address.PerSecond, c.Rates.Prefix.PerSecond = 0, 0 }, func(i int) string { return fmt.Sprintf("2001:db8::%x", i+1) }, 4, AddressLimit},
		{"wide", func(c *Config) { c.Rates.Address.PerSecond, c.Rates.Prefix.PerSecond = 0, 0 }, func(i int) string { return fmt.Sprintf("1.1.1.%d", i) }, 8, PrefixLimit},
		{"address rate", func(c *Config) { c.Caps.Address, c.Caps.Prefix, c.Rates.Prefix.PerSecond = 0, 0, 0 }, func(int) string { return "1.1.1.1" }, 4, AddressRate},
		{"wide rate", func(c *Config) { c.Caps.Address, c.Caps.Prefix, c.Rates.Address.PerSecond = 0, 0, 0 }, func(i int) string { return fmt.Sprintf("1.1.1.%d", i) }, 10, PrefixRate},
		{"listener", func(c *Config) { c.Rates.Address.PerSecond, c.Rates.Prefix.PerSecond = 0, 0 }, func(i int) string { return fmt.Sprintf("1.%d.1.1", i) }, 18, ListenerLimit},
		{"total", func(c *Config) { c.Rates.Address.PerSecond, c.Rates.Prefix.PerSecond, c.Caps.Listener = 0, 0, 0 }, func(i int) string { return fmt.Sprintf("1.%d.1.1", i) }, 20, ConnLimit},
	} {
		conf := testConfig()
		c.change(&conf)
		a := newAdmission(t, conf)
		accepted := 0
		for i := range 40 {
			d := a.Admit(time.Second, uint64(i), 0, ip(c.addr(i)))
			if d.Preempt {
				t.Errorf("%s: a connection was preempted for another unknown client", c.name)
			}
			if d.Accept {
				acceptRequest(a, time.Second, uint64(i)) // so that none is idle
				accepted++
			} else if d.Reason != c.reason {
				t.Errorf("%s: rejected by the limit %v", c.name, d.Reason)
			}
		}
		if accepted != c.accepted {
			t.Errorf("%s: %d connections accepted, want %d", c.name, accepted, c.accepted)
		}
	}
}

// Verifies that rejections get no more responses than Config.Rejections allows: an address at its
// cap connects 50 times at once, and all but the burst are closed without a response.
func TestRejectionResponsesAreLimited(t *testing.T) {
	c := testConfig()
	c.Caps.Address = 1
	a := newAdmission(t, c)
	a.Admit(0, 1, 0, ip("1.1.1.1"))
	acceptRequest(a, 0, 1)
	responses := 0
	for i := range 50 {
		if d := a.Admit(0, uint64(2+i), 0, ip("1.1.1.1")); d.SendRejection {
			responses++
		}
	}
	if responses != 3 {
		t.Errorf("%d rejections got a response, want the burst of 3", responses)
	}
}

// Verifies the limits on buffers that slow readers fill. Requests of unknown clients are rejected
// once only the share of the reserve is left, requests of known clients at the total. Beyond the
// total each connection gets its minimum.
func TestBufferLimits(t *testing.T) {
	c := testConfig()
	c.Rates.Address.PerSecond, c.Rates.Prefix.PerSecond, c.Caps.Listener = 0, 0, 0
	c.Buffers.TotalBytes, c.Buffers.MinConnBytes = 20*100, 100
	a := newAdmission(t, c)
	a.Admit(0, 1, 0, ip("1.1.1.1"))
	a.Admit(0, 2, 0, ip("10.9.0.1"))
	if ok, reason := a.BeginRequest(0, 1, NewRequest{Buffered: 1500}); ok || reason != BufferLimit {
		t.Errorf("unknown client beyond its share: got %v, limit %v; want it rejected by the buffers", ok, reason)
	}
	if ok, _ := a.BeginRequest(0, 2, NewRequest{Buffered: 1999}); !ok {
		t.Error("the request of a known client within the total is rejected")
	}
	a.EndRequest(0, 2, true)
	if ok, reason := a.BeginRequest(0, 2, NewRequest{Buffered: 2000}); ok || reason != BufferLimit {
		t.Errorf("known client beyond the total: got %v, limit %v; want it rejected by the buffers", ok, reason)
	}
	if ok, reason := a.BeginRequest(0, 2, NewRequest{Buffered: 1500, Long: true}); ok || reason != BufferLimit {
		t.Errorf("a long request began at three quarters of the bound (%v), want the rest kept for short ones", reason)
	}
	if ok, _ := a.BeginRequest(0, 1, NewRequest{Buffered: 1499}); !ok {
		t.Error("the request of an unknown client within its share is rejected")
	}
	if a.BufferAllowance(1999, 500) != 500 || a.BufferAllowance(2000, 500) != 100 || a.BufferAllowance(2000, 50) != 50 {
		t.Error("wrong buffer allowances, want the bound below the total and the minimum or a lower bound from there on")
	}
	c.Buffers.TotalBytes = 20*100 - 1
	if c.Check() == nil {
		t.Error("Check accepts a total below the sum of the minimums of all connections")
	}
}

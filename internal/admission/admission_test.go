package admission

import (
	"fmt"
	"net/netip"
	"testing"
	"time"
)

// testConfig is a small configuration with every limit in force. 10.9.0.0/16 is known.
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

// acceptRequest begins a request, and has it accepted if it may go on.
func acceptRequest(a *Admission, now Time, id uint64) (bool, Reason) {
	ok, why := a.BeginRequest(now, id, 0, false)
	if ok {
		a.RequestAccepted(now, id)
	}
	return ok, why
}

func ip(s string) netip.Addr { return netip.MustParseAddr(s) }

// Caps by address, IPv6 prefix, wider prefix and listener, each by itself.
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
			v := a.Admit(time.Second, uint64(i), 0, ip(c.addr(i)))
			if v.Preempt {
				t.Errorf("%s: an idle connection was preempted for one of the same class", c.name)
			}
			if v.Accept {
				acceptRequest(a, time.Second, uint64(i)) // so that none is idle
				accepted++
			} else if v.Reason != c.reason {
				t.Errorf("%s: rejected by %v", c.name, v.Reason)
			}
		}
		if accepted != c.accepted {
			t.Errorf("%s: %d accepted, want %d", c.name, accepted, c.accepted)
		}
	}
}

// An address at its cap connects 50 times at once. As many responses are sent as the
// burst allows; the other connections are closed without one.
func TestRejectionResponsesAreLimited(t *testing.T) {
	c := testConfig()
	c.Caps.Address = 1
	a := newAdmission(t, c)
	a.Admit(0, 1, 0, ip("1.1.1.1"))
	acceptRequest(a, 0, 1)
	responses := 0
	for i := range 50 {
		if v := a.Admit(0, uint64(2+i), 0, ip("1.1.1.1")); v.SendRejection {
			responses++
		}
	}
	if responses != 3 {
		t.Errorf("%d responses, want the burst of 3", responses)
	}
}

// Slow readers fill the buffers. Unknown clients' requests are rejected once only the
// reserve's part is left, known clients' at the total; past it each connection has its
// minimum.
func TestBufferLimits(t *testing.T) {
	c := testConfig()
	c.Rates.Address.PerSecond, c.Rates.Prefix.PerSecond, c.Caps.Listener = 0, 0, 0
	c.Buffers.TotalBytes, c.Buffers.MinConnBytes = 20*100, 100
	a := newAdmission(t, c)
	a.Admit(0, 1, 0, ip("1.1.1.1"))
	a.Admit(0, 2, 0, ip("10.9.0.1"))
	if ok, why := a.BeginRequest(0, 1, 1500, false); ok || why != BufferLimit {
		t.Errorf("an unknown client past its part: %v %v", ok, why)
	}
	if ok, _ := a.BeginRequest(0, 2, 1999, false); !ok {
		t.Error("a known client within the total is rejected")
	}
	a.EndRequest(0, 2, true)
	if ok, why := a.BeginRequest(0, 2, 2000, false); ok || why != BufferLimit {
		t.Errorf("a known client past the total: %v %v", ok, why)
	}
	if ok, _ := a.BeginRequest(0, 1, 1499, false); !ok {
		t.Error("an unknown client within its part is rejected")
	}
	if a.BufferAllowance(1999, 500) != 500 || a.BufferAllowance(2000, 500) != 100 || a.BufferAllowance(2000, 50) != 50 {
		t.Error("wrong buffer allowances")
	}
	c.Buffers.TotalBytes = 20*100 - 1
	if c.Check() == nil {
		t.Error("a total below the minimum of all connections is accepted")
	}
}

package admission

import (
	"net/netip"
	"strings"
	"testing"
)

// Each limit that contradicts another is reported.
func TestConfigCheck(t *testing.T) {
	for want, f := range map[string]func(*Config){
		"want at least 1":            func(c *Config) { c.MaxConns = 0 },
		"the cap listener is 30":     func(c *Config) { c.Caps.Listener = 30 },
		"over that of its prefix":    func(c *Config) { c.Caps.Address = 9 },
		"nothing is left for others": func(c *Config) { c.Reserve = 20 },
		"prefix lengths":             func(c *Config) { c.PrefixBits.IPv6 = 65 },
		"want at least 8":            func(c *Config) { c.TableEntries = 1 },
		"they fade within":           func(c *Config) { c.KnownClients.LearnSeconds = 11 },
		"10.9.0.0/16 and 10.9.1.0/24 overlap": func(c *Config) {
			c.KnownClients.Prefixes = append(c.KnownClients.Prefixes, netip.MustParsePrefix("10.9.1.0/24"))
		},
	} {
		c := testConfig()
		f(&c)
		if err := c.Check(); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want %q", err, want)
		}
	}
}

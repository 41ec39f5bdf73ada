package admission

import (
	"net/netip"
	"strings"
	"testing"
)

// Verifies that Check reports each limit that is out of range or contradicts another one.
func TestConfigCheck(t *testing.T) {
	for want, change := range map[string]func(*Config){
		"want at least 1":                                                    func(c *Config) { c.MaxConns = 0 },
		"the cap listener is 30":                                             func(c *Config) { c.Caps.Listener = 30 },
		"address is 9, more than the cap of its prefix, 8":                   func(c *Config) { c.Caps.Address = 9 },
		"reserve is 20 of 20 connections, want at least 0 and less than all": func(c *Config) { c.Reserve = 20 },
		"prefix lengths":                                                     func(c *Config) { c.PrefixBits.IPv6 = 65 },
		"want at least 8":                                                    func(c *Config) { c.TableEntries = 1 },
		"learning takes 11 seconds, want at most the half-life of 10s":       func(c *Config) { c.KnownClients.LearnSeconds = 11 },
		"10.9.0.0/16 and 10.9.1.0/24 overlap": func(c *Config) {
			c.KnownClients.Prefixes = append(c.KnownClients.Prefixes, netip.MustParsePrefix("10.9.1.0/24"))
		},
	} {
		c := testConfig()
		change(&c)
		if err := c.Check(); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("error %v, want one that contains %q", err, want)
		}
	}
}

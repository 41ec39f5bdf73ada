package flood

import (
	"net/netip"
	"strings"
	"testing"
	"time"
)

// Verifies that Check rejects a flood that uses addresses outside loopback or exceeds the limits.
func TestCheck(t *testing.T) {
	valid := Options{
		Target:      "127.0.0.1:1",
		Pattern:     Hold,
		Sources:     []netip.Addr{netip.MustParseAddr("127.0.0.9")},
		Attempts:    1,
		Concurrency: 1,
		Duration:    time.Second,
	}
	if err := valid.Check(); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name    string
		change  func(*Options)
		wantErr string
	}{
		{"target", func(o *Options) { o.Target = "10.0.0.1:80" }, "not a loopback address and port"},
		{"pattern", func(o *Options) { o.Pattern = "storm" }, "is none of"},
		{"attempts", func(o *Options) { o.Attempts = 1e7 }, "want up to"},
		{"no source", func(o *Options) { o.Sources = nil }, "no source"},
		{"source", func(o *Options) { o.KnownClients = []netip.Addr{netip.MustParseAddr("10.0.0.1")} }, "the source 10.0.0.1 is not"},
	} {
		t.Run(c.name, func(t *testing.T) {
			o := valid
			c.change(&o)
			if err := o.Check(); err == nil || !strings.Contains(err.Error(), c.wantErr) {
				t.Errorf("got error %v, want one that contains %q", err, c.wantErr)
			}
		})
	}
}

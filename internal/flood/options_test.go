package flood

import (
	"net/netip"
	"strings"
	"testing"
	"time"
)

// A flood that leaves the machine, or that is larger than the machine bears, is not run.
func TestCheck(t *testing.T) {
	good := Options{Target: "127.0.0.1:1", Pattern: Hold, Sources: []netip.Addr{netip.MustParseAddr("127.0.0.9")}, Attempts: 1, Concurrency: 1, Duration: time.Second}
	if err := good.Check(); err != nil {
		t.Fatal(err)
	}
	for want, change := range map[string]func(*Options){
		"not a loopback address and port": func(o *Options) { o.Target = "10.0.0.1:80" },
		"is none of":                      func(o *Options) { o.Pattern = "storm" },
		"want up to":                      func(o *Options) { o.Attempts = 1e7 },
		"no source":                       func(o *Options) { o.Sources = nil },
		"the source 10.0.0.1 is not":      func(o *Options) { o.KnownClients = []netip.Addr{netip.MustParseAddr("10.0.0.1")} },
	} {
		o := good
		change(&o)
		if err := o.Check(); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want %q", err, want)
		}
	}
}

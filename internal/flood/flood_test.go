package flood

import (
	"net/netip"
	"strings"
	"testing"
	"time"
)

func TestCheck(t *testing.T) {
	good := Options{Target: "127.0.0.1:1", Pattern: "hold", Sources: []netip.Addr{netip.MustParseAddr("127.0.0.9")}, Tries: 1, AtOnce: 1, Length: time.Second}
	if err := good.Check(); err != nil {
		t.Fatal(err)
	}
	for want, f := range map[string]func(*Options){
		"not a loopback address and port": func(o *Options) { o.Target = "10.0.0.1:80" },
		"is none of":                      func(o *Options) { o.Pattern = "storm" },
		"want up to":                      func(o *Options) { o.Tries = 1e7 },
		"no source":                       func(o *Options) { o.Sources = nil },
		"the source 10.0.0.1 is not":      func(o *Options) { o.Known = []netip.Addr{netip.MustParseAddr("10.0.0.1")} },
	} {
		o := good
		f(&o)
		if err := o.Check(); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want %q", err, want)
		}
	}
}

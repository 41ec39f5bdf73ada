package flood

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"time"
)

// Limits of a flood.
const (
	maxAttempts    = 1_000_000
	maxConcurrency = 10_000
	maxDuration    = 10 * time.Minute
)

// Options configures a flood.
type Options struct {
	Target      string // address and port of the gateway, on loopback
	Path        string // path that the requests read
	Pattern     Pattern
	Sources     []netip.Addr // source addresses of the flood, used in turn
	Attempts    int          // total number of connections that the flood attempts; 0 for no flood
	Concurrency int          // maximum number of flood connections at a time
	Duration    time.Duration
	// KnownClients are the source addresses of well-behaved clients that the gateway's configuration
	// lists as known. OtherClients behave in the same way but are not listed. Each address is one
	// client.
	KnownClients []netip.Addr
	OtherClients []netip.Addr
	// ClientInterval is the pause of a well-behaved client after each connection.
	ClientInterval time.Duration
}

// Check returns an error unless all addresses are loopback addresses and the flood is within its limits.
func (o *Options) Check() error {
	target, err := netip.ParseAddrPort(o.Target)
	switch {
	case err != nil || !target.Addr().IsLoopback():
		return fmt.Errorf("the target %q is not a loopback address and port", o.Target)
	case !slices.Contains(Patterns, o.Pattern):
		return fmt.Errorf("the pattern %q is none of %v", o.Pattern, Patterns)
	case !o.isWithinBounds():
		return errors.New("want up to 1,000,000 tries, 1 to 10,000 at once, up to ten minutes")
	case o.Attempts > 0 && len(o.Sources) == 0:
		return errors.New("no source address")
	}
	for _, addr := range slices.Concat(o.Sources, o.KnownClients, o.OtherClients) {
		if !addr.IsLoopback() {
			return fmt.Errorf("the source %v is not a loopback address", addr)
		}
	}
	return nil
}

func (o *Options) isWithinBounds() bool {
	return o.Attempts >= 0 && o.Attempts <= maxAttempts &&
		o.Concurrency >= 1 && o.Concurrency <= maxConcurrency &&
		o.Duration > 0 && o.Duration <= maxDuration
}

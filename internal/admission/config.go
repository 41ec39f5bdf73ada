package admission

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"time"
)

// Config is what an Admission enforces. Check tells whether it is consistent.
type Config struct {
	// MaxConns is how many connections are open at once, at least 1.
	MaxConns int
	// Reserve is how many of MaxConns the requests of unknown clients leave free for
	// known ones, 0 for none.
	Reserve      int
	Caps         Caps
	Rates        Rates
	PrefixBits   PrefixBits
	KnownClients KnownClients
	// TableEntries is the size of the table of addresses, and of that of prefixes. It
	// cannot change while an Admission is in use.
	TableEntries int
	// Rejections limits the responses to rejected connections; beyond it connections
	// are closed without one.
	Rejections RateLimit
	Buffers    Buffers
	Preemption Preemption
}

// Caps bound the open connections of one origin. 0 is no cap.
type Caps struct {
	Listener int // connections of one listener
	Address  int // connections of one address
	Prefix   int // connections of one prefix; not of known clients
}

// Rates bound how often unknown clients connect.
type Rates struct {
	Address RateLimit // new connections of one address
	Prefix  RateLimit // new connections of one prefix
}

// RateLimit is a token bucket.
type RateLimit struct {
	// PerSecond is how many tokens come a second. 0 is no limit for connections; of
	// responses it allows Burst in all.
	PerSecond float64
	Burst     int // how many at once
}

// PrefixBits are the lengths, in bits, by which addresses are grouped.
type PrefixBits struct {
	AddressIPv6 int // of an IPv6 address that counts as one address, 1 to 128
	IPv4, IPv6  int // of the prefix above an address; IPv6 is AddressIPv6 at most
}

// KnownClients says who is known, in advance or by behaviour.
type KnownClients struct {
	Prefixes []netip.Prefix // listed in advance; they must not overlap
	// CapMultiple is how many times Caps.Address a known address may have, 0 as 1.
	CapMultiple int
	// LearnSeconds is in how many seconds, each with a served request, an address
	// becomes known; 0 turns learning off.
	LearnSeconds int
	HalfLife     time.Duration // of what was learned
	// MaxLearned is how many addresses are held for learning. It cannot change while
	// an Admission is in use.
	MaxLearned int
}

// Buffers bound the memory of all client connections.
type Buffers struct {
	TotalBytes   int64 // of all connections, 0 for no bound
	MinConnBytes int   // that each connection may hold whatever the others do
}

// Preemption says when unknown clients' idle connections are closed to make room.
type Preemption struct {
	// MinFreeConns is the number of free connections below which those that have been
	// idle for MaxIdle are closed, 0 for never.
	MinFreeConns int
	MaxIdle      time.Duration
	// ForUnknownClients has a new connection of any client preempt the unknown one that
	// has been idle for the longest. If false, only known clients' do.
	ForUnknownClients bool
}

// Check returns what is inconsistent, joined in a fixed order. Its texts use the
// keywords of the configuration file.
func (c *Config) Check() error {
	return errors.Join(slices.Concat(c.checkCaps(), c.checkTables(), c.checkBuffers(), c.checkKnownPrefixes())...)
}

func (c *Config) checkCaps() (errs []error) {
	report := func(format string, args ...any) { errs = append(errs, fmt.Errorf(format, args...)) }
	if c.MaxConns < 1 {
		report("the cap of all connections is %d, want at least 1", c.MaxConns)
	}
	for _, limit := range []struct {
		keyword string
		n       int
	}{{"listener", c.Caps.Listener}, {"address", c.Caps.Address}, {"wide", c.Caps.Prefix}} {
		if limit.n < 0 || limit.n > c.MaxConns {
			report("the cap %s is %d, want 1 to %d (all connections)", limit.keyword, limit.n, c.MaxConns)
		}
	}
	if c.Caps.Prefix > 0 && c.Caps.Address > c.Caps.Prefix {
		report("the cap of an address, %d, is over that of its prefix, %d", c.Caps.Address, c.Caps.Prefix)
	}
	if c.Reserve < 0 || c.Reserve >= c.MaxConns {
		report("the reserve is %d of %d connections: nothing is left for others", c.Reserve, c.MaxConns)
	}
	return errs
}

func (c *Config) checkTables() (errs []error) {
	report := func(format string, args ...any) { errs = append(errs, fmt.Errorf(format, args...)) }
	b := c.PrefixBits
	if b.AddressIPv6 < 1 || b.AddressIPv6 > 128 || b.IPv6 < 1 || b.IPv6 > b.AddressIPv6 || b.IPv4 < 1 || b.IPv4 > 32 {
		report("prefix lengths: want 1 <= wide6 <= v6 <= 128 and 1 <= wide4 <= 32")
	}
	known := c.KnownClients
	if c.TableEntries < setSize || known.MaxLearned < 0 {
		report("the table of addresses has %d entries, want at least %d", c.TableEntries, setSize)
	}
	learnTime := time.Duration(known.LearnSeconds) * time.Second
	if known.LearnSeconds > 0 && (known.MaxLearned < 1 || learnTime > known.HalfLife) {
		report("an address is known after %d good seconds, but they fade within %v, or none is kept", known.LearnSeconds, known.HalfLife)
	}
	return errs
}

func (c *Config) checkBuffers() []error {
	b := c.Buffers
	if b.TotalBytes <= 0 {
		return nil
	}
	if b.MinConnBytes < 1 || b.TotalBytes < int64(c.MaxConns)*int64(b.MinConnBytes) {
		return []error{fmt.Errorf("%d bytes of buffers are less than %d for each of %d connections", b.TotalBytes, b.MinConnBytes, c.MaxConns)}
	}
	return nil
}

func (c *Config) checkKnownPrefixes() (errs []error) {
	for i, a := range c.KnownClients.Prefixes {
		for _, b := range c.KnownClients.Prefixes[:i] {
			if a.Overlaps(b) {
				errs = append(errs, fmt.Errorf("the known prefixes %v and %v overlap", b, a))
			}
		}
	}
	return errs
}

package admission

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"time"
)

// Config holds the limits that an Admission enforces. Check reports whether they are consistent.
type Config struct {
	// MaxConns is the maximum number of open connections, at least 1.
	MaxConns int
	// Reserve is the number of connections, out of MaxConns, that are kept for requests of
	// known clients; 0 for none. At most MaxConns-Reserve connections of unknown clients may
	// have a request under way, and the others can be preempted.
	Reserve      int
	Caps         Caps
	Rates        Rates
	PrefixBits   PrefixBits
	KnownClients KnownClients
	// TableEntries is the number of entries in each table of addresses or prefixes.
	// Reconfigure cannot change it.
	TableEntries int
	// Rejections limits the rate of responses to rejected connections. Connections beyond
	// it are closed without a response.
	Rejections RateLimit
	Buffers    Buffers
	Preemption Preemption
}

// Caps limit the number of open connections. 0 means no cap.
type Caps struct {
	Listener int // connections of one listener
	Address  int // connections of one address; see KnownClients.CapMultiple
	Prefix   int // connections of unknown clients of one prefix
}

// Rates limit the rate of new connections of unknown clients.
type Rates struct {
	Address RateLimit // new connections of one address
	Prefix  RateLimit // new connections of one prefix
}

// RateLimit is a token bucket.
type RateLimit struct {
	// PerSecond is the number of tokens added per second. With 0, new connections are not
	// limited, and only Burst responses to rejected connections are ever sent.
	PerSecond float64
	Burst     int // capacity of the bucket in tokens
}

// PrefixBits holds the prefix lengths, in bits, by which client addresses are grouped.
type PrefixBits struct {
	AddressIPv6 int // IPv6 prefix that counts as one address, 1 to 128
	IPv4, IPv6  int // prefixes that group addresses; IPv6 is at most AddressIPv6
}

// KnownClients configures which clients are known: those in a listed prefix, and those
// whose earlier requests were served.
type KnownClients struct {
	Prefixes []netip.Prefix // listed prefixes; they must not overlap
	// CapMultiple times Caps.Address is the cap of a known address; 0 counts as 1.
	CapMultiple int
	// LearnSeconds is the number of points at which an address becomes known. It gets one
	// point for each second in which a request was served. 0 turns learning off.
	LearnSeconds int
	HalfLife     time.Duration // time in which the points of an address decay by half
	// MaxLearned is the maximum number of addresses whose points are tracked. Reconfigure
	// cannot change it.
	MaxLearned int
}

// Buffers limits the memory of all buffers: those of clients and nodes, in both directions, in use and
// free, by their capacity.
type Buffers struct {
	// TotalBytes is the size from which on no request begins; 0 for no limit. Requests that are still
	// arriving get a part of it; see ReceivingExceeded. Responses may exceed it; see MayBufferResponse.
	TotalBytes   int64
	MinConnBytes int // minimum that every connection may use, even past TotalBytes
}

// Preemption configures when connections of unknown clients are closed to make room.
type Preemption struct {
	// MinFreeConns is the number of free connections below which NextToPreempt returns
	// connections to close; 0 for never.
	MinFreeConns int
	// MaxIdle is the time for which a connection must have been idle or receiving before
	// NextToPreempt returns it. With ForUnknownClients, it is also the time for which a
	// connection may be receiving before a new connection preempts it.
	MaxIdle time.Duration
	// ForUnknownClients lets new connections of unknown clients preempt connections when
	// MaxConns is reached. If false, only those of known clients do.
	ForUnknownClients bool
}

// Check returns an error that joins every inconsistency, in a fixed order, or nil. The
// messages use the keywords of the configuration file.
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
		report("the cap of an address is %d, more than the cap of its prefix, %d", c.Caps.Address, c.Caps.Prefix)
	}
	if c.Reserve < 0 || c.Reserve >= c.MaxConns {
		report("the reserve is %d of %d connections, want at least 0 and less than all of them", c.Reserve, c.MaxConns)
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
	if c.TableEntries < slotsPerSet || known.MaxLearned < 0 {
		report("each table of addresses or prefixes has %d entries, want at least %d", c.TableEntries, slotsPerSet)
	}
	learnTime := time.Duration(known.LearnSeconds) * time.Second
	if known.LearnSeconds > 0 && (known.MaxLearned < 1 || learnTime > known.HalfLife) {
		report("learning takes %d seconds, want at most the half-life of %v and room for at least one address", known.LearnSeconds, known.HalfLife)
	}
	return errs
}

func (c *Config) checkBuffers() []error {
	b := c.Buffers
	if b.TotalBytes <= 0 {
		return nil
	}
	if b.MinConnBytes < 1 || b.TotalBytes < int64(c.MaxConns)*int64(b.MinConnBytes) {
		return []error{fmt.Errorf("the buffers total %d bytes, want at least %d for each of %d connections", b.TotalBytes, b.MinConnBytes, c.MaxConns)}
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

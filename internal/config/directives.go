package config

import (
	"net/netip"
	"path/filepath"
	"time"
)

// Maximum values in a file. They ensure that sums cannot overflow.
const (
	maxConnections = 1 << 20
	maxInstances   = 100_000
	maxBufferBytes = 1 << 30
	maxHeaderBytes = 1 << 20
	maxSeed        = 1 << 40
)

// repeatable contains the directives that may occur more than once.
var repeatable = map[string]bool{"listen": true, "class": true, "plan": true, "volume": true, "route": true, "known": true}

// directives maps the name of a directive to the function that reads its arguments and applies them.
var directives = map[string]func(p *parser, line int, a *Args){
	// Listeners, nodes, instances and processes.
	"listen":    (*parser).listen,
	"nodes":     func(p *parser, _ int, a *Args) { p.c.NodeList = p.path(a) },
	"heads":     func(p *parser, _ int, a *Args) { p.c.Scheduler.Instances = a.Int("number", 1, maxInstances) },
	"processes": func(p *parser, _ int, a *Args) { p.c.Processes = a.Int("number", 1, 256) },
	"seed":      func(p *parser, _ int, a *Args) { p.c.Seed = uint64(a.Int("seed", 1, maxSeed)) },

	// Logs, traces and metrics.
	"log":          func(p *parser, _ int, a *Args) { p.c.Telemetry.LogFile = p.path(a) },
	"log-requests": func(p *parser, _ int, a *Args) { p.c.Telemetry.LogRequests = a.OneOf("value", "yes", "no") == 0 },
	"traces":       func(p *parser, _ int, a *Args) { p.c.Telemetry.TraceFile = p.path(a) },
	"metrics":      (*parser).metrics,

	// Scheduling.
	"class":       (*parser).class,
	"plan":        (*parser).plan,
	"volume":      (*parser).volume,
	"route":       (*parser).route,
	"cold":        (*parser).slowStart,
	"budget":      (*parser).retryBudget,
	"units":       (*parser).units, // units of work, in which the cost of a request is counted
	"attempts":    func(p *parser, _ int, a *Args) { p.c.Scheduler.MaxAttempts = a.Int("number", 1, 100) },
	"retry-after": func(p *parser, _ int, a *Args) { p.c.Scheduler.MaxRetryAfter = a.Duration("time", time.Second) },
	// order-rest is the pause before the next request of an ordered key after an attempt that may
	// still be running.
	"order-rest": func(p *parser, _ int, a *Args) { p.c.Scheduler.KeyCooldown = a.Duration("time", 0) },
	// share-worth is the fraction of the priority weight that units beyond a plan's reserve are worth.
	"share-worth": func(p *parser, _ int, a *Args) { p.c.Scheduler.ExcessWeight = a.Fraction("share") },

	// Timeouts.
	"answer-margin": func(p *parser, _ int, a *Args) { p.c.Deadlines.ResponseMargin = a.Duration("time", 0) },
	"header-time":   func(p *parser, _ int, a *Args) { p.c.Timeouts.Header = a.Duration("time", time.Millisecond) },
	"idle-time":     func(p *parser, _ int, a *Args) { p.c.Timeouts.Idle = a.Duration("time", time.Millisecond) },
	"stall-time":    func(p *parser, _ int, a *Args) { p.c.Timeouts.NoProgress = a.Duration("time", time.Millisecond) },
	"stop-time":     func(p *parser, _ int, a *Args) { p.c.Timeouts.Shutdown = a.Duration("time", 0) },
	"node-idle":     func(p *parser, _ int, a *Args) { p.c.Timeouts.NodeIdle = a.Duration("time", time.Millisecond) },
	"dial-time":     func(p *parser, _ int, a *Args) { p.c.Timeouts.Dial = a.Duration("time", time.Millisecond) },

	// Limits on connections and memory.
	"clients":          func(p *parser, _ int, a *Args) { p.c.Limits.Clients = a.Int("number", 1, maxConnections) },
	"requests":         func(p *parser, _ int, a *Args) { p.c.Limits.RequestsPerConn = a.Int("number", 1, 1<<30) },
	"node-connections": func(p *parser, _ int, a *Args) { p.c.Limits.ConnsPerNode = a.Int("number", 1, 10000) },
	"buffer":           func(p *parser, _ int, a *Args) { p.c.Limits.ConnBuffer = a.BytesUpTo("size", 4096, maxBufferBytes) },
	"buffers":          func(p *parser, _ int, a *Args) { p.c.Admission.Buffers.TotalBytes = a.Bytes("size", 1) },
	"listing-max":      func(p *parser, _ int, a *Args) { p.c.Limits.ListingBytes = a.BytesUpTo("size", 1024, maxBufferBytes) },
	// sizes is the number of object sizes that are cached to estimate the cost of reads.
	"sizes":  func(p *parser, _ int, a *Args) { p.c.Limits.SizeEntries = a.Int("entries", 1, 1<<24) },
	"body":   (*parser).body,
	"header": (*parser).headerLimits,
	"pace":   (*parser).minRates,
	"known":  (*parser).knownClients,
	"admit":  (*parser).admission,
}

// path reads a path. A relative path refers to the folder of the configuration file.
func (p *parser) path(a *Args) string {
	path := a.Word("path")
	if path != "" && !filepath.IsAbs(path) {
		path = filepath.Join(filepath.Dir(p.c.File), path)
	}
	return path
}

func (p *parser) listen(line int, a *Args) {
	word := a.Word("address")
	if word == "" {
		return
	}
	addr, err := netip.ParseAddrPort(word)
	if err != nil {
		a.Errorf("%q is not an address and port, such as 127.0.0.1:8080", word)
		return
	}
	if p.checkUnique(line, "listen "+addr.String()) {
		p.c.Listen = append(p.c.Listen, word)
	}
}

func (p *parser) metrics(_ int, a *Args) {
	word := a.Word("address")
	if _, err := netip.ParseAddrPort(word); word != "" && err != nil {
		a.Errorf("%q is not an address and port", word)
	}
	p.c.Telemetry.MetricsAddr = word
}

func (p *parser) body(_ int, a *Args) {
	a.pairs(keywords{
		"hold": func(k string) { p.c.Limits.BodyBuffer = a.BytesUpTo(k, 0, maxBufferBytes) },
		"rate": func(k string) { p.c.Deadlines.UploadRate = a.Bytes(k, 1) },
	})
}

func (p *parser) headerLimits(_ int, a *Args) {
	limits := &p.c.HeaderLimits
	a.pairs(keywords{
		"bytes":  func(k string) { limits.HeaderBytes = a.BytesUpTo(k, 256, maxHeaderBytes) },
		"target": func(k string) { limits.TargetBytes = a.BytesUpTo(k, 16, maxHeaderBytes) },
		"fields": func(k string) { limits.FieldCount = a.Int(k, 1, 10000) },
	})
}

func (p *parser) minRates(_ int, a *Args) {
	rates := &p.c.MinRates
	a.pairs(keywords{
		"body":   func(k string) { rates.Body = a.Bytes(k, 0) },
		"answer": func(k string) { rates.Response = a.Bytes(k, 0) },
		"after":  func(k string) { rates.Grace = a.Duration(k, 0) },
	})
}

// knownClients reads the prefixes of known clients. A single address is a prefix of its full length.
func (p *parser) knownClients(line int, a *Args) {
	for a.More() {
		word := a.Word("prefix")
		prefix, err := netip.ParsePrefix(word)
		if addr, addrErr := netip.ParseAddr(word); err != nil && addrErr == nil {
			prefix, err = netip.PrefixFrom(addr, addr.BitLen()), nil
		}
		if err != nil || prefix != prefix.Masked() {
			a.Errorf("%q is not an address or a prefix, such as 10.1.0.0/16", word)
			return
		}
		p.lineOf["known"] = line
		known := &p.c.Admission.KnownClients
		known.Prefixes = append(known.Prefixes, prefix)
	}
}

// admission reads the limits on accepting connections. In the keywords, wide stands for an address
// prefix, which groups addresses; answers are the responses to rejected connections.
func (p *parser) admission(_ int, a *Args) {
	limits := &p.c.Admission
	intReader := func(n *int, high int) func(string) {
		return func(k string) { *n = a.Int(k, 1, high) }
	}
	a.pairs(keywords{
		"address":       intReader(&limits.Caps.Address, maxConnections),
		"wide":          intReader(&limits.Caps.Prefix, maxConnections),
		"listener":      intReader(&limits.Caps.Listener, maxConnections),
		"reserve":       intReader(&limits.Reserve, maxConnections),
		"known-times":   intReader(&limits.KnownClients.CapMultiple, 1000),
		"address-rate":  func(k string) { limits.Rates.Address.PerSecond = a.Float(k) },
		"address-burst": intReader(&limits.Rates.Address.Burst, maxConnections),
		"wide-rate":     func(k string) { limits.Rates.Prefix.PerSecond = a.Float(k) },
		"wide-burst":    intReader(&limits.Rates.Prefix.Burst, maxConnections),
		"v6":            intReader(&limits.PrefixBits.AddressIPv6, 128),
		"wide4":         intReader(&limits.PrefixBits.IPv4, 32),
		"wide6":         intReader(&limits.PrefixBits.IPv6, 128),
		"learn":         intReader(&limits.KnownClients.LearnSeconds, 1<<20),
		"forget":        func(k string) { limits.KnownClients.HalfLife = a.Duration(k, time.Second) },
		"entries":       intReader(&limits.TableEntries, 1<<24),
		"learned":       intReader(&limits.KnownClients.MaxLearned, 1<<20),
		"answers":       func(k string) { limits.Rejections.PerSecond = a.Float(k) },
		"answers-burst": intReader(&limits.Rejections.Burst, 1<<16),
		"left":          intReader(&limits.Preemption.MinFreeConns, maxConnections),
		"idle":          func(k string) { limits.Preemption.MaxIdle = a.Duration(k, 0) },
	})
}

package config

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"maddergap/internal/admission"
	"maddergap/internal/http1"
	"maddergap/internal/syscalls"
	"maddergap/scheduler"
)

// Config is what a file says, checked.
type Config struct {
	// SyscallFaults is what fails of the system calls, for tests and rehearsals; nil: nothing.
	SyscallFaults *syscalls.FaultTable
	File          string
	Listen        []string // addresses, host:port
	Nodes         string   // the node list's path
	Log           string   // "" for standard error
	Traces        string   // file for spans, "" for none
	Metrics       string   // address of the metrics' own listener, "" for none
	Quiet         bool     // requests are not logged
	Seed          uint64   // of what is spread by chance, 0: drawn at start
	Volumes       []Volume
	Routes        []Route
	Scheduler     scheduler.Settings
	// Deadlines are the time of a class's clients, by class.
	Deadlines []time.Duration

	Unit         int64         // bytes that count one unit
	BodyHold     int           // bytes of a body held for sending it again; smaller bodies are taken whole
	BodyRate     int64         // bytes a second that a longer body may take more time by
	Buffer       int           // bytes on their way through a connection
	AnswerMargin time.Duration // of a client's time, kept for bringing it the answer
	HeaderTime   time.Duration // for a request's header, from its first byte
	IdleTime     time.Duration // of a kept connection without a request
	StallTime    time.Duration // of a body or answer that does not move
	StopTime     time.Duration // for what is under way at a stop
	StopAfter    time.Duration // for which newcomers are still taken once a stop was asked for
	NodeIdle     time.Duration // of a connection to a node
	NodeConns    int           // most connections to one node
	NodesConns   int           // most connections to all nodes, 0: any
	DialTime     time.Duration
	ListingMax   int // bytes of a merged listing
	Sizes        int // entries of the table of sizes seen
	Clients      int // most client connections
	Processes    int // that serve the listeners, each a head of its own
	Requests     int // that a client connection may have, 0: any
	// Bytes a second that a body must come, and an answer be taken, at the least once
	// PaceAfter is over; 0: any.
	BodyPace, AnswerPace int64
	PaceAfter            time.Duration
	Admission            admission.Config
	Header               http1.Limits
}

// Volume is a set of shards under one plan; its name is the first path segment.
type Volume struct {
	Name   string
	Plan   int // place among Logic.Plans
	Shards []int
	Hosts  int // heads that its requests may come through
}

// Route gives requests a class; the first that matches decides.
type Route struct {
	Methods  []string // empty: any
	Prefix   string   // of the path
	Ranged   bool     // only with a Range
	SizeOver int64    // only of more bytes, -1: any
	Class    int
}

// Defaults of what a file leaves out. None of them is a decision of the module.
func defaults(file string) *Config {
	return &Config{File: file, Unit: 64 << 10, BodyHold: 256 << 10, BodyRate: 1 << 20, Buffer: 256 << 10,
		AnswerMargin: 20 * time.Millisecond, HeaderTime: 10 * time.Second, IdleTime: 60 * time.Second,
		StallTime: 10 * time.Second, StopTime: 10 * time.Second, NodeIdle: 20 * time.Second, NodeConns: 64,
		DialTime: time.Second, ListingMax: 8 << 20, BodyPace: 100, AnswerPace: 1000, PaceAfter: 30 * time.Second, Sizes: 1 << 14, Clients: 8192, Processes: 1, Header: http1.DefaultLimits,
		Admission: admission.Config{V6Bits: 64, Wide4: 24, Wide6: 48, Entries: 1 << 14, Learned: 1024, Forget: 10 * time.Minute,
			AnswerRate: 50, AnswerBurst: 100, KnownMultiple: 4, IdleUnderPress: time.Second},
		Scheduler: scheduler.Settings{Instances: 1, MaxUnits: 1, MeanUnits: 1, ExcessWeight: 0.3}}
}

// What every client connection may hold whatever the others do, and what all may
// hold where the file does not say.
const (
	bufferLeast    = 4 << 10
	buffersDefault = 512 << 20
)

// Load reads and checks a file.
func Load(file string) (*Config, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return Parse(file, data)
}

// pending is what can be checked only when the whole file is read.
type pending struct {
	line int
	name string
	set  func(i int)
}

type parser struct {
	c              *Config
	classes, plans map[string]int
	needClass      []pending
	needPlan       []pending
	seen           map[string]int // line of what may stand once
	errs           []error
}

func (p *parser) fault(line int, format string, args ...any) {
	p.errs = append(p.errs, &Error{p.c.File, line, fmt.Sprintf(format, args...)})
}

// once tells whether a thing stands for the first time.
func (p *parser) once(line int, what string) bool {
	if first, ok := p.seen[what]; ok {
		p.fault(line, "%s stands already in line %d", what, first)
		return false
	}
	p.seen[what] = line
	return true
}

// Parse checks a file's text. The error joins one Error for each fault.
func Parse(file string, data []byte) (*Config, error) {
	lines, err := Lines(file, data)
	p := &parser{c: defaults(file), classes: map[string]int{}, plans: map[string]int{}, seen: map[string]int{}}
	if err != nil {
		p.errs = append(p.errs, err)
	}
	for _, l := range lines {
		take, known := directives[l.Words[0]]
		if !known {
			p.fault(l.Number, "unknown directive %.40q", l.Words[0])
			continue
		}
		if !many[l.Words[0]] && !p.once(l.Number, l.Words[0]) {
			continue
		}
		a := ArgsOf(l)
		take(p, l.Number, a)
		if err := a.Err(); err != nil {
			p.fault(l.Number, "%s: %v", l.Words[0], err)
		}
	}
	p.whole()
	if len(p.errs) > 0 {
		return nil, errors.Join(p.errs...)
	}
	return p.c, nil
}

// ForWorker returns what one of the processes serves by: an even part of the machine's
// connections, caps, rates and buffers, rounded up, and a port of its own for metrics.
// An address gets between the part of one process and its whole cap, as its
// connections fall.
func (c *Config) ForWorker(i int) *Config {
	n := c.Processes
	part := *c
	share := func(x *int) {
		if *x > 0 {
			*x = (*x + n - 1) / n
		}
	}
	m := &part.Admission
	for _, x := range []*int{&part.Clients, &m.Listener, &m.Address, &m.Wide, &m.Reserve, &m.AddressBurst, &m.WideBurst, &m.AnswerBurst, &m.PressureIdle} {
		share(x)
	}
	m.Total = part.Clients
	m.Reserve = min(m.Reserve, m.Total-1)
	m.AddressRate, m.WideRate, m.AnswerRate = m.AddressRate/float64(n), m.WideRate/float64(n), m.AnswerRate/float64(n)
	m.Buffers = max(m.Buffers/int64(n), int64(m.Total)*int64(m.BufferLeast))
	if ap, err := netip.ParseAddrPort(c.Metrics); err == nil && ap.Port() > 0 {
		part.Metrics = netip.AddrPortFrom(ap.Addr(), ap.Port()+uint16(i)).String()
	}
	if c.Traces != "" && n > 1 {
		part.Traces = fmt.Sprintf("%s.%d", c.Traces, i)
	}
	if c.Seed != 0 {
		part.Seed = c.Seed + uint64(i)
	}
	return &part
}

// whole checks what concerns more than one line.
func (p *parser) whole() {
	c := p.c
	resolve := func(kind string, names map[string]int, need []pending) {
		for _, n := range need {
			if i, ok := names[n.name]; ok {
				n.set(i)
			} else {
				p.fault(n.line, "there is no %s %q", kind, n.name)
			}
		}
	}
	resolve("class", p.classes, p.needClass)
	resolve("plan", p.plans, p.needPlan)
	for what, missing := range map[string]bool{"listen": len(c.Listen) == 0, "nodes": c.Nodes == "",
		"class": len(p.classes) == 0, "plan": len(p.plans) == 0, "volume": len(c.Volumes) == 0, "route": len(c.Routes) == 0} {
		if missing {
			p.fault(0, "no %s is given", what)
		}
	}
	if n := len(c.Routes); n > 0 {
		if last := c.Routes[n-1]; len(last.Methods) > 0 || last.Prefix != "" || last.Ranged || last.SizeOver >= 0 {
			p.fault(0, "the last route must take every request: route * class NAME")
		}
	}
	c.Admission.Total, c.Admission.BufferLeast = c.Clients, bufferLeast
	if c.Admission.Buffers == 0 {
		c.Admission.Buffers = max(buffersDefault, 4*bufferLeast*int64(c.Clients))
	}
	if err := c.Admission.Check(); err != nil {
		for reason := range strings.SplitSeq(err.Error(), "\n") {
			p.fault(max(p.seen["admit"], p.seen["known"], p.seen["buffers"]), "%s", reason)
		}
	}
	for i, d := range c.Deadlines {
		if d <= c.AnswerMargin+10*time.Millisecond {
			p.fault(p.seen["class "+c.Scheduler.Classes[i].Name], "the deadline %v leaves no time beside the answer-margin %v", d, c.AnswerMargin)
		}
	}
	if c.Processes > c.Scheduler.Instances {
		p.fault(p.seen["processes"], "there are %d processes, each a head, but %d heads in all", c.Processes, c.Scheduler.Instances)
	} else if c.Processes > 1 {
		if err := c.ForWorker(0).Admission.Check(); err != nil {
			p.fault(p.seen["processes"], "the part of one of %d processes: %v", c.Processes, err)
		}
	}
	for _, v := range c.Volumes {
		if v.Hosts < c.Processes {
			p.fault(p.seen["volume "+v.Name], "volume %s comes through %d heads, but the processes here are %d: its limit would count too often", v.Name, v.Hosts, c.Processes)
		}
		if v.Hosts > c.Scheduler.Instances {
			p.fault(p.seen["volume "+v.Name], "volume %s comes through %d heads, but there are %d", v.Name, v.Hosts, c.Scheduler.Instances)
		}
	}
}

var many = map[string]bool{"listen": true, "class": true, "plan": true, "volume": true, "route": true, "known": true}

var directives = map[string]func(*parser, int, *Args){
	"listen": func(p *parser, line int, a *Args) {
		w := a.Word("address")
		ap, err := netip.ParseAddrPort(w)
		if w != "" && err != nil {
			a.Fault("%q is not an address and port, as 127.0.0.1:8080", w)
		} else if w != "" && p.once(line, "listen "+ap.String()) {
			p.c.Listen = append(p.c.Listen, w)
		}
	},
	"nodes": func(p *parser, _ int, a *Args) { p.c.Nodes = p.path(a) },
	"metrics": func(p *parser, _ int, a *Args) {
		w := a.Word("address")
		if _, err := netip.ParseAddrPort(w); w != "" && err != nil {
			a.Fault("%q is not an address and port", w)
		}
		p.c.Metrics = w
	},
	"log": func(p *parser, _ int, a *Args) { p.c.Log = p.path(a) },
	"log-requests": func(p *parser, _ int, a *Args) {
		p.c.Quiet = a.OneOf("value", "yes", "no") == 1
	},
	"traces": func(p *parser, _ int, a *Args) { p.c.Traces = p.path(a) },
	"seed":   func(p *parser, _ int, a *Args) { p.c.Seed = uint64(a.Int("seed", 1, 1<<40)) },
	"heads":  func(p *parser, _ int, a *Args) { p.c.Scheduler.Instances = a.Int("number", 1, 100000) },
	"class":  (*parser).class,
	"plan":   (*parser).plan,
	"volume": (*parser).volume,
	"route":  (*parser).route,
	"cold":   (*parser).cold,
	"budget": func(p *parser, _ int, a *Args) {
		budget := &scheduler.RetryBudget{}
		p.c.Scheduler.RetryBudget = budget
		pairs(a, map[string]func(string){
			"free":  func(k string) { budget.MinRetries = a.Float(k) },
			"share": func(k string) { budget.Ratio = a.Share(k) },
			"over":  func(k string) { budget.Window = a.Duration(k, time.Millisecond) },
		}, "over")
	},
	"attempts":    func(p *parser, _ int, a *Args) { p.c.Scheduler.MaxAttempts = a.Int("number", 1, 100) },
	"retry-after": func(p *parser, _ int, a *Args) { p.c.Scheduler.MaxRetryAfter = a.Duration("time", time.Second) },
	"order-rest":  func(p *parser, _ int, a *Args) { p.c.Scheduler.KeyCooldown = a.Duration("time", 0) },
	"share-worth": func(p *parser, _ int, a *Args) { p.c.Scheduler.ExcessWeight = a.Share("share") },
	"units": func(p *parser, _ int, a *Args) {
		pairs(a, map[string]func(string){
			"bytes": func(k string) { p.c.Unit = a.Bytes(k, 1) },
			"mean":  func(k string) { p.c.Scheduler.MeanUnits = a.Float(k) },
			"most":  func(k string) { p.c.Scheduler.MaxUnits = a.Float(k) },
		}, "bytes")
	},
	"body": func(p *parser, _ int, a *Args) {
		pairs(a, map[string]func(string){
			"hold": func(k string) { p.c.BodyHold = int(min(a.Bytes(k, 0), 1<<30)) },
			"rate": func(k string) { p.c.BodyRate = a.Bytes(k, 1) },
		})
	},
	"buffer":        func(p *parser, _ int, a *Args) { p.c.Buffer = int(min(a.Bytes("size", 4096), 1<<30)) },
	"answer-margin": func(p *parser, _ int, a *Args) { p.c.AnswerMargin = a.Duration("time", 0) },
	"header-time":   func(p *parser, _ int, a *Args) { p.c.HeaderTime = a.Duration("time", time.Millisecond) },
	"idle-time":     func(p *parser, _ int, a *Args) { p.c.IdleTime = a.Duration("time", time.Millisecond) },
	"stall-time":    func(p *parser, _ int, a *Args) { p.c.StallTime = a.Duration("time", time.Millisecond) },
	"stop-time":     func(p *parser, _ int, a *Args) { p.c.StopTime = a.Duration("time", 0) },
	"node-idle":     func(p *parser, _ int, a *Args) { p.c.NodeIdle = a.Duration("time", time.Millisecond) },
	"node-connections": func(p *parser, _ int, a *Args) {
		p.c.NodeConns = a.Int("number", 1, 10000)
	},
	"dial-time":   func(p *parser, _ int, a *Args) { p.c.DialTime = a.Duration("time", time.Millisecond) },
	"listing-max": func(p *parser, _ int, a *Args) { p.c.ListingMax = int(min(a.Bytes("size", 1024), 1<<30)) },
	"sizes":       func(p *parser, _ int, a *Args) { p.c.Sizes = a.Int("entries", 1, 1<<24) },
	"processes":   func(p *parser, _ int, a *Args) { p.c.Processes = a.Int("number", 1, 256) },
	"requests":    func(p *parser, _ int, a *Args) { p.c.Requests = a.Int("number", 1, 1<<30) },
	"buffers":     func(p *parser, _ int, a *Args) { p.c.Admission.Buffers = a.Bytes("size", 1) },
	"pace": func(p *parser, _ int, a *Args) {
		pairs(a, map[string]func(string){
			"body":   func(k string) { p.c.BodyPace = a.Bytes(k, 0) },
			"answer": func(k string) { p.c.AnswerPace = a.Bytes(k, 0) },
			"after":  func(k string) { p.c.PaceAfter = a.Duration(k, 0) },
		})
	},
	"clients": func(p *parser, _ int, a *Args) { p.c.Clients = a.Int("number", 1, 1<<20) },
	"known": func(p *parser, line int, a *Args) {
		for a.More() {
			w := a.Word("prefix")
			pre, err := netip.ParsePrefix(w)
			if one, err1 := netip.ParseAddr(w); err != nil && err1 == nil {
				pre, err = netip.PrefixFrom(one, one.BitLen()), nil
			}
			if err != nil || pre != pre.Masked() {
				a.Fault("%q is not an address or a prefix, as 10.1.0.0/16", w)
				return
			}
			p.seen["known"] = line
			p.c.Admission.Known = append(p.c.Admission.Known, pre)
		}
	},
	"admit": func(p *parser, _ int, a *Args) {
		m := &p.c.Admission
		count := func(n *int, most int) func(string) { return func(k string) { *n = a.Int(k, 1, most) } }
		pairs(a, map[string]func(string){
			"address":       count(&m.Address, 1<<20),
			"wide":          count(&m.Wide, 1<<20),
			"listener":      count(&m.Listener, 1<<20),
			"reserve":       count(&m.Reserve, 1<<20),
			"known-times":   count(&m.KnownMultiple, 1000),
			"address-rate":  func(k string) { m.AddressRate = a.Float(k) },
			"address-burst": count(&m.AddressBurst, 1<<20),
			"wide-rate":     func(k string) { m.WideRate = a.Float(k) },
			"wide-burst":    count(&m.WideBurst, 1<<20),
			"v6":            count(&m.V6Bits, 128),
			"wide4":         count(&m.Wide4, 32),
			"wide6":         count(&m.Wide6, 128),
			"learn":         count(&m.Learn, 1<<20),
			"forget":        func(k string) { m.Forget = a.Duration(k, time.Second) },
			"entries":       count(&m.Entries, 1<<24),
			"learned":       count(&m.Learned, 1<<20),
			"answers":       func(k string) { m.AnswerRate = a.Float(k) },
			"answers-burst": count(&m.AnswerBurst, 1<<16),
			"left":          count(&m.PressureIdle, 1<<20),
			"idle":          func(k string) { m.IdleUnderPress = a.Duration(k, 0) },
		})
	},
	"header": func(p *parser, _ int, a *Args) {
		pairs(a, map[string]func(string){
			"bytes":  func(k string) { p.c.Header.Header = int(min(a.Bytes(k, 256), 1<<20)) },
			"target": func(k string) { p.c.Header.Target = int(min(a.Bytes(k, 16), 1<<20)) },
			"fields": func(k string) { p.c.Header.Fields = a.Int(k, 1, 10000) },
		})
	},
}

// path takes a path; a relative one starts at the configuration's folder.
func (p *parser) path(a *Args) string {
	w := a.Word("path")
	if w != "" && !filepath.IsAbs(w) {
		w = filepath.Join(filepath.Dir(p.c.File), w)
	}
	return w
}

// pairs takes keyword and value until the words end; each keyword stands at
// most once, and those of want at least once.
func pairs(a *Args, take map[string]func(string), want ...string) {
	seen := map[string]bool{}
	for a.More() {
		k := a.Word("keyword")
		f := take[k]
		switch {
		case f == nil:
			names := make([]string, 0, len(take))
			for n := range take {
				names = append(names, n)
			}
			slices.Sort(names)
			a.Fault("unknown keyword %q, want one of %s", k, strings.Join(names, ", "))
		case seen[k]:
			a.Fault("%s stands twice", k)
		default:
			seen[k] = true
			f(k)
		}
	}
	for _, k := range want {
		if !seen[k] {
			a.Fault("%s is missing", k)
		}
	}
}

// name takes the name of a new thing of a kind.
func (p *parser) name(line int, a *Args, kind string) (string, bool) {
	n := a.Word("name")
	if n == "" {
		return "", false
	}
	if strings.ContainsAny(n, "/%?\\\"<>&") || n == "." || n == ".." || len(n) > 100 {
		a.Fault("the name %.40q holds what does not go into a path", n)
		return "", false
	}
	return n, p.once(line, kind+" "+n)
}

func (p *parser) class(line int, a *Args) {
	n, ok := p.name(line, a, "class")
	c := scheduler.Class{Name: n, PriorityWeight: 1}
	var deadline time.Duration
	pairs(a, map[string]func(string){
		"effect":   func(k string) { c.Effect = scheduler.Effect(a.OneOf(k, "safe", "keyed", "unsafe")) },
		"group":    func(k string) { c.DeduplicationScope = scheduler.DeduplicationScope(a.OneOf(k, "all", "zone", "cell")) },
		"window":   func(k string) { c.DeduplicationWindow = a.Duration(k, 0) },
		"aim":      func(k string) { c.LatencyObjective = a.Duration(k, time.Millisecond) },
		"deadline": func(k string) { deadline = a.Duration(k, time.Millisecond) },
		"worth":    func(k string) { c.PriorityWeight = a.Float(k) },
		"late":     func(k string) { c.LateWeightFactor = a.Share(k) },
		"ordered":  func(k string) { c.Ordered = a.OneOf(k, "no", "yes") == 1 },
	}, "effect", "aim", "deadline")
	switch {
	case a.err != nil || !ok:
		return
	case deadline < c.LatencyObjective:
		a.Fault("the deadline %v is before the aim %v", deadline, c.LatencyObjective)
	case c.Effect == scheduler.Idempotent && c.DeduplicationWindow == 0:
		a.Fault("a keyed class needs a window: how long its nodes drop repeats")
	case c.Effect != scheduler.Idempotent && c.DeduplicationWindow > 0:
		a.Fault("only a keyed class has a window")
	}
	p.classes[n] = len(p.c.Scheduler.Classes)
	p.c.Scheduler.Classes = append(p.c.Scheduler.Classes, c)
	p.c.Deadlines = append(p.c.Deadlines, deadline)
}

func (p *parser) plan(line int, a *Args) {
	n, ok := p.name(line, a, "plan")
	pl := scheduler.Plan{Name: n, Weight: 1, PriorityFactor: 1}
	pairs(a, map[string]func(string){
		"rate":    func(k string) { pl.Rate = a.Float(k) },
		"reserve": func(k string) { pl.Reserve = a.Float(k) },
		"weight":  func(k string) { pl.Weight = a.Float(k) },
		"price":   func(k string) { pl.PriorityFactor = a.Float(k) },
		"limit":   func(k string) { pl.Limit = a.Float(k) },
		"burst":   func(k string) { pl.LimitBurst = a.Float(k) },
	}, "rate")
	switch {
	case a.err != nil || !ok:
		return
	case (pl.Limit > 0) != (pl.LimitBurst > 0):
		a.Fault("limit and burst go together: the rate a bucket fills at, and what it holds")
	case pl.Limit > 0 && pl.Reserve > pl.Limit:
		a.Fault("the reserve %v is over the limit %v", pl.Reserve, pl.Limit)
	case pl.Weight == 0:
		a.Fault("weight is 0: the plan would never be served")
	}
	p.plans[n] = len(p.c.Scheduler.Plans)
	p.c.Scheduler.Plans = append(p.c.Scheduler.Plans, pl)
}

func (p *parser) volume(line int, a *Args) {
	n, ok := p.name(line, a, "volume")
	v := Volume{Name: n, Hosts: 1}
	var plan string
	pairs(a, map[string]func(string){
		"plan":   func(k string) { plan = a.Word(k) },
		"shards": func(k string) { v.Shards = a.Ints(k, 100000) },
		"heads":  func(k string) { v.Hosts = a.Int(k, 1, 100000) },
	}, "plan", "shards")
	if a.err != nil || !ok {
		return
	}
	if s := slices.Clone(v.Shards); len(slices.Compact(slices.Sorted(slices.Values(s)))) < len(v.Shards) {
		a.Fault("a shard stands twice")
	}
	i := len(p.c.Volumes)
	p.c.Volumes = append(p.c.Volumes, v)
	p.needPlan = append(p.needPlan, pending{line, plan, func(plan int) { p.c.Volumes[i].Plan = plan }})
}

func (p *parser) route(line int, a *Args) {
	r := Route{SizeOver: -1}
	var class string
	for _, m := range strings.Split(a.Word("methods"), ",") {
		if m != "*" {
			r.Methods = append(r.Methods, m)
		}
		if m != "*" && m != strings.ToUpper(m) {
			a.Fault("method %q is not in capitals", m)
		}
	}
	pairs(a, map[string]func(string){
		"path":   func(k string) { r.Prefix = a.Word(k) },
		"ranged": func(k string) { r.Ranged = a.OneOf(k, "no", "yes") == 1 },
		"over":   func(k string) { r.SizeOver = a.Bytes(k, 0) },
		"class":  func(k string) { class = a.Word(k) },
	}, "class")
	if a.err != nil {
		return
	}
	if r.Prefix != "" && r.Prefix[0] != '/' {
		a.Fault("path %q does not begin with /", r.Prefix)
	}
	i := len(p.c.Routes)
	p.c.Routes = append(p.c.Routes, r)
	p.needClass = append(p.needClass, pending{line, class, func(class int) { p.c.Routes[i].Class = class }})
}

func (p *parser) cold(_ int, a *Args) {
	s := &p.c.Scheduler.SlowStart
	pairs(a, map[string]func(string){
		"for":      func(k string) { s.WarmupDuration = a.Duration(k, 0) },
		"from":     func(k string) { s.InitialFraction = a.Share(k) },
		"units":    func(k string) { s.MinUnits = a.Float(k) },
		"window":   func(k string) { s.OverloadWindow = a.Duration(k, time.Millisecond) },
		"multiple": func(k string) { s.OverloadFactor = a.Float(k) },
	}, "for", "from", "units", "window", "multiple")
	if a.err == nil && s.OverloadFactor < 1 {
		a.Fault("multiple is %v: a node bears at least what it can do", s.OverloadFactor)
	}
}

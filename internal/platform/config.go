package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"time"

	"maddergap/internal/admission"
	"maddergap/internal/config"
	"maddergap/internal/discovery"
	"maddergap/internal/http1"
	"maddergap/internal/settings"
	"maddergap/scheduler"
)

// Variables that the platform sets.
const (
	EnvConfig    = "ROUTER_CONFIG"
	EnvName      = "ROUTER_NAME"
	EnvListen    = "ROUTER_LISTEN"
	EnvDiscovery = "ROUTER_DISCOVERY"
)

// file is the platform's configuration.
type file struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Seed      string `json:"seed"`
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB float64 `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Known    *discovery.EndpointList `json:"known"`
	Settings *settings.Site          `json:"settings"`
}

// Config is what the platform tells a head, checked.
type Config struct {
	InstanceName  string
	DiscoveryAddr string
	InitialList   *discovery.EndpointList
	Settings      *settings.Site
	Gateway       *config.Config
	Bounds        Bounds
}

// Bounds are what follows from the limits of the platform.
type Bounds struct {
	RuntimeMemoryBytes       int64 // bytes that the runtime keeps to
	MaxClientConns           int   // connections
	IdlePressureConns        int   // of these, past which idle ones end soon
	MaxRejectionConns        int   // of those turned away with an answer
	MaxNodeConns             int   // connections to nodes
	ReservedDescriptors      int   // descriptors for all else
	DescriptorLimit          int
	ClientBufferBytes        int64 // for clients
	MaxResponseBytes         int64 // bytes of one answer; nodes send some larger than the protocol has them
	MaxBufferedResponseBytes int64 // of all that are held until they are whole
}

// RequiredDescriptors is the sum with every bound reached.
func (b Bounds) RequiredDescriptors() int {
	return b.MaxAcceptedConns() + b.MaxRejectionConns + b.MaxNodeConns + b.ReservedDescriptors
}

// MaxAcceptedConns is how many client connections there may be, those included that are to be
// told or to take another's place.
func (b Bounds) MaxAcceptedConns() int { return b.MaxClientConns + clientsOver }

const (
	mostFile    = 16 << 20
	clientsOver = 8 // connections accepted past the bound
	// The loop's own, the listener, the standard streams, the runtime's poller, the
	// node list's connection and the next one.
	reserved = 24
)

// bounds divides the platform's limits.
func bounds(sockets int, memory float64) (Bounds, error) {
	b := Bounds{DescriptorLimit: sockets, ReservedDescriptors: reserved, MaxRejectionConns: 8, RuntimeMemoryBytes: int64(memory * 0.6 * (1 << 20))}
	free := sockets - reserved - clientsOver - b.MaxRejectionConns
	if free < 32 || memory < 16 {
		return b, fmt.Errorf("limits: %d sockets and %v MB are less than a head needs", sockets, memory)
	}
	b.MaxClientConns = free * 3 / 5
	b.MaxNodeConns = free - b.MaxClientConns
	b.IdlePressureConns = sockets / 4
	b.MaxResponseBytes, b.MaxBufferedResponseBytes = b.RuntimeMemoryBytes/16, b.RuntimeMemoryBytes/4
	b.ClientBufferBytes = max(b.RuntimeMemoryBytes/4, int64(b.MaxClientConns)*heldLeast)
	return b, nil
}

const heldLeast = 4 << 10

// idleUnderPress is for how long an idle connection is kept once clients have more than
// Kept. The platform lets its clients hold a third of a head's descriptors, silent ones
// with the others: guards against those that would leave none to clients with a request,
// long before the head's own bound is reached.
const idleUnderPress = 100 * time.Millisecond

// idleTime is when a client's connection without a request is closed: the platform lets
// a head do so after 2 s. Clients that ask once and keep their connection would else
// hold all that the platform's clients may have.
const idleTime = 2050 * time.Millisecond

// After SIGTERM clients come for up to 0.4 s more, and the platform kills a head after the
// longest deadline, or lateDeadline if that is shorter, and killAfter; what has no answer
// then is lost, so all is answered answerLead before.
const (
	stopAfter    = 500 * time.Millisecond
	lateDeadline = 3 * time.Second
	killAfter    = 700 * time.Millisecond
	answerLead   = 150 * time.Millisecond
)

// stopTime is for how long what is under way may go on once no more is taken.
func stopTime(f *settings.Site) time.Duration {
	longest := time.Duration(0)
	for _, c := range f.Classes {
		if c.Deadline <= 0 { // not told
			longest = lateDeadline
		}
		longest = max(longest, settings.Micros(c.Deadline))
	}
	return min(longest, lateDeadline) + killAfter - stopAfter - answerLead
}

// Load reads the platform's configuration as the environment names it.
func Load(env func(string) string) (*Config, error) {
	path := env(EnvConfig)
	if path == "" {
		return nil, fmt.Errorf("%s is not set", EnvConfig)
	}
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Size() > mostFile {
		return nil, fmt.Errorf("%s has %d bytes, more than %d", path, info.Size(), mostFile)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, data, env)
}

// Parse checks a configuration. What the environment says of the head's own addresses
// holds where the file is silent.
func Parse(path string, data []byte, env func(string) string) (*Config, error) {
	var f file
	if err := json.Unmarshal(data, &f); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	or := func(to *string, name string) {
		if *to == "" {
			*to = env(name)
		}
	}
	or(&f.Name, EnvName)
	or(&f.Listen, EnvListen)
	or(&f.Discovery, EnvDiscovery)
	var errs []error
	bad := func(format string, args ...any) {
		errs = append(errs, fmt.Errorf("%s: "+format, append([]any{path}, args...)...))
	}
	if _, err := netip.ParseAddrPort(f.Listen); err != nil {
		bad("listen %q (or %s) is not an address and port", f.Listen, EnvListen)
	}
	if _, err := netip.ParseAddrPort(f.Discovery); err != nil {
		bad("discovery %q (or %s) is not an address and port", f.Discovery, EnvDiscovery)
	}
	seed, err := strconv.ParseUint(f.Seed, 16, 64)
	if err != nil {
		bad("seed %q is not a number of 16 hex digits", f.Seed)
	}
	if f.Settings == nil {
		bad("settings are missing")
		return nil, errors.Join(errs...)
	}
	if err := f.Settings.Check(); err != nil {
		bad("%w", err)
	}
	b, err := bounds(f.Limits.Sockets, f.Limits.MemoryMB)
	if err != nil {
		bad("%w", err)
	}
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	c := &Config{InstanceName: f.Name, DiscoveryAddr: f.Discovery, InitialList: f.Known, Settings: f.Settings, Bounds: b,
		Gateway: headConf(path, &f, b)}
	c.Gateway.Seed = seed
	if _, err := scheduler.New(c.Gateway.Scheduler, 0, 0); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if err := c.Gateway.Admission.Check(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// headConf makes the configuration that a head runs by: what WebDAV and files need is off.
// No cap or pace is by address: clients of every kind may share one.
func headConf(path string, f *file, b Bounds) *config.Config {
	l := f.Settings.Limits
	c := &config.Config{
		File:         path,
		Listen:       []string{f.Listen},
		Processes:    1,
		Scheduler:    f.Settings.Settings(),
		UnitBytes:    1,
		Deadlines:    config.Deadlines{UploadRate: 1},
		HeaderLimits: http1.Limits{HeaderBytes: 8 << 10, TargetBytes: 2 << 10, FieldCount: 64},
		Timeouts: config.Timeouts{
			Header:   1500 * time.Millisecond,
			Idle:     idleTime,
			Stall:    1200 * time.Millisecond,
			Dial:     settings.Micros(l.ConnectTimeout),
			NodeIdle: settings.Micros(l.ConnIdle) / 2,
			Drain:    stopAfter,
			Shutdown: stopTime(f.Settings),
		},
		Limits: config.Limits{
			Clients:      b.MaxClientConns,
			ConnsPerNode: b.MaxNodeConns,
			NodeConns:    b.MaxNodeConns,
			ConnBuffer:   mostBody * 2,
			BodyBuffer:   mostBody,
			SizeEntries:  1,
		},
		Admission: admission.Config{
			MaxConns:     b.MaxClientConns,
			PrefixBits:   admission.PrefixBits{AddressIPv6: 64, IPv4: 24, IPv6: 48},
			KnownClients: admission.KnownClients{CapMultiple: 1},
			TableEntries: 256,
			Rejections:   admission.RateLimit{PerSecond: 50, Burst: b.MaxRejectionConns},
			Buffers:      admission.Buffers{TotalBytes: b.ClientBufferBytes, MinConnBytes: heldLeast},
			Preemption: admission.Preemption{
				MinFreeConns:      b.MaxClientConns - b.IdlePressureConns,
				MaxIdle:           idleUnderPress,
				ForUnknownClients: true,
			},
		},
	}
	if c.Timeouts.NodeIdle <= 0 {
		c.Timeouts.NodeIdle = 10 * time.Second
	}
	if c.Timeouts.Dial <= 0 {
		c.Timeouts.Dial = time.Second
	}
	return c
}

// Protocol makes what reads and writes the platform's messages.
func (c *Config) Protocol() *Protocol {
	p := &Protocol{classes: map[string]int{}, plans: map[string]int{}, writes: c.Settings.FamilyInfo.Writes,
		most: c.Settings.FamilyInfo.UnitsTop, shards: c.Settings.FamilyInfo.Shards, heads: c.Settings.FleetSize,
		stall: c.Gateway.Timeouts.Dial, answer: c.Bounds.MaxResponseBytes, answers: c.Bounds.MaxBufferedResponseBytes, ids: newIDs(endedKept)}
	for i, k := range c.Settings.Classes {
		p.classes[k.Name] = i
	}
	for i, g := range c.Gateway.Scheduler.Plans {
		p.plans[g.Name] = i
	}
	return p
}

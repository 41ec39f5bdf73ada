package config

import (
	"time"

	"maddergap/internal/admission"
	"maddergap/internal/http1"
	"maddergap/internal/syscalls"
	"maddergap/scheduler"
)

// Config is a complete, checked configuration. It is read-only once loaded: a reload
// replaces it as a whole. Defaults are those of the file format; a Config built in code
// has only what its builder sets.
type Config struct {
	// File is the path that the configuration was read from; a reload reads it again.
	File string
	// Listen are the addresses that clients connect to, each as "host:port".
	Listen []string
	// NodeList is the path of the node list file; empty on a platform, where discovery
	// takes its place.
	NodeList string
	// Processes is how many worker processes share the listeners. Default 1.
	Processes int
	// Seed seeds every random choice; 0 (the default) draws one at start.
	Seed uint64

	// Scheduler is what the scheduler is told at start, classes and plans included.
	Scheduler scheduler.Settings
	// Volumes and Routes tell what a request is for and how it is classified.
	Volumes []Volume
	Routes  []Route
	// UnitBytes is how many bytes of a body cost one unit of work. Default 64 KiB.
	UnitBytes int64

	Deadlines    Deadlines
	Timeouts     Timeouts
	Limits       Limits
	MinRates     MinRates
	HeaderLimits http1.Limits
	Admission    admission.Config
	Telemetry    Telemetry

	// SyscallFaults makes chosen system calls fail, for tests and rehearsals; nil for none.
	SyscallFaults *syscalls.FaultTable
}

// Volume is a set of shards under one plan. Its name is the first segment of a request's path.
type Volume struct {
	Name string
	// Plan is an index of Scheduler.Plans.
	Plan int
	// Shards are the shards that hold the volume's data.
	Shards []int
	// Instances is how many gateway instances the volume's requests arrive at; its limit
	// is divided among them. Default 1.
	Instances int
}

// Route assigns a class to the requests that match it. The first matching route decides.
type Route struct {
	// Methods are the methods that match; empty for any.
	Methods []string
	// Prefix is what the path must begin with; empty for any path.
	Prefix string
	// Ranged restricts the route to requests with a Range field.
	Ranged bool
	// SizeAbove restricts the route to requests of more bytes; -1 for any size.
	SizeAbove int64
	// Class is an index of Scheduler.Classes.
	Class int
}

// Deadlines say how long a client waits for its response.
type Deadlines struct {
	// ByClass is the deadline of a request, by the index of its class.
	ByClass []time.Duration
	// ResponseMargin is kept of each deadline for bringing the response to the client.
	// Default 20ms.
	ResponseMargin time.Duration
	// UploadRate extends the deadline of a body longer than Limits.BodyBuffer: by a second
	// for each UploadRate bytes. Default 1 MiB.
	UploadRate int64
}

// Timeouts bound how long the gateway waits on a connection, and for its own end.
type Timeouts struct {
	// Header is the time for a request's header, from its first byte. Default 10s.
	Header time.Duration
	// Idle closes a client connection that has no request. Default 60s.
	Idle time.Duration
	// NoProgress ends a body or response that makes no progress. Default 10s.
	NoProgress time.Duration
	// Dial bounds connecting to a node. Default 1s.
	Dial time.Duration
	// NodeIdle closes a connection to a node that has no attempt. Default 20s.
	NodeIdle time.Duration
	// Drain is how long new connections are still taken after a stop was requested, as
	// clients learn of it late. Default 0.
	Drain time.Duration
	// Shutdown is the time for pending requests once no more are taken; what is left is
	// aborted. Default 10s.
	Shutdown time.Duration
}

// Limits bound connections and memory.
type Limits struct {
	// Clients is the most client connections. Default 8192.
	Clients int
	// RequestsPerConn is the most requests on one client connection; 0 (the default) for any.
	RequestsPerConn int
	// ConnsPerNode is the most connections to one node. Default 64.
	ConnsPerNode int
	// NodeConns is the most connections to all nodes together; 0 (the default) for any.
	NodeConns int
	// ConnBuffer is how many bytes may be on their way through one connection. Default 256 KiB.
	ConnBuffer int
	// BodyBuffer is how many bytes of a request's body are kept for a retry. Smaller bodies
	// are read whole before the first attempt. Default 256 KiB.
	BodyBuffer int
	// ListingBytes is the most bytes of a merged listing. Default 8 MiB.
	ListingBytes int
	// SizeEntries is how many sizes of objects are remembered, to estimate what a read
	// costs. Default 16384.
	SizeEntries int
}

// MinRates are the slowest transfers that are tolerated, so that a client cannot hold a
// request open by trickling. A rate of 0 is no minimum.
type MinRates struct {
	// Body is the rate at which a request's body must arrive, in bytes a second. Default 100.
	Body int64
	// Response is the rate at which a client must take its response, in bytes a second.
	// Default 1000.
	Response int64
	// Grace is how long a transfer may last before its rate counts. Default 30s.
	Grace time.Duration
}

// Telemetry says where logs, traces and metrics go.
type Telemetry struct {
	// LogFile is appended to; empty (the default) for standard error.
	LogFile string
	// LogRequests logs every request and every failed attempt. Default true.
	LogRequests bool
	// TraceFile is appended to with OpenTelemetry spans; empty (the default) for none.
	TraceFile string
	// MetricsAddr is the address of the listener for /metrics; empty (the default) for none.
	MetricsAddr string
}

const (
	// minConnBuffer is what each client connection may hold in bytes whatever the others do.
	minConnBuffer = 4 << 10
	// defaultClientBuffers is what all client connections may hold in bytes, where the file
	// does not say and the number of clients does not want more.
	defaultClientBuffers = 512 << 20
	// defaultBuffersPerClient is the least part of the default for each client, in multiples
	// of minConnBuffer.
	defaultBuffersPerClient = 4
)

// defaults returns what holds where a file is silent.
func defaults(file string) *Config {
	return &Config{
		File:         file,
		Processes:    1,
		UnitBytes:    64 << 10,
		HeaderLimits: http1.DefaultLimits,
		Scheduler:    scheduler.Settings{Instances: 1, MaxUnits: 1, MeanUnits: 1, ExcessWeight: 0.3},
		Deadlines:    Deadlines{ResponseMargin: 20 * time.Millisecond, UploadRate: 1 << 20},
		Timeouts: Timeouts{
			Header:     10 * time.Second,
			Idle:       60 * time.Second,
			NoProgress: 10 * time.Second,
			Dial:       time.Second,
			NodeIdle:   20 * time.Second,
			Shutdown:   10 * time.Second,
		},
		Limits: Limits{
			Clients:      8192,
			ConnsPerNode: 64,
			ConnBuffer:   256 << 10,
			BodyBuffer:   256 << 10,
			ListingBytes: 8 << 20,
			SizeEntries:  1 << 14,
		},
		MinRates: MinRates{Body: 100, Response: 1000, Grace: 30 * time.Second},
		Admission: admission.Config{
			PrefixBits:   admission.PrefixBits{AddressIPv6: 64, IPv4: 24, IPv6: 48},
			KnownClients: admission.KnownClients{CapMultiple: 4, HalfLife: 10 * time.Minute, MaxLearned: 1024},
			TableEntries: 1 << 14,
			Rejections:   admission.RateLimit{PerSecond: 50, Burst: 100},
			Preemption:   admission.Preemption{MaxIdle: time.Second},
		},
		Telemetry: Telemetry{LogRequests: true},
	}
}

package config

import (
	"time"

	"maddergap/internal/admission"
	"maddergap/internal/http1"
	"maddergap/internal/syscalls"
	"maddergap/scheduler"
)

// Config is a complete, checked configuration. It is read-only after loading: a reload replaces it as a
// whole. The defaults in the comments apply to configuration files; a Config that is built in code has no
// defaults.
type Config struct {
	// File is the path of the configuration file; a reload reads it again.
	File string
	// Listen contains the addresses that clients connect to, each as "host:port".
	Listen []string
	// NodeList is the path of the node list file. It is empty on a platform, which has discovery instead.
	NodeList string
	// Processes is the number of worker processes that share the listeners. Default 1.
	Processes int
	// Seed is the seed of all random decisions. If it is 0 (the default), a random seed is used.
	Seed uint64

	// Scheduler contains the settings of the scheduler, including classes and plans.
	Scheduler scheduler.Settings
	// Volumes contains the volumes; the path of a request selects one of them.
	Volumes []Volume
	// Routes determine the class of each request.
	Routes []Route
	// UnitBytes is the number of bytes of a body that cost one unit of work. Default 64 KiB.
	UnitBytes int64

	Deadlines    Deadlines
	Timeouts     Timeouts
	Limits       Limits
	MinRates     MinRates
	HeaderLimits http1.Limits
	Admission    admission.Config
	Telemetry    Telemetry

	// SyscallFaults injects failures of system calls, for tests. It is nil in normal operation.
	SyscallFaults *syscalls.FaultTable
}

// Volume is a set of shards under one plan. Its name is the first segment of a request's path.
type Volume struct {
	Name string
	// Plan is an index into Scheduler.Plans.
	Plan int
	// Shards contains the numbers of the shards that store the volume's data.
	Shards []int
	// Instances is the number of gateway instances that receive requests for the volume. The volume's
	// limit is divided among them. Default 1.
	Instances int
}

// Route assigns a class to the requests that match it. The first matching route decides.
type Route struct {
	// Methods contains the methods that match; empty for any method.
	Methods []string
	// Prefix is the required beginning of the path; empty for any path.
	Prefix string
	// Ranged restricts the route to requests with a Range field.
	Ranged bool
	// SizeAbove restricts the route to requests that transfer more bytes; -1 for any size.
	SizeAbove int64
	// Class is an index into Scheduler.Classes.
	Class int
}

// Deadlines determine how long a client waits for its response.
type Deadlines struct {
	// ByClass contains the deadline of the requests of each class, by class index.
	ByClass []time.Duration
	// ResponseMargin is the part of each deadline that is reserved for sending the response to the
	// client. Default 20ms.
	ResponseMargin time.Duration
	// UploadRate is the assumed rate of uploads in bytes per second. If a request's body exceeds
	// Limits.BodyBuffer, its deadline is extended by the time of the upload at this rate. Default 1 MiB.
	UploadRate int64
}

// Timeouts limit how long the gateway waits on a connection and during a shutdown.
type Timeouts struct {
	// Header is the time within which the header of a request must arrive, from its first byte on. On a
	// new connection, the first byte must arrive within the same time. Default 10s.
	Header time.Duration
	// Idle is the time after which a client connection without a request is closed. Default 60s.
	Idle time.Duration
	// NoProgress is the time after which a body or response without progress is aborted. Default 10s.
	NoProgress time.Duration
	// Dial is the time within which a connection to a node must be established. Default 1s.
	Dial time.Duration
	// NodeIdle is the time after which a node connection without an attempt is closed. Default 20s.
	NodeIdle time.Duration
	// Drain is the time for which new connections are still accepted after a stop was requested, since
	// clients learn of it with a delay. Default 0.
	Drain time.Duration
	// Shutdown is the time for pending requests after Drain. Requests that remain after it are aborted.
	// Default 10s.
	Shutdown time.Duration
}

// Limits bound connections and memory.
type Limits struct {
	// Clients is the maximum number of client connections. Default 8192.
	Clients int
	// RequestsPerConn is the maximum number of requests on one client connection; 0 (the default) for
	// no limit.
	RequestsPerConn int
	// ConnsPerNode is the maximum number of connections to one node. Default 1024.
	ConnsPerNode int
	// NodeConns is the maximum number of connections to all nodes; 0 (the default) for no limit.
	NodeConns int
	// ConnBuffer is the maximum number of bytes that are buffered for one connection. Default 256 KiB.
	ConnBuffer int
	// BodyBuffer is the maximum number of bytes of a request's body that are kept for a retry. A smaller
	// body is received completely before the first attempt. Default 256 KiB.
	BodyBuffer int
	// ListingBytes is the maximum size of a merged listing. Default 8 MiB.
	ListingBytes int
	// SizeEntries is the number of object sizes that are cached to estimate the cost of reads.
	// Default 16384.
	SizeEntries int
}

// MinRates are the minimum transfer rates of clients. Without them, a client could keep a request open by
// transferring single bytes. A rate of 0 is no minimum.
type MinRates struct {
	// Body is the minimum rate at which a client sends a body, in bytes per second. Default 100.
	Body int64
	// Response is the minimum rate at which a client receives a response, in bytes per second.
	// Default 1000.
	Response int64
	// Grace is subtracted from the duration of a transfer when its average rate is compared with the
	// minimum. Default 30s.
	Grace time.Duration
}

// Telemetry contains the destinations of logs, traces and metrics.
type Telemetry struct {
	// LogFile is the file to which log records are appended; empty (the default) for standard error.
	LogFile string
	// LogRequests enables a log record for every request and every failed attempt. Default true.
	LogRequests bool
	// TraceFile is the file to which OpenTelemetry spans are appended; empty (the default) for none.
	TraceFile string
	// MetricsAddr is the address of the listener for /metrics; empty (the default) for none.
	MetricsAddr string
}

const (
	// minConnBufferBytes is the buffer space that each client connection can use at any time.
	minConnBufferBytes = 4 << 10
	// defaultClientBufferBytes is the default size of the buffers of all client connections, unless
	// defaultBuffersPerClient results in more.
	defaultClientBufferBytes = 512 << 20
	// defaultBuffersPerClient sets a minimum of that default: this number of buffers of
	// minConnBufferBytes for each client connection.
	defaultBuffersPerClient = 4
)

// defaults returns a configuration with the defaults of the file format.
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
			ConnsPerNode: 1024,
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

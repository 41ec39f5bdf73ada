package platform

import (
	"cmp"
	"time"

	"maddergap/internal/admission"
	"maddergap/internal/config"
	"maddergap/internal/http1"
	"maddergap/internal/settings"
)

// Timeouts of connections.
const (
	// headerTimeout is the time that a client has to send the header of a request.
	headerTimeout = 1500 * time.Millisecond
	// noProgressTimeout is the longest pause of a client within a request.
	noProgressTimeout = 1200 * time.Millisecond
	// idleTimeout is the time after which a client connection without a request is closed. The
	// platform permits closing after 2 s. Without the timeout, clients that send one request and
	// keep the connection open would use up the connections that the platform allows its clients.
	idleTimeout = 2050 * time.Millisecond
	// idleTimeoutUnderPressure replaces idleTimeout above Bounds.IdlePressureConns. The platform lets
	// its clients occupy a third of an instance's descriptors, idle connections included. Without the
	// shorter timeout, idle connections could occupy that third and leave no connection to clients with
	// requests, long before the gateway's own bound is reached.
	idleTimeoutUnderPressure = 100 * time.Millisecond
	// defaultNodeIdle and defaultDialTimeout are used if the settings do not contain the time.
	defaultNodeIdle    = 10 * time.Second
	defaultDialTimeout = time.Second
)

// headerLimits bounds the header of a request. Headers of the protocol are much smaller.
var headerLimits = http1.Limits{HeaderBytes: 8 << 10, TargetBytes: 2 << 10, FieldCount: 64}

const (
	// unused is the value of settings of package route that must be above 0 but have no effect on a
	// platform, where each request states its class, units and deadline itself.
	unused = 1
	// rejectionsPerSecond limits the responses to rejected connections. Connections beyond the limit
	// are closed without a response, so that a flood costs little.
	rejectionsPerSecond = 50
	// addressTableEntries is the size of admission's tables of addresses. Small tables suffice, since
	// there are no limits by address.
	addressTableEntries = 256
)

// Times of a shutdown, which begins with SIGTERM. Clients may still connect for up to 0.4 s. The
// platform kills the process killDelay after the longest deadline of a class, where a deadline counts
// as at most maxCountedDeadline. Requests without a response are lost then, so the last responses are
// sent finalResponseLead earlier.
const (
	drainTime          = 500 * time.Millisecond
	maxCountedDeadline = 3 * time.Second
	killDelay          = 700 * time.Millisecond
	finalResponseLead  = 150 * time.Millisecond
)

// shutdownTime returns how long requests in progress may continue after drainTime.
func shutdownTime(site *settings.Site) time.Duration {
	longest := time.Duration(0)
	for _, class := range site.Classes {
		if class.Deadline <= 0 { // unknown
			longest = maxCountedDeadline
		}
		longest = max(longest, settings.Microseconds(class.Deadline))
	}
	return min(longest, maxCountedDeadline) + killDelay - drainTime - finalResponseLead
}

// positiveOr returns d if it is above 0, and byDefault otherwise.
func positiveOr(d, byDefault time.Duration) time.Duration { return cmp.Or(max(d, 0), byDefault) }

// gatewayConfig returns the configuration of the gateway. Settings for WebDAV and for node list files
// are left unset. There are no limits by client address, since different clients may share an address.
func gatewayConfig(path, listen string, seed uint64, site *settings.Site, b Bounds) *config.Config {
	return &config.Config{
		File:         path,
		Listen:       []string{listen},
		Processes:    1,
		Seed:         seed,
		Scheduler:    site.Settings(),
		UnitBytes:    unused,
		Deadlines:    config.Deadlines{UploadRate: unused},
		HeaderLimits: headerLimits,
		Timeouts: config.Timeouts{
			Header:     headerTimeout,
			Idle:       idleTimeout,
			NoProgress: noProgressTimeout,
			Dial:       positiveOr(settings.Microseconds(site.Limits.ConnectTimeout), defaultDialTimeout),
			// Half of the time after which nodes close idle connections: an attempt on a connection
			// that its node is about to close would fail with a reset.
			NodeIdle: positiveOr(settings.Microseconds(site.Limits.ConnectionIdle)/2, defaultNodeIdle),
			Drain:    drainTime,
			Shutdown: shutdownTime(site),
		},
		Limits: config.Limits{
			Clients:      b.MaxClientConns,
			ConnsPerNode: b.MaxNodeConns,
			NodeConns:    b.MaxNodeConns,
			ConnBuffer:   maxBodyBytes * 2,
			BodyBuffer:   maxBodyBytes,
			SizeEntries:  unused,
		},
		Admission: admissionConfig(b),
	}
}

func admissionConfig(b Bounds) admission.Config {
	return admission.Config{
		MaxConns:     b.MaxClientConns,
		PrefixBits:   admission.PrefixBits{AddressIPv6: 64, IPv4: 24, IPv6: 48},
		KnownClients: admission.KnownClients{CapMultiple: 1},
		TableEntries: addressTableEntries,
		Rejections:   admission.RateLimit{PerSecond: rejectionsPerSecond, Burst: b.MaxRejectionConns},
		Buffers:      admission.Buffers{TotalBytes: b.ClientBufferBytes, MinConnBytes: minConnBufferBytes},
		Preemption: admission.Preemption{
			MinFreeConns:      b.MaxClientConns - b.IdlePressureConns,
			MaxIdle:           idleTimeoutUnderPressure,
			ForUnknownClients: true,
		},
	}
}

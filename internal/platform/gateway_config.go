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
	// headerTimeout is how long a client may take for a request's header.
	headerTimeout = 1500 * time.Millisecond
	// noProgressTimeout is how long a client may pause within a request.
	noProgressTimeout = 1200 * time.Millisecond
	// idleTimeout is when a client connection without a request is closed. The platform permits
	// that after 2 s. Clients that send one request and keep the connection would otherwise use
	// up the connections that the platform allows its clients.
	idleTimeout = 2050 * time.Millisecond
	// idleTimeoutUnderPressure is idleTimeout above Bounds.IdlePressureConns. The platform lets
	// its clients hold a third of an instance's descriptors, silent connections included. The
	// failure guarded against is silent connections that leave none to clients with requests,
	// long before the gateway's own bound is reached.
	idleTimeoutUnderPressure = 100 * time.Millisecond
	// defaultNodeIdle and defaultDialTimeout are for settings without such a time.
	defaultNodeIdle    = 10 * time.Second
	defaultDialTimeout = time.Second
)

// Bounds of a request's header. Requests of the protocol stay far below them.
var headerLimits = http1.Limits{HeaderBytes: 8 << 10, TargetBytes: 2 << 10, FieldCount: 64}

const (
	// unused is for the settings of package route, which have to be above 0 and have no effect
	// here: a request of the platform states its class, units and deadline itself.
	unused = 1
	// rejectionsPerSecond bounds the responses to rejected connections. Beyond it they are closed
	// without one, so that a flood costs little.
	rejectionsPerSecond = 50
	// addressTableEntries is the size of admission's tables of addresses. Nothing is limited by
	// address, so that a small one does.
	addressTableEntries = 256
)

// Times of a shutdown, from SIGTERM on. Clients keep connecting for up to 0.4 s. The platform
// kills the process after the longest deadline, counted as maxCountedDeadline at most, and
// killDelay. A request without a response is lost then, so that the last response is sent
// finalResponseLead before.
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
		if class.Deadline <= 0 { // not known
			longest = maxCountedDeadline
		}
		longest = max(longest, settings.Microseconds(class.Deadline))
	}
	return min(longest, maxCountedDeadline) + killDelay - drainTime - finalResponseLead
}

// positiveOr returns d, or a default where d is not above 0.
func positiveOr(d, byDefault time.Duration) time.Duration { return cmp.Or(max(d, 0), byDefault) }

// gatewayConfig returns the gateway's configuration. What WebDAV and node list files need is off.
// There is no cap or rate by client address, since clients of every kind may share one.
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
			// Half of the time after which nodes close idle connections: a request on one that is
			// about to be closed would end as a reset.
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

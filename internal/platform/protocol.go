// Package platform adapts the gateway to the platform that runs it: the protocol of its clients
// and storage nodes, the configuration it gives an instance, and the resource limits it sets.
// Only Load does I/O.
//
// wire.go maps the platform's words to the terms of this module; protocol.go, request.go,
// values.go, node.go and request_ids.go are the protocol; config_file.go, gateway_config.go and
// bounds.go are the configuration.
package platform

import (
	"time"

	"maddergap/internal/gateway"
	"maddergap/internal/http1"
)

// Protocol reads and writes the platform's messages. It is a gateway.Protocol, and not safe for
// concurrent use.
type Protocol struct {
	// Ready reports whether the instance may be put to use; it decides the response to the
	// readiness check. nil: it may.
	Ready func() bool

	classes     map[string]int // indices by name
	plans       map[string]int // indices by name
	classWrites []bool         // by class: its requests are writes; empty: not known
	ids         *requestIDs
	limits      requestLimits

	responseNoProgressTimeout time.Duration
	maxResponseBytes          int64
	maxBufferedResponseBytes  int64
}

var _ gateway.Protocol = (*Protocol)(nil)

// requestLimits bound the numbers in a request.
type requestLimits struct {
	units     float64 // at most
	shards    int     // shard numbers are below it; 0: not known
	instances int     // at most
}

// Protocol returns a new reader and writer of messages by the configuration.
func (c *Config) Protocol() *Protocol {
	info := c.Settings.Workload
	p := &Protocol{
		classes:                   map[string]int{},
		plans:                     map[string]int{},
		classWrites:               info.Writes,
		ids:                       newRequestIDs(maxEndedIDs),
		limits:                    requestLimits{units: info.MaxUnits, shards: info.Shards, instances: c.Settings.Instances},
		responseNoProgressTimeout: c.Gateway.Timeouts.Dial,
		maxResponseBytes:          c.Bounds.MaxResponseBytes,
		maxBufferedResponseBytes:  c.Bounds.MaxBufferedResponseBytes,
	}
	for i, class := range c.Settings.Classes {
		p.classes[class.Name] = i
	}
	for i, plan := range c.Gateway.Scheduler.Plans {
		p.plans[plan.Name] = i
	}
	return p
}

var errDuplicateID = &http1.Error{Status: 409, Reason: "the id is that of a request that is open, or that was answered"}

// BeginRequest registers a request's ID. The error, with status 409, is for one that is in use or
// was used.
func (p *Protocol) BeginRequest(r *gateway.RequestInfo) *http1.Error {
	if !p.ids.begin(r.ID) {
		return errDuplicateID
	}
	return nil
}

// EndRequest releases or remembers a request's ID, by the request's outcome.
func (p *Protocol) EndRequest(id string, o gateway.Outcome) { p.ids.end(id, o) }

// MaxResponseBytes returns how many bytes one response may have, and all that are buffered at a
// time.
func (p *Protocol) MaxResponseBytes() (one, all int64) {
	return p.maxResponseBytes, p.maxBufferedResponseBytes
}

// ResponseNoProgressTimeout returns how long a response may pause once it has begun.
func (p *Protocol) ResponseNoProgressTimeout() time.Duration { return p.responseNoProgressTimeout }

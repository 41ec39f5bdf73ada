// Package platform adapts the gateway to the platform that runs it: to the protocol of the platform's
// clients and storage nodes, the configuration of an instance, and the resource limits.
// Only Load does I/O.
//
// wire.go maps the platform's names to the terms of this module. protocol.go, request.go, values.go,
// node.go and request_ids.go implement the protocol; config_file.go, gateway_config.go, bounds.go and
// changes.go the configuration.
package platform

import (
	"time"

	"maddergap/internal/gateway"
	"maddergap/internal/http1"
	"maddergap/scheduler"
)

// Protocol parses and writes the platform's messages. It implements gateway.Protocol. It is not safe
// for concurrent use.
type Protocol struct {
	// Ready reports whether the instance is ready to serve; it decides the response to the readiness
	// check. If it is nil, the instance is ready.
	Ready func() bool

	classes     map[string]int // class index by name
	plans       map[string]int // plan index by name
	classWrites []bool         // whether the requests of a class are writes, by class index; empty if unknown
	safeClasses []bool         // whether the requests of a class have no effect, by class index
	ids         *requestIDs
	limits      requestLimits

	responseNoProgressTimeout time.Duration
	maxResponseBytes          int64
	maxBufferedResponseBytes  int64
}

var _ gateway.Protocol = (*Protocol)(nil)

// requestLimits bounds the numbers in a request.
type requestLimits struct {
	units     float64 // maximum size of a request
	shards    int     // number of shards; 0 if unknown
	instances int     // number of instances
}

// Protocol returns a new Protocol for the classes, plans and limits of the configuration.
func (c *Config) Protocol() *Protocol {
	info := c.Settings.Workload
	p := &Protocol{
		classes:                   map[string]int{},
		plans:                     map[string]int{},
		classWrites:               info.Writes,
		ids:                       newRequestIDs(maxEndedReads, maxEndedWrites),
		limits:                    requestLimits{units: info.MaxUnits, shards: info.Shards, instances: c.Settings.Instances},
		responseNoProgressTimeout: c.Gateway.Timeouts.Dial,
		maxResponseBytes:          c.Bounds.MaxResponseBytes,
		maxBufferedResponseBytes:  c.Bounds.MaxBufferedResponseBytes,
	}
	for i, class := range c.Settings.Classes {
		p.classes[class.Name] = i
	}
	for _, class := range c.Gateway.Scheduler.Classes {
		p.safeClasses = append(p.safeClasses, class.Effect == scheduler.Safe)
	}
	for i, plan := range c.Gateway.Scheduler.Plans {
		p.plans[plan.Name] = i
	}
	return p
}

var errDuplicateID = &http1.Error{Status: 409, Reason: "the id is that of a request that is open, or that was answered"}

// BeginRequest registers the ID of a request. It returns an error with status 409 if the ID belongs to
// a request in progress, or to an ended request that is still remembered.
func (p *Protocol) BeginRequest(r *gateway.RequestInfo) *http1.Error {
	if !p.ids.begin(r.ID) {
		return errDuplicateID
	}
	return nil
}

// EndRequest releases the ID of a request that was rejected, and remembers the ID after any other
// outcome.
func (p *Protocol) EndRequest(r *gateway.RequestInfo, o gateway.Outcome) {
	p.ids.end(r.ID, p.safeClasses[r.Arrival.Class], o)
}

// MaxResponseBytes returns the maximum size of one response, and of all responses that are buffered at
// a time.
func (p *Protocol) MaxResponseBytes() (perResponse, total int64) {
	return p.maxResponseBytes, p.maxBufferedResponseBytes
}

// ResponseNoProgressTimeout returns the longest pause of a node within a response.
func (p *Protocol) ResponseNoProgressTimeout() time.Duration { return p.responseNoProgressTimeout }

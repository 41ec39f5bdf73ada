package fakenode

import "time"

// Options configures a node. The zero value listens on any free port, keeps the record in memory
// and processes requests without delay, one at a time.
type Options struct {
	Listen string // address to listen on; "" selects a free port
	Name   string // name of the node in its record
	// RecordFile is the file to which the record of requests is written, as JSON lines. If it is
	// empty, the record is kept in memory for Node.Entries.
	RecordFile string
	// DiscardRecord disables the record of finished requests, for measurements.
	DiscardRecord bool
	// Script lists the faults of the node. Its times count from Epoch; a zero Epoch means the time
	// at which the node is started.
	Script Script
	Epoch  time.Time
	// Cores is the number of requests that are processed at the same time; 0 means 1.
	Cores int
	// QueueLimit is the maximum number of requests in the node, waiting or processed. Further
	// requests are rejected with 503. 0 means 1.
	QueueLimit int
	UnitBytes  int64         // size of a unit of work; 0 means defaultUnitBytes
	UnitTime   time.Duration // processing time of a unit on one core
	// MaxBodyBytes is the maximum size of a request body; 0 means defaultMaxBodyBytes. Requests
	// with a larger body are rejected with 413.
	MaxBodyBytes int64
	// After a restart by the script, the node warms up: its capacity starts at InitialFraction of
	// the full capacity and reaches all of it after WarmupDuration. If the work received within an
	// OverloadWindow exceeds OverloadFactor times the work that the node can do in that time at its
	// current capacity, the node fails permanently.
	// A WarmupDuration of 0 means no warm-up, an OverloadFactor of 0 a node that never fails.
	WarmupDuration  time.Duration
	InitialFraction float64
	OverloadFactor  float64
	OverloadWindow  time.Duration
}

const (
	defaultUnitBytes    = 64 << 10
	defaultMaxBodyBytes = 2 << 30
)

// withDefaults returns the options with zero values replaced by defaults.
func (o Options) withDefaults() Options {
	o.Cores = max(o.Cores, 1)
	o.QueueLimit = max(o.QueueLimit, 1)
	if o.UnitBytes <= 0 {
		o.UnitBytes = defaultUnitBytes
	}
	if o.MaxBodyBytes <= 0 {
		o.MaxBodyBytes = defaultMaxBodyBytes
	}
	if o.Epoch.IsZero() {
		o.Epoch = time.Now()
	}
	return o
}

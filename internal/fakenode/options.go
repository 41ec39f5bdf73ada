package fakenode

import "time"

// Options configures a node. The zero value serves on any free port, keeps its record in memory
// and takes no time for its work.
type Options struct {
	Listen string // address to listen on; "" for a free port
	Name   string // in the record
	// RecordFile is where the record of requests is written, as JSON lines. "" keeps it in
	// memory, for Node.Entries.
	RecordFile string
	// DiscardRecord keeps no record at all, for measurements.
	DiscardRecord bool
	// Script is the faults of the node. Its times count from Epoch, which is the start where it
	// is zero.
	Script Script
	Epoch  time.Time
	// Cores is how many requests are processed at the same time; 0 for one.
	Cores int
	// QueueLimit is how many requests the node has at the same time, processed or waiting. More
	// are rejected with 503. 0 for one.
	QueueLimit int
	UnitBytes  int64         // size of one unit of work; 0 for defaultUnitBytes
	UnitTime   time.Duration // time that a unit takes one core
	// MaxBodyBytes is the largest body of a request; 0 for defaultMaxBodyBytes. Larger ones are
	// rejected with 413.
	MaxBodyBytes int64
	// A node that the script restarted warms up: it starts with InitialFraction of its capacity
	// and has all of it after WarmupDuration. When it is sent more than OverloadFactor times its
	// present capacity over an OverloadWindow, it fails for good. A WarmupDuration of 0 is no
	// warm-up, an OverloadFactor of 0 a node that never fails.
	WarmupDuration  time.Duration
	InitialFraction float64
	OverloadFactor  float64
	OverloadWindow  time.Duration
}

const (
	defaultUnitBytes    = 64 << 10
	defaultMaxBodyBytes = 2 << 30
)

// withDefaults returns the options with defaults in place of zero values.
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

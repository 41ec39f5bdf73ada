// Package scenario runs a scripted fault scenario with real sockets: fake nodes with faults, several
// gateway instances, and clients that send requests on an open-loop schedule. The faults and the
// schedule are generated from a seed. Servers run as processes or within the calling process. Package
// audit then judges the run by the records of clients and nodes.
package scenario

import (
	"io"
	"time"

	"maddergap/internal/audit"
	"maddergap/internal/daemon"
	"maddergap/internal/nodelist"
)

const (
	// defaultLateTolerance is used if Options.LateTolerance is 0.
	defaultLateTolerance = 50 * time.Millisecond
	// defaultNetwork is used if Options.Network is 0.
	defaultNetwork = 1
)

// Options configures a run.
type Options struct {
	Plan *Plan
	// Dir is the directory for configurations, logs and records. Run does not remove them.
	Dir string
	// Exe is the program and its first arguments. If it is empty, instances and nodes run in the
	// calling process, and an instance that the plan kills shuts down gracefully instead.
	Exe []string
	// ServeArgs are additional arguments of the serve command. They are used only with Exe.
	ServeArgs []string
	// NewScheduler creates the scheduler of each instance. It is used only without Exe; nil stands
	// for the default scheduler.
	NewScheduler daemon.SchedulerFactory
	// Progress receives progress messages. If it is nil, they are discarded.
	Progress io.Writer
	// Flood sends a flood of connections from many addresses to each instance. The instances are
	// then configured with the scenario's clients as known clients.
	Flood bool
	// FloodAttempts is the number of connections that the flood of each instance attempts; 0 stands
	// for 300 per second of the scenario.
	FloodAttempts int
	// LateTolerance is how long after its deadline a response may arrive, by the client's clock. It
	// covers delays of the machine that the gateway does not cause. 0 stands for 50 ms.
	LateTolerance time.Duration
	// Network is the third byte of the nodes' loopback addresses. The instances' addresses have
	// Network+1. Scenarios that run in one process at the same time need different networks. 0 stands
	// for 1.
	Network int
	// EditNodeList changes each node list before it is written for the instances. It may be nil.
	EditNodeList func([]nodelist.Node) []nodelist.Node
}

// Run runs the scenario and returns the audit's report. Violated rules are not an error.
func Run(o *Options) (*audit.Report, error) {
	o.setDefaults()
	r := newRunner(o)
	defer r.close()
	if err := r.prepare(); err != nil {
		return nil, err
	}
	if err := r.start(); err != nil {
		return nil, err
	}
	if err := r.run(); err != nil {
		return nil, err
	}
	if err := r.collect(); err != nil {
		return nil, err
	}
	return audit.Judge(r.input), nil
}

// setDefaults replaces zero values by defaults.
func (o *Options) setDefaults() {
	if o.Progress == nil {
		o.Progress = io.Discard
	}
	if o.LateTolerance == 0 {
		o.LateTolerance = defaultLateTolerance
	}
	if o.Network == 0 {
		o.Network = defaultNetwork
	}
}

// Package scenario runs a scripted fault scenario over real processes and sockets: fake nodes with
// faults, several instances of the gateway, and clients on a seeded open-loop schedule. The audit
// then judges what passed on the sockets.
package scenario

import (
	"io"
	"time"

	"maddergap/internal/audit"
	"maddergap/internal/daemon"
	"maddergap/internal/nodelist"
)

const (
	// defaultLateTolerance is how late a response may come where Options say nothing else.
	defaultLateTolerance = 50 * time.Millisecond
	// defaultNetwork is the third byte of the nodes' addresses where Options say nothing else.
	defaultNetwork = 1
)

// Options are the options of a run.
type Options struct {
	Plan *Plan
	Dir  string // for configurations and records, which stay there
	// Exe is the program and its first arguments. If it is empty, instances and nodes run in
	// this process, and instances are stopped where they would be killed.
	Exe       []string
	ServeArgs []string // further arguments of serve, with Exe
	// NewScheduler makes the instances' scheduler, without Exe; nil for the usual one.
	NewScheduler daemon.SchedulerFactory
	Progress     io.Writer // nil for none
	// Flood has connections from many addresses press on every instance. The clients of the
	// scenario are known to the instances then.
	Flood bool
	// FloodAttempts are the connections of the flood of each instance; 0 for 300 for each second.
	FloodAttempts int
	// LateTolerance is how long after its deadline a response may arrive by its client's clock,
	// for delays of the machine that are not the gateway's; 0 for 50 ms.
	LateTolerance time.Duration
	// Network is the third byte of the nodes' loopback addresses; those of the instances have the
	// next one. Scenarios that run in one process at once need networks of their own. 0 for 1.
	Network int
	// EditNodeList changes the node list before it is written for the instances; nil for none.
	EditNodeList func([]nodelist.Node) []nodelist.Node
}

// Run runs a scenario and judges it.
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
	if err := r.play(); err != nil {
		return nil, err
	}
	if err := r.collect(); err != nil {
		return nil, err
	}
	return audit.Judge(r.input), nil
}

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

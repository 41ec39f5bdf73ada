package scenario

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"maddergap/internal/audit"
	"maddergap/internal/config"
	"maddergap/internal/flood"
	"maddergap/internal/loopback"
	"maddergap/internal/nodelist"
	"maddergap/internal/stallwatch"
)

const (
	nodePort     = 17000
	instancePort = 18000
	nodeListFile = "nodes.list"
	// startupTime and startupTimePerServer pass before the scenario begins. Processes start and
	// objects are stored in that time.
	startupTime          = 2 * time.Second
	startupTimePerServer = 100 * time.Millisecond
	// drainGrace is how long after the node list has a node as draining or removed an attempt may
	// still begin there.
	drainGrace = 500 * time.Millisecond
	// clockTolerance is how far the two ends of a socket may differ about when something passed.
	clockTolerance = 100 * time.Millisecond
)

// runner is one run of a scenario. Its methods are called in the order prepare, start, play and
// collect, each if the one before it returned no error, and close after all.
type runner struct {
	options *Options
	plan    *Plan
	epoch   time.Time // when the scenario begins

	nodeAddrs     []string // by node
	instanceAddrs []string // by instance
	configFiles   []string // by instance
	config        *config.Config

	fleet   fleet
	clients *clients          // from start on
	stalls  *stallwatch.Watch // from start on
	floods  floods
	drains  []audit.Interval
	input   audit.Input // complete after collect
}

func newRunner(o *Options) *runner {
	return &runner{options: o, plan: o.Plan, fleet: fleet{launcher: newLauncher(o)}}
}

// close ends whatever still runs. It waits for restarts first, whose servers would outlive it; their
// error is play's to report.
func (r *runner) close() {
	r.fleet.waitRestarts()
	r.floods.wait()
	if r.stalls != nil {
		r.stalls.Stop()
	}
	r.fleet.close()
}

// prepare chooses addresses and writes the configurations and the node list.
func (r *runner) prepare() (err error) {
	for i := range r.plan.Nodes {
		r.nodeAddrs = append(r.nodeAddrs, loopback.Addr(r.options.Network, i+1, nodePort))
	}
	for i := range r.plan.Instances {
		addr := loopback.Addr(r.options.Network+1, i+1, instancePort)
		r.instanceAddrs = append(r.instanceAddrs, addr)
		file, err := r.writeConfig(i, addr)
		if err != nil {
			return err
		}
		r.configFiles = append(r.configFiles, file)
	}
	if r.config, err = config.Load(r.configFiles[0]); err != nil {
		return err
	}
	servers := r.plan.Nodes + r.plan.Instances
	r.epoch = time.Now().Add(startupTime + time.Duration(servers)*startupTimePerServer).Truncate(time.Millisecond)
	return r.writeNodeList(-1)
}

// writeConfig writes the configuration of an instance and returns its file.
func (r *runner) writeConfig(instance int, addr string) (string, error) {
	file := filepath.Join(r.options.Dir, fmt.Sprintf("head%d.conf", instance))
	text := r.plan.instanceConfig(addr, nodeListFile)
	if r.options.Flood {
		text += floodLimits
	}
	return file, os.WriteFile(file, []byte(text), 0o644)
}

// writeNodeList writes the node list as it is after the changes up to a time of the scenario.
func (r *runner) writeNodeList(until time.Duration) error {
	nodes := r.plan.nodeList(r.nodeAddrs, r.epoch, until)
	if r.options.EditNodeList != nil {
		nodes = r.options.EditNodeList(nodes)
	}
	return nodelist.Replace(filepath.Join(r.options.Dir, nodeListFile), nodes)
}

// start starts nodes, instances and floods.
func (r *runner) start() error {
	for i, addr := range r.nodeAddrs {
		node, err := r.fleet.launcher.startNode(i, addr, r.epoch)
		if err != nil {
			return err
		}
		r.fleet.addNode(node)
	}
	if err := storeObjects(r.plan.Objects, r.config, r.nodeAddrs); err != nil {
		return err
	}
	for i, addr := range r.instanceAddrs {
		instance, err := r.fleet.launcher.startInstance(i, r.configFiles[i], addr)
		if err != nil {
			return err
		}
		r.fleet.addInstance(instance)
	}
	r.clients = newClients(r.config, r.instanceAddrs)
	r.stalls = stallwatch.Start()
	if r.options.Flood {
		r.startFloods()
	}
	return nil
}

func (r *runner) startFloods() {
	var floods []flood.Options
	for _, addr := range r.instanceAddrs {
		floods = append(floods, r.plan.floodOptions(addr, r.options.FloodAttempts))
	}
	r.floods.start(r.fleet.launcher, floods, r.options.Progress)
}

// collect stops instances and nodes and completes the input of the audit with the nodes' records.
func (r *runner) collect() error {
	for i, instance := range r.fleet.instances {
		// A test's scheduler may leave requests without a response, which Run reports.
		if err := instance.stop(); err != nil && r.options.NewScheduler == nil {
			return fmt.Errorf("head %d: %w", i, err)
		}
	}
	for i, node := range r.fleet.nodes {
		if err := node.stop(); err != nil {
			return fmt.Errorf("node %d: %w", i, err)
		}
		entries, err := readNodeRecord(recordFile(r.options.Dir, i))
		if err != nil {
			return err
		}
		r.input.Attempts = append(r.input.Attempts, entries...)
	}
	return writeClientRecords(filepath.Join(r.options.Dir, "clients.jsonl"), r.input.Requests)
}

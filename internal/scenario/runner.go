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
	// The scenario starts startupTime plus startupTimePerServer for each node and instance after its
	// preparation. Processes start and objects are stored in that time.
	startupTime          = 2 * time.Second
	startupTimePerServer = 100 * time.Millisecond
	// drainGrace is how long attempts may still be sent to a node after the node list shows it as
	// draining or removed.
	drainGrace = 500 * time.Millisecond
	// clockTolerance is how far the times of the same event in the records of the two ends of a
	// connection may differ.
	clockTolerance = 100 * time.Millisecond
)

// runner runs a scenario. Its methods are called in the order prepare, start, run, collect, each
// only if the previous one succeeded. close is called last in any case.
type runner struct {
	options *Options
	plan    *Plan
	epoch   time.Time // start of the scenario

	nodeAddrs     []string // by node
	instanceAddrs []string // by instance
	configFiles   []string // by instance
	config        *config.Config

	fleet   fleet
	clients *clients          // set by start
	stalls  *stallwatch.Watch // set by start
	floods  floods
	drains  []audit.Interval
	input   audit.Input // complete when collect returns
}

func newRunner(o *Options) *runner {
	return &runner{options: o, plan: o.Plan, fleet: fleet{launcher: newLauncher(o)}}
}

// close ends everything that still runs. It first waits for restarts in progress, since their
// servers would otherwise stay running. It ignores the errors of restarts, which run returns.
func (r *runner) close() {
	r.fleet.waitRestarts()
	r.floods.wait()
	if r.stalls != nil {
		r.stalls.Stop()
	}
	r.fleet.close()
}

// prepare assigns the addresses and the start time, and writes the configurations and the node list.
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

// writeConfig writes the configuration of an instance and returns its file name.
func (r *runner) writeConfig(instance int, addr string) (string, error) {
	file := filepath.Join(r.options.Dir, fmt.Sprintf("head%d.conf", instance))
	text := r.plan.instanceConfig(addr, nodeListFile)
	if r.options.Flood {
		text += floodAdmissionConfig
	}
	return file, os.WriteFile(file, []byte(text), 0o644)
}

// writeNodeList writes the node list with all changes up to a time of the scenario.
func (r *runner) writeNodeList(until time.Duration) error {
	nodes := r.plan.nodeList(r.nodeAddrs, r.epoch, until)
	if r.options.EditNodeList != nil {
		nodes = r.options.EditNodeList(nodes)
	}
	return nodelist.Replace(filepath.Join(r.options.Dir, nodeListFile), nodes)
}

// start starts the nodes, stores the objects, and starts the instances and floods.
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

// collect stops instances and nodes and adds the nodes' records to the input of the audit. It also
// writes the clients' records to a file.
func (r *runner) collect() error {
	for i, instance := range r.fleet.instances {
		// A faulty scheduler can leave requests without a response, for which stop returns an error.
		if err := instance.stop(); err != nil && r.options.NewScheduler == nil {
			return fmt.Errorf("stopping instance %d: %w", i, err)
		}
	}
	for i, node := range r.fleet.nodes {
		if err := node.stop(); err != nil {
			return fmt.Errorf("stopping node %d: %w", i, err)
		}
		entries, err := readNodeRecord(nodeRecordFile(r.options.Dir, i))
		if err != nil {
			return err
		}
		r.input.Attempts = append(r.input.Attempts, entries...)
	}
	return writeClientRecords(filepath.Join(r.options.Dir, "clients.jsonl"), r.input.Requests)
}

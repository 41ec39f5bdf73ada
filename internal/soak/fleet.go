package soak

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"maddergap/internal/audit"
	"maddergap/internal/discovery"
	"maddergap/internal/discoverytest"
	"maddergap/internal/loopback"
)

// Ports of the instances and of the nodes. Each of them has an IP address of its own.
const (
	instancePort = 18100
	nodePort     = 18300
)

// The third byte of the fleet's loopback addresses follows from the seed, so that runs with different
// seeds in one process use different addresses.
const (
	firstNetwork = 3
	networkCount = 200
)

// Values of discovery.Endpoint.Status.
const (
	endpointUp       = "up"
	endpointDraining = "draining"
)

// fleet holds the participants of a run: discovery, nodes, instances and their clients.
type fleet struct {
	options    *Options
	deployment *deployment
	registry   *discoverytest.Registry
	nodes      []*node
	instances  []*instance
	requestIDs atomic.Uint64  // the last request ID given out
	injecting  sync.WaitGroup // goroutines that inject faults

	mu         sync.Mutex
	nodeStarts []audit.Interval // starts of nodes after a NodeRestart; only From is set
	failures   []string         // failures other than those in instance.failures
}

func newFleet(o *Options) *fleet {
	return &fleet{options: o, deployment: drawDeployment(o), registry: discoverytest.NewRegistry()}
}

// addr returns the address (host:port) of the instance or node with an index. The address stays the same
// over restarts.
func (f *fleet) addr(index, port int) string {
	network := firstNetwork + int(f.options.Seed%networkCount)
	return loopback.Addr(network, index+1, port)
}

// startNodes starts the nodes and registers them in discovery. The nodes of a shard are in different
// zones.
func (f *fleet) startNodes() error {
	for i := range f.options.Nodes {
		n := newNode(fmt.Sprintf("s-%02d", i), i/nodesPerShard, f.addr(i, nodePort), f.options.Seed)
		if err := n.start(); err != nil {
			return err
		}
		f.nodes = append(f.nodes, n)
		endpoint := discovery.Endpoint{Name: n.name, Address: n.addr, Zone: zones[i%len(zones)], Group: n.shard, Status: endpointUp}
		f.registry.UpdateEndpoint(func(e *discovery.Endpoint) { *e = endpoint }, n.name)
	}
	return nil
}

// startInstances starts all instances concurrently and waits until they are ready. syscallFaults has a
// table for each instance; exe and dir are those of Run.
func (f *fleet) startInstances(syscallFaults, exe []string, dir string) error {
	for index := range f.options.Instances {
		inst, err := newInstance(index, f.addr(index, instancePort), f.registry.NewAgent(index), f.deployment, exe, dir)
		if err != nil {
			return err
		}
		inst.syscallFaults = syscallFaults[index]
		inst.clients = &clientGroup{instance: index, addr: inst.listenAddr, deployment: f.deployment, lastRequestID: &f.requestIDs}
		f.instances = append(f.instances, inst)
	}
	var starting sync.WaitGroup
	errs := make([]error, len(f.instances))
	for index, inst := range f.instances {
		starting.Go(func() {
			inst.mu.Lock()
			defer inst.mu.Unlock()
			errs[index] = inst.start()
		})
	}
	starting.Wait()
	return errors.Join(errs...)
}

// runWorkload runs the clients while it injects the faults of a plan. After the duration of the run, it
// terminates all instances while the clients still send requests. It returns when the clients and the
// injected faults have ended.
func (f *fleet) runWorkload(plan *Plan) {
	stop := make(chan struct{})
	for _, i := range f.instances {
		i.clients.start(f.options.Seed, stop)
	}
	f.inject(plan)
	f.terminate()
	close(stop)
	for _, i := range f.instances {
		i.clients.running.Wait()
	}
	f.injecting.Wait()
}

// terminate terminates all instances concurrently, as in a planned restart. It skips instances whose
// process has already ended.
func (f *fleet) terminate() {
	var terminating sync.WaitGroup
	for _, i := range f.instances {
		terminating.Go(func() {
			i.mu.Lock()
			defer i.mu.Unlock()
			if i.checkExited(); !i.stopped {
				i.terminate(SignalSeries{})
			}
		})
	}
	terminating.Wait()
}

// checkExited records a failure for each instance whose process exited although the soak did not end it.
// It skips instances that are locked, because a fault is being injected into their process.
func (f *fleet) checkExited() {
	for _, i := range f.instances {
		if i.mu.TryLock() {
			i.checkExited()
			i.mu.Unlock()
		}
	}
}

// recordError records an error as a failure of the run. It does nothing if err is nil.
func (f *fleet) recordError(err error) {
	if err == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failures = append(f.failures, err.Error())
}

// close kills the processes of the instances and the nodes that still run.
func (f *fleet) close() {
	for _, i := range f.instances {
		i.close()
	}
	for _, n := range f.nodes {
		n.kill()
	}
}

// recordNodeStart records that a node has restarted and is warming up.
func (f *fleet) recordNodeStart(n *node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodeStarts = append(f.nodeStarts, audit.Interval{Name: n.name, From: unixMicros()})
}

// setStatus sets the status of a node's endpoint in discovery.
func (f *fleet) setStatus(n *node, status string) {
	f.registry.UpdateEndpoint(func(e *discovery.Endpoint) { e.Status = status }, n.name)
}

// setStarted sets the start time of a node's endpoint in discovery to the current time.
func (f *fleet) setStarted(n *node) {
	f.registry.UpdateEndpoint(func(e *discovery.Endpoint) { e.Since = float64(time.Now().UnixMilli()) }, n.name)
}

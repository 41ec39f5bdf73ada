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

// Ports of instances and nodes, each of which has an address of its own.
const (
	instancePort = 18100
	nodePort     = 18300
)

// Runs at different seeds use different networks of the loopback addresses of this process.
const (
	firstNetwork = 3
	networks     = 200
)

// Statuses of endpoints in discovery's list.
const (
	endpointUp       = "up"
	endpointDraining = "draining"
)

// fleet is all that takes part in a run.
type fleet struct {
	options    *Options
	deployment *deployment
	registry   *discoverytest.Registry
	nodes      []*node
	instances  []*instance
	requestIDs atomic.Uint64
	injecting  sync.WaitGroup // of faults

	mu         sync.Mutex
	nodeStarts []audit.Interval // of nodes that restarted
	failures   []string         // that are not of one instance
}

func newFleet(o *Options) *fleet {
	return &fleet{options: o, deployment: drawDeployment(o), registry: discoverytest.NewRegistry()}
}

// addr is the address of an instance or a node, the same after each restart.
func (f *fleet) addr(index, port int) string {
	network := firstNetwork + int(f.options.Seed%networks)
	return loopback.Addr(network, index+1, port)
}

// startNodes starts the nodes and lists them in discovery. The nodes of a shard are in different
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

// startInstances starts the instances, at the same time, and waits until all are ready.
func (f *fleet) startInstances(syscallFaults, exe []string, dir string) error {
	for index := range f.options.Instances {
		i, err := newInstance(index, f.addr(index, instancePort), f.registry.NewAgent(index), f.deployment, exe, dir)
		if err != nil {
			return err
		}
		i.syscallFaults = syscallFaults[index]
		i.clients = &clientGroup{instance: index, addr: i.listenAddr, deployment: f.deployment, nextID: &f.requestIDs}
		f.instances = append(f.instances, i)
	}
	var starting sync.WaitGroup
	errs := make([]error, len(f.instances))
	for index, i := range f.instances {
		starting.Go(func() {
			i.mu.Lock()
			defer i.mu.Unlock()
			errs[index] = i.start()
		})
	}
	starting.Wait()
	return errors.Join(errs...)
}

// serve has clients send requests while the faults of a plan are injected. At the end all instances
// shut down while the clients still send, and everything that was started has ended.
func (f *fleet) serve(plan *Plan) {
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

// terminate terminates all instances.
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

// checkExited looks for instances that exited by themselves, but for those that a fault is at.
func (f *fleet) checkExited() {
	for _, i := range f.instances {
		if i.mu.TryLock() {
			i.checkExited()
			i.mu.Unlock()
		}
	}
}

// fail records an error, unless it is nil.
func (f *fleet) fail(err error) {
	if err == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failures = append(f.failures, err.Error())
}

// close ends what still runs.
func (f *fleet) close() {
	for _, i := range f.instances {
		i.close()
	}
	for _, n := range f.nodes {
		n.kill()
	}
}

// recordNodeStart records that a node started again and is cold.
func (f *fleet) recordNodeStart(n *node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodeStarts = append(f.nodeStarts, audit.Interval{Name: n.name, From: unixMicros()})
}

// setStatus changes the status of a node's endpoint in discovery's list.
func (f *fleet) setStatus(n *node, status string) {
	f.registry.UpdateEndpoint(func(e *discovery.Endpoint) { e.Status = status }, n.name)
}

// setStarted sets the start time of a node's endpoint in discovery's list to now.
func (f *fleet) setStarted(n *node) {
	f.registry.UpdateEndpoint(func(e *discovery.Endpoint) { e.Since = float64(time.Now().UnixMilli()) }, n.name)
}

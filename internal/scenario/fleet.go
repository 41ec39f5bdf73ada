package scenario

import (
	"errors"
	"fmt"
	"slices"
	"sync"

	"maddergap/internal/audit"
)

// fleet holds the nodes and instances of a scenario. Its methods may be called while instances
// restart.
type fleet struct {
	launcher launcher

	mu        sync.Mutex
	started   []server // all servers that were started, including those that have ended
	nodes     []server // by node
	instances []server // by instance; the latest start of each
	outages   []audit.Interval
	// restarting counts the restarts in progress. restartErr joins the errors of failed restarts.
	restarting sync.WaitGroup
	restartErr error
}

func (f *fleet) addNode(s server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes = append(f.nodes, s)
	f.started = append(f.started, s)
}

func (f *fleet) addInstance(s server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.instances = append(f.instances, s)
	f.started = append(f.started, s)
}

// killInstance begins the outage of an instance, kills the instance and then calls onKilled.
func (f *fleet) killInstance(instance int, onKilled func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outages = append(f.outages, audit.Interval{Name: fmt.Sprint(instance), From: nowMicros()})
	f.instances[instance].kill()
	onKilled()
}

// restartInstance starts a killed instance in the background and returns at once, so that the
// schedule is not delayed. When the instance has started, restartInstance calls onRestarted and ends
// the outage.
func (f *fleet) restartInstance(instance int, configFile, addr string, onRestarted func()) {
	f.restarting.Go(func() {
		s, err := f.launcher.startInstance(instance, configFile, addr)
		f.mu.Lock()
		defer f.mu.Unlock()
		if err != nil {
			f.restartErr = errors.Join(f.restartErr, err)
			return
		}
		f.instances[instance] = s
		f.started = append(f.started, s)
		onRestarted()
		f.endOutage(instance)
	})
}

// endOutage ends the current outage of an instance. The caller holds f.mu.
func (f *fleet) endOutage(instance int) {
	for i := range f.outages {
		if outage := &f.outages[i]; outage.Name == fmt.Sprint(instance) && outage.To == 0 {
			outage.To = nowMicros()
		}
	}
}

// waitRestarts waits for all restarts in progress and returns the joined errors of failed restarts.
func (f *fleet) waitRestarts() error {
	f.restarting.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.restartErr
}

// allOutages returns the periods from the kill of an instance to the end of its restart.
func (f *fleet) allOutages() []audit.Interval {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.outages)
}

// close waits for restarts in progress, kills all servers that still run and waits until they have
// ended.
func (f *fleet) close() {
	f.restarting.Wait()
	for _, s := range f.started {
		s.kill()
	}
	f.launcher.wait()
}

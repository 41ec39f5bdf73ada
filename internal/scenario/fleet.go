package scenario

import (
	"errors"
	"fmt"
	"slices"
	"sync"

	"maddergap/internal/audit"
)

// fleet is the servers of a scenario. Its methods may be called while instances restart.
type fleet struct {
	launcher launcher

	mu        sync.Mutex
	started   []server // all servers ever started
	nodes     []server // by node
	instances []server // the latest start of each instance
	outages   []audit.Interval
	// restarting are the restarts under way; restartErr joins the errors of those that failed.
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

// killInstance kills an instance and begins its outage. Then it calls killed.
func (f *fleet) killInstance(instance int, killed func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outages = append(f.outages, audit.Interval{Name: fmt.Sprint(instance), From: nowMicros()})
	f.instances[instance].kill()
	killed()
}

// restartInstance starts an instance that was killed, in the background, since the schedule must
// go on meanwhile. Once it has started, restarted is called and its outage ends.
func (f *fleet) restartInstance(instance int, configFile, addr string, restarted func()) {
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
		restarted()
		f.endOutage(instance)
	})
}

func (f *fleet) endOutage(instance int) {
	for i := range f.outages {
		if outage := &f.outages[i]; outage.Name == fmt.Sprint(instance) && outage.To == 0 {
			outage.To = nowMicros()
		}
	}
}

// waitRestarts waits for restarts under way and returns the errors of all that failed.
func (f *fleet) waitRestarts() error {
	f.restarting.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.restartErr
}

// allOutages are the times in which instances were killed and not yet restarted.
func (f *fleet) allOutages() []audit.Interval {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.outages)
}

// close kills whatever still runs and waits for it.
func (f *fleet) close() {
	f.restarting.Wait()
	for _, s := range f.started {
		s.kill()
	}
	f.launcher.wait()
}

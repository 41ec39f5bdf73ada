package discoverytest

import (
	"maps"
	"net"
	"sync"
	"time"

	"maddergap/internal/discovery"
)

// Agent is the discovery agent on one gateway's machine. It is safe for concurrent use.
type Agent struct {
	registry *Registry
	serving  sync.WaitGroup // of the listeners' and connections' goroutines

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	list     receivedList
	notices  noticeLog
	faults   faultState
	usage    Usage
}

// Usage is what an agent was asked for.
type Usage struct {
	Calls         int   // that were responded to
	ResponseBytes int64 // sent, headers included
}

// receivedList is the list that an agent was sent last.
type receivedList struct {
	index     int64
	endpoints endpointsByName
	// changedAt is the version with which each endpoint changed last.
	changedAt map[string]int64
	// removedAt is the version with which an endpoint was taken off last. Changes since an older
	// version cannot be told, since they do not list what is gone.
	removedAt int64
}

func newAgent(r *Registry, instance int) *Agent {
	return &Agent{
		registry: r,
		conns:    map[net.Conn]bool{},
		list:     receivedList{changedAt: map[string]int64{}},
		notices:  noticeLog{instance: instance},
	}
}

// send gives the agent a list. One that is down does not get it.
func (a *Agent) send(index int64, endpoints endpointsByName) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.faults.down {
		a.receive(index, endpoints)
	}
}

// receive takes a list and records from when its changes count. a.mu is locked.
func (a *Agent) receive(index int64, endpoints endpointsByName) {
	a.list.update(index, endpoints)
	a.notices.record(time.Now(), a.list.endpoints)
}

func (l *receivedList) update(index int64, endpoints endpointsByName) {
	for name := range l.endpoints {
		if _, listed := endpoints[name]; !listed {
			l.removedAt = index
		}
	}
	for name, endpoint := range endpoints {
		if endpoint != l.endpoints[name] {
			l.changedAt[name] = index
		}
	}
	l.index = index
	l.endpoints = maps.Clone(endpoints)
}

// full returns the full list.
func (l *receivedList) full() discovery.EndpointList {
	index := l.index
	list := discovery.EndpointList{Index: &index, Snapshot: true, Endpoints: make([]discovery.Endpoint, 0, len(l.endpoints))}
	for _, endpoint := range l.endpoints {
		list.Endpoints = append(list.Endpoints, endpoint)
	}
	return list
}

// changesSince returns the changes since a version, or the full list where they cannot be told.
func (l *receivedList) changesSince(version int64) discovery.EndpointList {
	if version < l.removedAt {
		return l.full()
	}
	index := l.index
	list := discovery.EndpointList{Index: &index, Endpoints: []discovery.Endpoint{}}
	for name, changedAt := range l.changedAt {
		if changedAt > version {
			list.Endpoints = append(list.Endpoints, l.endpoints[name])
		}
	}
	return list
}

// FullList returns the list that the agent was sent last, as for a configuration.
func (a *Agent) FullList() discovery.EndpointList {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.list.full()
}

// Usage returns what the agent was asked for so far.
func (a *Agent) Usage() Usage {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.usage
}

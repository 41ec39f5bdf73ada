package discoverytest

import (
	"maps"
	"net"
	"sync"
	"time"

	"maddergap/internal/discovery"
)

// Agent is the discovery agent on the machine of a gateway instance. It is safe for concurrent use.
type Agent struct {
	registry *Registry
	serving  sync.WaitGroup // goroutines of the listeners and of the connections

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	list     receivedList
	notices  noticeLog
	faults   faultState
	usage    Usage
}

// Usage counts the responses of an agent.
type Usage struct {
	Calls         int   // number of calls for which a response was written
	ResponseBytes int64 // size of the responses, including headers
}

// receivedList is the list that an agent received last.
type receivedList struct {
	index     int64 // version of the list
	endpoints endpointsByName
	// lastChangeIndex holds, for each endpoint by name, the version in which it changed last.
	lastChangeIndex map[string]int64
	// lastRemovalIndex is the last version in which an endpoint was removed. A list of
	// changes cannot express removals, so a watch from an older version gets the full list.
	lastRemovalIndex int64
}

// newAgent returns an agent that has no list yet and does not listen.
func newAgent(r *Registry, instance int) *Agent {
	return &Agent{
		registry: r,
		conns:    map[net.Conn]bool{},
		list:     receivedList{lastChangeIndex: map[string]int64{}},
		notices:  noticeLog{instance: instance},
	}
}

// receive passes a list from the registry to the agent. An agent that is down ignores it.
func (a *Agent) receive(index int64, endpoints endpointsByName) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.faults.down {
		a.receiveLocked(index, endpoints)
	}
}

// receiveLocked stores a list and records from when its changes count as delivered. a.mu is locked.
func (a *Agent) receiveLocked(index int64, endpoints endpointsByName) {
	a.list.update(index, endpoints)
	a.notices.record(time.Now(), a.list.endpoints)
}

// update replaces the list and records the version of each change and removal.
func (l *receivedList) update(index int64, endpoints endpointsByName) {
	for name := range l.endpoints {
		if _, listed := endpoints[name]; !listed {
			l.lastRemovalIndex = index
		}
	}
	for name, endpoint := range endpoints {
		if endpoint != l.endpoints[name] {
			l.lastChangeIndex[name] = index
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

// changesSince returns the endpoints changed since a version, or the full list if an endpoint was
// removed since that version.
func (l *receivedList) changesSince(version int64) discovery.EndpointList {
	if version < l.lastRemovalIndex {
		return l.full()
	}
	index := l.index
	list := discovery.EndpointList{Index: &index, Endpoints: []discovery.Endpoint{}}
	for name, lastChangeIndex := range l.lastChangeIndex {
		if lastChangeIndex > version {
			list.Endpoints = append(list.Endpoints, l.endpoints[name])
		}
	}
	return list
}

// FullList returns the list that the agent received last, for instance for the configuration of a
// gateway.
func (a *Agent) FullList() discovery.EndpointList {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.list.full()
}

// Usage returns the counts of the responses so far.
func (a *Agent) Usage() Usage {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.usage
}

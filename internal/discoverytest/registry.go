// Package discoverytest is a fake of the discovery service, for tests and the soak: a Registry
// has the true list of nodes and sends it to agents, one on each gateway's machine, which serve it
// over HTTP as package discovery reads it. Agents can be down, slow, or unresponsive on open watches.
// They record from when each change counts as delivered to their gateway, for the audit.
//
// registry.go is the list, agent.go an agent's copy of it, server.go its HTTP server, faults.go
// what can be wrong with it, notices.go when changes count.
package discoverytest

import (
	"slices"
	"sync"

	"maddergap/internal/audit"
	"maddergap/internal/discovery"
)

// endpointsByName is a list of endpoints. An agent has a copy of its own, which it does not change.
type endpointsByName map[string]discovery.Endpoint

// Registry is the true list of nodes and its agents. It is safe for concurrent use.
type Registry struct {
	mu        sync.Mutex // locked before an agent's
	index     int64      // the list's version
	endpoints endpointsByName
	agents    []*Agent
}

// NewRegistry returns a registry with an empty list.
func NewRegistry() *Registry { return &Registry{index: 1, endpoints: endpointsByName{}} }

// UpdateEndpoint changes the endpoint of a name, which is a zero value if there is none, and sends
// the list to all agents.
func (r *Registry) UpdateEndpoint(change func(e *discovery.Endpoint), name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	endpoint := r.endpoints[name]
	change(&endpoint)
	r.endpoints[name] = endpoint
	r.publish()
}

// ReplaceAll replaces the list, and sends it to all agents.
func (r *Registry) ReplaceAll(endpoints ...discovery.Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endpoints = endpointsByName{}
	for _, endpoint := range endpoints {
		r.endpoints[endpoint.Name] = endpoint
	}
	r.publish()
}

// publish makes the list a new version and sends it to all agents.
func (r *Registry) publish() {
	r.index++
	for _, agent := range r.agents {
		agent.send(r.index, r.endpoints)
	}
}

// NewAgent adds an agent for a gateway instance and returns it. It serves once it listens.
func (r *Registry) NewAgent(instance int) *Agent {
	r.mu.Lock()
	defer r.mu.Unlock()
	agent := newAgent(r, instance)
	r.agents = append(r.agents, agent)
	agent.send(r.index, r.endpoints)
	return agent
}

// Agents returns the agents, in the order in which they were added.
func (r *Registry) Agents() []*Agent {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.agents)
}

// Notices returns the notices of all agents so far: of nodes that drain, and of nodes that started.
func (r *Registry) Notices() (drains, starts []audit.Notice) {
	for _, agent := range r.Agents() {
		agent.mu.Lock()
		drains = append(drains, agent.notices.drains...)
		starts = append(starts, agent.notices.starts...)
		agent.mu.Unlock()
	}
	return drains, starts
}

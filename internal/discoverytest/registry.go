// Package discoverytest implements a fake discovery service for tests and the soak. A Registry
// holds the true list of nodes and sends it to its agents. There is one Agent for each gateway
// instance, which serves the list over HTTP to the client of package discovery. An agent can be
// down, slow, or unresponsive on its open connections. For the audit, it records from when each
// change of a node counts as delivered to its instance.
//
// registry.go holds the list, agent.go an agent's copy of it, server.go the HTTP server of an agent,
// faults.go its faults, and notices.go the times from which changes count as delivered.
package discoverytest

import (
	"slices"
	"sync"

	"maddergap/internal/audit"
	"maddergap/internal/discovery"
)

// endpointsByName is a list of endpoints. An agent keeps a copy of its own, which it does not
// change.
type endpointsByName map[string]discovery.Endpoint

// Registry holds the true list of nodes and the agents that serve it. It is safe for concurrent
// use.
type Registry struct {
	mu        sync.Mutex // locked before the mutex of an agent, never after it
	index     int64      // version of the list
	endpoints endpointsByName
	agents    []*Agent
}

// NewRegistry returns a registry with an empty list.
func NewRegistry() *Registry { return &Registry{index: 1, endpoints: endpointsByName{}} }

// UpdateEndpoint changes the endpoint of a node and sends the list to all agents. If the list does
// not have the node yet, change gets a zero Endpoint.
func (r *Registry) UpdateEndpoint(change func(e *discovery.Endpoint), name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	endpoint := r.endpoints[name]
	change(&endpoint)
	r.endpoints[name] = endpoint
	r.publish()
}

// ReplaceAll replaces the list and sends it to all agents.
func (r *Registry) ReplaceAll(endpoints ...discovery.Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endpoints = endpointsByName{}
	for _, endpoint := range endpoints {
		r.endpoints[endpoint.Name] = endpoint
	}
	r.publish()
}

// publish increments the version of the list and sends the list to all agents. r.mu is locked.
func (r *Registry) publish() {
	r.index++
	for _, agent := range r.agents {
		agent.receive(r.index, r.endpoints)
	}
}

// NewAgent adds an agent for a gateway instance and returns it. The agent has the list from the
// start, but serves it only after its Listen was called.
func (r *Registry) NewAgent(instance int) *Agent {
	r.mu.Lock()
	defer r.mu.Unlock()
	agent := newAgent(r, instance)
	r.agents = append(r.agents, agent)
	agent.receive(r.index, r.endpoints)
	return agent
}

// Agents returns the agents, in the order in which they were added.
func (r *Registry) Agents() []*Agent {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.agents)
}

// Notices returns the notices recorded by all agents so far: of nodes that are no longer up
// (drains) and of nodes that have started.
func (r *Registry) Notices() (drains, starts []audit.Notice) {
	for _, agent := range r.Agents() {
		agent.mu.Lock()
		drains = append(drains, agent.notices.drains...)
		starts = append(starts, agent.notices.starts...)
		agent.mu.Unlock()
	}
	return drains, starts
}

package e2e

import (
	"encoding/json"
	"fmt"
	"testing"

	"maddergap/internal/discovery"
	"maddergap/internal/discoverytest"
)

// fakeDiscovery is the discovery agent on the instance's host, with its own registry of endpoints.
type fakeDiscovery struct {
	*discoverytest.Agent
	registry *discoverytest.Registry
	addr     string // address of the agent, host:port
}

// startDiscovery runs a discovery agent that lists the nodes as endpoints s0, s1 and so on, in the
// shards 0, 1 and so on.
func startDiscovery(t *testing.T, nodes ...*platformNode) *fakeDiscovery {
	t.Helper()
	d := &fakeDiscovery{registry: discoverytest.NewRegistry()}
	var endpoints []discovery.Endpoint
	for shard, node := range nodes {
		endpoints = append(endpoints, endpointOf(fmt.Sprint("s", shard), node, shard, "up"))
	}
	d.setEndpoints(endpoints...)
	d.Agent = d.registry.NewAgent(0)
	var err error
	if d.addr, err = d.Listen(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	return d
}

// startUnresponsiveDiscovery runs a discovery agent that accepts connections and never responds, as
// during an outage. It returns the agent's address.
func startUnresponsiveDiscovery(t *testing.T) (addr string) {
	t.Helper()
	d := startDiscovery(t)
	d.StartOutage()
	return d.addr
}

// setEndpoints replaces the endpoint list.
func (d *fakeDiscovery) setEndpoints(endpoints ...discovery.Endpoint) {
	d.registry.ReplaceAll(endpoints...)
}

// endpointOf returns a node as an endpoint with a name, shard and status.
func endpointOf(name string, node *platformNode, shard int, status string) discovery.Endpoint {
	return discovery.Endpoint{Name: name, Address: node.Addr(), Zone: "z0", Group: shard, Status: status}
}

// marshalEndpointList returns the JSON text of an endpoint list, as in a configuration file.
func marshalEndpointList(t *testing.T, endpoints ...discovery.Endpoint) []byte {
	t.Helper()
	index := int64(1)
	text, err := json.Marshal(discovery.EndpointList{Index: &index, Snapshot: true, Endpoints: endpoints})
	if err != nil {
		t.Fatal(err)
	}
	return text
}

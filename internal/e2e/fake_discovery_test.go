package e2e

import (
	"encoding/json"
	"fmt"
	"testing"

	"maddergap/internal/discovery"
	"maddergap/internal/discoverytest"
)

// fakeDiscovery is the discovery agent on the instance's host, with a registry of its own.
type fakeDiscovery struct {
	*discoverytest.Agent
	registry *discoverytest.Registry
	addr     string
}

// startDiscovery runs discovery with the nodes as endpoints s0, s1 and so on, each of a
// shard of its own.
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

// startUnresponsiveDiscovery returns the address of a discovery agent that accepts
// connections and never responds, as during an outage.
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

func endpointOf(name string, node *platformNode, shard int, status string) discovery.Endpoint {
	return discovery.Endpoint{Name: name, Address: node.Addr(), Zone: "z0", Group: shard, Status: status}
}

// marshalEndpointList returns an endpoint list in the form that a configuration has it.
func marshalEndpointList(t *testing.T, endpoints ...discovery.Endpoint) []byte {
	t.Helper()
	index := int64(1)
	text, err := json.Marshal(discovery.EndpointList{Index: &index, Snapshot: true, Endpoints: endpoints})
	if err != nil {
		t.Fatal(err)
	}
	return text
}

package discovery

import (
	"net/netip"
	"time"

	"maddergap/internal/nodelist"
	"maddergap/scheduler"
)

// Limits of a list on the wire.
const (
	maxListBytes     = 4 << 20  // response body
	maxEndpointBytes = 64 << 10 // JSON text of one endpoint
	maxEnvelopeBytes = 64 << 10 // JSON text outside the endpoints
	maxNameBytes     = 256      // name of a node
	// maxSinceMillis limits since_ms, so that its value in microseconds fits into an int64.
	maxSinceMillis = 1e15
)

// EndpointList is a full endpoint list, or the changes of one, as on the wire and in a configuration.
type EndpointList struct {
	Index     *int64     `json:"index"`    // version; nil if missing, which makes the list malformed
	Snapshot  bool       `json:"snapshot"` // set for the full list, not set for changes
	Endpoints []Endpoint `json:"endpoints"`
}

// Endpoint is one node of an EndpointList.
type Endpoint struct {
	Name    string `json:"name"`
	Address string `json:"address"` // host:port; ignored for a removed node
	Zone    string `json:"zone"`
	Group   int    `json:"group"`  // number of the shard that the node holds
	Status  string `json:"status"` // a key of statesByStatus
	// Since is the Unix time at which the node started, in milliseconds; 0 if it was long ago.
	Since float64 `json:"since_ms"`
}

// statesByStatus maps the status of an endpoint on the wire to a node state.
var statesByStatus = map[string]scheduler.NodeState{
	"up":       scheduler.Serving,
	"draining": scheduler.Draining,
	"removed":  scheduler.Removed,
}

// nodeState returns the node state for a status. An unknown status, of a later version of the
// protocol, counts as draining: no new request may be sent to a node that is not known to serve.
func nodeState(status string) scheduler.NodeState {
	state, known := statesByStatus[status]
	if !known {
		return scheduler.Draining
	}
	return state
}

// zoneTable maps zone names to numbers: the zones of the settings in their order, then others in
// the order in which they first appear in a list.
type zoneTable map[string]int

func newZoneTable(names []string) zoneTable {
	zones := zoneTable{}
	for i, name := range names {
		zones[name] = i
	}
	return zones
}

// number returns the number of a zone. It adds a new zone if the table has fewer than
// nodelist.MaxNodes entries; all further zones get the same number. The limit keeps a server that
// sends ever new names from using up the memory.
func (z zoneTable) number(name string) int {
	number, known := z[name]
	if known {
		return number
	}
	number = len(z)
	if number < nodelist.MaxNodes {
		z[name] = number
	}
	return number
}

// convertEndpoint validates an endpoint and converts it to a node. Errors wrap ErrMalformedList.
func (z zoneTable) convertEndpoint(e *Endpoint) (nodelist.Node, error) {
	state := nodeState(e.Status)
	if e.Name == "" || len(e.Name) > maxNameBytes {
		return nodelist.Node{}, malformed("the name of an endpoint has %d bytes, want 1 to %d", len(e.Name), maxNameBytes)
	}
	if _, err := netip.ParseAddrPort(e.Address); err != nil && state != scheduler.Removed {
		return nodelist.Node{}, malformed("endpoint %s: %.60q is not an address and port", e.Name, e.Address)
	}
	if !(e.Since >= 0 && e.Since < maxSinceMillis) { // also false for NaN
		return nodelist.Node{}, malformed("endpoint %s: since_ms is %v", e.Name, e.Since)
	}
	node := nodelist.Node{Name: e.Name, Addr: e.Address, Zone: z.number(e.Zone), Shard: e.Group, State: state}
	if e.Since > 0 {
		node.Started = time.UnixMicro(int64(e.Since * 1000))
	}
	return node, nil
}

// convert validates a list and converts its endpoints to nodes. One unusable endpoint fails the
// whole list: without that endpoint, the node would seem to be removed. Errors wrap
// ErrMalformedList or ErrListTooLarge.
func (z zoneTable) convert(l *EndpointList) ([]nodelist.Node, error) {
	if l.Index == nil {
		return nil, errMissingIndex
	}
	if len(l.Endpoints) > nodelist.MaxNodes {
		return nil, errTooManyNodes
	}
	var nodes []nodelist.Node
	for i := range l.Endpoints {
		node, err := z.convertEndpoint(&l.Endpoints[i])
		if err != nil {
			return nil, err
		}
		nodes = append(nodes, node)
	}
	return nodes, nil
}

var (
	errMissingIndex = malformed("the index is missing")
	errTooManyNodes = tooLarge("more than %d nodes", nodelist.MaxNodes)
)

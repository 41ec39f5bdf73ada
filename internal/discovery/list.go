package discovery

import (
	"net/netip"
	"time"

	"maddergap/internal/nodelist"
	"maddergap/scheduler"
)

// Bounds of a list on the wire.
const (
	maxListBytes     = 4 << 20  // of a body
	maxEndpointBytes = 64 << 10 // of one endpoint's JSON
	maxEnvelopeBytes = 64 << 10 // of the JSON around the endpoints
	maxNameBytes     = 256      // of a node's name
	// maxSinceMillis bounds since_ms, so that its microseconds fit an int64.
	maxSinceMillis = 1e15
)

// EndpointList is a list, or the changes of one, in its form on the wire and in a configuration.
type EndpointList struct {
	Index     *int64     `json:"index"`    // the list's version; nil: missing, which makes it malformed
	Snapshot  bool       `json:"snapshot"` // the full list, not only changes
	Endpoints []Endpoint `json:"endpoints"`
}

// Endpoint is one node of an EndpointList.
type Endpoint struct {
	Name    string `json:"name"`
	Address string `json:"address"` // host:port; of no meaning for a removed node
	Zone    string `json:"zone"`
	Group   int    `json:"group"`  // the number of the shard that the node holds
	Status  string `json:"status"` // a key of statusStates
	// Since is when the node started, in milliseconds of Unix time; 0: long ago.
	Since float64 `json:"since_ms"`
}

// statusStates maps the status of an endpoint on the wire to the state of the node.
var statusStates = map[string]scheduler.NodeState{
	"up":       scheduler.Serving,
	"draining": scheduler.Draining,
	"removed":  scheduler.Removed,
}

// nodeState returns the state for a status. An unknown one, of a later version of the protocol,
// is taken as draining: nothing new may be sent to a node that is not known to serve.
func nodeState(status string) scheduler.NodeState {
	state, known := statusStates[status]
	if !known {
		return scheduler.Draining
	}
	return state
}

// zoneTable numbers the zones by name: those of the settings in their order, then others in the
// order in which they are listed.
type zoneTable map[string]int

func newZoneTable(names []string) zoneTable {
	zones := zoneTable{}
	for i, name := range names {
		zones[name] = i
	}
	return zones
}

// number returns the number of a zone. A new zone is added while the table is below
// nodelist.MaxNodes entries, which guards against names that never repeat using up the memory.
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

// nodeOf checks an endpoint and converts it. Errors are ErrMalformedList.
func (z zoneTable) nodeOf(e *Endpoint) (nodelist.Node, error) {
	state := nodeState(e.Status)
	if e.Name == "" || len(e.Name) > maxNameBytes {
		return nodelist.Node{}, malformed("an endpoint's name has %d bytes, want 1 to %d", len(e.Name), maxNameBytes)
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

// nodesOf checks a list and converts its endpoints. One unusable endpoint fails the whole list:
// a list without it would look as if the node had been removed. Errors are ErrMalformedList and
// ErrListTooLarge.
func (z zoneTable) nodesOf(l *EndpointList) ([]nodelist.Node, error) {
	if l.Index == nil {
		return nil, errMissingIndex
	}
	if len(l.Endpoints) > nodelist.MaxNodes {
		return nil, errTooManyNodes
	}
	var nodes []nodelist.Node
	for i := range l.Endpoints {
		node, err := z.nodeOf(&l.Endpoints[i])
		if err != nil {
			return nil, err
		}
		nodes = append(nodes, node)
	}
	return nodes, nil
}

var (
	errMissingIndex = malformed("no index")
	errTooManyNodes = tooLarge("more than %d nodes", nodelist.MaxNodes)
)

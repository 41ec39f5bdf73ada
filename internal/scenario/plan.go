package scenario

import (
	"fmt"
	"time"

	"maddergap/internal/fakenode"
	"maddergap/internal/nodelist"
	"maddergap/scheduler"
)

// Size determines how large a scenario is and how long it takes.
type Size struct {
	Instances, Nodes int // number of gateway instances and of storage nodes
	Length           time.Duration
	Rate             float64 // requests per second from all clients together, without the surge
}

// Short is the size for tests. Long is the size for runs by hand.
var (
	Short = Size{Instances: 3, Nodes: 8, Length: 24 * time.Second, Rate: 250}
	Long  = Size{Instances: 4, Nodes: 12, Length: 3 * time.Minute, Rate: 400}
)

// Plan is the schedule of a scenario. Times are relative to the start of the scenario. Nodes and
// instances are numbered from 0.
type Plan struct {
	Size
	Seed uint64
	// WarmupDuration is the time that a restarted node takes to reach its full capacity.
	WarmupDuration time.Duration
	// Scripts holds the faults of each node.
	Scripts         [][]fakenode.Step
	NodeListChanges []NodeListChange
	InstanceKills   []InstanceKill
	DrainedNodes    []int
	// NodeRestarts holds, for each node that restarts, the time at which it is up again.
	NodeRestarts      map[int]time.Duration
	Requests          []Request // sorted by time
	Volumes           []string
	Objects           []string // paths of objects that are stored before the scenario starts
	FaultDescriptions []string // one line for each fault and for the surge, for printing
}

// Request is a request that a client sends during the scenario.
type Request struct {
	At time.Duration
	// Instance is the instance that the request is sent to.
	Instance int
	Volume   string
	Class    int
	Method   string
	Path     string
	// Units is the size of the request's body, or of the range that it reads, in units of work.
	Units int
	// OrderKey is the order key of a request of an ordered class, and empty for other classes.
	OrderKey string
	// Sequence numbers the requests of an order key from 1. It is 0 without an order key.
	Sequence int
	TraceID  string // 32 hexadecimal digits
	// CancelAfter is the time after sending the request at which the client disconnects; 0 if it
	// waits for the response.
	CancelAfter time.Duration
	// CancelInBody makes the client send only a part of the body and disconnect CancelAfter later.
	CancelInBody bool
}

// NodeListChange is a change of the node list during the scenario.
type NodeListChange struct {
	At      time.Duration
	State   map[int]scheduler.NodeState // new states, by node
	Started map[int]time.Duration       // start times of restarted nodes, by node
}

// InstanceKill is the kill of an instance at At and its restart at RestartAt.
type InstanceKill struct {
	Instance      int
	At, RestartAt time.Duration
}

// nodeZones is the number of zones that the nodes are distributed over.
const nodeZones = 3

// nodeName returns the name of a node in the node list and in records.
func nodeName(node int) string { return fmt.Sprint("n", node) }

// nodeList returns the node list with all changes up to the time until. epoch is the start of the
// scenario.
func (p *Plan) nodeList(addrs []string, epoch time.Time, until time.Duration) []nodelist.Node {
	var list []nodelist.Node
	for i, addr := range addrs {
		node := nodelist.Node{Name: nodeName(i), Addr: addr, Zone: i % nodeZones, Shard: i}
		for _, change := range p.NodeListChanges {
			if change.At > until {
				continue
			}
			if state, ok := change.State[i]; ok {
				node.State = state
			}
			if at, ok := change.Started[i]; ok {
				node.Started = epoch.Add(at)
			}
		}
		list = append(list, node)
	}
	return list
}

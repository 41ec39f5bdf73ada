package scenario

import (
	"fmt"
	"time"

	"maddergap/internal/fakenode"
	"maddergap/internal/nodelist"
	"maddergap/scheduler"
)

// Size is the size of a scenario.
type Size struct {
	Instances, Nodes int // of the gateway, and of storage
	Length           time.Duration
	Rate             float64 // requests a second, of all clients
}

// Short is the size for tests, Long the one for people.
var (
	Short = Size{Instances: 3, Nodes: 8, Length: 24 * time.Second, Rate: 250}
	Long  = Size{Instances: 4, Nodes: 12, Length: 3 * time.Minute, Rate: 400}
)

// Plan is what happens in a scenario. Times are since its begin; nodes and instances are numbers
// from 0.
type Plan struct {
	Size
	Seed           uint64
	WarmupDuration time.Duration     // that a restarted node takes to reach its full capacity
	Scripts        [][]fakenode.Step // faults, by node
	ListChanges    []ListChange
	InstanceKills  []InstanceKill
	DrainedNodes   []int
	Restarts       map[int]time.Duration // when a node that restarted is up again
	Requests       []Request             // in the order of time
	Volumes        []string
	Objects        []string // paths that are stored before the scenario begins
	Story          []string // the faults in words, for people
}

// Request is a request that a client sends.
type Request struct {
	At       time.Duration
	Instance int // that it is sent to
	Volume   string
	Class    int
	Method   string
	Path     string
	Units    int    // of its body or range
	OrderKey string // of ordered requests; empty for none
	Sequence int    // number among the requests of its key, from 1
	TraceID  string // 32 hex digits
	// CancelAfter is when the client disconnects, after it has sent the request; 0 for never.
	CancelAfter time.Duration
	// CancelInBody has it disconnect before the body is complete, CancelAfter after the first part.
	CancelInBody bool
}

// ListChange is a change of the node list.
type ListChange struct {
	At      time.Duration
	State   map[int]scheduler.NodeState // new states, by node
	Started map[int]time.Duration       // when nodes started that restarted
}

// InstanceKill is an instance that is killed at At and started again at Back.
type InstanceKill struct {
	Instance int
	At, Back time.Duration
}

// nodeZones is the number of zones that nodes are spread over.
const nodeZones = 3

// nodeName is the name of a node in the node list and in records.
func nodeName(node int) string { return fmt.Sprint("n", node) }

// nodeList is the node list after the changes up to a time. epoch is when the scenario begins.
func (p *Plan) nodeList(addrs []string, epoch time.Time, until time.Duration) []nodelist.Node {
	var list []nodelist.Node
	for i, addr := range addrs {
		node := nodelist.Node{Name: nodeName(i), Addr: addr, Zone: i % nodeZones, Shard: i}
		for _, change := range p.ListChanges {
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

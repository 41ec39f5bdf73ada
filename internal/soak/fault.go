package soak

import (
	"fmt"
	"strings"
	"time"
)

// FaultKind is a kind of fault that can be injected.
type FaultKind int

// Kinds of faults. Their order and number determine which faults are drawn for a seed.
const (
	AgentOutage            FaultKind = iota // one agent or all agents of discovery do not respond
	AgentHangWatches                        // connections open to an agent never get another response
	AgentDelayResponses                     // an agent delays its responses
	NodeDrain                               // a node drains and is in service again afterwards
	NodeRestart                             // a node is killed and started again; it is warming up afterwards
	NodeHang                                // a node does not respond to requests
	NodePauseAccept                         // a node accepts no connections
	NodeResetConns                          // a node resets connections instead of responding
	NodeMalformedResponses                  // a node responds with bytes that are not HTTP
	InstanceTerminate                       // SIGTERM, SIGKILL if still running after a delay, new process
	InstanceKill                            // SIGKILL, new process
	InstanceReload                          // new address of discovery in the configuration, SIGHUP
	InstanceSuspend                         // SIGSTOP, SIGCONT
	ClientsDisconnect                       // clients disconnect before they get a response
	ClientsStall                            // a client stops sending in the middle of a request
	ClientsIdleConns                        // clients open many connections and send nothing
	faultKindCount                          // number of kinds
)

// component is the part of the fleet that a fault affects.
type component int

const (
	agentComponent component = iota // the discovery agent of an instance
	nodeComponent
	instanceComponent
	clientsComponent // the clients of an instance
)

// faultInfo holds the properties of a kind of fault.
type faultInfo struct {
	text      string // name in a printed plan
	component component
	// Durations are at least minDuration and below maxDuration. Both are 0 if the kind of fault has no
	// duration.
	minDuration time.Duration
	maxDuration time.Duration
}

var faultInfos = [faultKindCount]faultInfo{
	AgentOutage:            {"discovery down", agentComponent, 100 * time.Millisecond, 5 * time.Second},
	AgentHangWatches:       {"watches fall silent", agentComponent, 100 * time.Millisecond, 2 * time.Second},
	AgentDelayResponses:    {"discovery slow", agentComponent, 100 * time.Millisecond, 2 * time.Second},
	NodeDrain:              {"node drains", nodeComponent, time.Second, 4 * time.Second},
	NodeRestart:            {"node restarts cold", nodeComponent, 300 * time.Millisecond, 2 * time.Second},
	NodeHang:               {"node hangs", nodeComponent, 100 * time.Millisecond, 1500 * time.Millisecond},
	NodePauseAccept:        {"node takes no connections", nodeComponent, 100 * time.Millisecond, 1500 * time.Millisecond},
	NodeResetConns:         {"node resets", nodeComponent, 100 * time.Millisecond, 1500 * time.Millisecond},
	NodeMalformedResponses: {"node answers noise", nodeComponent, 100 * time.Millisecond, 1500 * time.Millisecond},
	InstanceTerminate:      {"head is terminated", instanceComponent, 100 * time.Millisecond, time.Second},
	InstanceKill:           {"head is killed", instanceComponent, 100 * time.Millisecond, time.Second},
	InstanceReload:         {"discovery moves", instanceComponent, 0, 0},
	// The platform suspends an instance for 150 ms at most.
	InstanceSuspend:   {"head is held up", instanceComponent, 20 * time.Millisecond, 150 * time.Millisecond},
	ClientsDisconnect: {"clients leave", clientsComponent, 200 * time.Millisecond, 2 * time.Second},
	ClientsStall:      {"clients stall", clientsComponent, 200 * time.Millisecond, 2 * time.Second},
	ClientsIdleConns:  {"clients crowd", clientsComponent, 200 * time.Millisecond, 2 * time.Second},
}

// String returns the name of the kind in a printed plan.
func (k FaultKind) String() string { return faultInfos[k].text }

// component returns the part of the fleet that faults of the kind affect.
func (k FaultKind) component() component { return faultInfos[k].component }

// allAgents is the Fault.Target of an outage of the discovery agents of all instances.
const allAgents = -1

// Fault is one fault in a plan.
type Fault struct {
	Start    time.Duration // since the beginning of the run
	Duration time.Duration // 0 for InstanceReload, which has none
	Kind     FaultKind
	// Target is the index of a node or of an instance, depending on the component of Kind. For an agent
	// and for clients it is the index of their instance. For an outage it may also be allAgents.
	Target int
	// Signals is used for InstanceTerminate only.
	Signals SignalSeries
}

// SignalSeries describes the signals that the process of an instance is sent when it is terminated.
type SignalSeries struct {
	ReloadBefore  bool // a reload (SIGHUP) precedes the first SIGTERM
	ReloadAfter   bool // a reload follows the first SIGTERM
	ExtraSIGTERMs int  // number of further SIGTERMs, at intervals of extraSIGTERMInterval
}

// String returns the names of the signals in the order in which they are sent.
func (s SignalSeries) String() string {
	text := "SIGTERM"
	if s.ReloadBefore {
		text = "SIGHUP " + text
	}
	if s.ReloadAfter {
		text += " SIGHUP"
	}
	return text + strings.Repeat(" SIGTERM", s.ExtraSIGTERMs)
}

// String returns the fault as a line of a printed plan; the start time is in seconds.
func (f Fault) String() string {
	text := fmt.Sprintf("%7.3f %v, %d, for %v", f.Start.Seconds(), f.Kind, f.Target, f.Duration.Round(time.Millisecond))
	if f.Kind == InstanceTerminate {
		text += ", by " + f.Signals.String()
	}
	return text
}

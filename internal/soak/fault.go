package soak

import (
	"fmt"
	"strings"
	"time"
)

// FaultKind is a kind of fault.
type FaultKind int

// Kinds of faults. Their order and number decide what is drawn at a seed.
const (
	AgentOutage            FaultKind = iota // discovery agents do not respond
	AgentHangWatches                        // open connections to an agent hang for good
	AgentDelayResponses                     // an agent responds late
	NodeDrain                               // a node drains, and is in service again afterwards
	NodeRestart                             // a node's process dies and starts again, cold
	NodeHang                                // a node does not respond to requests
	NodePauseAccept                         // a node accepts no connections
	NodeResetConns                          // a node resets connections under requests
	NodeMalformedResponses                  // a node responds with bytes that are not HTTP
	InstanceTerminate                       // SIGTERM, SIGKILL as early as the platform sends it, a new process
	InstanceKill                            // SIGKILL, a new process
	InstanceReload                          // a new address of discovery, SIGHUP
	InstanceSuspend                         // SIGSTOP, SIGCONT
	ClientsDisconnect                       // clients disconnect before their response
	ClientsStall                            // a client stops in the middle of a request
	ClientsIdleConns                        // many connections without requests
	faultKinds
)

// component is a part of the fleet that faults befall.
type component int

const (
	agentComponent component = iota
	nodeComponent
	instanceComponent
	clientsComponent // the clients of one instance
)

// faultInfo describes a kind of fault.
type faultInfo struct {
	text        string // as the plan is printed
	component   component
	minDuration time.Duration // durations are drawn from minDuration up to
	maxDuration time.Duration // maxDuration; both 0: the fault happens at once
}

var faultInfos = [faultKinds]faultInfo{
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

// String returns the kind's text in a printed plan.
func (k FaultKind) String() string { return faultInfos[k].text }

func (k FaultKind) component() component { return faultInfos[k].component }

// allAgents is the target of an outage of discovery on all instances.
const allAgents = -1

// Fault is a fault of a plan.
type Fault struct {
	Start    time.Duration // since the beginning of the run
	Duration time.Duration // 0 for a fault that happens at once
	Kind     FaultKind
	// Target is the index of a node, or of the instance with which an agent or clients are; or
	// allAgents.
	Target int
	// Signals are those of InstanceTerminate.
	Signals SignalSeries
}

// SignalSeries is what the process of an instance is sent as it is terminated.
type SignalSeries struct {
	ReloadBefore bool // SIGHUP, with a new address of discovery, just before the first SIGTERM
	ReloadAfter  bool // the same just after it
	FurtherTerms int  // how often SIGTERM follows within a second
}

// String returns the signals in their order.
func (s SignalSeries) String() string {
	text := "SIGTERM"
	if s.ReloadBefore {
		text = "SIGHUP " + text
	}
	if s.ReloadAfter {
		text += " SIGHUP"
	}
	return text + strings.Repeat(" SIGTERM", s.FurtherTerms)
}

// String returns the fault as a line of a printed plan, with its start in seconds.
func (f Fault) String() string {
	text := fmt.Sprintf("%7.3f %v, %d, for %v", f.Start.Seconds(), f.Kind, f.Target, f.Duration.Round(time.Millisecond))
	if f.Kind == InstanceTerminate {
		text += ", by " + f.Signals.String()
	}
	return text
}

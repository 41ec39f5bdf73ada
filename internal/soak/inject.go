package soak

import (
	"time"

	"maddergap/internal/discoverytest"
)

// responseDelayDivisor is the ratio of the duration of an AgentDelayResponses fault to the delay of each
// response.
const responseDelayDivisor = 10

// inject injects the faults of a plan, each at its start time and in its own goroutine. It returns
// when the duration of the run is over. Faults may still be active then; runWorkload waits for them.
func (f *fleet) inject(plan *Plan) {
	start := time.Now()
	if plan.HoldIdleConns {
		f.holdIdleConns(start.Add(f.options.Duration))
	}
	for _, fault := range plan.Faults {
		time.Sleep(time.Until(start.Add(fault.Start)))
		f.checkExited()
		f.injecting.Go(func() { f.injectFault(fault) })
	}
	time.Sleep(time.Until(start.Add(f.options.Duration)))
}

// holdIdleConns makes the clients of every instance hold idle connections until end.
func (f *fleet) holdIdleConns(end time.Time) {
	for _, i := range f.instances {
		f.injecting.Go(func() { i.clients.holdIdleConnsUntil(end) })
	}
}

// injectFault injects a fault and returns when the fault is over.
func (f *fleet) injectFault(fault Fault) {
	switch fault.Kind.component() {
	case agentComponent:
		for _, a := range f.targetAgents(fault) {
			startAgentFault(a, fault)
		}
		time.Sleep(fault.Duration)
		for _, a := range f.targetAgents(fault) {
			endAgentFault(a, fault)
		}
	case nodeComponent:
		f.injectNodeFault(f.nodes[fault.Target], fault)
	case instanceComponent:
		injectInstanceFault(f.instances[fault.Target], fault)
	case clientsComponent:
		f.injectClientFault(f.instances[fault.Target].clients, fault)
	}
}

// targetAgents returns the agents that a fault affects.
func (f *fleet) targetAgents(fault Fault) []*discoverytest.Agent {
	if fault.Target == allAgents {
		return f.registry.Agents()
	}
	return f.registry.Agents()[fault.Target : fault.Target+1]
}

func startAgentFault(a *discoverytest.Agent, fault Fault) {
	switch fault.Kind {
	case AgentOutage:
		a.StartOutage()
	case AgentHangWatches:
		a.HangConnections()
	case AgentDelayResponses:
		a.SetResponseDelay(fault.Duration / responseDelayDivisor)
	}
}

// endAgentFault ends a fault of an agent. AgentHangWatches needs no end: it affects only connections that
// were open when it started.
func endAgentFault(a *discoverytest.Agent, fault Fault) {
	switch fault.Kind {
	case AgentOutage:
		a.EndOutage()
	case AgentDelayResponses:
		a.SetResponseDelay(0)
	}
}

func (f *fleet) injectNodeFault(n *node, fault Fault) {
	switch fault.Kind {
	case NodeDrain:
		f.setStatus(n, endpointDraining)
		time.Sleep(fault.Duration)
		f.setStatus(n, endpointUp)
	case NodeRestart:
		f.restartNode(n, fault.Duration)
	case NodePauseAccept:
		n.pauseAccept()
		time.Sleep(fault.Duration)
		n.resumeAccept()
	case NodeHang:
		n.failResponses(responseFaultHang, fault.Duration)
	case NodeResetConns:
		n.failResponses(responseFaultReset, fault.Duration)
	case NodeMalformedResponses:
		n.failResponses(responseFaultMalformed, fault.Duration)
	}
}

// restartNode kills a node and starts it again after downtime. It does nothing if a restart of the node
// is already in progress.
func (f *fleet) restartNode(n *node, downtime time.Duration) {
	if !n.restartMu.TryLock() {
		return
	}
	defer n.restartMu.Unlock()
	n.kill()
	time.Sleep(downtime)
	if err := n.start(); err != nil {
		f.recordError(err)
		return
	}
	f.recordNodeStart(n)
	f.setStarted(n)
}

// injectInstanceFault injects a fault into the process of an instance. It does nothing if another fault
// is being injected there, or if the process has ended.
func injectInstanceFault(i *instance, fault Fault) {
	if !i.mu.TryLock() {
		return
	}
	defer i.mu.Unlock()
	if i.stopped {
		return
	}
	switch fault.Kind {
	case InstanceTerminate:
		i.terminate(fault.Signals)
		time.Sleep(fault.Duration)
		i.restart()
	case InstanceKill:
		i.kill()
		time.Sleep(fault.Duration)
		i.restart()
	case InstanceReload:
		i.reload()
	case InstanceSuspend:
		i.suspend(fault.Duration)
	}
}

func (f *fleet) injectClientFault(clients *clientGroup, fault Fault) {
	switch fault.Kind {
	case ClientsDisconnect:
		clients.disconnectFor(fault.Duration)
	case ClientsStall:
		f.recordError(clients.stall())
	case ClientsIdleConns:
		clients.holdIdleConns(fault.Duration)
	}
}

package soak

import (
	"time"

	"maddergap/internal/discoverytest"
)

// delayParts is the ratio of the duration of AgentDelayResponses to the delay of each response.
const delayParts = 10

// inject injects the faults of a plan, each at its start and in a goroutine of its own, and returns
// when the options' duration is over. Faults may go on after that.
func (f *fleet) inject(plan *Plan) {
	start := time.Now()
	if plan.Crowd {
		f.holdCrowds(start.Add(f.options.Duration))
	}
	for _, fault := range plan.Faults {
		time.Sleep(time.Until(start.Add(fault.Start)))
		f.checkExited()
		f.injecting.Go(func() { f.injectFault(fault) })
	}
	time.Sleep(time.Until(start.Add(f.options.Duration)))
}

// holdCrowds holds idle connections at every instance until a time.
func (f *fleet) holdCrowds(end time.Time) {
	for _, i := range f.instances {
		f.injecting.Go(func() { i.clients.crowdUntil(end) })
	}
}

// injectFault injects a fault and returns when it is over.
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
		a.HangWatches()
	case AgentDelayResponses:
		a.SetResponseDelay(fault.Duration / delayParts)
	}
}

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
		n.failResponses(respondsNever, fault.Duration)
	case NodeResetConns:
		n.failResponses(respondsByReset, fault.Duration)
	case NodeMalformedResponses:
		n.failResponses(respondsMalformed, fault.Duration)
	}
}

// restartNode kills a node and starts it again after a while. It does nothing while the node is down.
func (f *fleet) restartNode(n *node, downtime time.Duration) {
	if !n.restart.TryLock() {
		return
	}
	defer n.restart.Unlock()
	n.kill()
	time.Sleep(downtime)
	if err := n.start(); err != nil {
		f.fail(err)
		return
	}
	f.recordNodeStart(n)
	f.setStarted(n)
}

// injectInstanceFault does nothing while another fault is at the instance's process, or once the
// process has ended.
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
		f.fail(clients.stall())
	case ClientsIdleConns:
		clients.holdIdleConns(fault.Duration)
	}
}

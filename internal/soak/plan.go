package soak

import (
	"cmp"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"time"
)

// Plan is the schedule of the faults in a run.
type Plan struct {
	Faults []Fault // sorted by start time
	// SyscallFaults holds the table of failing system calls of each instance, in the format of
	// syscalls.ParseFaultTable. All processes of the instance run with the same table.
	SyscallFaults []string
	// HoldIdleConns is set if clients hold idle connections to every instance for the whole run.
	HoldIdleConns bool
}

// Periods at the beginning and at the end of a run in which none of Plan.Faults starts, except for
// faults that coincide with an earlier one (see GeneratePlan). The fleet starts up without these faults,
// and has time to recover from them before it is shut down.
const (
	faultFreeStart = 1500 * time.Millisecond
	faultFreeEnd   = 2500 * time.Millisecond
)

const (
	// meanFaultInterval is the mean time between the starts of two faults; the intervals are
	// exponentially distributed.
	meanFaultInterval = 350 * time.Millisecond
	// On average, 1 in extraOutageOneIn faults is made an outage of discovery, whatever kind was drawn.
	extraOutageOneIn = 6
)

// Write prints the plan, one line for each event.
func (p *Plan) Write(w io.Writer) {
	if p.HoldIdleConns {
		fmt.Fprintln(w, "  0.000 clients crowd at every head, to the end")
	}
	for _, fault := range p.Faults {
		fmt.Fprintln(w, fault)
	}
}

// Streams of the random number generator, used together with the seed. Signals and idle connections
// are drawn from a stream of their own, so that drawing them does not change the rest of the plan.
const (
	planStream   = 0x736f616b
	signalStream = 0x73696773
)

const (
	// On average, 1 in idleConnsOneIn runs has Plan.HoldIdleConns set.
	idleConnsOneIn = 4
	// maxExtraSIGTERMs is the maximum of SignalSeries.ExtraSIGTERMs.
	maxExtraSIGTERMs = 2
)

// planner draws the plan of a run from random numbers.
type planner struct {
	plan    *Plan
	options *Options
	rand    *rand.Rand
	end     time.Duration // end of the period in which faults start; see faultFreeEnd
}

// GeneratePlan returns the plan determined by the options. The same options give the same plan. Faults are
// independent, except for those that coincide on purpose: drains with the end of an outage of
// discovery, several reloads with each other and with a drain, and a reload and a drain with a
// planned restart.
func GeneratePlan(o *Options) *Plan {
	p := &planner{
		plan:    &Plan{},
		options: o,
		rand:    rand.New(rand.NewPCG(o.Seed, planStream)),
		end:     o.Duration - faultFreeEnd,
	}
	for start := faultFreeStart; start < p.end; start += p.drawInterval() {
		p.drawFault(start)
	}
	slices.SortStableFunc(p.plan.Faults, func(a, b Fault) int { return cmp.Compare(a.Start, b.Start) })
	for range o.Instances {
		p.plan.SyscallFaults = append(p.plan.SyscallFaults, drawSyscallFaults(p.rand))
	}
	p.drawSignals(rand.New(rand.NewPCG(o.Seed, signalStream)))
	return p.plan
}

// drawSignals draws Plan.HoldIdleConns and the signals of each planned restart.
func (p *planner) drawSignals(r *rand.Rand) {
	p.plan.HoldIdleConns = r.IntN(idleConnsOneIn) == 0
	for i := range p.plan.Faults {
		if fault := &p.plan.Faults[i]; fault.Kind == InstanceTerminate {
			fault.Signals = SignalSeries{
				ReloadBefore:  r.IntN(2) == 0,
				ReloadAfter:   r.IntN(2) == 0,
				ExtraSIGTERMs: r.IntN(maxExtraSIGTERMs + 1),
			}
		}
	}
}

// drawInterval draws the time between the starts of two faults.
func (p *planner) drawInterval() time.Duration {
	return time.Duration(p.rand.ExpFloat64() * float64(meanFaultInterval))
}

func (p *planner) addFault(start, duration time.Duration, kind FaultKind, target int) {
	p.plan.Faults = append(p.plan.Faults, Fault{Start: start, Duration: duration, Kind: kind, Target: target})
}

// drawFault draws a fault that starts at start, and the faults that coincide with it.
func (p *planner) drawFault(start time.Duration) {
	instance := p.rand.IntN(p.options.Instances)
	node := p.rand.IntN(p.options.Nodes)
	kind := FaultKind(p.rand.IntN(int(faultKindCount)))
	if p.rand.IntN(extraOutageOneIn) == 0 {
		kind = AgentOutage
	}
	switch {
	case kind == AgentOutage:
		p.drawOutage(start, instance)
	case kind == InstanceTerminate:
		p.drawShutdown(start, instance, node)
	case kind == InstanceReload:
		p.drawReloads(start, instance, node)
	case kind.component() == nodeComponent:
		p.addFault(start, p.drawDuration(kind, start), kind, node)
	default:
		p.addFault(start, p.drawDuration(kind, start), kind, instance)
	}
}

// drawDuration draws the duration of a fault of a kind that starts at start.
func (p *planner) drawDuration(kind FaultKind, start time.Duration) time.Duration {
	info := &faultInfos[kind]
	return p.drawDurationBetween(info.minDuration, info.maxDuration, start)
}

// drawDurationBetween draws the duration of a fault that starts at start: at least shortest and below
// longest. The duration is shortened so that the fault ends by p.end, but not to less than shortest.
func (p *planner) drawDurationBetween(shortest, longest, start time.Duration) time.Duration {
	duration := shortest + time.Duration(p.rand.Int64N(int64(longest-shortest)))
	return min(duration, max(p.end-start, shortest))
}

// drawDrainDuration draws the duration of a drain that coincides with a fault that starts at start.
func (p *planner) drawDrainDuration(start time.Duration) time.Duration {
	return p.drawDurationBetween(time.Second, 3*time.Second, start)
}

// drawDelay draws a delay of whole milliseconds that is shorter than limit.
func (p *planner) drawDelay(limit time.Duration) time.Duration {
	return time.Duration(p.rand.IntN(int(limit.Milliseconds()))) * time.Millisecond
}

// drawOutage draws an outage of discovery, for one instance or for all. One or two nodes begin to
// drain during the outage and still drain when it ends. The instances affected learn of the drains
// only then; from then on they are expected to send these nodes no requests.
func (p *planner) drawOutage(start time.Duration, instance int) {
	target := instance
	if p.rand.IntN(2) == 0 {
		target = allAgents
	}
	outage := p.drawDuration(AgentOutage, start)
	p.addFault(start, outage, AgentOutage, target)
	for range 1 + p.rand.IntN(2) {
		delay := time.Duration(p.rand.Int64N(int64(outage)))
		drain := outage - delay + p.drawDrainDuration(start)
		p.addFault(start+delay, drain, NodeDrain, p.rand.IntN(p.options.Nodes))
	}
}

// drawShutdown draws a planned restart of an instance. Half of the restarts coincide with a reload
// (SIGHUP) of the instance and with a drain of a node.
func (p *planner) drawShutdown(start time.Duration, instance, node int) {
	const drain = 2 * time.Second
	p.addFault(start, p.drawDuration(InstanceTerminate, start), InstanceTerminate, instance)
	if p.rand.IntN(2) == 0 {
		p.addFault(start+p.drawDelay(400*time.Millisecond), 0, InstanceReload, instance)
		p.addFault(start+p.drawDelay(900*time.Millisecond), drain, NodeDrain, node)
	}
}

// drawReloads draws one to three reloads in short succession, each with a new address of discovery,
// and a drain at the same time. The instance may learn of the drain at an old or a new address.
func (p *planner) drawReloads(start time.Duration, instance, node int) {
	const delayLimit = 500 * time.Millisecond
	for range 1 + p.rand.IntN(3) {
		p.addFault(start+p.drawDelay(delayLimit), 0, InstanceReload, instance)
	}
	delay := p.drawDelay(delayLimit)
	p.addFault(start+delay, p.drawDrainDuration(start), NodeDrain, node)
}

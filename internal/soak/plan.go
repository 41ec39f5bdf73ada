package soak

import (
	"cmp"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"time"
)

// Plan is the faults of a run.
type Plan struct {
	Faults []Fault // by start
	// SyscallFaults is the table of failing system calls of each instance's process, in the form
	// that syscalls.ParseFaultTable reads.
	SyscallFaults []string
	// Crowd: idle connections are held at every instance from the start to the end.
	Crowd bool
}

// Times without new faults at the beginning and at the end of a run: the fleet starts without
// any, and recovers from all of them before it shuts down.
const (
	quietStart = 1500 * time.Millisecond
	quietEnd   = 2500 * time.Millisecond
)

const (
	// meanFaultInterval is the mean time between the starts of two faults; the intervals are
	// exponentially distributed.
	meanFaultInterval = 350 * time.Millisecond
	// extraOutageEvery: one fault in so many is an outage of discovery, beside those that are drawn
	// as often as other kinds.
	extraOutageEvery = 6
)

// Write prints the plan, a line for each event.
func (p *Plan) Write(w io.Writer) {
	if p.Crowd {
		fmt.Fprintln(w, "  0.000 clients crowd at every head, to the end")
	}
	for _, fault := range p.Faults {
		fmt.Fprintln(w, fault)
	}
}

// Streams of random numbers, at a seed. Signals and crowds have one of their own, so that drawing
// them changes nothing else of the plan at a seed.
const (
	planStream   = 0x736f616b
	signalStream = 0x73696773
)

const (
	// crowdEvery: one run in so many has a crowd from the start.
	crowdEvery = 4
	// maxFurtherTerms bounds how often SIGTERM is repeated.
	maxFurtherTerms = 2
)

// planner draws a plan.
type planner struct {
	plan    *Plan
	options *Options
	rand    *rand.Rand
	end     time.Duration // of faults
}

// DrawPlan returns the plan that follows from the options' seed. Faults are independent, except for
// some that are made to coincide: drains with the end of an outage of discovery, reloads in series,
// a drain with a shutdown.
func DrawPlan(o *Options) *Plan {
	p := &planner{
		plan:    &Plan{},
		options: o,
		rand:    rand.New(rand.NewPCG(o.Seed, planStream)),
		end:     o.Duration - quietEnd,
	}
	for start := quietStart; start < p.end; start += p.interval() {
		p.drawFault(start)
	}
	slices.SortStableFunc(p.plan.Faults, func(a, b Fault) int { return cmp.Compare(a.Start, b.Start) })
	for range o.Instances {
		p.plan.SyscallFaults = append(p.plan.SyscallFaults, drawSyscallFaults(p.rand))
	}
	p.drawSignals(rand.New(rand.NewPCG(o.Seed, signalStream)))
	return p.plan
}

// drawSignals draws the signals of each planned restart, and whether the run has a crowd.
func (p *planner) drawSignals(r *rand.Rand) {
	p.plan.Crowd = r.IntN(crowdEvery) == 0
	for i := range p.plan.Faults {
		if fault := &p.plan.Faults[i]; fault.Kind == InstanceTerminate {
			fault.Signals = SignalSeries{
				ReloadBefore: r.IntN(2) == 0,
				ReloadAfter:  r.IntN(2) == 0,
				FurtherTerms: r.IntN(maxFurtherTerms + 1),
			}
		}
	}
}

func (p *planner) interval() time.Duration {
	return time.Duration(p.rand.ExpFloat64() * float64(meanFaultInterval))
}

func (p *planner) add(start, duration time.Duration, kind FaultKind, target int) {
	p.plan.Faults = append(p.plan.Faults, Fault{Start: start, Duration: duration, Kind: kind, Target: target})
}

// drawFault draws a fault that starts at a time, and those that are to coincide with it.
func (p *planner) drawFault(start time.Duration) {
	instance := p.rand.IntN(p.options.Instances)
	node := p.rand.IntN(p.options.Nodes)
	kind := FaultKind(p.rand.IntN(int(faultKinds)))
	if p.rand.IntN(extraOutageEvery) == 0 {
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
		p.add(start, p.duration(kind, start), kind, node)
	default:
		p.add(start, p.duration(kind, start), kind, instance)
	}
}

// duration draws the duration of a fault.
func (p *planner) duration(kind FaultKind, start time.Duration) time.Duration {
	info := &faultInfos[kind]
	return p.durationBetween(info.minDuration, info.maxDuration, start)
}

// durationBetween draws a duration from shortest up to longest. A fault that starts at start lasts
// beyond the end of faults only where its shortest duration does.
func (p *planner) durationBetween(shortest, longest, start time.Duration) time.Duration {
	duration := shortest + time.Duration(p.rand.Int64N(int64(longest-shortest)))
	return min(duration, max(p.end-start, shortest))
}

// coincidingDrain draws the duration of a drain that is to coincide with another fault.
func (p *planner) coincidingDrain(start time.Duration) time.Duration {
	return p.durationBetween(time.Second, 3*time.Second, start)
}

// within draws a delay of whole milliseconds, shorter than limit.
func (p *planner) within(limit time.Duration) time.Duration {
	return time.Duration(p.rand.IntN(int(limit.Milliseconds()))) * time.Millisecond
}

// drawOutage draws an outage of discovery, for one instance or for all. In it one or two nodes
// begin to drain, which instances learn when it ends: from then on the drains have to be kept.
func (p *planner) drawOutage(start time.Duration, instance int) {
	target := instance
	if p.rand.IntN(2) == 0 {
		target = allAgents
	}
	outage := p.duration(AgentOutage, start)
	p.add(start, outage, AgentOutage, target)
	for range 1 + p.rand.IntN(2) {
		delay := time.Duration(p.rand.Int64N(int64(outage)))
		drain := outage - delay + p.coincidingDrain(start)
		p.add(start+delay, drain, NodeDrain, p.rand.IntN(p.options.Nodes))
	}
}

// drawShutdown draws a planned restart of an instance. Half of them come with a SIGHUP and with a
// node that drains while the instance shuts down.
func (p *planner) drawShutdown(start time.Duration, instance, node int) {
	const drain = 2 * time.Second
	p.add(start, p.duration(InstanceTerminate, start), InstanceTerminate, instance)
	if p.rand.IntN(2) == 0 {
		p.add(start+p.within(400*time.Millisecond), 0, InstanceReload, instance)
		p.add(start+p.within(900*time.Millisecond), drain, NodeDrain, node)
	}
}

// drawReloads draws one to three reloads in short succession, and a drain that the instance is told
// of by either address of discovery.
func (p *planner) drawReloads(start time.Duration, instance, node int) {
	const delayLimit = 500 * time.Millisecond
	for range 1 + p.rand.IntN(3) {
		p.add(start+p.within(delayLimit), 0, InstanceReload, instance)
	}
	delay := p.within(delayLimit)
	p.add(start+delay, p.coincidingDrain(start), NodeDrain, node)
}

package scenario

import (
	"fmt"
	"math/rand/v2"
	"time"

	"maddergap/internal/fakenode"
	"maddergap/scheduler"
)

// relativePeriod is a period of the scenario. Both ends are fractions of the scenario's length.
type relativePeriod struct{ from, to float64 }

// Periods of the faults and of the surge of requests. Random jitter delays either end.
var (
	silentPeriod  = relativePeriod{0.08, 0.18}
	pausePeriod   = relativePeriod{0.2, 0.24}
	slowPeriod    = relativePeriod{0.26, 0.38}
	resetPeriod   = relativePeriod{0.28, 0.38}
	drainPeriod   = relativePeriod{0.34, 0.46}
	restartPeriod = relativePeriod{0.5, 0.54}
	surgePeriod   = relativePeriod{0.7, 0.85}
)

const (
	// killFraction is the time of instance kills, as a fraction of the length.
	killFraction = 0.42
	// Jitter is less than the length of the scenario divided by jitterDivisor.
	jitterDivisor = 50
	// A killed instance is down for the length of the scenario divided by downtimeDivisor.
	downtimeDivisor = 20
	// A restarted node warms up for the length of the scenario divided by warmupDivisor, but at least
	// for minWarmup.
	warmupDivisor = 8
	minWarmup     = 10 * time.Second
	// listDelay is the time from a node's failure or restart to the change of the node list.
	listDelay = 300 * time.Millisecond
	// The processing time on a slow node is multiplied by a factor between minSlowFactor and
	// minSlowFactor+slowFactorRange.
	minSlowFactor   = 2
	slowFactorRange = 4
	// secondSeed is the second seed of the random number generator. It separates the random numbers
	// of plans from those that other code draws from the same first seed.
	secondSeed = 0xbad
)

// planGenerator generates a plan from random numbers. A seed must always give the same scenario, so
// the order in which random numbers are drawn must not change.
type planGenerator struct {
	random     *rand.Rand
	plan       *Plan
	faultOrder []int // nodes in the order in which faults are assigned to them
}

// GeneratePlan returns the plan for a seed and a size. The same seed and size always give the same plan.
func GeneratePlan(seed uint64, size Size) *Plan {
	g := &planGenerator{
		random: rand.New(rand.NewPCG(seed, secondSeed)),
		plan: &Plan{
			Size:           size,
			Seed:           seed,
			Scripts:        make([][]fakenode.Step, size.Nodes),
			NodeRestarts:   map[int]time.Duration{},
			WarmupDuration: max(size.Length/warmupDivisor, minWarmup),
		},
	}
	g.faultOrder = g.random.Perm(size.Nodes)
	g.generateNodeFaults()
	g.generateDrain()
	g.generateNodeRestarts()
	g.generateInstanceKills()
	g.generateRequests()
	return g.plan
}

// drawTimeNear returns the time at a fraction of the scenario's length plus random jitter.
func (g *planGenerator) drawTimeNear(fraction float64) time.Duration {
	length := g.plan.Length
	jitter := time.Duration(g.random.Int64N(int64(length) / jitterDivisor))
	return (time.Duration(float64(length)*fraction) + jitter).Round(time.Millisecond)
}

// drawPeriod returns the two ends of a period, each with random jitter.
func (g *planGenerator) drawPeriod(f relativePeriod) (from, to time.Duration) {
	from = g.drawTimeNear(f.from)
	to = g.drawTimeNear(f.to)
	return from, to
}

// addDescription adds a line to the plan's FaultDescriptions.
func (g *planGenerator) addDescription(format string, args ...any) {
	g.plan.FaultDescriptions = append(g.plan.FaultDescriptions, fmt.Sprintf(format, args...))
}

// faultyNode returns the i-th node to which a fault is assigned. With few nodes, a node can have
// several faults.
func (g *planGenerator) faultyNode(i int) int { return g.faultOrder[i%len(g.faultOrder)] }

// addFault adds a fault to a node's script.
func (g *planGenerator) addFault(node int, step fakenode.Step) {
	g.plan.Scripts[node] = append(g.plan.Scripts[node], step)
	g.addDescription("n%d: %v", node, step)
}

// generateNodeFaults gives four nodes one fault each: no responses, a pause, slow processing, and
// connection resets.
func (g *planGenerator) generateNodeFaults() {
	from, to := g.drawPeriod(silentPeriod)
	g.addFault(g.faultyNode(0), fakenode.Step{Fault: fakenode.Silent, From: from, To: to})
	from, to = g.drawPeriod(pausePeriod)
	g.addFault(g.faultyNode(1), fakenode.Step{Fault: fakenode.Pause, From: from, To: to})
	from, to = g.drawPeriod(slowPeriod)
	factor := minSlowFactor + slowFactorRange*g.random.Float64()
	g.addFault(g.faultyNode(2), fakenode.Step{Fault: fakenode.Slow, From: from, To: to, Factor: factor})
	from, to = g.drawPeriod(resetPeriod)
	g.addFault(g.faultyNode(3), fakenode.Step{Fault: fakenode.Reset, From: from, To: to})
}

// generateDrain makes a node drain and then serve again.
func (g *planGenerator) generateDrain() {
	node := g.faultyNode(4)
	from, to := g.drawPeriod(drainPeriod)
	g.plan.DrainedNodes = append(g.plan.DrainedNodes, node)
	g.plan.NodeListChanges = append(g.plan.NodeListChanges,
		NodeListChange{At: from, State: map[int]scheduler.NodeState{node: scheduler.Draining}},
		NodeListChange{At: to, State: map[int]scheduler.NodeState{node: scheduler.Serving}})
	g.addDescription("n%d: drains from %v to %v", node, from, to)
}

// generateNodeRestarts makes two fifths of the nodes, at least one, fail at the same time. They
// restart together and warm up.
func (g *planGenerator) generateNodeRestarts() {
	down, up := g.drawPeriod(restartPeriod)
	removed := NodeListChange{At: down + listDelay, State: map[int]scheduler.NodeState{}}
	returned := NodeListChange{At: up + listDelay, State: map[int]scheduler.NodeState{}, Started: map[int]time.Duration{}}
	for _, node := range g.faultOrder[:max(1, len(g.faultOrder)*2/5)] {
		g.addFault(node, fakenode.Step{Fault: fakenode.Restart, From: down, To: up})
		g.plan.NodeRestarts[node] = up
		removed.State[node] = scheduler.Removed
		returned.State[node] = scheduler.Serving
		returned.Started[node] = up
	}
	g.plan.NodeListChanges = append(g.plan.NodeListChanges, removed, returned)
}

// generateInstanceKills kills a third of the instances, at least one, and starts them again.
func (g *planGenerator) generateInstanceKills() {
	p := g.plan
	for i := range max(1, p.Instances/3) {
		kill := InstanceKill{Instance: (int(p.Seed%100) + i) % p.Instances, At: g.drawTimeNear(killFraction)}
		kill.RestartAt = kill.At + p.Length/downtimeDivisor
		p.InstanceKills = append(p.InstanceKills, kill)
		g.addDescription("head %d: killed at %v, back at %v", kill.Instance, kill.At, kill.RestartAt)
	}
}

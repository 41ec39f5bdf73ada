package scenario

import (
	"fmt"
	"math/rand/v2"
	"time"

	"maddergap/internal/fakenode"
	"maddergap/scheduler"
)

// fractions is a span of a scenario, in fractions of its length.
type fractions struct{ from, to float64 }

// When each fault takes place. Draws delay either end by up to one part in jitterPart of the length.
var (
	silentSpan  = fractions{0.08, 0.18}
	pauseSpan   = fractions{0.2, 0.24}
	slowSpan    = fractions{0.26, 0.38}
	resetSpan   = fractions{0.28, 0.38}
	drainSpan   = fractions{0.34, 0.46}
	restartSpan = fractions{0.5, 0.54}
	surgeSpan   = fractions{0.7, 0.85}
)

const (
	killFraction = 0.42
	// jitterPart is the largest jitter, one part in so many of the length.
	jitterPart = 50
	// killedPart is how long a killed instance is down, one part in so many of the length.
	killedPart = 20
	// A restarted node warms up for one part in warmupLengthPart of the length, and for
	// minWarmup at least.
	warmupLengthPart = 8
	minWarmup        = 10 * time.Second
	// listDelay is how long after a restart the node list shows it.
	listDelay = 300 * time.Millisecond
	// A slow node takes from minSlowFactor to minSlowFactor+slowFactorRange times as long.
	minSlowFactor   = 2
	slowFactorRange = 4
	// drawStream is the second seed of the draws, which sets them apart from others of the seed.
	drawStream = 0xbad
)

// drawing draws a plan. The order of the draws is part of what a seed means: another order gives
// another scenario for each seed.
type drawing struct {
	random *rand.Rand
	plan   *Plan
	nodes  []int // in the order in which faults strike them
}

// Draw draws a plan: the same seed and size give the same plan.
func Draw(seed uint64, size Size) *Plan {
	d := &drawing{
		random: rand.New(rand.NewPCG(seed, drawStream)),
		plan: &Plan{
			Size:           size,
			Seed:           seed,
			Scripts:        make([][]fakenode.Step, size.Nodes),
			Restarts:       map[int]time.Duration{},
			WarmupDuration: max(size.Length/warmupLengthPart, minWarmup),
		},
	}
	d.nodes = d.random.Perm(size.Nodes)
	d.drawNodeFaults()
	d.drawDrain()
	d.drawRestart()
	d.drawInstanceKills()
	d.drawRequests()
	return d.plan
}

// at draws a time near a fraction of the length.
func (d *drawing) at(fraction float64) time.Duration {
	length := d.plan.Length
	jitter := time.Duration(d.random.Int64N(int64(length) / jitterPart))
	return (time.Duration(float64(length)*fraction) + jitter).Round(time.Millisecond)
}

// span draws both ends of a span.
func (d *drawing) span(f fractions) (from, to time.Duration) {
	from = d.at(f.from)
	to = d.at(f.to)
	return from, to
}

// addStory adds a line to the story.
func (d *drawing) addStory(format string, args ...any) {
	d.plan.Story = append(d.plan.Story, fmt.Sprintf(format, args...))
}

// nodeAt is the node that comes i-th in the order of faults.
func (d *drawing) nodeAt(i int) int { return d.nodes[i%len(d.nodes)] }

// addFault adds a fault to a node's script.
func (d *drawing) addFault(node int, step fakenode.Step) {
	d.plan.Scripts[node] = append(d.plan.Scripts[node], step)
	d.addStory("n%d: %v", node, step)
}

// drawNodeFaults has one node after the other be silent, pause, be slow and reset connections.
func (d *drawing) drawNodeFaults() {
	from, to := d.span(silentSpan)
	d.addFault(d.nodeAt(0), fakenode.Step{Fault: fakenode.Silent, From: from, To: to})
	from, to = d.span(pauseSpan)
	d.addFault(d.nodeAt(1), fakenode.Step{Fault: fakenode.Pause, From: from, To: to})
	from, to = d.span(slowSpan)
	factor := minSlowFactor + slowFactorRange*d.random.Float64()
	d.addFault(d.nodeAt(2), fakenode.Step{Fault: fakenode.Slow, From: from, To: to, Factor: factor})
	from, to = d.span(resetSpan)
	d.addFault(d.nodeAt(3), fakenode.Step{Fault: fakenode.Reset, From: from, To: to})
}

// drawDrain has a node drain and serve again.
func (d *drawing) drawDrain() {
	node := d.nodeAt(4)
	from, to := d.span(drainSpan)
	d.plan.DrainedNodes = append(d.plan.DrainedNodes, node)
	d.plan.ListChanges = append(d.plan.ListChanges,
		ListChange{At: from, State: map[int]scheduler.NodeState{node: scheduler.Draining}},
		ListChange{At: to, State: map[int]scheduler.NodeState{node: scheduler.Serving}})
	d.addStory("n%d: drains from %v to %v", node, from, to)
}

// drawRestart has two nodes in five fail at once and restart, after which they warm up.
func (d *drawing) drawRestart() {
	down, up := d.span(restartSpan)
	removed := ListChange{At: down + listDelay, State: map[int]scheduler.NodeState{}}
	returned := ListChange{At: up + listDelay, State: map[int]scheduler.NodeState{}, Started: map[int]time.Duration{}}
	for _, node := range d.nodes[:max(1, len(d.nodes)*2/5)] {
		d.addFault(node, fakenode.Step{Fault: fakenode.Restart, From: down, To: up})
		d.plan.Restarts[node] = up
		removed.State[node] = scheduler.Removed
		returned.State[node] = scheduler.Serving
		returned.Started[node] = up
	}
	d.plan.ListChanges = append(d.plan.ListChanges, removed, returned)
}

// drawInstanceKills has a third of the instances, and one at least, be killed and started again.
func (d *drawing) drawInstanceKills() {
	p := d.plan
	for i := range max(1, p.Instances/3) {
		kill := InstanceKill{Instance: (int(p.Seed%100) + i) % p.Instances, At: d.at(killFraction)}
		kill.Back = kill.At + p.Length/killedPart
		p.InstanceKills = append(p.InstanceKills, kill)
		d.addStory("head %d: killed at %v, back at %v", kill.Instance, kill.At, kill.Back)
	}
}

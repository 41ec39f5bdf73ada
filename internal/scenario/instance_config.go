package scenario

import (
	"fmt"
	"strings"
	"time"
)

// Indexes of the classes in the instances' configuration.
const (
	traceRead = iota
	segmentWrite
	archiveExport
	journalAppend
)

// Capacity of the nodes. The instances' configuration contains the same values as far as it needs them.
const (
	nodeCores      = 1
	nodeQueueLimit = 100
	unitBytes      = 4096
	unitTime       = 8 * time.Millisecond // core time that a unit takes
	// A restarted node has slowStartFraction of its capacity at first. It fails if, within
	// overloadWindow, it receives more than overloadFactor times the work that it can process.
	slowStartFraction = 0.2
	overloadFactor    = 2.0
	overloadWindow    = time.Second
)

// Limits of the standard plan (plan "standard" in the configuration).
const (
	planLimit = 60.0 // units per second
	planBurst = 90.0 // units
)

// instanceConfig returns the configuration text of an instance. listen is the address that the
// instance listens on.
func (p *Plan) instanceConfig(listen, nodeListFile string) string {
	var b strings.Builder
	slowStartUnits := slowStartFraction * nodeCores / unitTime.Seconds() * overloadWindow.Seconds()
	fmt.Fprintf(&b, `listen %s
nodes %s
log-requests no
stop-time 5s
heads %d
class trace-read effect safe aim 150ms deadline 1200ms worth 2 late 0.2
class segment-write effect unsafe aim 300ms deadline 2s worth 2 late 0.2
class archive-export effect safe aim 750ms deadline 2500ms worth 1 late 0.2
class journal-append effect unsafe aim 300ms deadline 2s worth 1 late 0.2 ordered yes
plan standard rate 20 reserve 10 weight 1 price 0.8 limit %g burst %g
plan priority rate 20 reserve 20 weight 2 price 1
units bytes %d mean 1.6 most 4
cold for %v from %g units %g window %v multiple %g
budget free 3 share 0.03 over 5s
attempts 4
order-rest 1s
retry-after 1s
route GET over %d class archive-export
route GET class trace-read
`, listen, nodeListFile, p.Instances, planLimit, planBurst, unitBytes, p.WarmupDuration, slowStartFraction,
		slowStartUnits, overloadWindow, overloadFactor, 3*unitBytes)
	for i, volume := range p.Volumes {
		plan := "standard"
		if i%2 == 1 {
			plan = "priority"
		}
		fmt.Fprintf(&b, "volume %s plan %s shards 0-%d heads %d\n", volume, plan, p.Nodes-1, p.Instances)
		fmt.Fprintf(&b, "route PUT path /%s/journal class journal-append\n", volume)
	}
	b.WriteString("route * class segment-write\n")
	return b.String()
}

// Package scenario runs a scripted bad day over real processes and sockets: stand-in
// nodes with faults, several heads, clients on a seeded open-loop schedule, and
// then the audit of what passed on the sockets.
package scenario

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"time"

	"maddergap/internal/fakenode"
	"maddergap/internal/flood"
	"maddergap/internal/nodelist"
	"maddergap/scheduler"
)

// Size of a day.
type Size struct {
	Heads, Nodes int
	Length       time.Duration
	Rate         float64 // requests a second, of all clients
}

// Short is the form for tests, Long the one for people.
var (
	Short = Size{Heads: 3, Nodes: 8, Length: 24 * time.Second, Rate: 250}
	Long  = Size{Heads: 4, Nodes: 12, Length: 3 * time.Minute, Rate: 400}
)

// Classes of the day's configuration, by place.
const (
	traceRead = iota
	segmentWrite
	archiveExport
	journalAppend
)

// What the day's nodes and rules are like.
const (
	unitBytes   = 4096
	unitTime    = 8 * time.Millisecond
	cores       = 1
	queueLength = 100
	coldFrom    = 0.2
	coldTimes   = 2.0
	coldWindow  = time.Second
	grace       = 500 * time.Millisecond
	listLate    = 300 * time.Millisecond // of the node list behind the nodes
	limitRate   = 60.0
	limitBurst  = 90.0
)

// Job is a request of the schedule.
type Job struct {
	At       time.Duration
	Head     int
	Volume   string
	Class    int
	Method   string
	Path     string
	Units    int
	Key      string
	Sequence int
	Trace    string
	GiveUp   time.Duration // after it was sent; 0: never
	Half     bool          // gives up in the middle of the body
}

// Change is a new node list.
type Change struct {
	At    time.Duration
	State map[int]scheduler.NodeState // of nodes that changed
	Start map[int]time.Duration       // of nodes that started again
}

// Kill is a head killed and started again.
type Kill struct {
	Head     int
	At, Back time.Duration
}

// Plan is a day, drawn from a seed: the same seed gives the same plan.
type Plan struct {
	Size
	Seed    uint64
	Cold    time.Duration
	Scripts [][]fakenode.Step // by node
	Changes []Change
	Kills   []Kill
	Drains  []int // nodes that drain
	Starts  map[int]time.Duration
	Jobs    []Job
	Volumes []string
	Objects []string // put before the day begins
	Story   []string
}

// Draw draws a day.
func Draw(seed uint64, size Size) *Plan {
	r := rand.New(rand.NewPCG(seed, 0xbad))
	p := &Plan{Size: size, Seed: seed, Scripts: make([][]fakenode.Step, size.Nodes), Starts: map[int]time.Duration{},
		Cold: max(size.Length/8, 10*time.Second)}
	at := func(part float64) time.Duration {
		return (time.Duration(float64(size.Length)*part) + time.Duration(r.Int64N(int64(size.Length)/50))).Round(time.Millisecond)
	}
	order := r.Perm(size.Nodes)
	fault := func(i int, f fakenode.Fault, from, to time.Duration, factor float64) {
		n := order[i%size.Nodes]
		s := fakenode.Step{Fault: f, From: from, To: to, Factor: factor}
		p.Scripts[n] = append(p.Scripts[n], s)
		p.Story = append(p.Story, fmt.Sprintf("n%d: %v", n, s))
	}
	fault(0, fakenode.Silent, at(0.08), at(0.18), 0)
	fault(1, fakenode.Pause, at(0.2), at(0.24), 0)
	fault(2, fakenode.Slow, at(0.26), at(0.38), 2+4*r.Float64())
	fault(3, fakenode.Reset, at(0.28), at(0.38), 0)
	drain := order[4%size.Nodes]
	from, to := at(0.34), at(0.46)
	p.Drains = append(p.Drains, drain)
	p.Changes = append(p.Changes, Change{At: from, State: map[int]scheduler.NodeState{drain: scheduler.Draining}},
		Change{At: to, State: map[int]scheduler.NodeState{drain: scheduler.Serving}})
	p.Story = append(p.Story, fmt.Sprintf("n%d: drains from %v to %v", drain, from, to))

	down, up := at(0.5), at(0.54)
	cold := order[:max(1, size.Nodes*2/5)]
	gone, back := Change{At: down + listLate, State: map[int]scheduler.NodeState{}},
		Change{At: up + listLate, State: map[int]scheduler.NodeState{}, Start: map[int]time.Duration{}}
	for i, n := range cold {
		fault(i, fakenode.Restart, down, up, 0)
		p.Starts[n], gone.State[n], back.State[n], back.Start[n] = up, scheduler.Removed, scheduler.Serving, up
	}
	p.Changes = append(p.Changes, gone, back)
	for i := range max(1, size.Heads/3) {
		k := Kill{Head: (int(seed%100) + i) % size.Heads, At: at(0.42)}
		k.Back = k.At + size.Length/20
		p.Kills = append(p.Kills, k)
		p.Story = append(p.Story, fmt.Sprintf("head %d: killed at %v, back at %v", k.Head, k.At, k.Back))
	}
	p.load(r, at(0.7), at(0.85))
	return p
}

// load draws the clients' schedule, with a surge of one volume in [from, to].
func (p *Plan) load(r *rand.Rand, from, to time.Duration) {
	volumes := p.Nodes + p.Nodes/2
	for v := range volumes {
		p.Volumes = append(p.Volumes, fmt.Sprintf("feed-%d", v))
		for s := range 4 {
			for o := range 3 {
				p.Objects = append(p.Objects, fmt.Sprintf("/feed-%d/st%d.%d", v, s, o))
			}
		}
	}
	surge := 2 * r.IntN(volumes/2) // of the plan with a limit
	p.Story = append(p.Story, fmt.Sprintf("feed-%d: surge from %v to %v", surge, from, to))
	sequence := map[string]int{}
	one := func(at time.Duration, v int) {
		j := Job{At: at, Head: r.IntN(p.Heads), Volume: p.Volumes[v], Method: "GET", Units: 1,
			Path: fmt.Sprintf("/feed-%d/st%d.%d", v, r.IntN(4), r.IntN(3))}
		switch x := r.Float64(); {
		case x < 0.5:
			j.Units = 1 + r.IntN(2)
		case x < 0.75:
			j.Class, j.Method, j.Units = segmentWrite, "PUT", 1+r.IntN(2)
			j.Path = fmt.Sprintf("/feed-%d/seg-%x", v, r.Uint64())
		case x < 0.88:
			j.Class, j.Units = archiveExport, 4
		default:
			k := r.IntN(3)
			j.Class, j.Method, j.Head = journalAppend, "PUT", k%p.Heads
			j.Path = fmt.Sprintf("/feed-%d/journal-%d", v, k)
			j.Key = j.Path
			sequence[j.Key]++
			j.Sequence = sequence[j.Key]
		}
		if r.Float64() < 0.02 {
			j.GiveUp = time.Duration(5+r.IntN(150)) * time.Millisecond
			j.Half = j.Method == "PUT" && r.IntN(2) == 0
		}
		j.Trace = fmt.Sprintf("%016x%016x", p.Seed<<32|uint64(len(p.Jobs)+1), r.Uint64()|1)
		p.Jobs = append(p.Jobs, j)
	}
	gap := func(rate float64) time.Duration { return time.Duration(r.ExpFloat64() / rate * float64(time.Second)) }
	for at := gap(p.Rate); at < p.Length; at += gap(p.Rate) {
		one(at, r.IntN(volumes))
	}
	for at := from; at < to; at += gap(p.Rate / 2) {
		one(at, surge)
	}
	slices.SortStableFunc(p.Jobs, func(a, b Job) int { return int(a.At - b.At) })
}

// Conf is a head's configuration.
func (p *Plan) Conf(listen, nodes string) string {
	var b strings.Builder
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
`, listen, nodes, p.Heads, limitRate, limitBurst, unitBytes, p.Cold, coldFrom,
		coldFrom*cores/unitTime.Seconds()*coldWindow.Seconds(), coldWindow, coldTimes, 3*unitBytes)
	for i, v := range p.Volumes {
		plan := "standard"
		if i%2 == 1 {
			plan = "priority"
		}
		fmt.Fprintf(&b, "volume %s plan %s shards 0-%d heads %d\n", v, plan, p.Nodes-1, p.Heads)
		fmt.Fprintf(&b, "route PUT path /%s/journal class journal-append\n", v)
	}
	b.WriteString("route * class segment-write\n")
	return b.String()
}

// list is the node list after the changes up to a time.
func (p *Plan) list(addrs []string, epoch time.Time, until time.Duration) []nodelist.Node {
	var list []nodelist.Node
	for i, a := range addrs {
		n := nodelist.Node{Name: fmt.Sprint("n", i), Addr: a, Zone: i % 3, Shard: i}
		for _, c := range p.Changes {
			if c.At > until {
				continue
			}
			if s, ok := c.State[i]; ok {
				n.State = s
			}
			if at, ok := c.Start[i]; ok {
				n.Started = epoch.Add(at)
			}
		}
		list = append(list, n)
	}
	return list
}

// floodCaps are a head's caps in a day with a flood.
const floodCaps = "clients 300\nadmit address 32 known-times 10 reserve 200\nknown 127.0.0.1\n"

// flood is the press on one head: connections that are held, from 500 addresses.
func (p *Plan) flood(head string, tries int) flood.Options {
	if tries == 0 {
		tries = 300 * int(p.Length/time.Second)
	}
	o := flood.Options{Target: head, Path: "/", Pattern: flood.Hold, Attempts: tries, Concurrency: 600, Duration: p.Length}
	for i := range 500 {
		o.Sources = append(o.Sources, netip.AddrFrom4([4]byte{127, 20, byte(i / 250), byte(i%250 + 1)}))
	}
	return o
}

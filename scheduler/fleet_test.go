package scheduler

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// fleet is many heads on one virtual clock in front of nodes that answer all they get.
type fleet struct {
	s               Settings
	instances       []*Scheduler
	cumulativeShare []float64 // of the arrivals, added up
	now             Time
	queue           fleetEvents
	rand            *rand.Rand
	node            string
	sent            []sentUnits
	queueFullRate   float64 // part that a node turns away
	id              uint64
	running         bool
	attempts        map[attemptID]int
	served          int
	arrived         int
	digest          *Digest // of all actions, nil: not asked for
}

type sentUnits struct {
	at    Time
	units float64
}

type fleetEvent struct {
	at       Time
	instance int
	event    Event // nil: an arrival, the next of all
}

type fleetEvents []fleetEvent

func (q fleetEvents) Len() int           { return len(q) }
func (q fleetEvents) Less(i, j int) bool { return q[i].at < q[j].at }
func (q fleetEvents) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *fleetEvents) Push(x any)        { *q = append(*q, x.(fleetEvent)) }
func (q *fleetEvents) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	*q = (*q)[:last]
	return x
}

func newFleet(s Settings, seed uint64) *fleet {
	f := &fleet{s: s, rand: rand.New(rand.NewPCG(seed, 9)), now: time.Minute}
	sum := 0.0
	for i := range s.Instances {
		h, _ := New(s, seed<<16+uint64(i)+1, f.now)
		f.instances = append(f.instances, h)
		sum += f.rand.ExpFloat64() // some see several times the mean, some next to nothing
		f.cumulativeShare = append(f.cumulativeShare, sum)
	}
	f.attempts = map[attemptID]int{}
	return f
}

// updateEndpoints tells all heads of the one node, each within a second.
func (f *fleet) updateEndpoints(node string, started Time) {
	f.node = node
	for i := range f.instances {
		heap.Push(&f.queue, fleetEvent{f.now + Time(f.rand.Int64N(int64(time.Second))), i, EndpointUpdate{Full: true, Endpoints: []Endpoint{{Node: node, Started: started}}}})
	}
}

// run lets so much time go by, with so many requests of mean work a second.
func (f *fleet) run(d time.Duration, rate float64) {
	next := func() {
		heap.Push(&f.queue, fleetEvent{f.now + Time(f.rand.ExpFloat64()/rate*float64(time.Second)), 0, nil})
	}
	end := f.now + d
	if !f.running {
		f.running = true
		next()
	}
	for len(f.queue) > 0 {
		e := heap.Pop(&f.queue).(fleetEvent)
		if f.now = max(f.now, e.at); f.now >= end {
			heap.Push(&f.queue, e)
			f.now = end
			return
		}
		if e.event == nil {
			x := f.rand.Float64() * f.cumulativeShare[len(f.cumulativeShare)-1]
			for f.cumulativeShare[e.instance] < x {
				e.instance++
			}
			f.id++
			f.arrived++
			e.event = Arrival{ID: f.id, Key: "k", Volume: fmt.Sprint("v", f.id%7), TimeRemaining: 1500 * ms, Units: f.s.MeanUnits, Instances: 3}
			next()
		}
		acts := f.instances[e.instance].Handle(f.now, []Event{e.event})
		if f.digest != nil {
			f.digest.Add(f.now, e.instance, acts)
		}
		for _, a := range acts {
			switch a := a.(type) {
			case Send:
				if a.Node == f.node {
					f.sent = append(f.sent, sentUnits{f.now, f.s.MeanUnits})
				}
				id := attemptID{a.ID, 0}
				n := f.attempts[id]
				f.attempts[id]++
				o := OK
				if f.rand.Float64() < f.queueFullRate {
					o = QueueFull
				} else {
					f.served++
				}
				heap.Push(&f.queue, fleetEvent{f.now + 20*ms, e.instance, AttemptEnded{ID: a.ID, Attempt: n, Node: a.Node, Outcome: o, Duration: 20 * ms, Responded: o == OK}})
			case SetTimer:
				heap.Push(&f.queue, fleetEvent{f.now + a.After, e.instance, TimerFired{}})
			}
		}
	}
}

// worstOverload is the most that was sent within a window, as a multiple of what is allowed by
// chance alone, and of N itself, at a node that was started then.
func (f *fleet) worstOverload(started Time, units float64) (chance, n float64) {
	s := f.s
	from, sum := 0, 0.0
	for _, x := range f.sent {
		if x.at < started {
			from++
			continue
		}
		sum += x.units
		for f.sent[from].at <= x.at-s.SlowStart.OverloadWindow {
			sum -= f.sent[from].units
			from++
		}
		age := math.Min(1, float64(x.at-started)/float64(s.SlowStart.WarmupDuration))
		now := s.SlowStart.OverloadFactor * units * (s.SlowStart.InitialFraction + (1-s.SlowStart.InitialFraction)*age) * s.SlowStart.OverloadWindow.Seconds() / s.MeanUnits
		chance = max(chance, sum/s.MeanUnits/(now+2*math.Sqrt(now)+2))
		n = max(n, sum/s.MeanUnits/now)
	}
	return chance, n
}

// What heads that never talk send a cold node, added up over all of them, stays within
// what it bears, and is not next to nothing. They have uneven traffic and were in service
// on its shard before, in part started anew, and the node turns some of it away.
func TestColdNodeBearsTheFleet(t *testing.T) {
	if testing.Short() {
		t.Skip("a minute of fleets")
	}
	for _, heads := range []int{4, 10, 20, 30, 140, 300} {
		for _, units := range []float64{20, 120, 600} { // a second that the node does when it is warm
			for _, load := range []float64{0.4, 0.6, 0.9, 1.3} {
				for _, restarts := range []int{0, 3} {
					var chance, most, served float64
					const seeds = 2
					for seed := range uint64(seeds) {
						c, n, part := runSlowStartFleet(seed, heads, units, load, restarts)
						chance, most, served = max(chance, c), max(most, n), served+part/seeds
					}
					said := fmt.Sprintf("%d heads, %v units a second, load %v, %d tenths restarted: at most %.2f of N + 2 sqrt N + 2, %.2f of N; served %.2f",
						heads, units, load, restarts, chance, most, served)
					t.Log(said)
					if chance > 1 {
						t.Errorf("a cold node is pushed over: %s", said)
					}
					if served < 0.25 {
						t.Errorf("next to nothing is served: %s", said)
					}
				}
			}
		}
	}
}

// slowStartSettings is a site with a rule on cold nodes, whose nodes do so many units a second.
func slowStartSettings(heads int, units float64) Settings {
	return testSettings(func(s *Settings) {
		s.Instances = heads
		s.SlowStart = SlowStart{WarmupDuration: 10 * time.Second, InitialFraction: 0.25, OverloadWindow: 1500 * ms, OverloadFactor: 3}
		s.SlowStart.MinUnits = 0.7 * 3 * 0.25 * units * 1.5 // the least of all nodes bears it
		s.Plans[0].Reserve = 4 * units
		s.ExcessWeight, s.MaxRetryAfter = 0.3, 500*ms
	})
}

// runSlowStartFleet has a node of a shard replaced by one that is cold, and tells the most that
// came to that within a window and the part of all that was served in its first 9 s.
func runSlowStartFleet(seed uint64, heads int, units, load float64, restarts int) (chance, n, served float64) {
	s := slowStartSettings(heads, units)
	f := newFleet(s, seed)
	f.updateEndpoints("A", 0)
	f.run(40*time.Second, min(load, 0.95)*units/s.MeanUnits) // more it could not have done
	started := f.now - 300*ms
	f.sent, f.served, f.arrived, f.queueFullRate = nil, 0, 0, 0.1
	f.updateEndpoints("B", started)
	for i := range 9 {
		for k := i; i < restarts && k < heads; k += 10 { // a tenth of the heads at a time
			f.instances[k], _ = New(s, seed<<20+uint64(k*10+i), f.now)
			heap.Push(&f.queue, fleetEvent{f.now + 100*ms, k, EndpointUpdate{Full: true, Endpoints: []Endpoint{{Node: "B", Started: started}}}})
		}
		f.run(time.Second, load*units/s.MeanUnits)
	}
	chance, n = f.worstOverload(started, units)
	return chance, n, float64(f.served) / float64(f.arrived)
}

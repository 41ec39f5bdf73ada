package scheduler

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// fleet is many instances on one simulated clock in front of nodes that respond to all requests.
type fleet struct {
	settings        Settings
	instances       []*Scheduler
	cumulativeShare []float64 // of the arrivals, summed up to each instance
	now             Time
	queue           fleetEvents
	random          *rand.Rand
	lastID          uint64 // of the last request
	arrivalsStarted bool
	attempts        map[uint64]int // by request

	node          string      // the one that takes requests
	queueFullRate float64     // fraction of the attempts that it rejects with a full queue
	sent          []sentUnits // to the node, in order
	arrived       int         // requests
	served        int         // attempts
	digest        *Digest     // of all actions, nil for none
}

// fleetLatency is how long a node takes for any attempt.
const fleetLatency = 20 * ms

type sentUnits struct {
	at    Time
	units float64
}

type fleetEvent struct {
	at       Time
	instance int
	event    Event // nil for the next arrival, at an instance drawn then
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
	f := &fleet{settings: s, random: rand.New(rand.NewPCG(seed, 9)), now: time.Minute}
	sum := 0.0
	for i := range s.Instances {
		h, _ := New(s, seed<<16+uint64(i)+1, f.now)
		f.instances = append(f.instances, h)
		sum += f.random.ExpFloat64() // some get several times the mean, some next to nothing
		f.cumulativeShare = append(f.cumulativeShare, sum)
	}
	f.attempts = map[uint64]int{}
	return f
}

// updateEndpoints lists one node to all instances, to each within a second.
func (f *fleet) updateEndpoints(node string, started Time) {
	f.node = node
	for i := range f.instances {
		heap.Push(&f.queue, fleetEvent{f.now + Time(f.random.Int64N(int64(time.Second))), i, EndpointUpdate{Full: true, Endpoints: []Endpoint{{Node: node, Started: started}}}})
	}
}

// run simulates some time with a rate of arrivals of mean size, in requests a second.
func (f *fleet) run(d time.Duration, rate float64) {
	end := f.now + d
	if !f.arrivalsStarted {
		f.arrivalsStarted = true
		f.scheduleArrival(rate)
	}
	for len(f.queue) > 0 {
		e := heap.Pop(&f.queue).(fleetEvent)
		if f.now = max(f.now, e.at); f.now >= end {
			heap.Push(&f.queue, e)
			f.now = end
			return
		}
		if e.event == nil {
			e.instance, e.event = f.drawArrival()
			f.scheduleArrival(rate)
		}
		f.handle(e)
	}
}

func (f *fleet) scheduleArrival(rate float64) {
	heap.Push(&f.queue, fleetEvent{f.now + Time(f.random.ExpFloat64()/rate*float64(time.Second)), 0, nil})
}

// drawArrival draws a request and the instance that it arrives at.
func (f *fleet) drawArrival() (instance int, arrival Arrival) {
	x := f.random.Float64() * f.cumulativeShare[len(f.cumulativeShare)-1]
	for f.cumulativeShare[instance] < x {
		instance++
	}
	f.lastID++
	f.arrived++
	return instance, Arrival{
		ID: f.lastID, Key: "k", Volume: fmt.Sprint("v", f.lastID%7),
		TimeRemaining: 1500 * ms, Units: f.settings.MeanUnits, Instances: 3,
	}
}

// handle reports an event to its instance and carries out the actions.
func (f *fleet) handle(e fleetEvent) {
	actions := f.instances[e.instance].Handle(f.now, []Event{e.event})
	if f.digest != nil {
		f.digest.Add(f.now, e.instance, actions)
	}
	for _, action := range actions {
		switch action := action.(type) {
		case Send:
			f.serve(e.instance, action)
		case SetTimer:
			heap.Push(&f.queue, fleetEvent{f.now + action.After, e.instance, TimerFired{}})
		}
	}
}

// serve has the node respond to an attempt, or reject it with a full queue.
func (f *fleet) serve(instance int, send Send) {
	if send.Node == f.node {
		f.sent = append(f.sent, sentUnits{f.now, f.settings.MeanUnits})
	}
	attempt := f.attempts[send.ID]
	f.attempts[send.ID]++
	outcome := OK
	if f.random.Float64() < f.queueFullRate {
		outcome = QueueFull
	} else {
		f.served++
	}
	ended := AttemptEnded{
		ID: send.ID, Attempt: attempt, Node: send.Node, Outcome: outcome,
		Duration: fleetLatency, Responded: outcome == OK,
	}
	heap.Push(&f.queue, fleetEvent{f.now + fleetLatency, instance, ended})
}

// worstOverload returns the most that was sent to a node, which started then, within any overload
// window: as a multiple of the N requests that it can bear, and of N plus what chance explains
// (two standard deviations and two requests).
func (f *fleet) worstOverload(started Time, units float64) (beyondChance, beyond float64) {
	s := f.settings
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
		beyondChance = max(beyondChance, sum/s.MeanUnits/(now+2*math.Sqrt(now)+2))
		beyond = max(beyond, sum/s.MeanUnits/now)
	}
	return beyondChance, beyond
}

// Each instance decides by itself what it sends a node that has just started. Added up over all
// instances, that stays within what the node bears, and is not next to nothing. The instances have
// uneven traffic and served the node's shard before, some of them restart, and the node rejects some
// of the requests.
func TestSlowStartOfFleetStaysWithinCapacity(t *testing.T) {
	if testing.Short() {
		t.Skip("takes a minute")
	}
	for _, instances := range []int{4, 10, 20, 30, 140, 300} {
		for _, units := range []float64{20, 120, 600} { // a second that the node serves when it is warm
			for _, load := range []float64{0.4, 0.6, 0.9, 1.3} {
				for _, restarts := range []int{0, 3} {
					checkSlowStartFleet(t, instances, units, load, restarts)
				}
			}
		}
	}
}

func checkSlowStartFleet(t *testing.T, instances int, units, load float64, restarts int) {
	const seeds = 2
	var beyondChance, beyond, served float64
	for seed := range uint64(seeds) {
		c, n, fraction := runSlowStartFleet(seed, instances, units, load, restarts)
		beyondChance, beyond, served = max(beyondChance, c), max(beyond, n), served+fraction/seeds
	}
	result := fmt.Sprintf("%d instances, %v units a second, load %v, %d tenths restarted: at most %.2f of N + 2 sqrt N + 2, %.2f of N; served %.2f",
		instances, units, load, restarts, beyondChance, beyond, served)
	t.Log(result)
	if beyondChance > 1 {
		t.Errorf("a node that warms up is overloaded: %s", result)
	}
	if served < 0.25 {
		t.Errorf("next to nothing is served: %s", result)
	}
}

// slowStartSettings are settings with slow start for nodes that serve so many units a second.
func slowStartSettings(instances int, units float64) Settings {
	return testSettings(func(s *Settings) {
		s.Instances = instances
		s.SlowStart = SlowStart{WarmupDuration: 10 * time.Second, InitialFraction: 0.25, OverloadWindow: 1500 * ms, OverloadFactor: 3}
		s.SlowStart.MinUnits = 0.7 * 3 * 0.25 * units * 1.5 // what the weakest node bears
		s.Plans[0].Reserve = 4 * units
		s.ExcessWeight, s.MaxRetryAfter = 0.3, 500*ms
	})
}

// runSlowStartFleet replaces the node of a shard by one that has just started. It returns
// worstOverload, and the fraction of the arrivals that was served in the first 9 s.
func runSlowStartFleet(seed uint64, instances int, units, load float64, restarts int) (beyondChance, beyond, served float64) {
	s := slowStartSettings(instances, units)
	f := newFleet(s, seed)
	f.updateEndpoints("A", 0)
	f.run(40*time.Second, min(load, 0.95)*units/s.MeanUnits) // it could not have served more
	started := f.now - 300*ms
	f.sent, f.served, f.arrived, f.queueFullRate = nil, 0, 0, 0.1
	f.updateEndpoints("B", started)
	for i := range 9 {
		for k := i; i < restarts && k < instances; k += 10 { // a tenth of the instances at a time
			f.instances[k], _ = New(s, seed<<20+uint64(k*10+i), f.now)
			heap.Push(&f.queue, fleetEvent{f.now + 100*ms, k, EndpointUpdate{Full: true, Endpoints: []Endpoint{{Node: "B", Started: started}}}})
		}
		f.run(time.Second, load*units/s.MeanUnits)
	}
	beyondChance, beyond = f.worstOverload(started, units)
	return beyondChance, beyond, float64(f.served) / float64(f.arrived)
}

package scheduler

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// fleet simulates many instances on one clock, in front of a node that responds to every attempt after
// fleetLatency.
type fleet struct {
	settings        Settings
	instances       []*Scheduler
	cumulativeShare []float64 // shares of the arrivals, summed up to each instance
	now             Time
	queue           fleetEvents
	random          *rand.Rand
	lastID          uint64 // id of the last request
	arrivalsStarted bool
	attempts        map[uint64]int // number of attempts, by request id

	node          string      // the node that is listed
	queueFullRate float64     // fraction of the attempts that the node rejects with a full queue
	sent          []sentUnits // sends to the node, in order
	arrived       int         // number of requests
	served        int         // number of attempts
	digest        *Digest     // digest of all actions, nil for none
}

// fleetLatency is the time in which a node ends any attempt.
const fleetLatency = 20 * ms

// sentUnits is one send to the node.
type sentUnits struct {
	at    Time
	units float64
}

// fleetEvent is an event that an instance will handle.
type fleetEvent struct {
	at       Time
	instance int
	event    Event // nil for the next arrival, whose instance is drawn at that time
}

// fleetEvents is a heap of events by time.
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
		scheduler, _ := New(s, seed<<16+uint64(i)+1, f.now)
		f.instances = append(f.instances, scheduler)
		sum += f.random.ExpFloat64() // some instances get several times the mean, some next to nothing
		f.cumulativeShare = append(f.cumulativeShare, sum)
	}
	f.attempts = map[uint64]int{}
	return f
}

// updateEndpoints lists one node to all instances. Each gets the update at a random time within a
// second.
func (f *fleet) updateEndpoints(node string, started Time) {
	f.node = node
	for i := range f.instances {
		heap.Push(&f.queue, fleetEvent{f.now + Time(f.random.Int64N(int64(time.Second))), i, EndpointUpdate{Full: true, Endpoints: []Endpoint{{Node: node, Started: started}}}})
	}
}

// run simulates the time d with arrivals of mean size at a rate in requests per second.
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

// drawArrival draws a request and the instance at which it arrives.
func (f *fleet) drawArrival() (instance int, arrival Arrival) {
	position := f.random.Float64() * f.cumulativeShare[len(f.cumulativeShare)-1]
	for f.cumulativeShare[instance] < position {
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

// serve makes the node respond to an attempt, or reject it with a full queue.
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

// worstOverload returns the maximum, over all overload windows, of what was sent to a node that
// started at a given time. The first result is relative to N requests, the capacity of the node in
// that window, plus what chance explains (two standard deviations and two requests). The second is
// relative to N alone.
func (f *fleet) worstOverload(started Time, units float64) (ratioWithChance, ratio float64) {
	s := f.settings
	first, sum := 0, 0.0
	for _, send := range f.sent {
		if send.at < started {
			first++
			continue
		}
		sum += send.units
		for f.sent[first].at <= send.at-s.SlowStart.OverloadWindow {
			sum -= f.sent[first].units
			first++
		}
		age := math.Min(1, float64(send.at-started)/float64(s.SlowStart.WarmupDuration))
		capacity := s.SlowStart.OverloadFactor * units * (s.SlowStart.InitialFraction + (1-s.SlowStart.InitialFraction)*age) * s.SlowStart.OverloadWindow.Seconds() / s.MeanUnits
		ratioWithChance = max(ratioWithChance, sum/s.MeanUnits/(capacity+2*math.Sqrt(capacity)+2))
		ratio = max(ratio, sum/s.MeanUnits/capacity)
	}
	return ratioWithChance, ratio
}

// Verifies that what all instances together send to a node that has just started stays within its
// capacity, although each instance decides by itself, and that a fair part of the requests is served.
// The instances get uneven traffic, and the node's shard served them before. Some of them restart, and
// the node rejects some of the requests.
func TestSlowStartOfFleetStaysWithinCapacity(t *testing.T) {
	if testing.Short() {
		t.Skip("takes a minute")
	}
	for _, instances := range []int{4, 10, 20, 30, 140, 300} {
		for _, units := range []float64{20, 120, 600} { // units per second that the node serves when it is warm
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
	var ratioWithChance, ratio, served float64
	for seed := range uint64(seeds) {
		seedRatioWithChance, seedRatio, seedServed := runSlowStartFleet(seed, instances, units, load, restarts)
		ratioWithChance, ratio, served = max(ratioWithChance, seedRatioWithChance), max(ratio, seedRatio), served+seedServed/seeds
	}
	result := fmt.Sprintf("%d instances, %v units per second, load %v, %d tenths restarted: at most %.2f of N + 2 sqrt N + 2, %.2f of N; served fraction %.2f",
		instances, units, load, restarts, ratioWithChance, ratio, served)
	t.Log(result)
	if ratioWithChance > 1 {
		t.Errorf("the starting node is overloaded: %s", result)
	}
	if served < 0.25 {
		t.Errorf("too few requests are served: %s", result)
	}
}

// slowStartSettings returns settings with slow start, for nodes that serve the given units per second.
func slowStartSettings(instances int, units float64) Settings {
	return testSettings(func(s *Settings) {
		s.Instances = instances
		s.SlowStart = SlowStart{WarmupDuration: 10 * time.Second, InitialFraction: 0.25, OverloadWindow: 1500 * ms, OverloadFactor: 3}
		s.SlowStart.MinUnits = 0.7 * 3 * 0.25 * units * 1.5 // capacity of the weakest node at its start
		s.Plans[0].Reserve = 4 * units
		s.ExcessWeight, s.MaxRetryAfter = 0.3, 500*ms
	})
}

// runSlowStartFleet replaces the node of a shard by a node that has just started. It returns the
// results of worstOverload, and the fraction of the arrivals that was served in the first 9 s.
func runSlowStartFleet(seed uint64, instances int, units, load float64, restarts int) (ratioWithChance, ratio, served float64) {
	s := slowStartSettings(instances, units)
	f := newFleet(s, seed)
	f.updateEndpoints("A", 0)
	f.run(40*time.Second, min(load, 0.95)*units/s.MeanUnits) // the node cannot serve more than its capacity
	started := f.now - 300*ms
	f.sent, f.served, f.arrived, f.queueFullRate = nil, 0, 0, 0.1
	f.updateEndpoints("B", started)
	for i := range 9 {
		for k := i; i < restarts && k < instances; k += 10 { // a tenth of the instances restarts
			f.instances[k], _ = New(s, seed<<20+uint64(k*10+i), f.now)
			heap.Push(&f.queue, fleetEvent{f.now + 100*ms, k, EndpointUpdate{Full: true, Endpoints: []Endpoint{{Node: "B", Started: started}}}})
		}
		f.run(time.Second, load*units/s.MeanUnits)
	}
	ratioWithChance, ratio = f.worstOverload(started, units)
	return ratioWithChance, ratio, float64(f.served) / float64(f.arrived)
}

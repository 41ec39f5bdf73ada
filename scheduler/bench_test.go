package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	. "maddergap/scheduler"
)

// loadedScheduler drives a scheduler or the reference with many waiting requests. In each step one
// request arrives and one attempt ends, which lets the scheduler send the next request.
type loadedScheduler struct {
	handle   func(Time, []Event) []Action
	now      Time
	id       uint64                       // id of the last request
	inFlight []AttemptEnded               // the ends of the attempts in flight
	volume   func(i uint64) (string, int) // volume and plan of the request with an id
	nodes    int
	key      func(i uint64) string // nil for requests without keys
	varied   bool                  // whether units differ from request to request
}

func (l *loadedScheduler) arrival() Arrival {
	l.id++
	v, plan := l.volume(l.id)
	a := Arrival{ID: l.id, Shard: int(l.id) % l.nodes, Plan: plan, Class: int(l.id) % 2, Volume: v, TimeRemaining: time.Hour, Units: float64(1 + l.id%3), Instances: 1}
	if l.varied {
		a.Units = 1 + float64(l.id*7919%1000)/500
	}
	if l.key != nil {
		a.Class, a.Key = 1, l.key(l.id)
	}
	return a
}

func (l *loadedScheduler) apply(actions []Action) {
	for _, a := range actions {
		if s, ok := a.(Send); ok {
			l.inFlight = append(l.inFlight, AttemptEnded{ID: s.ID, Node: s.Node, Responded: true})
		}
	}
}

func (l *loadedScheduler) step() {
	l.now += time.Millisecond
	events := []Event{l.arrival()}
	if len(l.inFlight) > 0 {
		events = append(events, l.inFlight[0])
		l.inFlight = append(l.inFlight[:0], l.inFlight[1:]...)
	}
	l.apply(l.handle(l.now, events))
}

func newLoadedScheduler(b *testing.B, useReference bool, waiting, nodes int, volume func(uint64) (string, int), key func(uint64) string) *loadedScheduler {
	s := Settings{Instances: 1, MaxUnits: 8, MeanUnits: 2, ExcessWeight: 0.3,
		Classes: []Class{{Name: "read", LatencyObjective: time.Hour, PriorityWeight: 2, LateWeightFactor: 0.2}, {Name: "write", LatencyObjective: time.Hour, PriorityWeight: 1, LateWeightFactor: 0.2, Ordered: key != nil}},
		Plans:   []Plan{{Name: "free", Reserve: 50, Weight: 1, PriorityFactor: 1}, {Name: "limited", Reserve: 10, Weight: 1, PriorityFactor: 0.8, Limit: 1000, LimitBurst: 1000}}}
	loaded := &loadedScheduler{now: time.Hour, nodes: nodes, volume: volume, key: key}
	if useReference {
		scheduler, _ := newReference(s, 1, loaded.now)
		loaded.handle = scheduler.Handle
	} else {
		scheduler, err := New(s, 1, loaded.now)
		if err != nil {
			b.Fatal(err)
		}
		loaded.handle = scheduler.Handle
	}
	var list []Endpoint
	for i := range nodes {
		list = append(list, Endpoint{Node: fmt.Sprint("n", i), Shard: i})
	}
	loaded.now += 5 * time.Second // fills the buckets of the limits
	events := []Event{EndpointUpdate{Full: true, Endpoints: list}}
	for range waiting {
		events = append(events, loaded.arrival())
	}
	loaded.apply(loaded.handle(loaded.now, events))
	return loaded
}

var loads = []struct {
	name   string
	volume func(i uint64) (string, int)
	key    func(i uint64) string
}{
	{"1 volume", func(uint64) (string, int) { return "v", 0 }, nil},
	{"1 limited", func(uint64) (string, int) { return "v", 1 }, nil},
	{"100 volumes", func(i uint64) (string, int) { return fmt.Sprint("v", i%100), int(i % 2) }, nil},
	{"10000 volumes", func(i uint64) (string, int) { return fmt.Sprint("v", i%10000), int(i % 2) }, nil},
	{"all ordered", func(i uint64) (string, int) { return fmt.Sprint("v", i%100), 0 }, func(i uint64) string { return fmt.Sprint("k", i%50) }},
}

// Measures the cost of a decision, which must not grow with the number of waiting requests.
func BenchmarkManyWaiting(b *testing.B) {
	for _, useReference := range []bool{false, true} {
		for _, load := range loads {
			for _, waiting := range []int{10, 1000, 100_000} {
				if useReference && waiting > 1000 {
					continue
				}
				b.Run(fmt.Sprintf("reference=%v/%s/waiting=%d", useReference, load.name, waiting), func(b *testing.B) {
					loaded := newLoadedScheduler(b, useReference, waiting, 1, load.volume, load.key)
					b.ReportAllocs()
					for b.Loop() {
						loaded.step()
					}
				})
			}
		}
	}
}

// Measures the cost of a decision, which must not grow with the number of nodes if as many requests
// wait for each.
func BenchmarkManyNodes(b *testing.B) {
	for _, nodes := range []int{8, 100, 1000} {
		b.Run(fmt.Sprint(nodes), func(b *testing.B) {
			loaded := newLoadedScheduler(b, false, 20*nodes, nodes, loads[2].volume, nil)
			b.ReportAllocs()
			for b.Loop() {
				loaded.step()
			}
		})
	}
}

// Measures an instance under light load: few requests wait for each of many nodes, each with a profile
// of its own.
func BenchmarkFewWaitingOfManyProfiles(b *testing.B) {
	for _, useReference := range []bool{false, true} {
		b.Run(fmt.Sprintf("reference=%v", useReference), func(b *testing.B) {
			loaded := newLoadedScheduler(b, useReference, 200, 40, loads[2].volume, nil)
			loaded.varied = true
			b.ReportAllocs()
			for b.Loop() {
				loaded.step()
			}
		})
	}
}

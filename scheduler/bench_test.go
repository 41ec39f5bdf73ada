package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	. "maddergap/scheduler"
)

// loadedScheduler is a scheduler with many requests waiting. In each step one arrives and one attempt
// ends, for which the next is sent.
type loadedScheduler struct {
	handle   func(Time, []Event) []Action
	now      Time
	id       uint64
	inFlight []AttemptEnded
	volume   func(i uint64) (string, int)
	nodes    int
	key      func(i uint64) string
	varied   bool
}

func (c *loadedScheduler) arrival() Arrival {
	c.id++
	v, plan := c.volume(c.id)
	a := Arrival{ID: c.id, Shard: int(c.id) % c.nodes, Plan: plan, Class: int(c.id) % 2, Volume: v, TimeRemaining: time.Hour, Units: float64(1 + c.id%3), Instances: 1}
	if c.varied {
		a.Units = 1 + float64(c.id*7919%1000)/500
	}
	if c.key != nil {
		a.Class, a.Key = 1, c.key(c.id)
	}
	return a
}

func (c *loadedScheduler) apply(actions []Action) {
	for _, a := range actions {
		if s, ok := a.(Send); ok {
			c.inFlight = append(c.inFlight, AttemptEnded{ID: s.ID, Node: s.Node, Responded: true})
		}
	}
}

func (c *loadedScheduler) step() {
	c.now += time.Millisecond
	events := []Event{c.arrival()}
	if len(c.inFlight) > 0 {
		events = append(events, c.inFlight[0])
		c.inFlight = append(c.inFlight[:0], c.inFlight[1:]...)
	}
	c.apply(c.handle(c.now, events))
}

func newLoadedScheduler(b *testing.B, useReference bool, waiting, nodes int, volume func(uint64) (string, int), key func(uint64) string) *loadedScheduler {
	s := Settings{Instances: 1, MaxUnits: 8, MeanUnits: 2, ExcessWeight: 0.3,
		Classes: []Class{{Name: "read", LatencyObjective: time.Hour, PriorityWeight: 2, LateWeightFactor: 0.2}, {Name: "write", LatencyObjective: time.Hour, PriorityWeight: 1, LateWeightFactor: 0.2, Ordered: key != nil}},
		Plans:   []Plan{{Name: "free", Reserve: 50, Weight: 1, PriorityFactor: 1}, {Name: "limited", Reserve: 10, Weight: 1, PriorityFactor: 0.8, Limit: 1000, LimitBurst: 1000}}}
	c := &loadedScheduler{now: time.Hour, nodes: nodes, volume: volume, key: key}
	if useReference {
		h, _ := newReference(s, 1, c.now)
		c.handle = h.Handle
	} else {
		h, err := New(s, 1, c.now)
		if err != nil {
			b.Fatal(err)
		}
		c.handle = h.Handle
	}
	var list []Endpoint
	for i := range nodes {
		list = append(list, Endpoint{Node: fmt.Sprint("n", i), Shard: i})
	}
	c.now += 5 * time.Second // the buckets of limits fill
	events := []Event{EndpointUpdate{Full: true, Endpoints: list}}
	for range waiting {
		events = append(events, c.arrival())
	}
	c.apply(c.handle(c.now, events))
	return c
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

// A decision costs the same however many requests wait.
func BenchmarkManyWaiting(b *testing.B) {
	for _, useReference := range []bool{false, true} {
		for _, load := range loads {
			for _, waiting := range []int{10, 1000, 100_000} {
				if useReference && waiting > 1000 {
					continue
				}
				b.Run(fmt.Sprintf("reference=%v/%s/waiting=%d", useReference, load.name, waiting), func(b *testing.B) {
					c := newLoadedScheduler(b, useReference, waiting, 1, load.volume, load.key)
					b.ReportAllocs()
					for b.Loop() {
						c.step()
					}
				})
			}
		}
	}
}

// It costs the same however many nodes there are, with as many requests waiting for each.
func BenchmarkManyNodes(b *testing.B) {
	for _, nodes := range []int{8, 100, 1000} {
		b.Run(fmt.Sprint(nodes), func(b *testing.B) {
			c := newLoadedScheduler(b, false, 20*nodes, nodes, loads[2].volume, nil)
			b.ReportAllocs()
			for b.Loop() {
				c.step()
			}
		})
	}
}

// Few requests wait for each of many nodes, each with a profile of its own: an instance under light load.
func BenchmarkFewWaitingOfManyProfiles(b *testing.B) {
	for _, useReference := range []bool{false, true} {
		b.Run(fmt.Sprintf("reference=%v", useReference), func(b *testing.B) {
			c := newLoadedScheduler(b, useReference, 200, 40, loads[2].volume, nil)
			c.varied = true
			b.ReportAllocs()
			for b.Loop() {
				c.step()
			}
		})
	}
}

package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	. "maddergap/scheduler"
)

// drawnHistory plays one drawn history to both, and answers what they send.
type drawnHistory struct {
	random     *rand.Rand
	settings   Settings
	now        Time
	id         uint64
	inFlight   []inFlightAttempt
	wake       Time
	nodes      []Endpoint
	arrivedIDs []uint64
	shape      historyShape
}

type inFlightAttempt struct {
	id      uint64
	attempt int
	node    string
}

// historyShape says what kind of history it is.
type historyShape struct {
	volumes, nodes, steps, maxArrivals int
	keys                               int
	varied                             bool // units and times differ from request to request
	faults                             float64
	crowded                            bool // answers are slow
}

func drawSettings(r *rand.Rand) Settings {
	s := Settings{Instances: 1 + r.IntN(4), MaxUnits: 8, MeanUnits: 2, ExcessWeight: 0.3, MaxAttempts: 4, MaxRetryAfter: time.Second,
		KeyCooldown: 300 * time.Millisecond,
		Classes: []Class{{Name: "read", LatencyObjective: 100 * time.Millisecond, PriorityWeight: 2, LateWeightFactor: 0.2},
			{Name: "write", LatencyObjective: 200 * time.Millisecond, Effect: NonIdempotent, PriorityWeight: 2, LateWeightFactor: 0.2, Ordered: true},
			{Name: "keyed", LatencyObjective: 150 * time.Millisecond, Effect: Idempotent, DeduplicationScope: DeduplicationScope(r.IntN(3)), DeduplicationWindow: 400 * time.Millisecond, PriorityWeight: 1, LateWeightFactor: 0.5},
			{Name: "export", LatencyObjective: 500 * time.Millisecond, PriorityWeight: 1, LateWeightFactor: 0.2}},
		Plans: []Plan{{Name: "limited", Reserve: 16, Weight: 1, PriorityFactor: 0.75, Limit: 64, LimitBurst: 128},
			{Name: "free", Reserve: 32, Weight: 2, PriorityFactor: 1}}}
	if r.IntN(2) == 0 {
		s.SlowStart = SlowStart{WarmupDuration: 2 * time.Second, InitialFraction: 0.25, MinUnits: 8, OverloadWindow: time.Second, OverloadFactor: 2}
	}
	if r.IntN(2) == 0 {
		s.RetryBudget = &RetryBudget{MinRetries: 2, Ratio: 0.0625, Window: 2 * time.Second}
	}
	return s
}

func (w *drawnHistory) drawArrival() Arrival {
	w.id++
	v := w.random.IntN(w.shape.volumes)
	a := Arrival{ID: w.id, Shard: w.random.IntN(w.shape.nodes), Plan: v % 2, Class: w.random.IntN(4), Volume: fmt.Sprint("v", v),
		TimeRemaining: 800 * time.Millisecond, Units: float64(1 + w.random.IntN(3)), Instances: 1 + v%3}
	if w.shape.varied {
		a.Units = w.random.Float64() * 4
		a.TimeRemaining = time.Duration(20+w.random.IntN(1500)) * time.Millisecond
	}
	if w.random.IntN(10) == 0 {
		a.Shard = -1
	}
	if a.Class == 1 || w.random.IntN(8) == 0 {
		a.Key = fmt.Sprint("k", w.random.IntN(w.shape.keys))
	}
	w.arrivedIDs = append(w.arrivedIDs, w.id)
	return a
}

func (w *drawnHistory) endpointUpdate() Event {
	for i := range w.nodes {
		switch w.random.IntN(6) {
		case 0:
			w.nodes[i].State = NodeState(w.random.IntN(3))
		case 1:
			w.nodes[i].State, w.nodes[i].Started = Serving, w.now
		case 2, 3:
			w.nodes[i].State = Serving
		}
	}
	return EndpointUpdate{Full: true, Endpoints: append([]Endpoint(nil), w.nodes...)}
}

// drawEvents draws what happens at one moment.
func (w *drawnHistory) drawEvents() (list []Event) {
	if w.wake > 0 && w.now >= w.wake {
		w.wake = 0
		list = append(list, TimerFired{})
	}
	if w.random.Float64() < 0.03 {
		list = append(list, w.endpointUpdate())
	}
	for range w.random.IntN(w.shape.maxArrivals + 1) {
		list = append(list, w.drawArrival())
	}
	most := len(w.inFlight)
	if w.shape.crowded {
		most = min(most, 1)
	}
	for range w.random.IntN(most + 1) {
		i := w.random.IntN(len(w.inFlight))
		o := w.inFlight[i]
		w.inFlight[i] = w.inFlight[len(w.inFlight)-1]
		w.inFlight = w.inFlight[:len(w.inFlight)-1]
		e := AttemptEnded{ID: o.id, Attempt: o.attempt, Node: o.node}
		if w.random.Float64() < w.shape.faults {
			e.Outcome = Outcome(w.random.IntN(8))
		}
		e.BodyConsumed = w.random.IntN(20) == 0
		if w.random.IntN(4) == 0 {
			e.HasLoadReport, e.ReportedLoad = true, float64(w.random.IntN(20))
		}
		if w.random.IntN(5) == 0 {
			list = append(list, ResponseStarted{ID: o.id, Attempt: o.attempt})
		}
		list = append(list, e)
	}
	if len(w.arrivedIDs) > 0 && w.random.IntN(12) == 0 {
		list = append(list, ClientDisconnected{ID: w.arrivedIDs[w.random.IntN(len(w.arrivedIDs))]})
	}
	return list
}

// apply books what the actions ask for.
func (w *drawnHistory) apply(acts []Action, attempts map[uint64]int) {
	for _, a := range acts {
		switch a := a.(type) {
		case Send:
			w.inFlight = append(w.inFlight, inFlightAttempt{a.ID, attempts[a.ID], a.Node})
			attempts[a.ID]++
		case SetTimer:
			w.wake = w.now + a.After
		}
	}
}

// shapes are the kinds of histories that are drawn.
var shapes = map[string]historyShape{
	"few":                 {volumes: 5, nodes: 3, steps: 400, maxArrivals: 3, keys: 4, faults: 0.2},
	"surge":               {volumes: 8, nodes: 2, steps: 250, maxArrivals: 30, keys: 6, faults: 0.1, crowded: true},
	"varied":              {volumes: 6, nodes: 3, steps: 300, maxArrivals: 8, keys: 5, faults: 0.3, varied: true},
	"varied surge":        {volumes: 6, nodes: 1, steps: 200, maxArrivals: 25, keys: 5, faults: 0.1, varied: true, crowded: true},
	"many volumes":        {volumes: 300, nodes: 3, steps: 200, maxArrivals: 20, keys: 50, faults: 0.1, crowded: true},
	"one volume":          {volumes: 1, nodes: 1, steps: 200, maxArrivals: 25, keys: 2, faults: 0.1, crowded: true},
	"nodes that are sick": {volumes: 4, nodes: 4, steps: 400, maxArrivals: 4, keys: 3, faults: 0.8},
}

// The same events bring the same actions, in the same order, as from the module that
// read every request that waits.
func TestSameAsReference(t *testing.T) {
	for name, shape := range shapes {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				seed := rapid.Uint64().Draw(t, "seed")
				compareWithReference(t, seed, shape)
			})
		})
	}
}

// The actions are those on record, for every kind of history at a number of seeds.
func TestGoldenHistories(t *testing.T) {
	const seeds = 40
	sums := map[string]string{}
	for name, shape := range shapes {
		for seed := range uint64(seeds) {
			digest := NewDigest()
			w := newHistory(seed, shape)
			head, err := New(w.settings, seed, w.now)
			if err != nil {
				t.Fatal(err)
			}
			w.run(func(step int, events []Event) []Action {
				acts := head.Handle(w.now, events)
				digest.Add(w.now, step, acts)
				return acts
			})
			key := fmt.Sprintf("%s/%d", name, seed)
			sums[key] = digest.Sum()
		}
	}
	CheckGolden(t, "histories", sums)
}

// Whoever asks why requests wait changes no decision by it.
func TestWaitReasonDecidesNothing(t *testing.T) {
	reasons := map[Reason]int{}
	for _, shape := range shapes {
		for seed := range uint64(5) {
			w := newHistory(seed, shape)
			asked, _ := New(w.settings, seed, w.now)
			left, _ := New(w.settings, seed, w.now)
			w.run(func(step int, events []Event) []Action {
				for _, id := range w.arrivedIDs {
					reasons[asked.WaitReason(id)]++
				}
				asked.Status()
				got, want := asked.Handle(w.now, events), left.Handle(w.now, events)
				if len(got)+len(want) > 0 && !reflect.DeepEqual(got, want) {
					t.Fatalf("seed %d, step %d: %+v, want %+v", seed, step, got, want)
				}
				return got
			})
		}
	}
	t.Log(reasons)
	if len(reasons) < 10 {
		t.Errorf("only %d reasons were met: %v", len(reasons), reasons)
	}
}

func newHistory(seed uint64, shape historyShape) *drawnHistory {
	w := &drawnHistory{random: rand.New(rand.NewPCG(seed, 1)), now: time.Hour, shape: shape}
	w.settings = drawSettings(w.random)
	for i := range shape.nodes {
		w.nodes = append(w.nodes, Endpoint{Node: fmt.Sprint("n", i), Zone: i % 2, Shard: i})
	}
	return w
}

// run draws a history and carries out what is answered to it.
func (w *drawnHistory) run(handle func(step int, events []Event) []Action) {
	attempts := map[uint64]int{}
	events := []Event{w.endpointUpdate()}
	for step := range w.shape.steps {
		w.apply(handle(step, events), attempts)
		w.now += time.Duration(w.random.IntN(20000)) * time.Microsecond
		if w.wake > 0 && w.random.IntN(3) > 0 {
			w.now = max(w.now, min(w.wake, w.now+30*time.Millisecond))
		}
		events = w.drawEvents()
	}
}

func compareWithReference(t interface {
	Fatalf(string, ...any)
}, seed uint64, shape historyShape) {
	w := newHistory(seed, shape)
	one, err := New(w.settings, seed, w.now)
	if err != nil {
		t.Fatalf("%v", err)
	}
	two, _ := newReference(w.settings, seed, w.now)
	w.run(func(step int, events []Event) []Action {
		got, want := one.Handle(w.now, events), two.Handle(w.now, events)
		if len(got)+len(want) > 0 && !reflect.DeepEqual(got, want) {
			t.Fatalf("seed %d, step %d at %v, after %+v:\n%+v\nwant\n%+v", seed, step, w.now-time.Hour, events, got, want)
		}
		return got
	})
}

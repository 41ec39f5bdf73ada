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

// historyShape says what kind of random history is drawn.
type historyShape struct {
	volumes, nodes, keys int
	steps                int     // number of calls of Handle
	maxArrivals          int     // maximum number of arrivals in one step
	faults               float64 // fraction of the attempts that end with a random outcome
	varied               bool    // whether units and times differ from request to request
	crowded              bool    // whether at most one attempt ends in a step, so that queues grow
}

var historyShapes = map[string]historyShape{
	"few":                 {volumes: 5, nodes: 3, steps: 400, maxArrivals: 3, keys: 4, faults: 0.2},
	"surge":               {volumes: 8, nodes: 2, steps: 250, maxArrivals: 30, keys: 6, faults: 0.1, crowded: true},
	"varied":              {volumes: 6, nodes: 3, steps: 300, maxArrivals: 8, keys: 5, faults: 0.3, varied: true},
	"varied surge":        {volumes: 6, nodes: 1, steps: 200, maxArrivals: 25, keys: 5, faults: 0.1, varied: true, crowded: true},
	"many volumes":        {volumes: 300, nodes: 3, steps: 200, maxArrivals: 20, keys: 50, faults: 0.1, crowded: true},
	"one volume":          {volumes: 1, nodes: 1, steps: 200, maxArrivals: 25, keys: 2, faults: 0.1, crowded: true},
	"nodes that are sick": {volumes: 4, nodes: 4, steps: 400, maxArrivals: 4, keys: 3, faults: 0.8},
}

// randomHistory draws the events of a random history from a seed. Some events depend on the actions of
// the scheduler: only attempts that were sent end, and only timers that were set fire.
type randomHistory struct {
	random     *rand.Rand
	settings   Settings
	shape      historyShape
	now        Time
	timerAt    Time   // when the timer fires, 0 for none
	id         uint64 // id of the last request
	arrivedIDs []uint64
	inFlight   []inFlightAttempt
	attempts   map[uint64]int // number of attempts, by request id
	nodes      []Endpoint
}

type inFlightAttempt struct {
	id      uint64
	attempt int
	node    string
}

func newRandomHistory(seed uint64, shape historyShape) *randomHistory {
	h := &randomHistory{random: rand.New(rand.NewPCG(seed, 1)), now: time.Hour, shape: shape, attempts: map[uint64]int{}}
	h.settings = drawSettings(h.random)
	for i := range shape.nodes {
		h.nodes = append(h.nodes, Endpoint{Node: fmt.Sprint("n", i), Zone: i % 2, Shard: i})
	}
	return h
}

func drawSettings(random *rand.Rand) Settings {
	s := Settings{
		Instances: 1 + random.IntN(4), MaxUnits: 8, MeanUnits: 2, ExcessWeight: 0.3,
		MaxAttempts: 4, MaxRetryAfter: time.Second, KeyCooldown: 300 * time.Millisecond,
		Classes: []Class{
			{Name: "read", LatencyObjective: 100 * time.Millisecond, PriorityWeight: 2, LateWeightFactor: 0.2},
			{Name: "write", LatencyObjective: 200 * time.Millisecond, Effect: NonIdempotent, PriorityWeight: 2, LateWeightFactor: 0.2, Ordered: true},
			{Name: "keyed", LatencyObjective: 150 * time.Millisecond, Effect: Idempotent,
				DeduplicationScope: DeduplicationScope(random.IntN(3)), DeduplicationWindow: 400 * time.Millisecond, PriorityWeight: 1, LateWeightFactor: 0.5},
			{Name: "export", LatencyObjective: 500 * time.Millisecond, PriorityWeight: 1, LateWeightFactor: 0.2},
		},
		Plans: []Plan{
			{Name: "limited", Reserve: 16, Weight: 1, PriorityFactor: 0.75, Limit: 64, LimitBurst: 128},
			{Name: "free", Reserve: 32, Weight: 2, PriorityFactor: 1},
		},
	}
	if random.IntN(2) == 0 {
		s.SlowStart = SlowStart{WarmupDuration: 2 * time.Second, InitialFraction: 0.25, MinUnits: 8, OverloadWindow: time.Second, OverloadFactor: 2}
	}
	if random.IntN(2) == 0 {
		s.RetryBudget = &RetryBudget{MinRetries: 2, Ratio: 0.0625, Window: 2 * time.Second}
	}
	return s
}

// run draws the history step by step. In each step it passes the events to handle and carries out the
// actions that handle returns.
func (h *randomHistory) run(handle func(step int, events []Event) []Action) {
	events := []Event{h.drawEndpointUpdate()}
	for step := range h.shape.steps {
		h.apply(handle(step, events))
		h.now += time.Duration(h.random.IntN(20000)) * time.Microsecond
		if h.timerAt > 0 && h.random.IntN(3) > 0 {
			h.now = max(h.now, min(h.timerAt, h.now+30*time.Millisecond))
		}
		events = h.drawEvents()
	}
}

// apply carries out actions.
func (h *randomHistory) apply(actions []Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case Send:
			h.inFlight = append(h.inFlight, inFlightAttempt{action.ID, h.attempts[action.ID], action.Node})
			h.attempts[action.ID]++
		case SetTimer:
			h.timerAt = h.now + action.After
		}
	}
}

// drawEvents draws the events of one step.
func (h *randomHistory) drawEvents() (events []Event) {
	if h.timerAt > 0 && h.now >= h.timerAt {
		h.timerAt = 0
		events = append(events, TimerFired{})
	}
	if h.random.Float64() < 0.03 {
		events = append(events, h.drawEndpointUpdate())
	}
	for range h.random.IntN(h.shape.maxArrivals + 1) {
		events = append(events, h.drawArrival())
	}
	maxEnds := len(h.inFlight)
	if h.shape.crowded {
		maxEnds = min(maxEnds, 1)
	}
	for range h.random.IntN(maxEnds + 1) {
		events = append(events, h.drawAttemptEnd()...)
	}
	if len(h.arrivedIDs) > 0 && h.random.IntN(12) == 0 {
		events = append(events, ClientDisconnected{ID: h.arrivedIDs[h.random.IntN(len(h.arrivedIDs))]})
	}
	return events
}

func (h *randomHistory) drawArrival() Arrival {
	h.id++
	volume := h.random.IntN(h.shape.volumes)
	a := Arrival{
		ID: h.id, Shard: h.random.IntN(h.shape.nodes), Plan: volume % 2, Class: h.random.IntN(4), Volume: fmt.Sprint("v", volume),
		TimeRemaining: 800 * time.Millisecond, Units: float64(1 + h.random.IntN(3)), Instances: 1 + volume%3,
	}
	if h.shape.varied {
		a.Units = h.random.Float64() * 4
		a.TimeRemaining = time.Duration(20+h.random.IntN(1500)) * time.Millisecond
	}
	if h.random.IntN(10) == 0 {
		a.Shard = -1
	}
	if a.Class == 1 || h.random.IntN(8) == 0 {
		a.Key = fmt.Sprint("k", h.random.IntN(h.shape.keys))
	}
	h.arrivedIDs = append(h.arrivedIDs, h.id)
	return a
}

func (h *randomHistory) drawEndpointUpdate() Event {
	for i := range h.nodes {
		switch h.random.IntN(6) {
		case 0:
			h.nodes[i].State = NodeState(h.random.IntN(3))
		case 1:
			h.nodes[i].State, h.nodes[i].Started = Serving, h.now
		case 2, 3:
			h.nodes[i].State = Serving
		}
	}
	return EndpointUpdate{Full: true, Endpoints: append([]Endpoint(nil), h.nodes...)}
}

// drawAttemptEnd ends a random attempt in flight.
func (h *randomHistory) drawAttemptEnd() (events []Event) {
	i := h.random.IntN(len(h.inFlight))
	a := h.inFlight[i]
	h.inFlight[i] = h.inFlight[len(h.inFlight)-1]
	h.inFlight = h.inFlight[:len(h.inFlight)-1]
	ended := AttemptEnded{ID: a.id, Attempt: a.attempt, Node: a.node}
	if h.random.Float64() < h.shape.faults {
		ended.Outcome = Outcome(h.random.IntN(8))
	}
	ended.BodyConsumed = h.random.IntN(20) == 0
	if h.random.IntN(4) == 0 {
		ended.HasLoadReport, ended.ReportedLoad = true, float64(h.random.IntN(20))
	}
	if h.random.IntN(5) == 0 {
		events = append(events, ResponseStarted{ID: a.id, Attempt: a.attempt})
	}
	return append(events, ended)
}

// Verifies that the scheduler, which looks at a few subqueues to find the next request, decides as the
// reference does, which looks at all waiting requests: the same events give the same actions in the
// same order.
func TestSameAsReference(t *testing.T) {
	for name, shape := range historyShapes {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				seed := rapid.Uint64().Draw(t, "seed")
				compareWithReference(t, seed, shape)
			})
		})
	}
}

func compareWithReference(t *rapid.T, seed uint64, shape historyShape) {
	h := newRandomHistory(seed, shape)
	scheduler, err := New(h.settings, seed, h.now)
	if err != nil {
		t.Fatalf("%v", err)
	}
	reference, _ := newReference(h.settings, seed, h.now)
	h.run(func(step int, events []Event) []Action {
		got, want := scheduler.Handle(h.now, events), reference.Handle(h.now, events)
		if len(got)+len(want) > 0 && !reflect.DeepEqual(got, want) {
			t.Fatalf("seed %d, step %d at %v, after %+v:\ngot\n%+v\nwant\n%+v", seed, step, h.now-time.Hour, events, got, want)
		}
		return got
	})
}

// Verifies that the actions are the recorded ones, for a number of seeds and every kind of history.
func TestGoldenHistories(t *testing.T) {
	const seeds = 40
	sums := map[string]string{}
	for name, shape := range historyShapes {
		for seed := range uint64(seeds) {
			digest := NewDigest()
			h := newRandomHistory(seed, shape)
			scheduler, err := New(h.settings, seed, h.now)
			if err != nil {
				t.Fatal(err)
			}
			h.run(func(step int, events []Event) []Action {
				actions := scheduler.Handle(h.now, events)
				digest.Add(h.now, step, actions)
				return actions
			})
			sums[fmt.Sprintf("%s/%d", name, seed)] = digest.Sum()
		}
	}
	CheckGolden(t, "histories", sums)
}

// Guards against decisions that depend on WaitReason or Status, which the log calls at any time. Two
// schedulers with the same events must give the same actions although only one of them is queried.
func TestWaitReasonDoesNotChangeDecisions(t *testing.T) {
	reasons := map[Reason]int{}
	for _, shape := range historyShapes {
		for seed := range uint64(5) {
			h := newRandomHistory(seed, shape)
			queried, _ := New(h.settings, seed, h.now)
			unqueried, _ := New(h.settings, seed, h.now)
			h.run(func(step int, events []Event) []Action {
				for _, id := range h.arrivedIDs {
					reasons[queried.WaitReason(id)]++
				}
				queried.Status()
				got, want := queried.Handle(h.now, events), unqueried.Handle(h.now, events)
				if len(got)+len(want) > 0 && !reflect.DeepEqual(got, want) {
					t.Fatalf("seed %d, step %d: got %+v, want %+v", seed, step, got, want)
				}
				return got
			})
		}
	}
	t.Log(reasons)
	if len(reasons) < 10 {
		t.Errorf("got only %d different reasons, want at least 10: %v", len(reasons), reasons)
	}
}

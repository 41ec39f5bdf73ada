package scheduler

import (
	"reflect"
	"testing"
	"time"
)

const ms = time.Millisecond

// testSettings returns settings with one instance, one plan without reserve or limit, and a class of
// each effect, as altered by the given functions.
func testSettings(change ...func(*Settings)) Settings {
	s := Settings{Instances: 1, MaxUnits: 6, MeanUnits: 2, MaxAttempts: 4, ExcessWeight: 1,
		Classes: []Class{
			{Name: "read", LatencyObjective: 200 * ms, Effect: Safe, PriorityWeight: 2},
			{Name: "write", LatencyObjective: 400 * ms, Effect: NonIdempotent, PriorityWeight: 2},
			{Name: "put", LatencyObjective: 400 * ms, Effect: Idempotent, DeduplicationScope: ScopeAll, DeduplicationWindow: 5 * time.Second, PriorityWeight: 2},
		},
		Plans: []Plan{{Name: "one", Weight: 1, PriorityFactor: 1}}}
	for _, c := range change {
		c(&s)
	}
	return s
}

// harness drives a scheduler on a simulated clock and records its sends.
type harness struct {
	scheduler *Scheduler
	now       Time
	actions   []Action // returned by the last call of Handle
	sends     []Send
	attempts  map[uint64]int // number of attempts, by request id
	lastID    uint64         // last result of nextID
}

// newHarness starts a scheduler whose endpoint list holds the given nodes.
func newHarness(t *testing.T, s Settings, nodes ...Endpoint) *harness {
	t.Helper()
	scheduler, err := New(s, 1, time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{scheduler: scheduler, now: time.Minute, attempts: map[uint64]int{}}
	h.handleAfter(0, EndpointUpdate{Full: true, Endpoints: nodes})
	return h
}

// handleAfter advances the clock, reports the events and returns the actions.
func (h *harness) handleAfter(after time.Duration, events ...Event) []Action {
	h.now += after
	h.actions = h.scheduler.Handle(h.now, events)
	for _, a := range h.actions {
		if s, ok := a.(Send); ok {
			h.sends = append(h.sends, s)
			h.attempts[s.ID]++
		}
	}
	return h.actions
}

// runFor advances the clock by d, reports TimerFired every 5 ms, and returns all actions.
func (h *harness) runFor(d time.Duration) (all []Action) {
	for end := h.now + d; h.now < end; {
		all = append(all, h.handleAfter(min(5*ms, end-h.now), TimerFired{})...)
	}
	return all
}

// endAttempt reports the outcome of a request's last attempt.
func (h *harness) endAttempt(id uint64, o Outcome) []Action {
	return h.handleAfter(0, AttemptEnded{ID: id, Attempt: h.attempts[id] - 1, Outcome: o, Responded: o == OK})
}

// sentIDs returns the ids of the requests sent so far, in order.
func (h *harness) sentIDs() (ids []uint64) {
	for _, s := range h.sends {
		ids = append(ids, s.ID)
	}
	return ids
}

// finalResponses returns the final responses among actions, by request id: "r" for a rejection, "f"
// for a failure.
func finalResponses(actions []Action) map[uint64]string {
	responses := map[uint64]string{}
	for _, a := range actions {
		switch a := a.(type) {
		case Reject:
			responses[a.ID] += "r"
		case Fail:
			responses[a.ID] += "f"
		}
	}
	return responses
}

// newArrival returns a request of the first class for volume v on shard 0.
func newArrival(id uint64, change ...func(*Arrival)) Arrival {
	a := Arrival{ID: id, Volume: "v", TimeRemaining: time.Second, Units: 2, Instances: 1}
	for _, c := range change {
		c(&a)
	}
	return a
}

func withClass(n int) func(*Arrival) { return func(a *Arrival) { a.Class = n } }

func withShard(n int) func(*Arrival) { return func(a *Arrival) { a.Shard = n } }

func withVolume(v string, p int) func(*Arrival) { return func(a *Arrival) { a.Volume, a.Plan = v, p } }

func withUnits(u float64) func(*Arrival) { return func(a *Arrival) { a.Units = u } }

func withKey(k string) func(*Arrival) { return func(a *Arrival) { a.Key = k } }

func withInstances(n int) func(*Arrival) { return func(a *Arrival) { a.Instances = n } }

var nodeA, nodeB = Endpoint{Node: "A", Shard: 0}, Endpoint{Node: "B", Shard: 1}

func assertEqual[T any](t *testing.T, what string, got, want T) {
	t.Helper()
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%s: got %v, want %v", what, got, want)
	}
}

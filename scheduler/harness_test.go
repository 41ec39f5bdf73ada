package scheduler

import (
	"reflect"
	"testing"
	"time"
)

const ms = time.Millisecond

// testSettings returns settings that the tests change to their needs: one head, one
// plan without reserve or limit, three classes of the three effects.
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

// harness drives a head in the way the bench does and keeps what it did.
type harness struct {
	t         *testing.T
	scheduler *Scheduler
	now       Time
	actions   []Action
	sends     []Send
	attempts  map[uint64]int
}

func newHarness(t *testing.T, s Settings, nodes ...Endpoint) *harness {
	t.Helper()
	h, err := New(s, 1, time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	r := &harness{t: t, scheduler: h, now: time.Minute, attempts: map[uint64]int{}}
	r.handleAfter(0, EndpointUpdate{Full: true, Endpoints: nodes})
	return r
}

// handleAfter moves the clock on, gives the events and returns what the head did.
func (r *harness) handleAfter(after time.Duration, events ...Event) []Action {
	r.now += after
	r.actions = r.scheduler.Handle(r.now, events)
	for _, a := range r.actions {
		if s, ok := a.(Send); ok {
			r.sends = append(r.sends, s)
			r.attempts[s.ID]++
		}
	}
	return r.actions
}

// runFor steps through an interval as timers would and returns all actions.
func (r *harness) runFor(d time.Duration) (all []Action) {
	for end := r.now + d; r.now < end; {
		all = append(all, r.handleAfter(min(5*ms, end-r.now), TimerFired{})...)
	}
	return all
}

func (r *harness) endAttempt(id uint64, o Outcome) []Action {
	return r.handleAfter(0, AttemptEnded{ID: id, Attempt: r.attempts[id] - 1, Outcome: o, Responded: o == OK})
}

func (r *harness) sentIDs() (ids []uint64) {
	for _, s := range r.sends {
		ids = append(ids, s.ID)
	}
	return ids
}

// finalResponses returns the final answers among actions: 'r' or 'f' by request.
func finalResponses(acts []Action) map[uint64]string {
	m := map[uint64]string{}
	for _, a := range acts {
		switch a := a.(type) {
		case Reject:
			m[a.ID] += "r"
		case Fail:
			m[a.ID] += "f"
		}
	}
	return m
}

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

package scenario

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"maddergap/internal/daemon"
	"maddergap/internal/gateway"
	"maddergap/scheduler"
)

// faultyScheduler is a scheduler with a fault, to prove that the audit detects it: it changes the
// events that the real scheduler gets, takes decisions in its place, or changes its actions.
type faultyScheduler struct {
	inner gateway.Scheduler
	// editEvent replaces an event for the real scheduler; nil for none.
	editEvent func(scheduler.Event) []scheduler.Event
	// decide handles an event in place of the real scheduler, if it reports true; nil for never.
	decide func(f *faultyScheduler, now scheduler.Time, e scheduler.Event) (actions []scheduler.Action, handled bool)
	// editActions replaces the actions of the real scheduler; nil for none.
	editActions func([]scheduler.Action) []scheduler.Action

	classes map[uint64]int // by request
	// extraAttempts are those of each request that the real scheduler does not know of.
	extraAttempts map[uint64]int
}

func (f *faultyScheduler) Handle(now scheduler.Time, events []scheduler.Event) []scheduler.Action {
	var realEvents []scheduler.Event
	var actions []scheduler.Action
	for _, e := range events {
		if arrival, ok := e.(scheduler.Arrival); ok {
			f.classes[arrival.ID] = arrival.Class
		}
		if f.decide != nil {
			if decided, handled := f.decide(f, now, e); handled {
				actions = append(actions, decided...)
				continue
			}
		}
		if f.editEvent != nil {
			realEvents = append(realEvents, f.editEvent(e)...)
		} else {
			realEvents = append(realEvents, e)
		}
	}
	actions = append(actions, f.inner.Handle(now, realEvents)...)
	if f.editActions != nil {
		actions = f.editActions(actions)
	}
	return actions
}

// newFaulty makes schedulers to which addFault gives a fault.
func newFaulty(addFault func(*faultyScheduler)) daemon.SchedulerFactory {
	return func(s scheduler.Settings, seed uint64, now scheduler.Time) (gateway.Scheduler, error) {
		s.Classes, s.Plans = slices.Clone(s.Classes), slices.Clone(s.Plans)
		inner, err := scheduler.New(s, seed, now)
		f := &faultyScheduler{inner: inner, classes: map[uint64]int{}, extraAttempts: map[uint64]int{}}
		addFault(f)
		return f, err
	}
}

// dropRejections never performs one rejection in five, so that those requests get no response.
func dropRejections(f *faultyScheduler) {
	f.editActions = func(actions []scheduler.Action) []scheduler.Action {
		return slices.DeleteFunc(actions, func(a scheduler.Action) bool {
			reject, ok := a.(scheduler.Reject)
			return ok && reject.ID%5 == 0
		})
	}
}

// ignoreDraining has the scheduler take draining nodes for serving ones.
func ignoreDraining(f *faultyScheduler) {
	f.editEvent = func(e scheduler.Event) []scheduler.Event {
		update, ok := e.(scheduler.EndpointUpdate)
		if !ok {
			return []scheduler.Event{e}
		}
		update.Endpoints = slices.Clone(update.Endpoints)
		for i := range update.Endpoints {
			if endpoint := &update.Endpoints[i]; endpoint.State == scheduler.Draining {
				endpoint.State = scheduler.Serving
			}
		}
		return []scheduler.Event{update}
	}
}

// nodeRule names the node that a request is sent to at once, past the real scheduler; empty for a
// request that the real scheduler handles.
type nodeRule func(now scheduler.Time, a scheduler.Arrival, endpointsByShard map[int]scheduler.Endpoint) string

// bypass sends requests by a rule.
func bypass(rule nodeRule) func(*faultyScheduler) {
	return func(f *faultyScheduler) {
		endpoints, bypassed := map[int]scheduler.Endpoint{}, map[uint64]bool{}
		f.decide = func(_ *faultyScheduler, now scheduler.Time, e scheduler.Event) ([]scheduler.Action, bool) {
			switch e := e.(type) {
			case scheduler.EndpointUpdate:
				for _, endpoint := range e.Endpoints {
					endpoints[endpoint.Shard] = endpoint
				}
			case scheduler.Arrival:
				if node := rule(now, e, endpoints); node != "" {
					bypassed[e.ID] = true
					return []scheduler.Action{scheduler.Send{ID: e.ID, Node: node}}, true
				}
			case scheduler.ClientDisconnected:
				return nil, bypassed[e.ID]
			case scheduler.AttemptEnded:
				switch {
				case !bypassed[e.ID]:
					return nil, false
				case e.Responded:
					return nil, true
				}
				return []scheduler.Action{endWithoutResponse(e)}, true
			}
			return nil, false
		}
	}
}

// overloadWarmingNodes sends every read to a node that has just restarted, wherever its data is.
func overloadWarmingNodes(now scheduler.Time, a scheduler.Arrival, endpoints map[int]scheduler.Endpoint) string {
	if a.Class != traceRead {
		return ""
	}
	for shard := range testSize.Nodes {
		endpoint := endpoints[shard]
		restarted := endpoint.Started > 0 && now < endpoint.Started+1500*time.Millisecond
		if restarted && endpoint.State == scheduler.Serving {
			return endpoint.Node
		}
	}
	return ""
}

// ignorePlanLimit sends every unordered request of the limited plan.
func ignorePlanLimit(_ scheduler.Time, a scheduler.Arrival, endpoints map[int]scheduler.Endpoint) string {
	endpoint := endpoints[a.Shard]
	if a.Class != journalAppend && a.Plan == 0 && endpoint.Started == 0 && endpoint.State == scheduler.Serving {
		return endpoint.Node
	}
	return ""
}

// swapOrder holds every other request of a key back until the next one came, and gives the real
// scheduler the later one first, both without their key.
func swapOrder(f *faultyScheduler) {
	const maxHold = 800 * time.Millisecond
	type heldRequest struct {
		arrival scheduler.Arrival
		since   scheduler.Time
	}
	held := map[string]heldRequest{}
	f.decide = func(f *faultyScheduler, now scheduler.Time, e scheduler.Event) ([]scheduler.Action, bool) {
		var actions []scheduler.Action
		forward := func(a scheduler.Arrival, heldFor time.Duration) {
			a.Key, a.TimeRemaining = fmt.Sprint(a.ID), a.TimeRemaining-heldFor
			actions = append(actions, f.inner.Handle(now, []scheduler.Event{a})...)
		}
		arrival, ok := e.(scheduler.Arrival)
		ordered := ok && arrival.Class == journalAppend
		if earlier, isPair := held[arrival.Key]; ordered && isPair {
			delete(held, arrival.Key)
			forward(arrival, 0)
			forward(earlier.arrival, now-earlier.since)
		} else if ordered {
			held[arrival.Key] = heldRequest{arrival, now}
		}
		for _, key := range slices.Sorted(maps.Keys(held)) {
			if request := held[key]; now-request.since > maxHold {
				delete(held, key)
				forward(request.arrival, now-request.since)
			}
		}
		if !ordered {
			actions = append(actions, f.inner.Handle(now, []scheduler.Event{e})...)
		}
		return actions, true
	}
}

// retryResets retries requests of some classes after a reset or a failed connect, each maxRetries
// times at most, before the real scheduler hears of it.
func retryResets(maxRetries int, classes ...int) func(*faultyScheduler) {
	return func(f *faultyScheduler) {
		f.decide = func(f *faultyScheduler, _ scheduler.Time, e scheduler.Event) ([]scheduler.Action, bool) {
			end, ok := e.(scheduler.AttemptEnded)
			if !ok || !slices.Contains(classes, f.classes[end.ID]) || end.Responded {
				return nil, false
			}
			lost := end.Outcome == scheduler.Reset || end.Outcome == scheduler.ConnectFailed
			if lost && f.extraAttempts[end.ID] < maxRetries {
				f.extraAttempts[end.ID]++
				return []scheduler.Action{scheduler.Send{ID: end.ID, Node: end.Node}}, true
			}
			if f.extraAttempts[end.ID] > 0 { // the real scheduler knows of its own attempt only
				end.Attempt -= f.extraAttempts[end.ID]
				return f.inner.Handle(0, []scheduler.Event{end}), true
			}
			return nil, false
		}
	}
}

// duplicateSends sends one request in so many of some classes twice at once. The real scheduler
// knows of its own attempt only. Retries of resets would not do: their number depends on how many
// attempts are under way when a node fails, and can be within the budget on a busy machine.
func duplicateSends(oneIn uint64, classes ...int) func(*faultyScheduler) {
	return func(f *faultyScheduler) {
		f.editActions = func(actions []scheduler.Action) (edited []scheduler.Action) {
			for _, a := range actions {
				edited = append(edited, a)
				send, ok := a.(scheduler.Send)
				if ok && send.ID%oneIn == 0 && f.extraAttempts[send.ID] == 0 && slices.Contains(classes, f.classes[send.ID]) {
					f.extraAttempts[send.ID] = 1
					edited = append(edited, send)
				}
			}
			return edited
		}
		f.editEvent = func(e scheduler.Event) []scheduler.Event {
			if end, ok := e.(scheduler.AttemptEnded); ok && f.extraAttempts[end.ID] > 0 && end.Attempt > 0 {
				if end.Attempt == 1 { // that of the duplicate
					return nil
				}
				end.Attempt--
				return []scheduler.Event{end}
			}
			return []scheduler.Event{e}
		}
	}
}

// The pass-through scheduler sends a request to the node of its shard, rejects it if the node
// cannot have run it, and fails it otherwise.
func TestPassThrough(t *testing.T) {
	p, err := NewPassThrough(scheduler.Settings{}, 1, 0)
	if err != nil {
		t.Fatal(err)
	}
	got := p.Handle(0, []scheduler.Event{
		scheduler.EndpointUpdate{Endpoints: []scheduler.Endpoint{{Node: "n7", Shard: 7}}},
		scheduler.Arrival{ID: 1, Shard: 7},
		scheduler.AttemptEnded{ID: 1, Responded: true},
		scheduler.AttemptEnded{ID: 2, Outcome: scheduler.QueueFull},
		scheduler.AttemptEnded{ID: 3, Outcome: scheduler.Reset},
	})
	want := []scheduler.Action{scheduler.Send{ID: 1, Node: "n7"}, scheduler.Reject{ID: 2}, scheduler.Fail{ID: 3}}
	if !slices.Equal(got, want) {
		t.Errorf("%v, want %v", got, want)
	}
}

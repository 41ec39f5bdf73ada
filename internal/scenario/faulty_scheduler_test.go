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

// faultyScheduler wraps the real scheduler and adds a fault that the audit must detect. A fault can
// change the events for the real scheduler, handle events in its place, or change its actions.
type faultyScheduler struct {
	inner gateway.Scheduler // the real scheduler
	// editEvent returns the events that the real scheduler gets in place of an event. If editEvent
	// is nil, the real scheduler gets the events unchanged.
	editEvent func(scheduler.Event) []scheduler.Event
	// decide may handle an event in place of the real scheduler and then returns handled = true. It
	// may be nil.
	decide func(f *faultyScheduler, now scheduler.Time, e scheduler.Event) (actions []scheduler.Action, handled bool)
	// editActions returns the actions to perform in place of the given ones. It may be nil.
	editActions func([]scheduler.Action) []scheduler.Action

	classes map[uint64]int // class index by request ID
	// extraAttempts is the number of attempts of each request that the real scheduler does not know
	// about.
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

// newFaulty returns a factory for schedulers to which addFault adds a fault.
func newFaulty(addFault func(*faultyScheduler)) daemon.SchedulerFactory {
	return func(s scheduler.Settings, seed uint64, now scheduler.Time) (gateway.Scheduler, error) {
		s.Classes, s.Plans = slices.Clone(s.Classes), slices.Clone(s.Plans)
		inner, err := scheduler.New(s, seed, now)
		f := &faultyScheduler{inner: inner, classes: map[uint64]int{}, extraAttempts: map[uint64]int{}}
		addFault(f)
		return f, err
	}
}

// dropRejections drops one in five rejections, so that those requests get no response.
func dropRejections(f *faultyScheduler) {
	f.editActions = func(actions []scheduler.Action) []scheduler.Action {
		return slices.DeleteFunc(actions, func(a scheduler.Action) bool {
			reject, ok := a.(scheduler.Reject)
			return ok && reject.ID%5 == 0
		})
	}
}

// ignoreDraining makes the scheduler treat draining nodes as serving.
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

// nodeSelector returns the node that a request is sent to at once, without the real scheduler. It
// returns "" for a request that the real scheduler should handle.
type nodeSelector func(now scheduler.Time, a scheduler.Arrival, endpointsByShard map[int]scheduler.Endpoint) string

// bypass makes selectNode decide on each request before the real scheduler does.
func bypass(selectNode nodeSelector) func(*faultyScheduler) {
	return func(f *faultyScheduler) {
		endpoints, bypassed := map[int]scheduler.Endpoint{}, map[uint64]bool{}
		f.decide = func(_ *faultyScheduler, now scheduler.Time, e scheduler.Event) ([]scheduler.Action, bool) {
			switch e := e.(type) {
			case scheduler.EndpointUpdate:
				for _, endpoint := range e.Endpoints {
					endpoints[endpoint.Shard] = endpoint
				}
			case scheduler.Arrival:
				if node := selectNode(now, e, endpoints); node != "" {
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

// overloadWarmingNodes selects a recently restarted node for every read, whichever node has the data.
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

// ignorePlanLimit selects the node of the shard for every unordered request of the plan with a limit,
// unless the node has restarted or is not serving.
func ignorePlanLimit(_ scheduler.Time, a scheduler.Arrival, endpoints map[int]scheduler.Endpoint) string {
	endpoint := endpoints[a.Shard]
	if a.Class != journalAppend && a.Plan == 0 && endpoint.Started == 0 && endpoint.State == scheduler.Serving {
		return endpoint.Node
	}
	return ""
}

// swapOrder swaps the requests of an order key in pairs. It holds the first until the second arrives
// and then passes the second to the real scheduler before the first. A request held for longer than
// maxHold is passed on at the next event. Each request gets a key of its own, so that the real
// scheduler does not restore the order.
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

// retryResets retries requests of the given classes after a connection reset or a failed connect, at
// most maxRetries times each. The real scheduler learns only of the last attempt's end.
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
			if f.extraAttempts[end.ID] > 0 { // the real scheduler counts only its own attempt
				end.Attempt -= f.extraAttempts[end.ID]
				return f.inner.Handle(0, []scheduler.Event{end}), true
			}
			return nil, false
		}
	}
}

// duplicateSends sends one in oneIn requests of the given classes twice at once. The real scheduler
// knows only about its own attempt. Retries after resets would not reliably exceed the retry budget:
// their number depends on how many attempts are in progress when a node fails, and can be small on a
// busy machine.
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
				if end.Attempt == 1 { // the attempt of the duplicate
					return nil
				}
				end.Attempt--
				return []scheduler.Event{end}
			}
			return []scheduler.Event{e}
		}
	}
}

// Verifies that the pass-through scheduler sends a request to the node of its shard. If the node gives
// no response, the request is rejected if the node cannot have executed it, and fails otherwise.
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
		t.Errorf("got actions %v, want %v", got, want)
	}
}

package scenario

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"testing"
	"time"

	"maddergap/internal/daemon"
	"maddergap/internal/gateway"
	"maddergap/internal/nodelist"
	"maddergap/scheduler"
)

func TestSameSeedSameDay(t *testing.T) {
	a, b := Draw(5, Short), Draw(5, Short)
	if !reflect.DeepEqual(a, b) {
		t.Error("two draws of one seed differ")
	}
	if c := Draw(6, Short); reflect.DeepEqual(a.Jobs, c.Jobs) {
		t.Error("two seeds give one day")
	}
}

// proof is a day light and short enough to run often, with every fault in it.
var proof = Size{Heads: 3, Nodes: 6, Length: 9 * time.Second, Rate: 340}

// meddler breaks a head for the proof of the audit: it changes what the module
// is told, or what it decides.
type meddler struct {
	inner  gateway.Scheduler
	told   func(scheduler.Event) []scheduler.Event
	decide func(*meddler, scheduler.Time, scheduler.Event) ([]scheduler.Action, bool) // instead of telling the module
	acts   func([]scheduler.Action) []scheduler.Action
	class  map[uint64]int
	tries  map[uint64]int
}

func (m *meddler) Handle(now scheduler.Time, events []scheduler.Event) []scheduler.Action {
	var pass []scheduler.Event
	var own []scheduler.Action
	for _, e := range events {
		if a, ok := e.(scheduler.Arrival); ok {
			m.class[a.ID] = a.Class
		}
		if m.decide != nil {
			if acts, taken := m.decide(m, now, e); taken {
				own = append(own, acts...)
				continue
			}
		}
		if m.told != nil {
			pass = append(pass, m.told(e)...)
		} else {
			pass = append(pass, e)
		}
	}
	acts := append(own, m.inner.Handle(now, pass)...)
	if m.acts != nil {
		acts = m.acts(acts)
	}
	return acts
}

// breakage makes a broken core out of the module with settings and a meddler changed.
func breakage(set func(*scheduler.Settings), with func(*meddler)) daemon.SchedulerFactory {
	return func(s scheduler.Settings, seed uint64, now scheduler.Time) (gateway.Scheduler, error) {
		s.Classes, s.Plans = slices.Clone(s.Classes), slices.Clone(s.Plans)
		if set != nil {
			set(&s)
		}
		inner, err := scheduler.New(s, seed, now)
		m := &meddler{inner: inner, class: map[uint64]int{}, tries: map[uint64]int{}}
		if with != nil {
			with(m)
		}
		return m, err
	}
}

// bypass sends, without the module, what some rule picks: at once, to the node
// that the rule names; "" leaves a request to the module.
func bypass(which func(now scheduler.Time, a scheduler.Arrival, nodes map[int]scheduler.Endpoint) string) func(*meddler) {
	return func(m *meddler) {
		nodes, mine := map[int]scheduler.Endpoint{}, map[uint64]bool{}
		m.decide = func(m *meddler, now scheduler.Time, e scheduler.Event) ([]scheduler.Action, bool) {
			switch e := e.(type) {
			case scheduler.EndpointUpdate:
				for _, n := range e.Endpoints {
					nodes[n.Shard] = n
				}
			case scheduler.Arrival:
				if node := which(now, e, nodes); node != "" {
					mine[e.ID] = true
					return []scheduler.Action{scheduler.Send{ID: e.ID, Node: node}}, true
				}
			case scheduler.ClientDisconnected:
				return nil, mine[e.ID]
			case scheduler.AttemptEnded:
				switch {
				case !mine[e.ID]:
					return nil, false
				case e.Responded:
					return nil, true
				case e.Outcome == scheduler.QueueFull || e.Outcome == scheduler.ConnectFailed || e.Outcome == scheduler.Superseded:
					return []scheduler.Action{scheduler.Reject{ID: e.ID}}, true
				}
				return []scheduler.Action{scheduler.Fail{ID: e.ID}}, true
			}
			return nil, false
		}
	}
}

// swapTurns holds every other request of a key until the next one came, and
// lets the module, which is told of no key, have the later one first.
func swapTurns(m *meddler) {
	type waiting struct {
		a     scheduler.Arrival
		since scheduler.Time
	}
	held := map[string]waiting{}
	m.decide = func(m *meddler, now scheduler.Time, e scheduler.Event) ([]scheduler.Action, bool) {
		var acts []scheduler.Action
		give := func(a scheduler.Arrival, spent time.Duration) {
			a.Key, a.TimeRemaining = fmt.Sprint(a.ID), a.TimeRemaining-spent
			acts = append(acts, m.inner.Handle(now, []scheduler.Event{a})...)
		}
		a, ok := e.(scheduler.Arrival)
		ok = ok && a.Class == journalAppend
		if w, pair := held[a.Key]; ok && pair {
			delete(held, a.Key)
			give(a, 0)
			give(w.a, now-w.since)
		} else if ok {
			held[a.Key] = waiting{a, now}
		}
		for _, key := range slices.Sorted(maps.Keys(held)) {
			if w := held[key]; now-w.since > 800*time.Millisecond {
				delete(held, key)
				give(w.a, now-w.since)
			}
		}
		if !ok {
			acts = append(acts, m.inner.Handle(now, []scheduler.Event{e})...)
		}
		return acts, true
	}
}

// again sends a request of some classes once more for each reset, most times,
// before the module hears of it.
func again(most int, classes ...int) func(*meddler) {
	return func(m *meddler) {
		m.decide = func(m *meddler, _ scheduler.Time, e scheduler.Event) ([]scheduler.Action, bool) {
			end, ok := e.(scheduler.AttemptEnded)
			if !ok || !slices.Contains(classes, m.class[end.ID]) || end.Responded {
				return nil, false
			}
			if (end.Outcome == scheduler.Reset || end.Outcome == scheduler.ConnectFailed) && m.tries[end.ID] < most {
				m.tries[end.ID]++
				return []scheduler.Action{scheduler.Send{ID: end.ID, Node: end.Node}}, true
			}
			if m.tries[end.ID] > 0 { // the module knows of its own attempt alone
				end.Attempt -= m.tries[end.ID]
				return m.inner.Handle(0, []scheduler.Event{end}), true
			}
			return nil, false
		}
	}
}

// copies sends every so many-th request of some classes twice at once; the module knows
// of its own attempt alone. By resets alone, which are as many as were under way when a
// node died, the overspending stood too near the bound on a busy machine.
func copies(every uint64, classes ...int) func(*meddler) {
	return func(m *meddler) {
		m.acts = func(acts []scheduler.Action) (out []scheduler.Action) {
			for _, a := range acts {
				out = append(out, a)
				if s, ok := a.(scheduler.Send); ok && s.ID%every == 0 && m.tries[s.ID] == 0 && slices.Contains(classes, m.class[s.ID]) {
					m.tries[s.ID] = 1
					out = append(out, s)
				}
			}
			return out
		}
		m.told = func(e scheduler.Event) []scheduler.Event {
			if end, ok := e.(scheduler.AttemptEnded); ok && m.tries[end.ID] > 0 && end.Attempt > 0 {
				if end.Attempt == 1 { // the copy's
					return nil
				}
				end.Attempt--
				return []scheduler.Event{end}
			}
			return []scheduler.Event{e}
		}
	}
}

// Each broken head is caught by exactly the rule that it breaks, and the whole
// one by none.
func TestAuditCatchesBrokenHeads(t *testing.T) {
	if testing.Short() {
		t.Skip("eight days of nine seconds")
	}
	lists := func(f func(*scheduler.Endpoint)) func(*meddler) {
		return func(m *meddler) {
			m.told = func(e scheduler.Event) []scheduler.Event {
				if l, ok := e.(scheduler.EndpointUpdate); ok {
					l.Endpoints = slices.Clone(l.Endpoints)
					for i := range l.Endpoints {
						f(&l.Endpoints[i])
					}
					return []scheduler.Event{l}
				}
				return []scheduler.Event{e}
			}
		}
	}
	for i, c := range []struct {
		name string
		core daemon.SchedulerFactory
		want []int
	}{
		{"whole", nil, nil},
		{"gives some requests no answer", breakage(nil, func(m *meddler) {
			m.acts = func(acts []scheduler.Action) []scheduler.Action {
				return slices.DeleteFunc(acts, func(a scheduler.Action) bool {
					r, ok := a.(scheduler.Reject)
					return ok && r.ID%5 == 0
				})
			}
		}), []int{1}},
		{"sends unsafe requests again", breakage(nil, again(1, segmentWrite)), []int{2}},
		// A module that takes a draining node for one that serves is withheld by the guard: no
		// rule is broken. A head whose list has it as serving sends there.
		{"decides on a draining node", breakage(nil, lists(func(e *scheduler.Endpoint) {
			if e.State == scheduler.Draining {
				e.State = scheduler.Serving
			}
		})), nil},
		{"sends to a draining node", nil, []int{3}},
		{"floods a cold node", breakage(nil, bypass(func(now scheduler.Time, a scheduler.Arrival, nodes map[int]scheduler.Endpoint) string {
			for shard := range proof.Nodes { // every read goes there, wherever its data is
				if n := nodes[shard]; a.Class == traceRead && n.Started > 0 && n.State == scheduler.Serving && now < n.Started+1500*time.Millisecond {
					return n.Node
				}
			}
			return ""
		})), []int{4}},
		{"keeps no order", breakage(nil, swapTurns), []int{5}},
		{"overspends the attempt budget", breakage(nil, copies(5, traceRead, archiveExport)), []int{6}},
		{"overspends a limit", breakage(nil, bypass(func(_ scheduler.Time, a scheduler.Arrival, nodes map[int]scheduler.Endpoint) string {
			if n := nodes[a.Shard]; a.Class != journalAppend && a.Plan == 0 && n.Started == 0 && n.State == scheduler.Serving {
				return n.Node
			}
			return ""
		})), []int{7}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			o := &Options{Plan: Draw(3, proof), Dir: t.TempDir(), NewScheduler: c.core, Block: 210 + i, Late: time.Second}
			if c.name == "sends to a draining node" {
				o.Listed = withoutDrains
			}
			report, err := Run(o)
			if err != nil {
				t.Fatal(err)
			}
			if got := report.ViolatedRules(); !slices.Equal(got, c.want) {
				for _, r := range report.Verdicts {
					t.Log(fmt.Sprint(r))
				}
				t.Errorf("rules %v are broken, want %v", got, c.want)
			}
		})
	}
}

// withoutDrains is a list that has draining nodes as serving.
func withoutDrains(list []nodelist.Node) []nodelist.Node {
	for i := range list {
		if list[i].State == scheduler.Draining {
			list[i].State = scheduler.Serving
		}
	}
	return list
}

package logic

import (
	"math"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

// site returns settings that the tests change to their needs: one head, one
// plan without reserve or limit, three classes of the three effects.
func site(change ...func(*Settings)) Settings {
	s := Settings{Heads: 1, MostUnits: 6, MeanUnits: 2, MaxAttempts: 4, ShareWorth: 1,
		Classes: []Class{
			{Name: "read", Aim: 200 * ms, Effect: Safe, Worth: 2},
			{Name: "write", Aim: 400 * ms, Effect: Unsafe, Worth: 2},
			{Name: "put", Aim: 400 * ms, Effect: Keyed, Group: GroupAll, Window: 5 * time.Second, Worth: 2},
		},
		Plans: []Plan{{Name: "one", Weight: 1, Price: 1}}}
	for _, c := range change {
		c(&s)
	}
	return s
}

// rig drives a head in the way the bench does and keeps what it did.
type rig struct {
	t     *testing.T
	h     *Scheduler
	now   Time
	acts  []Action
	sends []Send
	tries map[uint64]int
}

func start(t *testing.T, s Settings, nodes ...Entry) *rig {
	t.Helper()
	h, err := New(s, 1, time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t, h: h, now: time.Minute, tries: map[uint64]int{}}
	r.at(0, List{Full: true, Entries: nodes})
	return r
}

// at moves the clock on, gives the events and returns what the head did.
func (r *rig) at(after time.Duration, events ...Event) []Action {
	r.now += after
	r.acts = r.h.Handle(r.now, events)
	for _, a := range r.acts {
		if s, ok := a.(Send); ok {
			r.sends = append(r.sends, s)
			r.tries[s.ID]++
		}
	}
	return r.acts
}

// wait steps through an interval as timers would and returns all actions.
func (r *rig) wait(d time.Duration) (all []Action) {
	for end := r.now + d; r.now < end; {
		all = append(all, r.at(min(5*ms, end-r.now), Wake{})...)
	}
	return all
}

func (r *rig) end(id uint64, o Outcome) []Action {
	return r.at(0, Ended{ID: id, Attempt: r.tries[id] - 1, Outcome: o, Closed: o == OK})
}

func (r *rig) sent() (ids []uint64) {
	for _, s := range r.sends {
		ids = append(ids, s.ID)
	}
	return ids
}

// answers returns the final answers among actions: 'r' or 'f' by request.
func answers(acts []Action) map[uint64]string {
	m := map[uint64]string{}
	for _, a := range acts {
		switch a := a.(type) {
		case Refuse:
			m[a.ID] += "r"
		case Fail:
			m[a.ID] += "f"
		}
	}
	return m
}

func req(id uint64, change ...func(*Arrival)) Arrival {
	a := Arrival{ID: id, Volume: "v", Left: time.Second, Units: 2, Hosts: 1}
	for _, c := range change {
		c(&a)
	}
	return a
}

func class(n int) func(*Arrival)              { return func(a *Arrival) { a.Class = n } }
func shard(n int) func(*Arrival)              { return func(a *Arrival) { a.Shard = n } }
func ofVolume(v string, p int) func(*Arrival) { return func(a *Arrival) { a.Volume, a.Plan = v, p } }
func units(u float64) func(*Arrival)          { return func(a *Arrival) { a.Units = u } }
func key(k string) func(*Arrival)             { return func(a *Arrival) { a.Key = k } }

var nodeA, nodeB = Entry{Node: "A", Shard: 0}, Entry{Node: "B", Shard: 1}

func want[T any](t *testing.T, what string, got, want T) {
	t.Helper()
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%s: got %v, want %v", what, got, want)
	}
}

// Tags worked by hand: S = max(v, F + delay/φ), F = S + cost/φ.
func TestTags(t *testing.T) {
	two := func(s *Settings) { s.Plans = []Plan{{Weight: 1, Price: 1}, {Weight: 3, Price: 1}} }
	type step struct {
		vol    string
		plan   int
		node   int
		units  float64
		start  float64
		finish float64
	}
	for _, c := range []struct {
		name  string
		s     Settings
		steps []step
	}{
		{"one volume on one node, single plan", site(), []step{{"f", 0, 0, 2, 0, 2}, {"f", 0, 0, 3, 2, 5}}},
		{"a single plan has no delay", site(), []step{{"f", 0, 0, 2, 0, 2}, {"f", 0, 1, 4, 0, 4}, {"f", 0, 0, 2, 2, 4}}},
		// φ = 1/4: cost 1 is 4; two units elsewhere are under the clip 2/(3/4) = 2.67.
		{"two nodes", site(two), []step{{"f", 0, 0, 1, 0, 4}, {"f", 0, 1, 2, 0, 8}, {"f", 0, 0, 2, 4 + 8, 20}}},
		// Nine units elsewhere, clipped at 1/(3/4) = 4/3, over φ 16/3.
		{"the clip", site(two), []step{{"f", 0, 0, 1, 0, 4}, {"f", 0, 1, 9, 0, 36}, {"f", 0, 0, 1, 4 + 16.0/3, 8 + 16.0/3}}},
		{"weights", site(two), []step{{"f", 0, 0, 3, 0, 12}, {"g", 1, 0, 3, 0, 4}, {"g", 1, 0, 3, 4, 8}}},
		{"zero weights count as equal", site(two, func(s *Settings) { s.Plans[0].Weight, s.Plans[1].Weight = 0, 0 }),
			[]step{{"f", 0, 0, 1, 0, 2}, {"g", 1, 0, 1, 0, 2}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := start(t, c.s, nodeA, nodeB)
			for i, s := range c.steps {
				q := &request{Arrival: req(uint64(i), ofVolume(s.vol, s.plan), units(s.units))}
				q.volume = r.h.volumeOf(q.Arrival)
				q.volume.reserve = tokenBucket{level: -1, at: r.now} // all of it beyond the reserve
				r.h.tag(q, r.h.members.nodes[s.node])
				e := q.volume.streams[r.h.members.nodes[s.node]]
				if math.Abs(q.startTag-s.start) > 1e-9 || math.Abs(e.finishTag-s.finish) > 1e-9 {
					t.Errorf("step %d: S %v F %v, want %v %v", i, q.startTag, e.finishTag, s.start, s.finish)
				}
			}
		})
	}
}

func TestVolumeBackFromIdleStartsAtVirtualTime(t *testing.T) {
	r := start(t, site(), nodeA)
	r.h.members.nodes[0].virtualTime = 50
	r.at(0, req(1, units(6)), req(2, units(6)), req(3, units(6)))
	e := r.h.volumes["v"].streams[r.h.members.nodes[0]]
	if e.finishTag < 50 {
		t.Errorf("finish tag %v lies before virtual time 50", e.finishTag)
	}
	for id := uint64(1); id <= 3; id++ {
		r.end(id, OK)
	}
	r.wait(idleVolume * 2)
	want(t, "idle volumes", len(r.h.volumes), 0)
}

func TestWithinReserveLeavesBeforeExcess(t *testing.T) {
	s := site(func(s *Settings) {
		s.Plans = []Plan{{Weight: 1, Price: 1}, {Weight: 1, Price: 1, Reserve: 10}}
	})
	r := start(t, s, nodeA)
	r.h.members.nodes[0].window = 1
	r.at(0, req(1, ofVolume("heavy", 0)), req(2, ofVolume("heavy", 0)), req(3, ofVolume("reserved", 1)))
	r.at(90*ms, Wake{})
	r.end(1, OK)
	if got := r.sent(); len(got) < 2 || got[1] != 3 {
		t.Errorf("sent %v, want the reserved request 3 second", got)
	}
}

func TestWorthThenNearestAimBetweenEqualTags(t *testing.T) {
	s := site(func(s *Settings) {
		s.Classes[1].Worth = 1
		s.Plans[0].Reserve = 100
	})
	r := start(t, s, nodeA)
	r.h.members.nodes[0].window = 1
	r.at(0, req(1), req(2, class(1)), req(3, ofVolume("w", 0)))
	r.at(90*ms, Wake{})
	r.end(1, OK)
	want(t, "sent", r.sent(), []uint64{1, 3})
}

func TestWindowHoldsTheRest(t *testing.T) {
	r := start(t, site(), nodeA)
	var evs []Event
	for id := uint64(1); id <= 20; id++ {
		evs = append(evs, req(id))
	}
	r.at(0, evs...)
	want(t, "out at once", len(r.sends), int(windowStart))
	r.at(180*ms, Ended{ID: r.sends[0].ID, Outcome: OK, Closed: true}) // slow for its aim
	if w := r.h.members.nodes[0].window; w >= windowStart {
		t.Errorf("window %v did not shrink", w)
	}
}

func TestEveryRequestIsAnsweredOnce(t *testing.T) {
	for _, c := range []struct {
		name  string
		nodes []Entry
		play  func(*rig) []Action
		want  map[uint64]string
	}{
		{"no node at all", nil, func(r *rig) []Action { return append(r.at(0, req(1)), r.wait(time.Second)...) },
			map[uint64]string{1: "r"}},
		{"held to the end", []Entry{nodeA}, func(r *rig) []Action {
			r.h.members.nodes[0].window, r.h.members.nodes[0].sentAt = 0, r.now
			r.h.members.nodes[0].breaker.open, r.h.members.nodes[0].breaker.trialAt = true, r.now+time.Hour
			return append(r.at(0, req(1, class(1))), r.wait(time.Second)...)
		}, map[uint64]string{1: "r"}},
		{"unsafe timed out", []Entry{nodeA}, func(r *rig) []Action {
			r.at(0, req(1, class(1)))
			return r.at(time.Second, Ended{ID: 1, Outcome: TimedOut})
		}, map[uint64]string{1: "f"}},
		{"client left", []Entry{nodeA}, func(r *rig) []Action {
			r.at(0, req(1))
			r.at(0, Dropped{ID: 1})
			return append(r.end(1, TimedOut), r.wait(time.Second)...)
		}, map[uint64]string{}},
		{"unknown class", []Entry{nodeA}, func(r *rig) []Action { return r.at(0, req(1, class(9))) },
			map[uint64]string{1: "r"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			want(t, "answers", answers(c.play(start(t, site(), c.nodes...))), c.want)
		})
	}
}

// What follows the first outcome, by effect and by whether it proves that
// nothing ran: sent again, failed at once.
func TestEffects(t *testing.T) {
	for _, c := range []struct {
		name  string
		class int
		o     Outcome
		again bool
		final string
	}{
		{"safe, error", 0, Failed, true, ""},
		{"safe, reset", 0, Reset, true, ""},
		{"unsafe, error", 1, Failed, false, "f"},
		{"unsafe, reset", 1, Reset, false, "f"},
		{"unsafe, cancelled", 1, Cancelled, false, "f"},
		{"unsafe, full", 1, Full, true, ""},
		{"unsafe, not connected", 1, ConnectFailed, true, ""},
		{"unsafe, moot", 1, Moot, true, ""},
		{"keyed, reset", 2, Reset, true, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := start(t, site(), nodeA)
			r.at(0, req(1, class(c.class)))
			acts := r.end(1, c.o)
			want(t, "answer", answers(acts)[1], c.final)
			r.wait(400 * ms)
			want(t, "sent again", r.tries[1] > 1, c.again)
		})
	}
}

func TestKeyedStaysInItsGroupAndWindow(t *testing.T) {
	other := Entry{Node: "A2", Shard: 0, Zone: 1}
	for _, c := range []struct {
		name   string
		group  Group
		window time.Duration
		again  bool
		final  string
	}{
		{"all", GroupAll, time.Second, true, ""},
		{"cell", GroupCell, time.Second, true, ""},
		{"zone", GroupZone, time.Second, false, "f"},
		{"window over", GroupAll, 50 * ms, false, "r"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := site(func(s *Settings) { s.Classes[2].Group, s.Classes[2].Window = c.group, c.window })
			r := start(t, s, nodeA)
			r.at(0, req(1, class(2)))
			r.at(60*ms, List{Entries: []Entry{{Node: "A", Shard: 0, State: Gone}, other}})
			acts := r.end(1, Reset)
			acts = append(acts, r.wait(1100*ms)...)
			want(t, "sent again", r.tries[1] > 1, c.again)
			if !c.again {
				want(t, "answer", answers(acts)[1], c.final)
			}
		})
	}
}

func TestAttemptMaximum(t *testing.T) {
	r := start(t, site(func(s *Settings) { s.MaxAttempts = 2 }), nodeA)
	r.at(0, req(1))
	r.end(1, Full)
	r.wait(200 * ms)
	want(t, "attempts", r.tries[1], 2)
	want(t, "answer", answers(r.end(1, Full))[1], "r")
}

func TestDrainStopsAtOnceAndTheNextNodeTakesOver(t *testing.T) {
	r := start(t, site(), nodeA)
	r.h.members.nodes[0].window = 1
	r.at(0, req(1), req(2))
	r.at(10*ms, List{Entries: []Entry{{Node: "A", Shard: 0, State: Draining}}})
	r.end(1, OK)
	want(t, "sent to the draining node", len(r.sends), 1)
	r.at(10*ms, List{Entries: []Entry{{Node: "A2", Shard: 0}}})
	want(t, "next node", r.sends[len(r.sends)-1], Send{ID: 2, Node: "A2"})
}

// Forty heads before one cold node: the even part of each is less than a
// request, and still the node is used, within what it bears in every window.
func TestColdBudgetAccruesOverManyHeads(t *testing.T) {
	const heads, cold = 40, 24.0
	s := site(func(s *Settings) {
		s.Heads, s.ColdUnits, s.FallWindow, s.Cold, s.ColdFrom = heads, cold, time.Second, 10*time.Second, 0.5
		s.Plans[0].Reserve = 100
	})
	sent := map[int]float64{} // units by tenth of a second
	for seed := uint64(1); seed <= heads; seed++ {
		h, err := New(s, seed, 0)
		if err != nil {
			t.Fatal(err)
		}
		h.Handle(2*time.Second, []Event{List{Entries: []Entry{{Node: "A", Started: 2 * time.Second}}}})
		for i := range 50 {
			now := 2*time.Second + time.Duration(i)*100*ms
			for _, a := range h.Handle(now, []Event{req(uint64(i+1), func(a *Arrival) { a.Left = 200 * ms })}) {
				if x, ok := a.(Send); ok {
					sent[i] += 2
					h.Handle(now, []Event{Ended{ID: x.ID, Outcome: OK, Closed: true, Node: "A"}})
				}
			}
		}
	}
	var all float64
	for i := range 50 {
		var window float64
		for k := i; k < i+10; k++ {
			window += sent[k]
		}
		if most := cold * (1 + max(0, float64(i)-10)/100) * 1.5; window > most {
			t.Errorf("window from %d: %v units, more than %v", i, window, most)
		}
		all += sent[i]
	}
	if all < cold*5/2 {
		t.Errorf("%v units in five windows of %v: the node is left idle", all, cold)
	}
}

// What heads were served on the shard before is what they may send a part of.
func TestColdBudgetFollowsWhatWasServedBefore(t *testing.T) {
	s := site(func(s *Settings) {
		s.Heads, s.ColdUnits, s.FallWindow, s.Cold, s.ColdFrom, s.FallMultiple = 100, 1, time.Second, 10*time.Second, 0.25, 3
	})
	r := start(t, s, nodeA, nodeB)
	for id := uint64(1); id <= 400; id++ { // 20 units a second on A, none on B
		r.at(100*ms, req(id))
		r.end(id, OK)
	}
	r.at(0, List{Entries: []Entry{{Node: "A", Shard: 0, Started: r.now}, {Node: "B", Shard: 1, Started: r.now}}})
	a, b := r.h.members.nodes[0].coldBudget.rate, r.h.members.nodes[1].coldBudget.rate
	if want := 3.0 * 0.25 * 20; math.Abs(a-want) > want/5 {
		t.Errorf("rate at A %.2f, want about %.2f", a, want)
	}
	if b > a/10 {
		t.Errorf("rate at B %.2f, where nothing was served, against %.2f at A", b, a)
	}
}

// Of two nodes that shared a shard, one that comes back bears half of what both bore.
func TestColdBudgetOfANodeThatSharedItsShard(t *testing.T) {
	s := site(func(s *Settings) {
		s.Heads, s.ColdUnits, s.FallWindow, s.Cold, s.ColdFrom, s.FallMultiple = 100, 1, time.Second, 10*time.Second, 0.25, 3
	})
	both := []Entry{{Node: "A", Shard: 0}, {Node: "B", Shard: 0}}
	r := start(t, s, both...)
	for id := uint64(1); id <= 400; id++ { // 20 units a second on the shard
		r.at(100*ms, req(id))
		r.end(id, OK)
	}
	r.at(0, List{Entries: []Entry{{Node: "A", Shard: 0, Started: r.now}}})
	if a, want := r.h.members.nodes[0].coldBudget.rate, 3.0*0.25*20/2; math.Abs(a-want) > want/5 {
		t.Errorf("rate at A %.2f, want about %.2f", a, want)
	}
}

func TestColdWindowCountsAsSpentAfterARestart(t *testing.T) {
	s := site(func(s *Settings) {
		s.ColdUnits, s.FallWindow, s.Cold, s.ColdFrom = 12, time.Second, 10*time.Second, 0.25
	})
	r := start(t, s, Entry{Node: "A", Shard: 0, Started: time.Minute - time.Second})
	r.at(0, req(1, func(a *Arrival) { a.Left = 3 * time.Second }))
	r.wait(900 * ms)
	want(t, "sent in the first window", len(r.sends), 0)
	r.wait(300 * ms)
	want(t, "sent after it", len(r.sends), 1)
}

func TestOrderByKey(t *testing.T) {
	s := site(func(s *Settings) { s.Classes[0].InOrder, s.Classes[0].LateWorth, s.OrderRest = true, 1, 300*ms })
	r := start(t, s, nodeA)
	r.h.members.nodes[0].window = 8
	r.at(0, req(1, key("k")), req(2, key("k")), req(3, key("other")))
	want(t, "one at a time", r.sent(), []uint64{1, 3})
	r.end(3, OK)
	r.at(0, Dropped{ID: 1})
	r.wait(50 * ms)
	want(t, "attempt of a finished one still out", len(r.sends), 2)
	r.at(0, Ended{ID: 1, Outcome: TimedOut, Closed: true})
	r.wait(250 * ms)
	want(t, "key at rest", len(r.sends), 2)
	r.wait(100 * ms)
	want(t, "after the rest", r.sent(), []uint64{1, 3, 2})
}

func TestBudgetOfFurtherAttempts(t *testing.T) {
	s := site(func(s *Settings) {
		s.Budget, s.BudgetFree, s.BudgetShare, s.BudgetOver = true, 1, 0.5, 5*time.Second
		s.MaxAttempts = 0
	})
	r := start(t, s, nodeA)
	r.h.members.nodes[0].window = 8
	long := func(a *Arrival) { a.Left = time.Minute }
	r.at(0, req(1, long), req(2, long))
	for range 20 { // two taken: 1 + 0.5*2 further attempts in five seconds
		for id := range r.tries {
			r.end(id, Full)
		}
		r.wait(100 * ms)
	}
	want(t, "attempts", r.tries[1]+r.tries[2], 4)
}

func TestLimitIsSplitAndEmptyAtBoot(t *testing.T) {
	s := site(func(s *Settings) { s.Heads, s.Plans[0].Limit, s.Plans[0].LimitBurst = 2, 20, 24 })
	r := start(t, s, nodeA)
	r.h.members.nodes[0].window = 8
	long := func(a *Arrival) { a.Left, a.Hosts = time.Minute, 2 }
	r.at(0, req(1, long), req(2, long), req(3, long))
	want(t, "sent from an empty bucket", len(r.sends), 0)
	r.wait(250 * ms) // 10 units a second: 2.5 units
	want(t, "after a quarter of a second", len(r.sends), 1)
	r.end(1, OK)
	r.wait(500 * ms)
	for _, x := range r.sends {
		r.end(x.ID, OK)
	}
	r.at(10*time.Second, req(4, long, ofVolume("late", 0), units(6)), req(5, long, ofVolume("late", 0), units(6)),
		req(6, long, ofVolume("late", 0), units(6)))
	sent := r.sent()
	if !slices.Contains(sent, 5) || slices.Contains(sent, 6) {
		t.Errorf("sent %v: a volume first seen later has the burst of 12 units, no more", sent)
	}
}

func TestBreaker(t *testing.T) {
	r := start(t, site(), nodeA, nodeB)
	r.at(0, req(1), req(2))
	r.wait(450 * ms) // silence of more than two aims
	if !r.h.members.nodes[0].breaker.open {
		t.Fatal("breaker closed after silence")
	}
	r.at(0, req(3), req(4), req(5), req(6, shard(1)))
	want(t, "sent to the other node", r.sends[len(r.sends)-1].ID, uint64(6))
	n := len(r.sends)
	r.wait(500 * ms)
	if trials := len(r.sends) - n; trials < 1 || trials > 2 {
		t.Errorf("%d trials in half a second, want one or two", trials)
	}
	last := r.sends[len(r.sends)-1].ID
	r.end(last, OK)
	want(t, "open after an answer", r.h.members.nodes[0].breaker.open, false)
}

func TestSomeResetsDoNotOpenTheBreaker(t *testing.T) {
	r := start(t, site(), nodeA)
	for id := uint64(1); id <= 6; id++ {
		r.at(10*ms, req(id, class(1)))
		r.end(id, []Outcome{Reset, Reset, OK}[id%3])
	}
	want(t, "open", r.h.members.nodes[0].breaker.open, false)
	for id := uint64(10); id <= 13; id++ {
		r.at(10*ms, req(id, class(1)))
		if r.tries[id] > 0 {
			r.end(id, Reset)
		}
	}
	want(t, "open after resets in a row", r.h.members.nodes[0].breaker.open, true)
}

// ic23155, ifb7f1d: what earns little must stand back at a crowded node.
func TestWhatEarnsLittleYieldsWhileTheNodeIsSlow(t *testing.T) {
	s := site(func(s *Settings) {
		s.ShareWorth, s.Classes[0].LateWorth, s.Classes[1].Worth = 0.3, 0.1, 1
	})
	r := start(t, s, nodeA)
	n := r.h.members.nodes[0]
	for _, c := range []struct {
		name     string
		pressure float64
		silent   time.Duration
		class    int
		excess   bool
		late     bool
		want     bool
	}{
		{"in time, within the reserve", 2, 0, 0, false, false, false},
		{"late", 0.9, 0, 0, false, true, true},
		{"beyond the reserve", 0.9, 0, 0, true, false, true},
		{"class of half the worth", 0.9, 0, 1, false, false, true},
		{"half the worth, some pressure", 0.4, 0, 1, false, false, false},
		{"late at a quick node", 0.05, 0, 0, false, true, false},
		{"late, nothing heard for long", 0.9, 3 * time.Second, 0, false, true, false},
	} {
		v := r.h.volumeOf(req(1))
		q := &profile{class: &r.h.settings.Classes[c.class], plan: v.plan, hosts: v.hosts, excess: c.excess}
		n.pressure, n.heardAt = c.pressure, r.now-c.silent
		want(t, c.name, r.h.standsBack(candidate{node: n, profile: q, late: c.late}), c.want)
	}
}

// At size a head hears of one node every few seconds: what it hears of the
// others stands in, old answers count less, and what has no answer counts too.
func TestSparseSightLeansOnAllNodes(t *testing.T) {
	slow := func(n *node) *attempt {
		return &attempt{request: &request{Arrival: req(1), class: &Class{Aim: 200 * ms}}, node: n}
	}
	for _, c := range []struct {
		name    string
		outcome Outcome
		took    time.Duration
		age     time.Duration
		want    float64 // pressure held of node A, about
	}{
		{"a quick answer", OK, 20 * ms, 0, 0.05},
		{"a slow answer", OK, 300 * ms, 0, 1},
		{"turned away at once", Full, 2 * ms, 0, 1},
		{"no answer", TimedOut, time.Second, 0, 1},
		{"a slow answer long ago, others quick since", OK, 300 * ms, 10 * observationHalfLife, 0.05},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := start(t, site(), nodeA, nodeB)
			r.h.estimates.unitTime = 0.005 // ten milliseconds of two units are work, not waiting
			n, other := r.h.members.nodes[0], r.h.members.nodes[1]
			a := slow(n)
			a.sentAt = r.now - c.took
			r.h.observe(n, a, Ended{Outcome: c.outcome})
			if c.age > 0 {
				r.wait(c.age)
				b := slow(other)
				b.sentAt = r.now - 20*ms
				for range 10 {
					r.h.observe(other, b, Ended{Outcome: OK})
				}
			}
			r.h.estimate(n)
			if math.Abs(n.pressure-c.want) > 0.05 {
				t.Errorf("pressure %.2f, want about %.2f", n.pressure, c.want)
			}
		})
	}
}

func TestNewObjectGoesToTheLeastLoaded(t *testing.T) {
	r := start(t, site(), nodeA, nodeB)
	r.at(0, req(1), req(2), req(3), req(4))
	r.at(0, req(5, shard(-1)))
	want(t, "node", r.sends[len(r.sends)-1], Send{ID: 5, Node: "B"})
}

func TestAskedDiscovery(t *testing.T) {
	r := start(t, site(func(s *Settings) { s.AskDiscovery = true }))
	count := func(acts []Action) (n int) {
		for _, a := range acts {
			if _, ok := a.(Watch); ok {
				n++
			}
		}
		return n
	}
	want(t, "at boot", count(r.acts), 1)
	r.at(0, List{Failed: true})
	want(t, "after a failed call", count(r.wait(1100*ms)), 1)
}

func TestSettings(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*Settings)
		field  string // named in the error; empty: accepted
	}{
		{"as they are", func(*Settings) {}, ""},
		{"no heads", func(s *Settings) { s.Heads = 0 }, "Heads"},
		{"no classes", func(s *Settings) { s.Classes = nil }, "Classes"},
		{"no plans", func(s *Settings) { s.Plans = nil }, "Plans"},
		{"no aim", func(s *Settings) { s.Classes[1].Aim = 0 }, "Classes[1].Aim"},
		{"negative weight", func(s *Settings) { s.Plans[0].Weight = -1 }, "Plans[0]"},
		{"negative cold units", func(s *Settings) { s.ColdUnits = -1 }, "ColdUnits"},
		{"budget over no time", func(s *Settings) { s.Budget = true }, "BudgetOver"},
		{"zero weights", func(s *Settings) { s.Plans[0].Weight = 0 }, ""},
		{"no attempts told", func(s *Settings) { s.MaxAttempts = 0 }, ""},
		{"no unit figures", func(s *Settings) { s.MostUnits, s.MeanUnits = 0, 0 }, ""},
		{"cold without units", func(s *Settings) { s.Cold, s.FallWindow = time.Second, time.Second }, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := site(c.change)
			_, err := New(s, 1, 0)
			if c.field == "" {
				r := start(t, s, nodeA)
				acts := append(r.at(0, req(1)), r.end(1, OK)...)
				want(t, "answers", len(answers(acts)), 0)
				want(t, "sent", len(r.sends), 1)
			} else if err == nil || !strings.Contains(err.Error(), c.field) {
				t.Errorf("error %v does not name %s", err, c.field)
			}
		})
	}
}

// bangna-main-later big-1: a timer told as a fraction of a microsecond came early,
// no other was set, and a held request was never answered.
func TestHeldRequestIsAnsweredThoughTimersAreCoarse(t *testing.T) {
	r := start(t, site(), nodeA)
	n := r.h.members.nodes[0]
	var timers []Time
	do := func(acts []Action) {
		for _, a := range acts {
			if w, ok := a.(WakeIn); ok {
				timers = append(timers, r.now+w.In.Truncate(time.Microsecond))
			}
		}
		slices.Sort(timers)
	}
	do(r.at(0, req(1, func(a *Arrival) { a.Left = 100 * ms })))
	do(r.end(1, OK))
	n.window, n.paceJitter, n.sentAt = 0.1, 1, r.now
	n.observed.latency.sum = 0.1 + 1e-7/3 // a gap that ends between microseconds
	do(r.at(0, req(2, func(a *Arrival) { a.Left = 3 * time.Second })))
	for len(timers) > 0 {
		next := timers[0]
		timers = timers[1:]
		acts := r.at(next-r.now, Wake{})
		do(acts)
		if r.tries[2] > 0 || len(answers(acts)) > 0 {
			return
		}
	}
	t.Error("neither sent nor answered, and no timer set")
}

func TestStrangeEventsAreTakenCalmly(t *testing.T) {
	r := start(t, site(), nodeA)
	acts := r.at(0, Ended{ID: 77}, Dropped{ID: 77}, Begun{ID: 77}, Wake{},
		Ended{ID: 1, Outcome: Outcome(99)}, List{Entries: []Entry{{Node: "Z", State: Gone}}})
	want(t, "answers", len(answers(acts)), 0)
	acts = r.at(0, req(1, class(1)), req(1, class(1)))
	want(t, "an arrival told twice: answers", len(answers(acts)), 0)
	want(t, "an arrival told twice: sends", len(r.sends), 1)
}

func TestSameEventsSameActions(t *testing.T) {
	play := func() (all []Action) {
		r := start(t, site(func(s *Settings) { s.Plans[0].Reserve, s.Heads = 5, 3 }), nodeA, nodeB)
		for id := uint64(1); id <= 300; id++ {
			vol := string(rune('a' + id%17))
			all = append(all, r.at(3*ms, req(id, class(int(id%3)), shard(int(id%2)), ofVolume(vol, 0)))...)
			if id%2 == 0 && len(r.sends) > int(id/4) {
				x := r.sends[id/4].ID
				all = append(all, r.end(x, []Outcome{OK, Full, Reset, TimedOut}[id%4])...)
			}
		}
		return append(all, r.wait(12*time.Second)...)
	}
	want(t, "second run", play(), play())
}

// ia9f140: during a rolling release a cold node's budget went to exports and
// excess while reads within reserves waited.
func TestColdBudgetIsKeptForWhatEarnsMost(t *testing.T) {
	s := site(func(s *Settings) {
		s.ColdUnits, s.FallWindow, s.Cold, s.ColdFrom, s.ShareWorth = 12, time.Second, 10*time.Second, 0.25, 0.3
		s.Plans = append(s.Plans, Plan{Weight: 1, Price: 1, Reserve: 50})
	})
	r := start(t, s)
	r.wait(2 * time.Second)
	r.at(0, List{Entries: []Entry{{Node: "A", Shard: 0, Started: r.now}}})
	n := r.h.members.nodes[0]
	n.window = 8
	n.coldBudget.level = n.coldBudget.capacity / 2
	r.at(0, req(1, ofVolume("excess", 0), units(1)), req(10, ofVolume("reserved", 1), units(1)))
	want(t, "sent at half of the budget", r.sent(), []uint64{10})
	n.coldBudget.level = n.coldBudget.capacity
	r.at(20*ms, Wake{})
	want(t, "sent at all of it", r.sent(), []uint64{10, 1})
}

func hosts(n int) func(*Arrival) { return func(a *Arrival) { a.Hosts = n } }

// kandy-main-later big-1: one out per head was a hundred out at a node, whose full
// queue then served nothing for half a minute.
func TestNoAnswerTakesTheWindowToOneForAllHeads(t *testing.T) {
	for _, c := range []struct {
		name    string
		heads   int
		hosts   int
		outcome Outcome
		want    float64
	}{
		{"a lone head keeps one out", 1, 1, TimedOut, 1},
		{"more hosts told than heads", 4, 99, TimedOut, 1.0 / 4},
		{"time-out before many", 100, 10, TimedOut, 1 / (headsPerVolumeHost * 10)},
		{"full before many", 100, 10, Full, 1 / (headsPerVolumeHost * 10)},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := start(t, site(func(s *Settings) { s.Heads = c.heads }), nodeA)
			r.at(0, req(1, hosts(c.hosts)))
			r.end(1, c.outcome)
			want(t, "window", r.h.members.nodes[0].window, c.want)
		})
	}
}

func TestWindowUnderOneIsAGap(t *testing.T) {
	r := start(t, site(func(s *Settings) { s.Classes[0].LateWorth = 1 }), nodeA)
	long := func(a *Arrival) { a.Left = 10 * time.Second }
	r.at(0, req(1, long))
	r.at(100*ms, Ended{ID: 1, Outcome: OK, Closed: true})
	r.h.members.nodes[0].window = 0.2 // with answers of 100 ms a gap of 250 to 750 ms
	r.at(0, req(2, long))
	r.wait(140 * ms) // 240 ms after the first was sent
	want(t, "sent before the gap is over", r.sent(), []uint64{1})
	r.wait(520 * ms)
	want(t, "sent after it", r.sent(), []uint64{1, 2})
}

func TestWindowsOfAllHeadsAreBounded(t *testing.T) {
	for _, c := range []struct {
		heads, hosts int
		want         float64
	}{{1, 1, windowMax}, {4, 2, windowMax}, {100, 8, windowOfAllHeads / 16}, {100, 50, 1}} {
		r := start(t, site(func(s *Settings) { s.Heads = c.heads }), nodeA)
		r.at(0, req(1, hosts(c.hosts)))
		n := r.h.members.nodes[0]
		n.window = 100
		r.h.boundWindow(n)
		if n.window != c.want {
			t.Errorf("%d heads, %d hosts: window %v, want %v", c.heads, c.hosts, n.window, c.want)
		}
	}
}

func TestReserveIsHeldInPartsByHosts(t *testing.T) {
	for _, c := range []struct {
		hosts int
		rate  float64
	}{{1, 8}, {2, 8}, {4, 4}, {16, 1}, {0, 8.0 * reserveShareFactor / 50}, {99, 8.0 * reserveShareFactor / 50}} {
		r := start(t, site(func(s *Settings) { s.Heads, s.Plans[0].Reserve = 50, 8 }), nodeA)
		v := r.h.volumeOf(req(1, hosts(c.hosts)))
		if math.Abs(v.reserve.rate-c.rate) > 1e-9 || v.reserve.level < r.h.settings.MostUnits {
			t.Errorf("%d hosts: rate %v level %v, want rate %v and one largest request", c.hosts, v.reserve.rate,
				v.reserve.level, c.rate)
		}
	}
}

func TestMoreThanThePartOfTheLimitIsRefusedAtOnce(t *testing.T) {
	s := site(func(s *Settings) { s.Heads, s.Plans[0].Limit, s.Plans[0].LimitBurst = 10, 20, 24 })
	r := start(t, s, nodeA)
	want(t, "answer", answers(r.at(0, req(1, hosts(10), units(6)))), map[uint64]string{1: "r"})
	want(t, "what fits waits", answers(r.at(0, req(2, hosts(10), units(2)))), map[uint64]string{})
}

// A report counts half at most; one that is absent or no number, not at all.
func TestReportsAreBounded(t *testing.T) {
	for _, c := range []struct {
		name     string
		says     bool
		reported float64
		took     time.Duration
		lo, hi   float64
	}{
		{"none", false, 0, 110 * ms, 0.45, 0.55},
		{"not a number", true, math.NaN(), 110 * ms, 0.45, 0.55},
		{"infinite", true, math.Inf(1), 110 * ms, 0.45, 0.55},
		{"negative", true, -5, 110 * ms, 0.45, 0.55},
		{"none waiting halves", true, 0, 110 * ms, 0.2, 0.3},
		{"stands at zero while answers are slow", true, 0, 500 * ms, 0.95, 1},
		{"a crowd behind a quick answer", true, 30, 10 * ms, 0.7, 0.8},
		{"absurd", true, 1e12, 10 * ms, 1, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := start(t, site(), nodeA)
			r.h.estimates.unitTime = 0.005
			n := r.h.members.nodes[0]
			a := &attempt{request: &request{Arrival: req(1), class: &r.h.settings.Classes[0]}, node: n, sentAt: r.now - c.took}
			r.h.observe(n, a, Ended{Outcome: OK, Reports: c.says, Reported: c.reported})
			r.h.estimate(n)
			if n.pressure < c.lo-0.01 || n.pressure > c.hi+0.01 {
				t.Errorf("pressure %.3f, want %.2f to %.2f", n.pressure, c.lo, c.hi)
			}
		})
	}
}

// bangna-main-later big-1: seven hung nodes made every head stand back everywhere.
func TestASickNodeTellsOfItselfAlone(t *testing.T) {
	r := start(t, site(), nodeA, nodeB)
	for id := uint64(1); id <= 6; id++ {
		r.at(50*ms, req(id, shard(0)))
		if r.tries[id] > 0 {
			r.end(id, TimedOut)
		}
	}
	r.h.estimate(r.h.members.nodes[0])
	r.h.estimate(r.h.members.nodes[1])
	if a, b := r.h.members.nodes[0].pressure, r.h.members.nodes[1].pressure; a < 0.9 || b > 0.1 {
		t.Errorf("pressure %.2f at the sick node, %.2f at the other", a, b)
	}
}

// All heads of a volume together try a crowded node at the pace of one.
func TestPressureFadesSlowerWithMoreHosts(t *testing.T) {
	r := start(t, site(func(s *Settings) { s.Heads, s.ShareWorth = 100, 0.3 }), nodeA)
	n := r.h.members.nodes[0]
	for _, c := range []struct {
		hosts int
		after time.Duration
		want  bool // still stands back
	}{{1, 200 * ms, true}, {1, time.Second, false}, {20, time.Second, true}, {20, 25 * time.Second, false}} {
		v := r.h.volumeOf(req(1, hosts(c.hosts)))
		q := &profile{class: &r.h.settings.Classes[0], plan: v.plan, hosts: v.hosts, excess: true}
		n.pressure, n.heardAt = 0.9, r.now-c.after
		if got := r.h.standsBack(candidate{node: n, profile: q}); got != c.want {
			t.Errorf("%d hosts after %v: stands back %v, want %v", c.hosts, c.after, got, c.want)
		}
	}
}

// bangna-main-later: all heads sent new objects to the first of the nodes alike.
func TestNewObjectsOfManyHeadsAreSpread(t *testing.T) {
	var nodes []Entry
	for i := range 10 {
		nodes = append(nodes, Entry{Node: string(rune('a' + i)), Shard: i})
	}
	took := map[string]int{}
	for seed := uint64(1); seed <= 40; seed++ {
		h, err := New(site(), seed, 0)
		if err != nil {
			t.Fatal(err)
		}
		for _, a := range h.Handle(0, []Event{List{Full: true, Entries: nodes}, req(1, shard(-1))}) {
			if s, ok := a.(Send); ok {
				took[s.Node]++
			}
		}
	}
	for node, k := range took {
		if k > 12 {
			t.Errorf("node %s takes %d of 40 first objects", node, k)
		}
	}
	if len(took) < 7 {
		t.Errorf("%d nodes of 10 are used", len(took))
	}
}

// What cannot be sent again gets its final answer at once: a refusal where the
// attempt is known not to have run, else what its class allows.
func TestSpentRequestIsNotSentAgain(t *testing.T) {
	for _, c := range []struct {
		effect  Effect
		outcome Outcome
		refused bool
	}{{Unsafe, Full, true}, {Unsafe, Reset, false}, {Safe, Reset, true}} {
		h, err := New(Settings{Heads: 1, Classes: []Class{{Aim: 100 * time.Millisecond, Effect: c.effect, Worth: 1}},
			Plans: []Plan{{Weight: 1, Price: 1}}}, 1, 0)
		if err != nil {
			t.Fatal(err)
		}
		h.Handle(0, []Event{List{Full: true, Entries: []Entry{{Node: "a"}}},
			Arrival{ID: 1, Volume: "v", Left: time.Second, Units: 1, Hosts: 1}})
		acts := h.Handle(time.Millisecond, []Event{Ended{ID: 1, Node: "a", Outcome: c.outcome, Spent: true}})
		var refused, failed bool
		for _, a := range acts {
			switch a.(type) {
			case Send:
				t.Errorf("%+v: sent again", c)
			case Refuse:
				refused = true
			case Fail:
				failed = true
			}
		}
		if refused != c.refused || failed == c.refused {
			t.Errorf("%+v: refused %v, failed %v", c, refused, failed)
		}
	}
}

// A node whose only attempt timed out is tried again, though what is held of it
// says that no answer can be in time.
func TestNodeIsTriedAfterItsOnlyTimeOut(t *testing.T) {
	h, err := New(Settings{Heads: 1, Classes: []Class{{Aim: 300 * time.Millisecond, Effect: Unsafe, Worth: 1, LateWorth: 0.5}},
		Plans: []Plan{{Weight: 1, Price: 1, Reserve: 100}}}, 1, 0)
	if err != nil {
		t.Fatal(err)
	}
	h.Handle(0, []Event{List{Full: true, Entries: []Entry{{Node: "a"}}},
		Arrival{ID: 1, Volume: "v", Left: 1500 * time.Millisecond, Units: 1, Hosts: 1}})
	now := 1500 * time.Millisecond
	h.Handle(now, []Event{Ended{ID: 1, Node: "a", Outcome: TimedOut, Took: now}})
	for id := uint64(2); id < 6; id++ {
		acts := h.Handle(now, []Event{Arrival{ID: id, Volume: "v", Left: 1400 * time.Millisecond, Units: 1, Hosts: 1}})
		for end := now + 1600*time.Millisecond; now < end; now += 10 * time.Millisecond {
			for _, a := range acts {
				if _, ok := a.(Send); ok {
					return
				}
			}
			acts = h.Handle(now, []Event{Wake{}})
		}
	}
	t.Error("the node is never tried again")
}

// A request that others went before is told of it at half of its time; one at a node
// that sends rarely keeps all of it, and so does one that a node had already.
func TestOvertakenRequestIsRefusedAtHalfOfItsTime(t *testing.T) {
	late := func(overtakers int) time.Duration {
		r := start(t, site(func(s *Settings) {
			s.Plans = append(s.Plans, Plan{Name: "limited", Weight: 1, Price: 1, Limit: 0.001, LimitBurst: 10})
		}), Entry{Node: "n0"})
		came := r.now
		r.at(0, Arrival{ID: 9, Class: 1, Plan: 1, Volume: "v", Left: 2 * time.Second, Units: 1}) // its limit holds it
		for i := range overtakers {
			id := uint64(20 + i)
			r.at(0, Arrival{ID: id, Volume: "w", Left: 5 * time.Second, Units: 1})
			r.end(id, OK)
		}
		for r.now < came+3*time.Second {
			if answers(r.at(5*ms, Wake{}))[9] == "r" {
				return r.now - came
			}
		}
		return 0
	}
	if at := late(2); at < 950*ms || at > time.Second {
		t.Errorf("overtaken by two it was refused after %v, want just before 1s", at)
	}
	if at := late(0); at < 1950*ms || at > 2*time.Second {
		t.Errorf("overtaken by none it was refused after %v, want just before 2s", at)
	}
}

// A client's marked repeat has its aim counted from the first try: what is late already
// does not go before what can still be in time.
func TestRepeatAimsFromItsFirstTry(t *testing.T) {
	for _, again := range []bool{false, true} {
		r := start(t, site(func(s *Settings) { s.Classes[0].Deadline = time.Second }), Entry{Node: "n0"})
		for id := uint64(1); id <= 2; id++ {
			r.at(0, Arrival{ID: id, Volume: "x", Left: time.Second, Units: 1})
		}
		r.at(0, Arrival{ID: 3, Volume: "v", Left: 600 * ms, Units: 1, Again: again})
		r.at(0, Arrival{ID: 4, Volume: "w", Left: time.Second, Units: 1})
		r.at(20*ms, Ended{ID: 1, Outcome: OK, Closed: true})
		want := []uint64{1, 2, 3}
		if again {
			want[2] = 4
		}
		if got := r.sent(); len(got) < 3 || !slices.Equal(got[:3], want) {
			t.Errorf("again %v: sent %v, want %v first", again, got, want)
		}
	}
}

// Nodes that were replaced leave nothing behind.
func TestNodesThatAreGoneAreForgotten(t *testing.T) {
	r := start(t, site())
	for i := range 5000 {
		name := "n" + strconv.Itoa(i)
		r.at(ms, List{Entries: []Entry{{Node: name}}})
		r.at(0, Arrival{ID: uint64(i + 1), Volume: "v" + strconv.Itoa(i), Left: time.Second, Units: 1})
		r.end(uint64(i+1), OK)
		r.at(0, List{Entries: []Entry{{Node: name, State: Gone}}})
	}
	if n := len(r.h.members.nodes); n > 1 {
		t.Errorf("%d nodes are held, want those of the list alone", n)
	}
	r.wait(20 * time.Second)
	if n := len(r.h.volumes) + len(r.h.attempts) + len(r.h.requests); n > 0 {
		t.Errorf("%d volumes, attempts and requests are held", n)
	}
}

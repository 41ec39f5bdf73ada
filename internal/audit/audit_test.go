package audit

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"maddergap/internal/config"
	"maddergap/internal/fakenode"
	"maddergap/scheduler"
)

func testConfig(t *testing.T) *config.Config {
	t.Helper()
	c, err := config.Parse("t", []byte(`listen 127.0.0.1:0
nodes n
heads 2
class read effect safe aim 100ms deadline 1s worth 2 late 0.5
class write effect unsafe aim 100ms deadline 1s
class once effect keyed window 2s aim 100ms deadline 5s
class log effect unsafe aim 100ms deadline 1s ordered yes
plan p rate 1 limit 10 burst 10
plan free rate 1
volume v plan p shards 0
volume w plan free shards 0
budget free 1 share 0.1 over 1s
units bytes 1k most 4
route * class read
`))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

const second = int64(1e6)

func trace(i int) string { return fmt.Sprintf("%032x", i) }

func attempt(i int, node string, in int64, e fakenode.Entry) fakenode.Entry {
	e.Traceparent, e.Node, e.ReceivedAt = "00-"+trace(i)+"-0000000000000001-00", node, in
	return e
}

func client(i, class int, c RequestRecord) RequestRecord {
	c.TraceID, c.Class = trace(i), class
	if c.Volume == "" {
		c.Volume = "w"
	}
	if c.SentAt == 0 {
		c.SentAt = second
	}
	if c.Deadline == 0 {
		c.Deadline = c.SentAt + second
	}
	if c.Responses == 1 && c.RespondedAt == 0 {
		c.RespondedAt = c.SentAt + second/10
	}
	return c
}

// Each way to break a rule is found, and nothing else with it.
func TestEachRule(t *testing.T) {
	fine := client(1, 0, RequestRecord{Responses: 1, Status: 200, Units: 1})
	at := second + 1000
	ran := fakenode.Entry{ExecutedAt: at + 10, RespondedAt: at + 20, Status: 200, Units: 1}
	full := fakenode.Entry{Status: 503, RespondedAt: at + 10}
	for _, c := range []struct {
		name    string
		clients []RequestRecord
		nodes   []fakenode.Entry
		change  func(*Input)
		want    []int
	}{
		{"all well", []RequestRecord{fine}, []fakenode.Entry{attempt(1, "n", at, ran)}, nil, nil},
		{"no answer", []RequestRecord{client(1, 0, RequestRecord{ConnectionLostAt: 3 * second})}, nil, nil, []int{1}},
		{"no answer of a killed head", []RequestRecord{client(1, 0, RequestRecord{ConnectionLostAt: 3 * second})}, nil,
			func(in *Input) { in.Outages = []Interval{{"0", 2 * second, 4 * second}} }, nil},
		{"no answer of the other head", []RequestRecord{client(1, 0, RequestRecord{ConnectionLostAt: 3 * second})}, nil,
			func(in *Input) { in.Outages = []Interval{{"1", 2 * second, 4 * second}} }, []int{1}},
		{"gave up", []RequestRecord{client(1, 0, RequestRecord{DisconnectedAt: 2 * second})}, nil, nil, nil},
		{"two answers", []RequestRecord{client(1, 0, RequestRecord{Responses: 2, Status: 200, RespondedAt: at})}, nil, nil, []int{1}},
		{"late", []RequestRecord{client(1, 0, RequestRecord{Responses: 1, Status: 200, RespondedAt: 3 * second})}, nil, nil, []int{1}},
		{"sent after the answer", []RequestRecord{fine}, []fakenode.Entry{attempt(1, "n", 2*second, ran)}, nil, []int{1}},
		{"belongs to nobody", []RequestRecord{fine}, []fakenode.Entry{attempt(9, "n", at, ran)}, nil, []int{1}},
		{"safe twice", []RequestRecord{fine}, []fakenode.Entry{attempt(1, "n", at, ran), attempt(1, "n", at+1, ran)}, nil, nil},
		{"unsafe twice", []RequestRecord{client(1, 1, RequestRecord{Responses: 1, Status: 200})},
			[]fakenode.Entry{attempt(1, "n", at, ran), attempt(1, "m", at+1, ran)}, nil, []int{2}},
		{"unsafe again though it may run", []RequestRecord{client(1, 1, RequestRecord{Responses: 1, Status: 200})},
			[]fakenode.Entry{attempt(1, "n", at, fakenode.Entry{}), attempt(1, "m", at+1, ran)}, nil, []int{2}},
		{"unsafe again after full", []RequestRecord{client(1, 1, RequestRecord{Responses: 1, Status: 200})},
			[]fakenode.Entry{attempt(1, "n", at, full), attempt(1, "m", at+1, ran)}, nil, nil},
		{"refused, but ran", []RequestRecord{client(1, 1, RequestRecord{Responses: 1, Status: 503})}, []fakenode.Entry{attempt(1, "n", at, ran)}, nil, []int{2}},
		{"failed, and ran", []RequestRecord{client(1, 1, RequestRecord{Responses: 1, Status: 504})}, []fakenode.Entry{attempt(1, "n", at, ran)}, nil, nil},
		{"keyed in its window", []RequestRecord{client(1, 2, RequestRecord{Responses: 1, Status: 200, Deadline: 9 * second, RespondedAt: 4 * second})},
			[]fakenode.Entry{attempt(1, "n", at, fakenode.Entry{}), attempt(1, "n", at+second, ran)}, nil, nil},
		{"keyed past its window", []RequestRecord{client(1, 2, RequestRecord{Responses: 1, Status: 200, Deadline: 9 * second, RespondedAt: 5 * second})},
			[]fakenode.Entry{attempt(1, "n", at, fakenode.Entry{}), attempt(1, "n", at+3*second, ran)}, nil, []int{2}},
		{"drained in its grace", []RequestRecord{fine}, []fakenode.Entry{attempt(1, "n", at, ran)},
			func(in *Input) { in.Drains = []Interval{{"n", at - second/4, 0}} }, nil},
		{"drained past its grace", []RequestRecord{fine}, []fakenode.Entry{attempt(1, "n", at, ran)},
			func(in *Input) { in.Drains = []Interval{{"n", at - second, 0}} }, []int{3}},
		{"another drained", []RequestRecord{fine}, []fakenode.Entry{attempt(1, "n", at, ran)},
			func(in *Input) { in.Drains = []Interval{{"m", at - second, 0}} }, nil},
		{"fell", []RequestRecord{fine}, []fakenode.Entry{attempt(1, "n", at, fakenode.Entry{Overloaded: true, Status: 200, RespondedAt: at})}, nil, []int{4}},
		{"in turn", []RequestRecord{client(1, 3, RequestRecord{Responses: 1, Status: 200, OrderKey: "k"}), client(2, 3, RequestRecord{SentAt: second + 5, Responses: 1, Status: 200, OrderKey: "k"})},
			[]fakenode.Entry{attempt(1, "n", at, ran), attempt(2, "n", at+30, ran)}, nil, nil},
		{"beside another", []RequestRecord{client(1, 3, RequestRecord{Responses: 1, Status: 200, OrderKey: "k"}), client(2, 3, RequestRecord{Responses: 1, Status: 200, OrderKey: "k"})},
			[]fakenode.Entry{attempt(1, "n", at, fakenode.Entry{RespondedAt: at + second/2, Status: 200}), attempt(2, "n", at+30, ran)}, nil, []int{5}},
		{"out of turn", []RequestRecord{client(1, 3, RequestRecord{Responses: 1, Status: 200, OrderKey: "k"}),
			client(2, 3, RequestRecord{SentAt: 2 * second, Responses: 1, Status: 200, OrderKey: "k", RespondedAt: 2*second + 9})},
			[]fakenode.Entry{attempt(1, "n", 2*second, fakenode.Entry{RespondedAt: 2*second + 10, Status: 200}), attempt(2, "n", 2*second-5, fakenode.Entry{RespondedAt: 2*second - 1})},
			func(in *Input) { in.Requests[0].RespondedAt, in.Requests[0].Deadline = 2*second+10, 3*second }, []int{5}},
		{"other keys", []RequestRecord{client(1, 3, RequestRecord{Responses: 1, Status: 200, OrderKey: "k"}), client(2, 3, RequestRecord{Responses: 1, Status: 200, OrderKey: "j"})},
			[]fakenode.Entry{attempt(1, "n", at, fakenode.Entry{RespondedAt: at + second/2}), attempt(2, "n", at+30, ran)}, nil, nil},
		{"budget", []RequestRecord{fine}, []fakenode.Entry{attempt(1, "n", at, ran), attempt(1, "n", at+1, ran), attempt(1, "n", at+2, ran)}, nil, []int{6}},
		{"within the limit", []RequestRecord{client(1, 0, RequestRecord{Volume: "v", Units: 10, Responses: 1, Status: 200})}, []fakenode.Entry{attempt(1, "n", at, ran)}, nil, nil},
		{"over the limit", []RequestRecord{client(1, 0, RequestRecord{Volume: "v", Units: 10, Responses: 1, Status: 200}),
			client(2, 0, RequestRecord{Volume: "v", Units: 10, Responses: 1, Status: 200})},
			[]fakenode.Entry{attempt(1, "n", at, ran), attempt(2, "n", at+1, ran)}, nil, []int{7}},
	} {
		in := Input{Config: testConfig(t), Requests: c.clients, Attempts: c.nodes, DrainGrace: 500 * time.Millisecond,
			ClockTolerance: 20 * time.Millisecond, LateTolerance: 50 * time.Millisecond, SlowStart: SlowStart{Capacity: 10, InitialFraction: 0.2, WarmupDuration: time.Second, OverloadFactor: 2, OverloadWindow: time.Second}}
		if c.change != nil {
			c.change(&in)
		}
		r := Judge(in)
		if got := r.ViolatedRules(); !slices.Equal(got, c.want) {
			t.Errorf("%s: rules %v are broken, want %v", c.name, got, c.want)
		}
		var text strings.Builder
		if r.Write(&text); strings.Contains(text.String(), "BROKEN") == r.Passed() {
			t.Errorf("%s: the report says otherwise: %s", c.name, text.String())
		}
	}
}

func TestWorth(t *testing.T) {
	r := Judge(Input{Config: testConfig(t), Requests: []RequestRecord{
		client(1, 0, RequestRecord{Responses: 1, Status: 200, Units: 2, RespondedAt: second + 50_000}),
		client(2, 0, RequestRecord{Responses: 1, Status: 200, Units: 1, RespondedAt: second + 500_000}),
		client(3, 1, RequestRecord{Responses: 1, Status: 503, Units: 1}),
	}, LateTolerance: time.Second})
	if r.OfferedWeight != 2*2+2+1 || r.EarnedWeight != 4+1 || r.MissedObjective != 1 || r.Rejected != 1 || r.LatencyQuantile(1) != 500*time.Millisecond {
		t.Errorf("%+v", r)
	}
}

// What is judged where clients leave, heads are notified apart, and cold nodes bear requests of
// a mean work: each case breaks its rule once, its neighbour does not.
func TestPlatformRules(t *testing.T) {
	const start = int64(1_000_000_000)
	ms := func(n int64) int64 { return start + n*1000 }
	config := &config.Config{Scheduler: scheduler.Settings{Classes: []scheduler.Class{{Name: "read", Effect: scheduler.Safe}}, Plans: []scheduler.Plan{{}}},
		Volumes: []config.Volume{{Name: "v"}}}
	base := func() Input {
		return Input{Config: config, DrainGrace: 500 * time.Millisecond, DisconnectGrace: 100 * time.Millisecond, TimeoutTolerance: 150 * time.Millisecond,
			ClockTolerance: 10 * time.Millisecond,
			SlowStart:      SlowStart{MeanUnits: 1, MinUnits: 4, Capacity: 10, InitialFraction: 0.5, WarmupDuration: 10 * time.Second, OverloadFactor: 1, OverloadWindow: time.Second}}
	}
	answered := RequestRecord{TraceID: "a", Volume: "v", SentAt: ms(0), Deadline: ms(1000), RespondedAt: ms(900), Responses: 1, Status: 200, Units: 1}
	left := RequestRecord{TraceID: "a", Volume: "v", SentAt: ms(0), Deadline: ms(1000), DisconnectedAt: ms(100), Units: 1}
	sent := func(at int64) fakenode.Entry {
		return fakenode.Entry{Node: "n", Traceparent: "a", ReceivedAt: ms(at), ExecutedAt: ms(at + 1), RespondedAt: ms(at + 2), Status: 200, Units: 1}
	}
	cases := []struct {
		name   string
		change func(in *Input)
		broken []int
	}{
		{"begins as its client leaves", func(in *Input) { in.Requests, in.Attempts = []RequestRecord{left}, []fakenode.Entry{sent(205)} }, nil},
		{"begins for a client that left", func(in *Input) { in.Requests, in.Attempts = []RequestRecord{left}, []fakenode.Entry{sent(215)} }, []int{1}},
		{"tells what is left", func(in *Input) {
			e := sent(500)
			e.Timeout = 650_000
			in.Requests, in.Attempts = []RequestRecord{answered}, []fakenode.Entry{e}
		}, nil},
		{"tells more than is left", func(in *Input) {
			e := sent(500)
			e.Timeout = 670_000
			in.Requests, in.Attempts = []RequestRecord{answered}, []fakenode.Entry{e}
		}, []int{1}},
		{"within the grace", func(in *Input) {
			in.Requests, in.Attempts = []RequestRecord{answered}, []fakenode.Entry{sent(505)}
			in.DrainNotices = []Notice{{Instance: 0, Node: "n", From: ms(0)}}
		}, nil},
		{"after the grace", func(in *Input) {
			in.Requests, in.Attempts = []RequestRecord{answered}, []fakenode.Entry{sent(515)}
			in.DrainNotices = []Notice{{Instance: 0, Node: "n", From: ms(0)}}
		}, []int{3}},
		{"another head was notified", func(in *Input) {
			in.Requests, in.Attempts = []RequestRecord{answered}, []fakenode.Entry{sent(515)}
			in.DrainNotices = []Notice{{Instance: 1, Node: "n", From: ms(0)}}
		}, nil},
		{"it serves again", func(in *Input) {
			in.Requests, in.Attempts = []RequestRecord{answered}, []fakenode.Entry{sent(700)}
			in.DrainNotices = []Notice{{Instance: 0, Node: "n", From: ms(0), To: ms(600)}}
		}, nil},
		{"a cold node at its bound", func(in *Input) { in.crowd(answered, sent, 14) }, nil},
		{"a cold node past its bound", func(in *Input) { in.crowd(answered, sent, 18) }, []int{4}},
		{"by heads that were told", func(in *Input) {
			in.crowd(answered, sent, 18)
			in.StartNotices = []Notice{{Instance: 0, Node: "n", From: ms(50)}}
		}, []int{4}},
		{"by heads that were not told", func(in *Input) {
			in.crowd(answered, sent, 18)
			in.StartNotices = []Notice{{Instance: 1, Node: "n", From: ms(50)}}
		}, nil},
	}
	for _, c := range cases {
		in := base()
		c.change(&in)
		if got := Judge(in).ViolatedRules(); fmt.Sprint(got) != fmt.Sprint(c.broken) {
			t.Errorf("%s: broke %v, want %v", c.name, got, c.broken)
		}
	}
}

// crowd sends a node so many requests right after its start.
func (in *Input) crowd(client RequestRecord, sent func(int64) fakenode.Entry, size int) {
	in.NodeStarts = []Interval{{Name: "n", From: sent(0).ReceivedAt}}
	for i := range size {
		c, e := client, sent(100)
		c.TraceID = fmt.Sprint("c", i)
		e.Traceparent = c.TraceID
		in.Requests, in.Attempts = append(in.Requests, c), append(in.Attempts, e)
	}
}

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
	e.Trace, e.Node, e.In = "00-"+trace(i)+"-0000000000000001-00", node, in
	return e
}

func client(i, class int, c Client) Client {
	c.Trace, c.Class = trace(i), class
	if c.Volume == "" {
		c.Volume = "w"
	}
	if c.Sent == 0 {
		c.Sent = second
	}
	if c.Deadline == 0 {
		c.Deadline = c.Sent + second
	}
	if c.Answers == 1 && c.Answered == 0 {
		c.Answered = c.Sent + second/10
	}
	return c
}

// Each way to break a rule is found, and nothing else with it.
func TestEachRule(t *testing.T) {
	fine := client(1, 0, Client{Answers: 1, Status: 200, Units: 1})
	at := second + 1000
	ran := fakenode.Entry{Ran: at + 10, Out: at + 20, Status: 200, Units: 1}
	full := fakenode.Entry{Status: 503, Out: at + 10}
	for _, c := range []struct {
		name    string
		clients []Client
		nodes   []fakenode.Entry
		change  func(*Input)
		want    []int
	}{
		{"all well", []Client{fine}, []fakenode.Entry{attempt(1, "n", at, ran)}, nil, nil},
		{"no answer", []Client{client(1, 0, Client{Lost: 3 * second})}, nil, nil, []int{1}},
		{"no answer of a killed head", []Client{client(1, 0, Client{Lost: 3 * second})}, nil,
			func(in *Input) { in.Down = []Span{{"0", 2 * second, 4 * second}} }, nil},
		{"no answer of the other head", []Client{client(1, 0, Client{Lost: 3 * second})}, nil,
			func(in *Input) { in.Down = []Span{{"1", 2 * second, 4 * second}} }, []int{1}},
		{"gave up", []Client{client(1, 0, Client{GaveUp: 2 * second})}, nil, nil, nil},
		{"two answers", []Client{client(1, 0, Client{Answers: 2, Status: 200, Answered: at})}, nil, nil, []int{1}},
		{"late", []Client{client(1, 0, Client{Answers: 1, Status: 200, Answered: 3 * second})}, nil, nil, []int{1}},
		{"sent after the answer", []Client{fine}, []fakenode.Entry{attempt(1, "n", 2*second, ran)}, nil, []int{1}},
		{"belongs to nobody", []Client{fine}, []fakenode.Entry{attempt(9, "n", at, ran)}, nil, []int{1}},
		{"safe twice", []Client{fine}, []fakenode.Entry{attempt(1, "n", at, ran), attempt(1, "n", at+1, ran)}, nil, nil},
		{"unsafe twice", []Client{client(1, 1, Client{Answers: 1, Status: 200})},
			[]fakenode.Entry{attempt(1, "n", at, ran), attempt(1, "m", at+1, ran)}, nil, []int{2}},
		{"unsafe again though it may run", []Client{client(1, 1, Client{Answers: 1, Status: 200})},
			[]fakenode.Entry{attempt(1, "n", at, fakenode.Entry{}), attempt(1, "m", at+1, ran)}, nil, []int{2}},
		{"unsafe again after full", []Client{client(1, 1, Client{Answers: 1, Status: 200})},
			[]fakenode.Entry{attempt(1, "n", at, full), attempt(1, "m", at+1, ran)}, nil, nil},
		{"refused, but ran", []Client{client(1, 1, Client{Answers: 1, Status: 503})}, []fakenode.Entry{attempt(1, "n", at, ran)}, nil, []int{2}},
		{"failed, and ran", []Client{client(1, 1, Client{Answers: 1, Status: 504})}, []fakenode.Entry{attempt(1, "n", at, ran)}, nil, nil},
		{"keyed in its window", []Client{client(1, 2, Client{Answers: 1, Status: 200, Deadline: 9 * second, Answered: 4 * second})},
			[]fakenode.Entry{attempt(1, "n", at, fakenode.Entry{}), attempt(1, "n", at+second, ran)}, nil, nil},
		{"keyed past its window", []Client{client(1, 2, Client{Answers: 1, Status: 200, Deadline: 9 * second, Answered: 5 * second})},
			[]fakenode.Entry{attempt(1, "n", at, fakenode.Entry{}), attempt(1, "n", at+3*second, ran)}, nil, []int{2}},
		{"drained in its grace", []Client{fine}, []fakenode.Entry{attempt(1, "n", at, ran)},
			func(in *Input) { in.Drains = []Span{{"n", at - second/4, 0}} }, nil},
		{"drained past its grace", []Client{fine}, []fakenode.Entry{attempt(1, "n", at, ran)},
			func(in *Input) { in.Drains = []Span{{"n", at - second, 0}} }, []int{3}},
		{"another drained", []Client{fine}, []fakenode.Entry{attempt(1, "n", at, ran)},
			func(in *Input) { in.Drains = []Span{{"m", at - second, 0}} }, nil},
		{"fell", []Client{fine}, []fakenode.Entry{attempt(1, "n", at, fakenode.Entry{Fell: true, Status: 200, Out: at})}, nil, []int{4}},
		{"in turn", []Client{client(1, 3, Client{Answers: 1, Status: 200, Key: "k"}), client(2, 3, Client{Sent: second + 5, Answers: 1, Status: 200, Key: "k"})},
			[]fakenode.Entry{attempt(1, "n", at, ran), attempt(2, "n", at+30, ran)}, nil, nil},
		{"beside another", []Client{client(1, 3, Client{Answers: 1, Status: 200, Key: "k"}), client(2, 3, Client{Answers: 1, Status: 200, Key: "k"})},
			[]fakenode.Entry{attempt(1, "n", at, fakenode.Entry{Out: at + second/2, Status: 200}), attempt(2, "n", at+30, ran)}, nil, []int{5}},
		{"out of turn", []Client{client(1, 3, Client{Answers: 1, Status: 200, Key: "k"}),
			client(2, 3, Client{Sent: 2 * second, Answers: 1, Status: 200, Key: "k", Answered: 2*second + 9})},
			[]fakenode.Entry{attempt(1, "n", 2*second, fakenode.Entry{Out: 2*second + 10, Status: 200}), attempt(2, "n", 2*second-5, fakenode.Entry{Out: 2*second - 1})},
			func(in *Input) { in.Clients[0].Answered, in.Clients[0].Deadline = 2*second+10, 3*second }, []int{5}},
		{"other keys", []Client{client(1, 3, Client{Answers: 1, Status: 200, Key: "k"}), client(2, 3, Client{Answers: 1, Status: 200, Key: "j"})},
			[]fakenode.Entry{attempt(1, "n", at, fakenode.Entry{Out: at + second/2}), attempt(2, "n", at+30, ran)}, nil, nil},
		{"budget", []Client{fine}, []fakenode.Entry{attempt(1, "n", at, ran), attempt(1, "n", at+1, ran), attempt(1, "n", at+2, ran)}, nil, []int{6}},
		{"within the limit", []Client{client(1, 0, Client{Volume: "v", Units: 10, Answers: 1, Status: 200})}, []fakenode.Entry{attempt(1, "n", at, ran)}, nil, nil},
		{"over the limit", []Client{client(1, 0, Client{Volume: "v", Units: 10, Answers: 1, Status: 200}),
			client(2, 0, Client{Volume: "v", Units: 10, Answers: 1, Status: 200})},
			[]fakenode.Entry{attempt(1, "n", at, ran), attempt(2, "n", at+1, ran)}, nil, []int{7}},
	} {
		in := Input{Config: testConfig(t), Clients: c.clients, Nodes: c.nodes, Grace: 500 * time.Millisecond,
			Blur: 20 * time.Millisecond, Late: 50 * time.Millisecond, Cold: Cold{Rate: 10, From: 0.2, For: time.Second, Multiple: 2, Window: time.Second}}
		if c.change != nil {
			c.change(&in)
		}
		r := Judge(in)
		if got := r.BrokenRules(); !slices.Equal(got, c.want) {
			t.Errorf("%s: rules %v are broken, want %v", c.name, got, c.want)
		}
		var text strings.Builder
		if r.Write(&text); strings.Contains(text.String(), "BROKEN") == r.Good() {
			t.Errorf("%s: the report says otherwise: %s", c.name, text.String())
		}
	}
}

func TestWorth(t *testing.T) {
	r := Judge(Input{Config: testConfig(t), Clients: []Client{
		client(1, 0, Client{Answers: 1, Status: 200, Units: 2, Answered: second + 50_000}),
		client(2, 0, Client{Answers: 1, Status: 200, Units: 1, Answered: second + 500_000}),
		client(3, 1, Client{Answers: 1, Status: 503, Units: 1}),
	}, Late: time.Second})
	if r.Due != 2*2+2+1 || r.Earned != 4+1 || r.Late != 1 || r.Refused != 1 || r.Quantile(1) != 500*time.Millisecond {
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
		return Input{Config: config, Grace: 500 * time.Millisecond, CancelGrace: 100 * time.Millisecond, ToldSlack: 150 * time.Millisecond,
			Blur: 10 * time.Millisecond,
			Cold: Cold{Mean: 1, Units: 4, Rate: 10, From: 0.5, For: 10 * time.Second, Multiple: 1, Window: time.Second}}
	}
	answered := Client{Trace: "a", Volume: "v", Sent: ms(0), Deadline: ms(1000), Answered: ms(900), Answers: 1, Status: 200, Units: 1}
	left := Client{Trace: "a", Volume: "v", Sent: ms(0), Deadline: ms(1000), GaveUp: ms(100), Units: 1}
	sent := func(at int64) fakenode.Entry {
		return fakenode.Entry{Node: "n", Trace: "a", In: ms(at), Ran: ms(at + 1), Out: ms(at + 2), Status: 200, Units: 1}
	}
	cases := []struct {
		name   string
		change func(in *Input)
		broken []int
	}{
		{"begins as its client leaves", func(in *Input) { in.Clients, in.Nodes = []Client{left}, []fakenode.Entry{sent(205)} }, nil},
		{"begins for a client that left", func(in *Input) { in.Clients, in.Nodes = []Client{left}, []fakenode.Entry{sent(215)} }, []int{1}},
		{"tells what is left", func(in *Input) {
			e := sent(500)
			e.Told = 650_000
			in.Clients, in.Nodes = []Client{answered}, []fakenode.Entry{e}
		}, nil},
		{"tells more than is left", func(in *Input) {
			e := sent(500)
			e.Told = 670_000
			in.Clients, in.Nodes = []Client{answered}, []fakenode.Entry{e}
		}, []int{1}},
		{"within the grace", func(in *Input) {
			in.Clients, in.Nodes = []Client{answered}, []fakenode.Entry{sent(505)}
			in.Notices = []Notice{{Head: 0, Node: "n", From: ms(0)}}
		}, nil},
		{"after the grace", func(in *Input) {
			in.Clients, in.Nodes = []Client{answered}, []fakenode.Entry{sent(515)}
			in.Notices = []Notice{{Head: 0, Node: "n", From: ms(0)}}
		}, []int{3}},
		{"another head was notified", func(in *Input) {
			in.Clients, in.Nodes = []Client{answered}, []fakenode.Entry{sent(515)}
			in.Notices = []Notice{{Head: 1, Node: "n", From: ms(0)}}
		}, nil},
		{"it serves again", func(in *Input) {
			in.Clients, in.Nodes = []Client{answered}, []fakenode.Entry{sent(700)}
			in.Notices = []Notice{{Head: 0, Node: "n", From: ms(0), To: ms(600)}}
		}, nil},
		{"a cold node at its bound", func(in *Input) { in.crowd(answered, sent, 14) }, nil},
		{"a cold node past its bound", func(in *Input) { in.crowd(answered, sent, 18) }, []int{4}},
		{"by heads that were told", func(in *Input) {
			in.crowd(answered, sent, 18)
			in.Told = []Notice{{Head: 0, Node: "n", From: ms(50)}}
		}, []int{4}},
		{"by heads that were not told", func(in *Input) {
			in.crowd(answered, sent, 18)
			in.Told = []Notice{{Head: 1, Node: "n", From: ms(50)}}
		}, nil},
	}
	for _, c := range cases {
		in := base()
		c.change(&in)
		if got := Judge(in).BrokenRules(); fmt.Sprint(got) != fmt.Sprint(c.broken) {
			t.Errorf("%s: broke %v, want %v", c.name, got, c.broken)
		}
	}
}

// crowd sends a node so many requests right after its start.
func (in *Input) crowd(client Client, sent func(int64) fakenode.Entry, size int) {
	in.Starts = []Span{{Name: "n", From: sent(0).In}}
	for i := range size {
		c, e := client, sent(100)
		c.Trace = fmt.Sprint("c", i)
		e.Trace = c.Trace
		in.Clients, in.Nodes = append(in.Clients, c), append(in.Nodes, e)
	}
}

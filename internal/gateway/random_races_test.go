package gateway

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"maddergap/internal/nodelist"
	"maddergap/scheduler"
)

// trackedRequest is what a random history knows of one request.
type trackedRequest struct {
	id              string
	client          ConnID
	unsafe          bool
	disconnected    bool // its client left, and the head was told in a turn that is over
	attempts        int
	mayHaveExecuted int // sends that came whole and were not answered as turned away
	responses       int
}

// raceHistory is a history in which events are told in one turn in any order, with what
// passed on the connections kept.
type raceHistory struct {
	*harness
	rt              *rapid.T
	requests        map[string]*trackedRequest
	order           []*trackedRequest
	clients         []ConnID // of clients
	lastRequest     map[ConnID]*trackedRequest
	carried         map[ConnID]*trackedRequest // what a node's connection carries
	drainingConns   map[ConnID]bool            // connections that led to a node when it began to drain
	nodeDraining    bool                       // n0 drains
	connectedBefore map[ConnID]bool            // connections that came up in this turn, before that was told
}

// checkWritten reads what the head wrote in a turn.
func (x *raceHistory) checkWritten() {
	for _, n := range x.dialed {
		text := x.takeWritten(n)
		if text == "" {
			continue
		}
		for line := range strings.Lines(text) {
			method, rest, ok := strings.Cut(strings.TrimSpace(line), " /")
			if !ok || (method != "GET" && method != "PUT") {
				continue
			}
			id, _, _ := strings.Cut(rest, " ")
			s := x.requests[id]
			switch {
			case s == nil:
				x.rt.Fatalf("a node is sent %q, which no client sent", line)
			case s.disconnected:
				x.rt.Fatalf("%s is sent on though its client has gone", id)
			case s.responses > 0:
				x.rt.Fatalf("%s is sent on after its answer", id)
			case s.unsafe && s.mayHaveExecuted > 0:
				x.rt.Fatalf("%s is sent on again though it may have run", id)
			case x.carried[n] != nil:
				x.rt.Fatalf("%s is sent on a connection that carries %s", id, x.carried[n].id)
			case x.nodeDraining && x.drainingConns[n] && !x.connectedBefore[n]:
				x.rt.Fatalf("%s is sent to a node that drains", id)
			}
			s.attempts++
			s.mayHaveExecuted++
			x.carried[n] = s
		}
	}
	for _, c := range x.clients {
		for _, part := range strings.Split(x.takeWritten(c), "HTTP/1.1 ")[1:] {
			s := x.lastRequest[c]
			if s == nil {
				x.rt.Fatalf("an answer %q to nobody", part)
			}
			if s.responses++; s.responses > 1 {
				x.rt.Fatalf("%s has two answers", s.id)
			}
			if strings.HasPrefix(part, "200") && !strings.Contains(part, "for "+s.id+".") {
				x.rt.Fatalf("%s is answered with %q", s.id, part)
			}
			if strings.HasPrefix(part, "503") && s.unsafe && s.mayHaveExecuted > 0 {
				x.rt.Fatalf("%s is refused though it may have run", s.id)
			}
		}
	}
}

// Closes, resets, requests, answers, connections that come up, lists, timers and a stop,
// told in any order within a turn: what has gone is not sent on, each request taken has one
// answer, which is its own, what may have run and must not run twice is not sent again, and
// a node that drains is sent nothing.
func TestRandomRaces(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		x := &raceHistory{harness: newProtocolHarness(t), rt: rt, requests: map[string]*trackedRequest{}, lastRequest: map[ConnID]*trackedRequest{},
			carried: map[ConnID]*trackedRequest{}, drainingConns: map[ConnID]bool{}}
		x.deferConnects = true
		stopped, n := false, 0
		pick := func(list []ConnID) ConnID { return list[rapid.IntRange(0, len(list)-1).Draw(rt, "which")] }
		for range rapid.IntRange(3, 40).Draw(rt, "turns") {
			var left []*trackedRequest
			x.connectedBefore = map[ConnID]bool{}
			for range rapid.IntRange(1, 5).Draw(rt, "events") {
				switch what := rapid.IntRange(0, 11).Draw(rt, "what"); {
				case what < 3 && !stopped: // a request, on a connection that is free or a new one
					n++
					s := &trackedRequest{id: fmt.Sprint("r", n), unsafe: rapid.Bool().Draw(rt, "unsafe")}
					method := map[bool]string{false: "GET", true: "PUT"}[s.unsafe]
					text := fmt.Sprintf("%s / HTTP/1.1\r\nHost: h\r\nid: %s\r\nContent-Length: 0\r\n\r\n", method, s.id)
					s.client = x.gateway.Accept(x.now, netip.MustParseAddrPort("127.0.0.1:1000"), 0).ID
					if len(x.clients) > 0 && rapid.Bool().Draw(rt, "kept") {
						c := pick(x.clients)
						if o := x.lastRequest[c]; o.responses == 1 && !o.disconnected && x.gateway.conns.find(c) != nil && !x.writeClosed[c] {
							s.client = c
						}
					}
					x.requests[s.id], x.lastRequest[s.client] = s, s
					x.order, x.clients = append(x.order, s), append(x.clients, s.client)
					x.gateway.Data(x.now, s.client, []byte(text))
				case what < 5 && len(x.clients) > 0: // a client goes
					c := pick(x.clients)
					if rapid.Bool().Draw(rt, "reset") {
						x.gateway.Closed(x.now, c)
					} else {
						x.gateway.EOF(x.now, c)
					}
					left = append(left, x.lastRequest[c])
				case what < 7 && len(x.dialed) > 0: // a connection to a node comes up, or does not
					if d := pick(x.dialed); rapid.IntRange(0, 3).Draw(rt, "refused") > 0 {
						if c := x.findNodeConn(d); c != nil && c.state == nodeDialing {
							x.connectedBefore[d] = !x.nodeDraining
						}
						x.gateway.Connected(x.now, d)
					} else if c := x.findNodeConn(d); c != nil && c.state == nodeDialing {
						x.gateway.Closed(x.now, d)
					}
				case what < 9 && len(x.dialed) > 0: // a node answers what it carries, well or not
					d := pick(x.dialed)
					s := x.carried[d]
					if s == nil || x.gateway.conns.find(d) == nil {
						continue
					}
					answer := okResponse("for " + s.id + ".")
					switch rapid.IntRange(0, 4).Draw(rt, "answer") {
					case 0:
						x.gateway.Data(x.now, d, []byte(answer[:len(answer)-1]))
						x.gateway.Closed(x.now, d)
					case 1:
						x.gateway.Closed(x.now, d)
					case 2:
						x.gateway.Data(x.now, d, []byte("HTTP/1.1 200 OK\r\n\r\nfor "+s.id+"."))
						x.gateway.EOF(x.now, d)
					default:
						x.gateway.Data(x.now, d, []byte(answer))
					}
					delete(x.carried, d)
				case what == 9: // a list
					state := rapid.SampledFrom([]scheduler.NodeState{scheduler.Serving, scheduler.Draining}).Draw(rt, "state")
					x.gateway.SetNodes(x.now, []nodelist.Node{{Name: "n0", Addr: "node:0", State: state}, {Name: "n2", Addr: "node:2"}})
					x.nodeDraining = state == scheduler.Draining
				case what == 10:
					x.now += time.Duration(rapid.IntRange(1, 400).Draw(rt, "ms")) * time.Millisecond
				case what == 11 && !stopped && rapid.IntRange(0, 5).Draw(rt, "stop") == 0:
					x.gateway.Shutdown(x.now)
					stopped = true
				}
			}
			x.drainingConns = map[ConnID]bool{}
			for _, d := range x.dialed {
				if c := x.findNodeConn(d); c != nil {
					x.drainingConns[d] = c.node.name == "n0"
				}
			}
			x.runActions()
			x.checkWritten()
			for _, s := range left {
				s.disconnected = true
			}
		}
		if stopped && rapid.Bool().Draw(rt, "cut") {
			x.gateway.AbortRemaining(x.now)
			x.runActions()
		}
		x.advanceTime(5 * time.Second)
		x.checkWritten()
		if len(x.gateway.requests.byID) != 0 {
			rt.Fatalf("%d requests are held for good", len(x.gateway.requests.byID))
		}
		for _, s := range x.order {
			if s.responses == 0 && !s.disconnected {
				rt.Fatalf("%s has no answer", s.id)
			}
		}
	})
}

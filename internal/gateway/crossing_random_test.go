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

// seat is what a random history knows of one request.
type seat struct {
	id      string
	conn    ConnID
	unsafe  bool
	gone    bool // its client left, and the head was told in a turn that is over
	sends   int
	ran     int // sends that came whole and were not answered as turned away
	answers int
}

// crossings is a history in which events are told in one turn in any order, with what
// passed on the connections kept.
type crossings struct {
	*rig
	rt     *rapid.T
	seats  map[string]*seat
	order  []*seat
	conns  []ConnID // of clients
	last   map[ConnID]*seat
	wire   map[ConnID]*seat // what a node's connection carries
	drain  map[ConnID]bool  // connections that led to a node when it began to drain
	told   bool             // n0 drains
	before map[ConnID]bool  // connections that came up in this turn, before that was told
}

// judge reads what the head wrote in a turn.
func (x *crossings) judge() {
	for _, n := range x.dials {
		text := x.take(n)
		if text == "" {
			continue
		}
		for line := range strings.Lines(text) {
			method, rest, ok := strings.Cut(strings.TrimSpace(line), " /")
			if !ok || (method != "GET" && method != "PUT") {
				continue
			}
			id, _, _ := strings.Cut(rest, " ")
			s := x.seats[id]
			switch {
			case s == nil:
				x.rt.Fatalf("a node is sent %q, which no client sent", line)
			case s.gone:
				x.rt.Fatalf("%s is sent on though its client has gone", id)
			case s.answers > 0:
				x.rt.Fatalf("%s is sent on after its answer", id)
			case s.unsafe && s.ran > 0:
				x.rt.Fatalf("%s is sent on again though it may have run", id)
			case x.wire[n] != nil:
				x.rt.Fatalf("%s is sent on a connection that carries %s", id, x.wire[n].id)
			case x.told && x.drain[n] && !x.before[n]:
				x.rt.Fatalf("%s is sent to a node that drains", id)
			}
			s.sends++
			s.ran++
			x.wire[n] = s
		}
	}
	for _, c := range x.conns {
		for _, part := range strings.Split(x.take(c), "HTTP/1.1 ")[1:] {
			s := x.last[c]
			if s == nil {
				x.rt.Fatalf("an answer %q to nobody", part)
			}
			if s.answers++; s.answers > 1 {
				x.rt.Fatalf("%s has two answers", s.id)
			}
			if strings.HasPrefix(part, "200") && !strings.Contains(part, "for "+s.id+".") {
				x.rt.Fatalf("%s is answered with %q", s.id, part)
			}
			if strings.HasPrefix(part, "503") && s.unsafe && s.ran > 0 {
				x.rt.Fatalf("%s is refused though it may have run", s.id)
			}
		}
	}
}

// Closes, resets, requests, answers, connections that come up, lists, timers and a stop,
// told in any order within a turn: what has gone is not sent on, each request taken has one
// answer, which is its own, what may have run and must not run twice is not sent again, and
// a node that drains is sent nothing.
func TestRandomCrossings(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		x := &crossings{rig: newHeldRig(t), rt: rt, seats: map[string]*seat{}, last: map[ConnID]*seat{},
			wire: map[ConnID]*seat{}, drain: map[ConnID]bool{}}
		x.late = true
		stopped, n := false, 0
		pick := func(list []ConnID) ConnID { return list[rapid.IntRange(0, len(list)-1).Draw(rt, "which")] }
		for range rapid.IntRange(3, 40).Draw(rt, "turns") {
			var left []*seat
			x.before = map[ConnID]bool{}
			for range rapid.IntRange(1, 5).Draw(rt, "events") {
				switch what := rapid.IntRange(0, 11).Draw(rt, "what"); {
				case what < 3 && !stopped: // a request, on a connection that is free or a new one
					n++
					s := &seat{id: fmt.Sprint("r", n), unsafe: rapid.Bool().Draw(rt, "unsafe")}
					method := map[bool]string{false: "GET", true: "PUT"}[s.unsafe]
					text := fmt.Sprintf("%s / HTTP/1.1\r\nHost: h\r\nid: %s\r\nContent-Length: 0\r\n\r\n", method, s.id)
					s.conn = x.h.Accept(x.now, netip.MustParseAddrPort("127.0.0.1:1000"), 0).ID
					if len(x.conns) > 0 && rapid.Bool().Draw(rt, "kept") {
						c := pick(x.conns)
						if o := x.last[c]; o.answers == 1 && !o.gone && x.h.conns.find(c) != nil && !x.shut[c] {
							s.conn = c
						}
					}
					x.seats[s.id], x.last[s.conn] = s, s
					x.order, x.conns = append(x.order, s), append(x.conns, s.conn)
					x.h.Data(x.now, s.conn, []byte(text))
				case what < 5 && len(x.conns) > 0: // a client goes
					c := pick(x.conns)
					if rapid.Bool().Draw(rt, "reset") {
						x.h.Closed(x.now, c)
					} else {
						x.h.EOF(x.now, c)
					}
					left = append(left, x.last[c])
				case what < 7 && len(x.dials) > 0: // a connection to a node comes up, or does not
					if d := pick(x.dials); rapid.IntRange(0, 3).Draw(rt, "refused") > 0 {
						if c := x.h.conns.find(d); c != nil && !c.connected {
							x.before[d] = !x.told
						}
						x.h.Connected(x.now, d)
					} else if c := x.h.conns.find(d); c != nil && !c.connected {
						x.h.Closed(x.now, d)
					}
				case what < 9 && len(x.dials) > 0: // a node answers what it carries, well or not
					d := pick(x.dials)
					s := x.wire[d]
					if s == nil || x.h.conns.find(d) == nil {
						continue
					}
					answer := ok("for " + s.id + ".")
					switch rapid.IntRange(0, 4).Draw(rt, "answer") {
					case 0:
						x.h.Data(x.now, d, []byte(answer[:len(answer)-1]))
						x.h.Closed(x.now, d)
					case 1:
						x.h.Closed(x.now, d)
					case 2:
						x.h.Data(x.now, d, []byte("HTTP/1.1 200 OK\r\n\r\nfor "+s.id+"."))
						x.h.EOF(x.now, d)
					default:
						x.h.Data(x.now, d, []byte(answer))
					}
					delete(x.wire, d)
				case what == 9: // a list
					state := rapid.SampledFrom([]scheduler.NodeState{scheduler.Serving, scheduler.Draining}).Draw(rt, "state")
					x.h.SetNodes(x.now, []nodelist.Node{{Name: "n0", Addr: "node:0", State: state}, {Name: "n2", Addr: "node:2"}})
					x.told = state == scheduler.Draining
				case what == 10:
					x.now += time.Duration(rapid.IntRange(1, 400).Draw(rt, "ms")) * time.Millisecond
				case what == 11 && !stopped && rapid.IntRange(0, 5).Draw(rt, "stop") == 0:
					x.h.Shutdown(x.now)
					stopped = true
				}
			}
			x.drain = map[ConnID]bool{}
			for _, d := range x.dials {
				if c := x.h.conns.find(d); c != nil {
					x.drain[d] = c.node.name == "n0"
				}
			}
			x.run()
			x.judge()
			for _, s := range left {
				s.gone = true
			}
		}
		if stopped && rapid.Bool().Draw(rt, "cut") {
			x.h.AbortRemaining(x.now)
			x.run()
		}
		x.pass(5 * time.Second)
		x.judge()
		if len(x.h.requests.byID) != 0 {
			rt.Fatalf("%d requests are held for good", len(x.h.requests.byID))
		}
		for _, s := range x.order {
			if s.answers == 0 && !s.gone {
				rt.Fatalf("%s has no answer", s.id)
			}
		}
	})
}

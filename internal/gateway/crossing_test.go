package gateway

import (
	"testing"
	"time"

	"maddergap/internal/http1"
	"maddergap/internal/nodelist"
	"maddergap/scheduler"
)

// held is a protocol whose messages are held whole, as a platform's.
type held struct{}

func (held) ParseRequest(r *http1.Request) RequestInfo {
	class := 0
	if string(r.Method) == "PUT" {
		class = 1
	}
	return RequestInfo{ID: string(r.Get("id")), Arrival: scheduler.Arrival{Class: class, Volume: "v", Units: 1, Instances: 1, TimeRemaining: 800 * time.Millisecond}}
}
func (held) BeginRequest(*RequestInfo) *http1.Error { return nil }
func (held) EndRequest(string, Outcome)             {}
func (held) AppendRequest(b []byte, r *http1.Request, left time.Duration) []byte {
	b = append(append(append(b, r.Method...), " /"...), r.Get("id")...)
	return http1.AppendInt(append(b, " HTTP/1.1\r\n"...), "Left-Ms", int64(left/time.Millisecond))
}
func (held) ParseResponse(r *http1.Response) ResponseInfo      { return ResponseInfo{Outcome: scheduler.OK} }
func (held) AppendRetryAfter(b []byte, _ time.Duration) []byte { return b }
func (held) MaxResponseBytes() (one, all int64)                { return 1 << 16, 1 << 18 }
func (held) ResponseStallTimeout() time.Duration               { return 250 * time.Millisecond }
func ask(id string) string                                     { return get("/", "id: "+id) }
func newHeldRig(t *testing.T) *rig                             { r := newRig(t, ""); r.h.SetProtocol(held{}); return r }
func (r *rig) tell(state scheduler.NodeState) {
	r.h.SetNodes(r.now, []nodelist.Node{{Name: "n0", Addr: "node:0", State: state}, {Name: "n2", Addr: "node:2"}})
	r.run()
}

// A client that left while the connection for its request was still coming up has gone:
// nothing of it is sent when the connection stands, which then serves another.
func TestGoneWhileDialing(t *testing.T) {
	for name, leave := range map[string]func(r *rig, c ConnID){
		"end":   func(r *rig, c ConnID) { r.h.EOF(r.now, c) },
		"reset": func(r *rig, c ConnID) { r.h.Closed(r.now, c) },
	} {
		r := newHeldRig(t)
		r.late = true
		c := r.client(ask("a"))
		n := r.node(0)
		leave(r, c)
		r.run()
		r.h.Connected(r.now, n)
		r.run()
		if got := r.take(n); got != "" {
			t.Errorf("%s: %q is sent for a client that has gone", name, got)
		}
		r.wantFinals(map[Outcome]int{ClientDisconnected: 1})
		c = r.client(ask("b"))
		r.want(name+": the next on the connection", r.take(n), "GET /b ")
		r.say(n, ok("hi"))
		r.want(name+": its answer", r.take(c), "200 OK")
		if len(r.dials) != 1 {
			t.Errorf("%s: %d connections", name, len(r.dials))
		}
	}
}

// The same in one turn: the close before the connection, and after it.
func TestGoneAsTheConnectionStands(t *testing.T) {
	for _, before := range []bool{true, false} {
		r := newHeldRig(t)
		r.late = true
		c := r.client(ask("a"))
		n := r.node(0)
		if before {
			r.h.EOF(r.now, c)
		}
		r.h.Connected(r.now, n)
		if !before {
			r.h.EOF(r.now, c)
		}
		r.run()
		if got := r.take(n); got != "" {
			t.Errorf("before %v: %q", before, got)
		}
		r.wantFinals(map[Outcome]int{ClientDisconnected: 1})
	}
}

// A request that its node did not take whole when its client left is not brought to its end.
func TestGoneWhileHalfWritten(t *testing.T) {
	r := newHeldRig(t)
	r.say(r.client(ask("warm")), "")
	n := r.node(0)
	r.say(n, ok(""))
	r.take(n)
	r.stuck[n] = true
	c := r.client(ask("a"))
	r.h.Wrote(r.now, n, 5)
	r.h.EOF(r.now, c)
	r.run()
	if r.ended[n] != Abort {
		t.Errorf("the node's connection goes on: %v", r.ended)
	}
	r.wantFinals(map[Outcome]int{Served: 1, ClientDisconnected: 1})
}

// A client that sent ahead is read on while its first request is under way, so that its
// end is seen behind; none of its requests is sent then.
func TestGoneBehindRequestsSentAhead(t *testing.T) {
	for _, n := range []int{1, 1000} {
		r := newHeldRig(t)
		r.h.SetNodes(r.now, nil)
		c := r.client(ask("a"))
		for range n {
			r.say(c, ask("b"))
		}
		if r.paused[c] {
			t.Errorf("it is not read on after %d more", n)
		}
		if in := len(r.h.conns.find(c).in); in > pipelineMax {
			t.Errorf("%d bytes are held", in)
		}
		r.h.EOF(r.now, c)
		r.run()
		r.tell(scheduler.Serving)
		r.pass(time.Second)
		if len(r.dials) != 0 {
			t.Errorf("%q is sent for a client that has gone", r.take(r.node(0)))
		}
		r.wantFinals(map[Outcome]int{ClientDisconnected: 1})
	}

	// One that stays has its answers in turn; one that sent too much has the first, and the end.
	r := newHeldRig(t)
	c := r.client(ask("a") + ask("b"))
	r.say(r.node(0), ok("one"))
	r.say(r.node(0), ok("two"))
	r.want("the answers", r.take(c), "one", "two")
	c = r.client(ask("a"))
	for range 1000 {
		r.say(c, ask("b"))
	}
	r.say(r.node(0), ok("one"))
	r.want("the answer", r.take(c), "one", "Connection: close")
	r.parted(c)

	// Its end in the turn of its first answer: what it sent ahead is nobody's either.
	r = newHeldRig(t)
	c = r.client(ask("a") + ask("b"))
	n := r.node(0)
	r.take(n)
	r.h.Data(r.now, n, []byte(ok("one")))
	r.h.EOF(r.now, c)
	r.run()
	if got := r.take(n); got != "" {
		t.Errorf("%q is sent for a client that has gone", got)
	}
}

// With WebDAV a half-close leaves its answer owed.
func TestHalfCloseIsOwedItsAnswer(t *testing.T) {
	r := newRig(t, "")
	c := r.client(get("/feed-a/s/1") + get("/feed-a/s/2"))
	r.h.EOF(r.now, c)
	r.run()
	r.say(r.node(0), ok("one"))
	r.say(r.node(0), ok("two"))
	r.want("the answers", r.take(c), "one", "two")
}

// A drain, a node's new address, the end of the client's time: what was chosen before and
// whose connection comes up after goes elsewhere, or is refused, and never to that node.
func TestOvertakenWhileDialing(t *testing.T) {
	r := newHeldRig(t)
	r.late = true
	c := r.client(ask("a"))
	n := r.node(0)
	r.tell(scheduler.Draining)
	r.h.Connected(r.now, n)
	r.pass(50 * time.Millisecond)
	if got := r.take(n); got != "" {
		t.Errorf("%q is sent to a node that drains", got)
	}
	r.h.Connected(r.now, r.node(1))
	r.run()
	r.want("at the other node", r.take(r.node(1)), "GET /a ")
	r.say(r.node(1), ok("hi"))
	r.want("the answer", r.take(c), "200 OK", "hi")

	r = newHeldRig(t)
	r.late = true
	c = r.client(ask("a"))
	n = r.node(0)
	r.h.SetNodes(r.now, []nodelist.Node{{Name: "n0", Addr: "node:9"}})
	r.h.Connected(r.now, n)
	r.run()
	if got := r.take(n); got != "" {
		t.Errorf("%q is sent to where its node was", got)
	}
	r.pass(time.Second)
	r.want("the answer", r.take(c), "HTTP/1.1 503 ")
	r.wantFinals(map[Outcome]int{Rejected: 1})
}

// What may be repeated within a window alone does not begin after it, though its
// connection comes up late.
func TestRepeatBeginsWithinItsWindow(t *testing.T) {
	for _, late := range []time.Duration{-time.Millisecond, time.Millisecond} {
		r := newHeldRig(t)
		r.late = true
		r.client(ask("a"))
		n := r.node(0)
		ex := r.h.conns.find(n).at.ex
		r.h.conns.find(n).at.beginBy = r.now + 100*time.Millisecond
		r.now += 100*time.Millisecond + late
		r.h.Connected(r.now, n)
		if r.run(); ex.attempts.inFlight == 0 && late < 0 || r.take(n) != "" && late > 0 {
			t.Errorf("%v from the end of its window: %d under way", late, ex.attempts.inFlight)
		}
	}
}

// An answer without a length is whole when its node ends the connection in order. After a
// reset, or where no end comes, it is not.
func TestAnswerWithoutLength(t *testing.T) {
	const text = "HTTP/1.1 200 OK\r\n\r\nall of it"
	for _, c := range []struct {
		name string
		end  func(r *rig, n ConnID)
		want string
	}{
		{"end", func(r *rig, n ConnID) { r.h.EOF(r.now, n) }, "all of it"},
		{"reset", func(r *rig, n ConnID) { r.h.Closed(r.now, n) }, ""},
		{"silence", func(r *rig, n ConnID) { r.pass(260 * time.Millisecond) }, ""},
	} {
		r := newHeldRig(t)
		cl := r.client(ask("a"))
		n := r.node(0)
		r.take(n)
		r.say(n, text)
		if got := r.take(cl); got != "" {
			t.Errorf("%s: %q before the end", c.name, got)
		}
		c.end(r, n)
		r.run()
		if got := r.take(cl); c.want == "" && got != "" {
			t.Errorf("%s: %q", c.name, got)
		} else {
			r.want(c.name, got, c.want)
		}
		r.client(ask("b"))
		if r.pass(100 * time.Millisecond); r.take(n) != "" {
			t.Errorf("%s: its connection is used again", c.name)
		}
	}
}

// A node that answers twice, the second time some milliseconds late, does so on a
// connection that rests meanwhile, where another can be used; it is then closed.
func TestLateSecondAnswer(t *testing.T) {
	r := newHeldRig(t)
	one, two := r.client(ask("a")), r.client(ask("b"))
	n, m := r.node(0), r.node(1)
	r.say(m, ok("b"))
	r.pass(30 * time.Millisecond)
	r.say(n, ok("a"))
	r.take(one)
	r.take(two)
	r.take(n)
	r.take(m)
	c := r.client(ask("c"))
	r.want("on the one that rested", r.take(m), "GET /c ")
	r.say(n, ok("a"))
	if _, gone := r.ended[n]; !gone {
		t.Error("a connection that brought what was not asked for is kept")
	}
	r.say(m, ok("c"))
	r.want("the answer", r.take(c), "c")
	// Of those that rested the last used goes first, so that the others age.
	r = newHeldRig(t)
	r.client(ask("a"))
	r.client(ask("b"))
	n, m = r.node(0), r.node(1)
	r.say(n, ok("a"))
	r.pass(time.Millisecond)
	r.say(m, ok("b"))
	r.take(n)
	r.take(m)
	r.pass(100 * time.Millisecond)
	r.client(ask("c"))
	r.want("on the last used", r.take(m), "GET /c ")
}

// A request that must not run twice is not sent on a connection whose answer has just come,
// and is not touched by the reset that may be under way behind that answer, until the node is
// seen to keep connections open, and again once it has not. Where no connection may be added it
// goes out all the same, and other requests reuse connections at once.
func TestUnsafeRequestOnFreshConnection(t *testing.T) {
	r := newRig(t, "")
	c := r.client(get("/feed-a/s/x"))
	n := r.node(0)
	r.say(n, ok("x"))
	r.take(n)
	r.say(c, put("/feed-a/s/x", "segment"))
	r.h.Closed(r.now, n)
	r.run()
	m := r.node(1)
	r.want("on a new connection", r.take(m), "PUT /feed-a/s/x", "Maddergap-Attempt: 0")
	r.say(m, ok("written"))
	r.want("the answers", r.take(c), "x", "written")
	r.say(c, get("/feed-a/s/y"))
	r.want("a read at once", r.take(m), "GET /feed-a/s/y")
	r.say(m, ok("y"))
	r.take(c)

	r = newRig(t, "")
	c = r.client(get("/feed-a/s/x"))
	r.say(r.node(0), ok("x"))
	r.take(r.node(0))
	r.pass(restTime) // the node keeps connections open
	r.say(c, get("/feed-a/s/x"))
	r.say(r.node(0), ok("x"))
	r.take(r.node(0))
	r.say(c, put("/feed-a/s/x", "one"))
	r.want("on the same connection", r.take(r.node(0)), "PUT /feed-a/s/x")
	r.say(r.node(0), ok(""))
	r.h.Closed(r.now, r.node(0)) // right behind its answer: it does not
	r.run()
	r.say(c, get("/feed-a/s/x"))
	r.take(r.node(1))
	r.say(r.node(1), ok("x"))
	r.say(c, put("/feed-a/s/x", "two"))
	r.want("on a new connection again", r.take(r.node(2)), "PUT /feed-a/s/x")

	r = newRig(t, "")
	r.h.config.Limits.ConnsPerNode = 1
	r.client(get("/feed-a/s/x"))
	r.take(r.node(0))
	r.say(r.node(0), ok("x"))
	r.client(put("/feed-a/s/x", "segment"))
	if len(r.dials) > 1 {
		t.Errorf("%d connections, want 1", len(r.dials))
	}
	r.want("on the only connection", r.take(r.node(0)), "PUT /feed-a/s/x")
}

// An answer that comes before the request has gone out whole is of an earlier one: the
// request never ran, and is sent on another connection.
func TestAnswerBeforeTheRequestIsWhole(t *testing.T) {
	r := newHeldRig(t)
	r.client(ask("warm"))
	n := r.node(0)
	r.say(n, ok(""))
	r.take(n)
	r.pass(restTime) // the write goes out on the same connection
	r.stuck[n] = true
	c := r.client(put("/", "payload", "id: a"))
	r.h.Wrote(r.now, n, 10)
	r.say(n, ok("of another"))
	if got := r.take(c); got != "" || r.ended[n] != Abort {
		t.Fatalf("%q, %v", got, r.ended)
	}
	r.pass(50 * time.Millisecond)
	m := r.node(1)
	r.want("sent again", r.take(m), "PUT /a ", "payload")
	r.say(m, ok("its own"))
	r.want("the answer", r.take(c), "200 OK", "its own")
}

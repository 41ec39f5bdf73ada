package gateway

import (
	"testing"
	"time"

	"maddergap/internal/http1"
	"maddergap/internal/nodelist"
	"maddergap/scheduler"
)

// fakeProtocol is a protocol whose messages are held whole, as a platform's.
type fakeProtocol struct{}

func (fakeProtocol) ParseRequest(r *http1.Request) RequestInfo {
	class := 0
	if string(r.Method) == "PUT" {
		class = 1
	}
	return RequestInfo{ID: string(r.Get("id")), Arrival: scheduler.Arrival{Class: class, Volume: "v", Units: 1, Instances: 1, TimeRemaining: 800 * time.Millisecond}}
}
func (fakeProtocol) BeginRequest(*RequestInfo) *http1.Error { return nil }
func (fakeProtocol) EndRequest(string, Outcome)             {}
func (fakeProtocol) AppendRequest(b []byte, r *http1.Request, left time.Duration) []byte {
	b = append(append(append(b, r.Method...), " /"...), r.Get("id")...)
	return http1.AppendIntField(append(b, " HTTP/1.1\r\n"...), "Left-Ms", int64(left/time.Millisecond))
}
func (fakeProtocol) ParseResponse(r *http1.Response) ResponseInfo {
	return ResponseInfo{Outcome: scheduler.OK}
}
func (fakeProtocol) AppendRetryAfter(b []byte, _ time.Duration) []byte { return b }
func (fakeProtocol) MaxResponseBytes() (one, all int64)                { return 1 << 16, 1 << 18 }
func (fakeProtocol) ResponseStallTimeout() time.Duration               { return 250 * time.Millisecond }
func requestWithID(id string) string                                   { return getRequest("/", "id: "+id) }
func newProtocolHarness(t *testing.T) *harness {
	h := newHarness(t, "")
	h.gateway.SetProtocol(fakeProtocol{})
	return h
}
func (h *harness) setNodeState(state scheduler.NodeState) {
	h.gateway.SetNodes(h.now, []nodelist.Node{{Name: "n0", Addr: "node:0", State: state}, {Name: "n2", Addr: "node:2"}})
	h.runActions()
}

// A client that left while the connection for its request was still coming up has gone:
// nothing of it is sent when the connection stands, which then serves another.
func TestClientDisconnectsWhileDialing(t *testing.T) {
	for name, leave := range map[string]func(h *harness, c ConnID){
		"end":   func(h *harness, c ConnID) { h.gateway.EOF(h.now, c) },
		"reset": func(h *harness, c ConnID) { h.gateway.Closed(h.now, c) },
	} {
		h := newProtocolHarness(t)
		h.deferConnects = true
		c := h.connectClient(requestWithID("a"))
		n := h.nodeConn(0)
		leave(h, c)
		h.runActions()
		h.gateway.Connected(h.now, n)
		h.runActions()
		if got := h.takeWritten(n); got != "" {
			t.Errorf("%s: %q is sent for a client that has gone", name, got)
		}
		h.wantOutcomes(map[Outcome]int{ClientDisconnected: 1})
		c = h.connectClient(requestWithID("b"))
		h.wantContains(name+": the next on the connection", h.takeWritten(n), "GET /b ")
		h.deliver(n, okResponse("hi"))
		h.wantContains(name+": its answer", h.takeWritten(c), "200 OK")
		if len(h.dialed) != 1 {
			t.Errorf("%s: %d connections", name, len(h.dialed))
		}
	}
}

// The same in one turn: the close before the connection, and after it.
func TestClientDisconnectsAsConnectionIsEstablished(t *testing.T) {
	for _, before := range []bool{true, false} {
		h := newProtocolHarness(t)
		h.deferConnects = true
		c := h.connectClient(requestWithID("a"))
		n := h.nodeConn(0)
		if before {
			h.gateway.EOF(h.now, c)
		}
		h.gateway.Connected(h.now, n)
		if !before {
			h.gateway.EOF(h.now, c)
		}
		h.runActions()
		if got := h.takeWritten(n); got != "" {
			t.Errorf("before %v: %q", before, got)
		}
		h.wantOutcomes(map[Outcome]int{ClientDisconnected: 1})
	}
}

// A request that its node did not take whole when its client left is not brought to its end.
func TestClientDisconnectsWithRequestHalfWritten(t *testing.T) {
	h := newProtocolHarness(t)
	h.deliver(h.connectClient(requestWithID("warm")), "")
	n := h.nodeConn(0)
	h.deliver(n, okResponse(""))
	h.takeWritten(n)
	h.blocked[n] = true
	c := h.connectClient(requestWithID("a"))
	h.gateway.Wrote(h.now, n, 5)
	h.gateway.EOF(h.now, c)
	h.runActions()
	if h.closedBy[n] != Abort {
		t.Errorf("the node's connection goes on: %v", h.closedBy)
	}
	h.wantOutcomes(map[Outcome]int{Served: 1, ClientDisconnected: 1})
}

// A client that sent ahead is read on while its first request is under way, so that its
// end is seen behind; none of its requests is sent then.
func TestClientDisconnectsBehindPipelinedRequests(t *testing.T) {
	for _, n := range []int{1, 1000} {
		h := newProtocolHarness(t)
		h.gateway.SetNodes(h.now, nil)
		c := h.connectClient(requestWithID("a"))
		for range n {
			h.deliver(c, requestWithID("b"))
		}
		if h.paused[c] {
			t.Errorf("it is not read on after %d more", n)
		}
		if in := len(h.gateway.conns.findClient(c).unread); in > maxPipelinedBytes {
			t.Errorf("%d bytes are held", in)
		}
		h.gateway.EOF(h.now, c)
		h.runActions()
		h.setNodeState(scheduler.Serving)
		h.advanceTime(time.Second)
		if len(h.dialed) != 0 {
			t.Errorf("%q is sent for a client that has gone", h.takeWritten(h.nodeConn(0)))
		}
		h.wantOutcomes(map[Outcome]int{ClientDisconnected: 1})
	}

	// One that stays has its answers in turn; one that sent too much has the first, and the end.
	h := newProtocolHarness(t)
	c := h.connectClient(requestWithID("a") + requestWithID("b"))
	h.deliver(h.nodeConn(0), okResponse("one"))
	h.deliver(h.nodeConn(0), okResponse("two"))
	h.wantContains("the answers", h.takeWritten(c), "one", "two")
	c = h.connectClient(requestWithID("a"))
	for range 1000 {
		h.deliver(c, requestWithID("b"))
	}
	h.deliver(h.nodeConn(0), okResponse("one"))
	h.wantContains("the answer", h.takeWritten(c), "one", "Connection: close")
	h.wantLingeringClose(c)

	// Its end in the turn of its first answer: what it sent ahead is nobody's either.
	h = newProtocolHarness(t)
	c = h.connectClient(requestWithID("a") + requestWithID("b"))
	n := h.nodeConn(0)
	h.takeWritten(n)
	h.gateway.Data(h.now, n, []byte(okResponse("one")))
	h.gateway.EOF(h.now, c)
	h.runActions()
	if got := h.takeWritten(n); got != "" {
		t.Errorf("%q is sent for a client that has gone", got)
	}
}

// With WebDAV a half-close leaves its answer owed.
func TestHalfCloseIsNoDisconnectInWebDAV(t *testing.T) {
	h := newHarness(t, "")
	c := h.connectClient(getRequest("/feed-a/s/1") + getRequest("/feed-a/s/2"))
	h.gateway.EOF(h.now, c)
	h.runActions()
	h.deliver(h.nodeConn(0), okResponse("one"))
	h.deliver(h.nodeConn(0), okResponse("two"))
	h.wantContains("the answers", h.takeWritten(c), "one", "two")
}

// A drain, a node's new address, the end of the client's time: what was chosen before and
// whose connection comes up after goes elsewhere, or is refused, and never to that node.
func TestNodeChangesWhileDialing(t *testing.T) {
	h := newProtocolHarness(t)
	h.deferConnects = true
	c := h.connectClient(requestWithID("a"))
	n := h.nodeConn(0)
	h.setNodeState(scheduler.Draining)
	h.gateway.Connected(h.now, n)
	h.advanceTime(50 * time.Millisecond)
	if got := h.takeWritten(n); got != "" {
		t.Errorf("%q is sent to a node that drains", got)
	}
	h.gateway.Connected(h.now, h.nodeConn(1))
	h.runActions()
	h.wantContains("at the other node", h.takeWritten(h.nodeConn(1)), "GET /a ")
	h.deliver(h.nodeConn(1), okResponse("hi"))
	h.wantContains("the answer", h.takeWritten(c), "200 OK", "hi")

	h = newProtocolHarness(t)
	h.deferConnects = true
	c = h.connectClient(requestWithID("a"))
	n = h.nodeConn(0)
	h.gateway.SetNodes(h.now, []nodelist.Node{{Name: "n0", Addr: "node:9"}})
	h.gateway.Connected(h.now, n)
	h.runActions()
	if got := h.takeWritten(n); got != "" {
		t.Errorf("%q is sent to where its node was", got)
	}
	h.advanceTime(time.Second)
	h.wantContains("the answer", h.takeWritten(c), "HTTP/1.1 503 ")
	h.wantOutcomes(map[Outcome]int{Rejected: 1})
}

// What may be repeated within a window alone does not begin after it, though its
// connection comes up late.
func TestAttemptStartsBeforeItsLimit(t *testing.T) {
	for _, late := range []time.Duration{-time.Millisecond, time.Millisecond} {
		h := newProtocolHarness(t)
		h.deferConnects = true
		h.connectClient(requestWithID("a"))
		n := h.nodeConn(0)
		req := h.findNodeConn(n).attempt.req
		h.findNodeConn(n).attempt.startBefore = h.now + 100*time.Millisecond
		h.now += 100*time.Millisecond + late
		h.gateway.Connected(h.now, n)
		if h.runActions(); req.attempts.inFlight == 0 && late < 0 || h.takeWritten(n) != "" && late > 0 {
			t.Errorf("%v from the end of its window: %d under way", late, req.attempts.inFlight)
		}
	}
}

// An answer without a length is whole when its node ends the connection in order. After a
// reset, or where no end comes, it is not.
func TestResponseWithoutLength(t *testing.T) {
	const text = "HTTP/1.1 200 OK\r\n\r\nall of it"
	for _, c := range []struct {
		name string
		end  func(h *harness, n ConnID)
		want string
	}{
		{"end", func(h *harness, n ConnID) { h.gateway.EOF(h.now, n) }, "all of it"},
		{"reset", func(h *harness, n ConnID) { h.gateway.Closed(h.now, n) }, ""},
		{"silence", func(h *harness, n ConnID) { h.advanceTime(260 * time.Millisecond) }, ""},
	} {
		h := newProtocolHarness(t)
		cl := h.connectClient(requestWithID("a"))
		n := h.nodeConn(0)
		h.takeWritten(n)
		h.deliver(n, text)
		if got := h.takeWritten(cl); got != "" {
			t.Errorf("%s: %q before the end", c.name, got)
		}
		c.end(h, n)
		h.runActions()
		if got := h.takeWritten(cl); c.want == "" && got != "" {
			t.Errorf("%s: %q", c.name, got)
		} else {
			h.wantContains(c.name, got, c.want)
		}
		h.connectClient(requestWithID("b"))
		if h.advanceTime(100 * time.Millisecond); h.takeWritten(n) != "" {
			t.Errorf("%s: its connection is used again", c.name)
		}
	}
}

// A node that answers twice, the second time some milliseconds late, does so on a
// connection that rests meanwhile, where another can be used; it is then closed.
func TestDuplicateResponseFromNode(t *testing.T) {
	h := newProtocolHarness(t)
	one, two := h.connectClient(requestWithID("a")), h.connectClient(requestWithID("b"))
	n, m := h.nodeConn(0), h.nodeConn(1)
	h.deliver(m, okResponse("b"))
	h.advanceTime(30 * time.Millisecond)
	h.deliver(n, okResponse("a"))
	h.takeWritten(one)
	h.takeWritten(two)
	h.takeWritten(n)
	h.takeWritten(m)
	c := h.connectClient(requestWithID("c"))
	h.wantContains("on the one that rested", h.takeWritten(m), "GET /c ")
	h.deliver(n, okResponse("a"))
	if _, gone := h.closedBy[n]; !gone {
		t.Error("a connection that brought what was not asked for is kept")
	}
	h.deliver(m, okResponse("c"))
	h.wantContains("the answer", h.takeWritten(c), "c")
	// Of those that rested the last used goes first, so that the others age.
	h = newProtocolHarness(t)
	h.connectClient(requestWithID("a"))
	h.connectClient(requestWithID("b"))
	n, m = h.nodeConn(0), h.nodeConn(1)
	h.deliver(n, okResponse("a"))
	h.advanceTime(time.Millisecond)
	h.deliver(m, okResponse("b"))
	h.takeWritten(n)
	h.takeWritten(m)
	h.advanceTime(100 * time.Millisecond)
	h.connectClient(requestWithID("c"))
	h.wantContains("on the last used", h.takeWritten(m), "GET /c ")
}

// A request that must not run twice is not sent on a connection whose answer has just come,
// and is not touched by the reset that may be under way behind that answer, until the node is
// seen to keep connections open, and again once it has not. Where no connection may be added it
// goes out all the same, and other requests reuse connections at once.
func TestNonIdempotentRequestAvoidsFreshConnection(t *testing.T) {
	h := newHarness(t, "")
	c := h.connectClient(getRequest("/feed-a/s/x"))
	n := h.nodeConn(0)
	h.deliver(n, okResponse("x"))
	h.takeWritten(n)
	h.deliver(c, putRequest("/feed-a/s/x", "segment"))
	h.gateway.Closed(h.now, n)
	h.runActions()
	m := h.nodeConn(1)
	h.wantContains("on a new connection", h.takeWritten(m), "PUT /feed-a/s/x", "Maddergap-Attempt: 0")
	h.deliver(m, okResponse("written"))
	h.wantContains("the answers", h.takeWritten(c), "x", "written")
	h.deliver(c, getRequest("/feed-a/s/y"))
	h.wantContains("a read at once", h.takeWritten(m), "GET /feed-a/s/y")
	h.deliver(m, okResponse("y"))
	h.takeWritten(c)

	h = newHarness(t, "")
	c = h.connectClient(getRequest("/feed-a/s/x"))
	h.deliver(h.nodeConn(0), okResponse("x"))
	h.takeWritten(h.nodeConn(0))
	h.advanceTime(reuseDelay) // the node keeps connections open
	h.deliver(c, getRequest("/feed-a/s/x"))
	h.deliver(h.nodeConn(0), okResponse("x"))
	h.takeWritten(h.nodeConn(0))
	h.deliver(c, putRequest("/feed-a/s/x", "one"))
	h.wantContains("on the same connection", h.takeWritten(h.nodeConn(0)), "PUT /feed-a/s/x")
	h.deliver(h.nodeConn(0), okResponse(""))
	h.gateway.Closed(h.now, h.nodeConn(0)) // right behind its answer: it does not
	h.runActions()
	h.deliver(c, getRequest("/feed-a/s/x"))
	h.takeWritten(h.nodeConn(1))
	h.deliver(h.nodeConn(1), okResponse("x"))
	h.deliver(c, putRequest("/feed-a/s/x", "two"))
	h.wantContains("on a new connection again", h.takeWritten(h.nodeConn(2)), "PUT /feed-a/s/x")

	h = newHarness(t, "")
	h.gateway.config.Limits.ConnsPerNode = 1
	h.connectClient(getRequest("/feed-a/s/x"))
	h.takeWritten(h.nodeConn(0))
	h.deliver(h.nodeConn(0), okResponse("x"))
	h.connectClient(putRequest("/feed-a/s/x", "segment"))
	if len(h.dialed) > 1 {
		t.Errorf("%d connections, want 1", len(h.dialed))
	}
	h.wantContains("on the only connection", h.takeWritten(h.nodeConn(0)), "PUT /feed-a/s/x")
}

// An answer that comes before the request has gone out whole is of an earlier one: the
// request never ran, and is sent on another connection.
func TestResponseToAnEarlierRequest(t *testing.T) {
	h := newProtocolHarness(t)
	h.connectClient(requestWithID("warm"))
	n := h.nodeConn(0)
	h.deliver(n, okResponse(""))
	h.takeWritten(n)
	h.advanceTime(reuseDelay) // the write goes out on the same connection
	h.blocked[n] = true
	c := h.connectClient(putRequest("/", "payload", "id: a"))
	h.gateway.Wrote(h.now, n, 10)
	h.deliver(n, okResponse("of another"))
	if got := h.takeWritten(c); got != "" || h.closedBy[n] != Abort {
		t.Fatalf("%q, %v", got, h.closedBy)
	}
	h.advanceTime(50 * time.Millisecond)
	m := h.nodeConn(1)
	h.wantContains("sent again", h.takeWritten(m), "PUT /a ", "payload")
	h.deliver(m, okResponse("its own"))
	h.wantContains("the answer", h.takeWritten(c), "200 OK", "its own")
}

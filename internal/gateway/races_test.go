package gateway

import (
	"testing"
	"time"

	"maddergap/internal/nodelist"
	"maddergap/scheduler"
)

// A client leaves while the connection for its request is dialed. Nothing is sent for it
// when the connection is established, which then serves another request.
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
			t.Errorf("%s: %q is sent for a client that has left", name, got)
		}
		h.wantOutcomes(map[Outcome]int{ClientDisconnected: 1})
		c = h.connectClient(requestWithID("b"))
		h.wantContains(name+": the next on the connection", h.takeWritten(n), "GET /b ")
		h.deliver(n, okResponse("hi"))
		h.wantContains(name+": its response", h.takeWritten(c), "200 OK")
		if len(h.dialed) != 1 {
			t.Errorf("%s: %d connections", name, len(h.dialed))
		}
	}
}

// The client's EOF and the establishing of the connection are in one batch of events, in
// either order. The request is not sent.
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

// A client leaves when its node has only a part of the request. The rest is not sent, and
// the connection is reset, so that the node does not execute the request.
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

// A client pipelines requests and leaves while the first waits for a node. Its EOF is
// behind what it has sent, so that it must be read on to be noticed; none of its requests
// is sent. What is kept of it is limited.
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
			t.Errorf("%d bytes are left", in)
		}
		h.gateway.EOF(h.now, c)
		h.runActions()
		h.setNodeState(scheduler.Serving)
		h.advanceTime(time.Second)
		if len(h.dialed) != 0 {
			t.Errorf("%q is sent for a client that has left", h.takeWritten(h.nodeConn(0)))
		}
		h.wantOutcomes(map[Outcome]int{ClientDisconnected: 1})
	}
}

// A client that pipelines requests and stays gets its responses in order. One that has
// pipelined more than is kept gets the first, and the connection ends with it.
func TestPipelinedRequestsWithinAndBeyondLimit(t *testing.T) {
	h := newProtocolHarness(t)
	c := h.connectClient(requestWithID("a") + requestWithID("b"))
	h.deliver(h.nodeConn(0), okResponse("one"))
	h.deliver(h.nodeConn(0), okResponse("two"))
	h.wantContains("the responses", h.takeWritten(c), "one", "two")
	c = h.connectClient(requestWithID("a"))
	for range 1000 {
		h.deliver(c, requestWithID("b"))
	}
	h.deliver(h.nodeConn(0), okResponse("one"))
	h.wantContains("the response", h.takeWritten(c), "one", "Connection: close")
	h.wantLingeringClose(c)
}

// A client leaves in the same batch of events in which the response to its first request
// arrives. The requests that it has pipelined are not sent.
func TestClientDisconnectsAsResponseArrives(t *testing.T) {
	h := newProtocolHarness(t)
	c := h.connectClient(requestWithID("a") + requestWithID("b"))
	n := h.nodeConn(0)
	h.takeWritten(n)
	h.gateway.Data(h.now, n, []byte(okResponse("one")))
	h.gateway.EOF(h.now, c)
	h.runActions()
	if got := h.takeWritten(n); got != "" {
		t.Errorf("%q is sent for a client that has left", got)
	}
}

// With WebDAV a client that shuts down its sending side still waits for its responses.
func TestHalfCloseIsNoDisconnectInWebDAV(t *testing.T) {
	h := newHarness(t, "")
	c := h.connectClient(getRequest("/feed-a/s/1") + getRequest("/feed-a/s/2"))
	h.gateway.EOF(h.now, c)
	h.runActions()
	h.deliver(h.nodeConn(0), okResponse("one"))
	h.deliver(h.nodeConn(0), okResponse("two"))
	h.wantContains("the responses", h.takeWritten(c), "one", "two")
}

// A node begins to drain while a connection for a request is dialed. Nothing is sent to it
// when the connection is established; the request goes to another node.
func TestNodeDrainsWhileDialing(t *testing.T) {
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
	h.wantContains("the response", h.takeWritten(c), "200 OK", "hi")
}

// A node moves while a connection to its previous address is dialed. The request is not
// sent there, and is rejected at its deadline if there is no other node.
func TestNodeMovesWhileDialing(t *testing.T) {
	h := newProtocolHarness(t)
	h.deferConnects = true
	c := h.connectClient(requestWithID("a"))
	n := h.nodeConn(0)
	h.gateway.SetNodes(h.now, []nodelist.Node{{Name: "n0", Addr: "node:9"}})
	h.gateway.Connected(h.now, n)
	h.runActions()
	if got := h.takeWritten(n); got != "" {
		t.Errorf("%q is sent to the previous address of its node", got)
	}
	h.advanceTime(time.Second)
	h.wantContains("the response", h.takeWritten(c), "HTTP/1.1 503 ")
	h.wantOutcomes(map[Outcome]int{Rejected: 1})
}

// The scheduler allows a retry of an idempotent request only within the node's
// deduplication window. A connection that is established later must not be used for it.
func TestAttemptStartsBeforeItsLimit(t *testing.T) {
	for _, late := range []time.Duration{-time.Millisecond, time.Millisecond} {
		h := newProtocolHarness(t)
		h.deferConnects = true
		h.connectClient(requestWithID("a"))
		n := h.nodeConn(0)
		req := h.findNodeConn(n).attempt.req.live()
		h.findNodeConn(n).attempt.startBefore = h.now + 100*time.Millisecond
		h.now += 100*time.Millisecond + late
		h.gateway.Connected(h.now, n)
		if h.runActions(); req.attempts.inFlight == 0 && late < 0 || h.takeWritten(n) != "" && late > 0 {
			t.Errorf("%v from its limit: %d under way", late, req.attempts.inFlight)
		}
	}
}

package gateway

import (
	"testing"
	"time"

	"maddergap/internal/nodelist"
	"maddergap/scheduler"
)

// Verifies that nothing is sent for a client that disconnects while the connection for its request is
// being dialed. Once established, the connection serves another request.
func TestClientDisconnectsWhileDialing(t *testing.T) {
	for name, disconnect := range map[string]func(h *harness, client ConnID){
		"end":   func(h *harness, client ConnID) { h.gateway.EOF(h.now, client) },
		"reset": func(h *harness, client ConnID) { h.gateway.Closed(h.now, client) },
	} {
		h := newProtocolHarness(t)
		h.deferConnects = true
		client := h.connectClient(requestWithID("a"))
		conn := h.nodeConn(0)
		disconnect(h, client)
		h.runActions()
		h.gateway.Connected(h.now, conn)
		h.runActions()
		if got := h.takeWritten(conn); got != "" {
			t.Errorf("%s: %q was sent for a client that has disconnected, want nothing", name, got)
		}
		h.wantOutcomes(map[Outcome]int{ClientDisconnected: 1})
		client = h.connectClient(requestWithID("b"))
		h.wantContains(name+": the next request on the connection", h.takeWritten(conn), "GET /b ")
		h.deliver(conn, okResponse("hi"))
		h.wantContains(name+": its response", h.takeWritten(client), "200 OK")
		if len(h.dialed) != 1 {
			t.Errorf("%s: %d connections to the node, want 1", name, len(h.dialed))
		}
	}
}

// Verifies that a request is not sent if its client's EOF and the end of the dial for it are
// handled in one batch of events, in either order.
func TestClientDisconnectsAsConnectionIsEstablished(t *testing.T) {
	for _, eofFirst := range []bool{true, false} {
		h := newProtocolHarness(t)
		h.deferConnects = true
		client := h.connectClient(requestWithID("a"))
		conn := h.nodeConn(0)
		if eofFirst {
			h.gateway.EOF(h.now, client)
		}
		h.gateway.Connected(h.now, conn)
		if !eofFirst {
			h.gateway.EOF(h.now, client)
		}
		h.runActions()
		if got := h.takeWritten(conn); got != "" {
			t.Errorf("EOF first %v: %q was sent, want nothing", eofFirst, got)
		}
		h.wantOutcomes(map[Outcome]int{ClientDisconnected: 1})
	}
}

// Verifies that the connection to the node is reset if a client disconnects when only a part of its
// request was written. The node then does not execute the request.
func TestClientDisconnectsWithRequestHalfWritten(t *testing.T) {
	h := newProtocolHarness(t)
	h.deliver(h.connectClient(requestWithID("warm")), "")
	conn := h.nodeConn(0)
	h.deliver(conn, okResponse(""))
	h.takeWritten(conn)
	h.advanceTime(reuseDelay)
	h.blocked[conn] = true
	client := h.connectClient(requestWithID("a"))
	h.gateway.Wrote(h.now, conn, 5)
	h.gateway.EOF(h.now, client)
	h.runActions()
	if h.closedBy[conn] != Abort {
		t.Errorf("connections closed by %v, want the node's aborted", h.closedBy)
	}
	h.wantOutcomes(map[Outcome]int{Served: 1, ClientDisconnected: 1})
}

// Guards against a client that pipelines requests and disconnects unnoticed while the first request
// waits for a node: its EOF comes after the pipelined requests, so that the connection must be
// read on. None of its requests is sent, and the bytes kept of them are limited.
func TestClientDisconnectsBehindPipelinedRequests(t *testing.T) {
	for _, pipelined := range []int{1, 1000} {
		h := newProtocolHarness(t)
		h.gateway.SetNodes(h.now, nil)
		client := h.connectClient(requestWithID("a"))
		for range pipelined {
			h.deliver(client, requestWithID("b"))
		}
		if h.paused[client] {
			t.Errorf("the client is paused after %d pipelined requests", pipelined)
		}
		if unreadBytes := len(h.gateway.conns.findClient(client).unread); unreadBytes > maxPipelinedBytes {
			t.Errorf("%d pipelined bytes are kept, more than maxPipelinedBytes", unreadBytes)
		}
		h.gateway.EOF(h.now, client)
		h.runActions()
		h.setNodeState(scheduler.Serving)
		h.advanceTime(time.Second)
		if len(h.dialed) != 0 {
			t.Errorf("%q was sent for a client that has disconnected, want nothing", h.takeWritten(h.nodeConn(0)))
		}
		h.wantOutcomes(map[Outcome]int{ClientDisconnected: 1})
	}
}

// Verifies that a client gets the responses to its pipelined requests in order. If it has
// pipelined more than the limit, it gets the first response only, and the connection ends.
func TestPipelinedRequestsWithinAndBeyondLimit(t *testing.T) {
	h := newProtocolHarness(t)
	client := h.connectClient(requestWithID("a") + requestWithID("b"))
	h.deliver(h.nodeConn(0), okResponse("one"))
	h.advanceTime(reuseDelay)
	h.deliver(h.nodeConn(0), okResponse("two"))
	h.wantContains("the responses", h.takeWritten(client), "one", "two")
	client = h.connectClient(requestWithID("a"))
	for range 1000 {
		h.deliver(client, requestWithID("b"))
	}
	h.advanceTime(reuseDelay)
	h.deliver(h.nodeConn(0), okResponse("one"))
	h.wantContains("the response", h.takeWritten(client), "one", "Connection: close")
	h.wantLingeringClose(client)
}

// Verifies that pipelined requests are not sent if their client disconnects in the batch of events in
// which the response to its first request arrives.
func TestClientDisconnectsAsResponseArrives(t *testing.T) {
	h := newProtocolHarness(t)
	client := h.connectClient(requestWithID("a") + requestWithID("b"))
	conn := h.nodeConn(0)
	h.takeWritten(conn)
	h.gateway.Data(h.now, conn, []byte(okResponse("one")))
	h.gateway.EOF(h.now, client)
	h.advanceTime(reuseDelay)
	if got := h.takeWritten(conn); got != "" || len(h.dialed) != 1 {
		t.Errorf("%q was sent for a client that has disconnected, and %d connections dialed; want nothing, and 1", got, len(h.dialed))
	}
}

// Verifies that a WebDAV client that shuts down its sending side still gets its responses.
func TestHalfCloseIsNoDisconnectInWebDAV(t *testing.T) {
	h := newHarness(t, "")
	client := h.connectClient(getRequest("/feed-a/s/1") + getRequest("/feed-a/s/2"))
	h.gateway.EOF(h.now, client)
	h.runActions()
	h.deliver(h.nodeConn(0), okResponse("one"))
	h.advanceTime(reuseDelay)
	h.deliver(h.nodeConn(0), okResponse("two"))
	h.wantContains("the responses", h.takeWritten(client), "one", "two")
}

// Verifies that nothing is sent to a node that begins to drain while a connection to it is being
// dialed. The request goes to another node.
func TestNodeDrainsWhileDialing(t *testing.T) {
	h := newProtocolHarness(t)
	h.deferConnects = true
	client := h.connectClient(requestWithID("a"))
	conn := h.nodeConn(0)
	h.setNodeState(scheduler.Draining)
	h.gateway.Connected(h.now, conn)
	h.advanceTime(50 * time.Millisecond)
	if got := h.takeWritten(conn); got != "" {
		t.Errorf("%q was sent to a draining node, want nothing", got)
	}
	h.gateway.Connected(h.now, h.nodeConn(1))
	h.runActions()
	h.wantContains("the request at the other node", h.takeWritten(h.nodeConn(1)), "GET /a ")
	h.deliver(h.nodeConn(1), okResponse("hi"))
	h.wantContains("the response", h.takeWritten(client), "200 OK", "hi")
}

// Verifies that nothing is sent to the previous address of a node that moves while a connection is
// being dialed. If there is no other node, the request is rejected at its deadline.
func TestNodeMovesWhileDialing(t *testing.T) {
	h := newProtocolHarness(t)
	h.deferConnects = true
	client := h.connectClient(requestWithID("a"))
	conn := h.nodeConn(0)
	h.gateway.SetNodes(h.now, []nodelist.Node{{Name: "n0", Addr: "node:9"}})
	h.gateway.Connected(h.now, conn)
	h.runActions()
	if got := h.takeWritten(conn); got != "" {
		t.Errorf("%q was sent to the previous address of the node, want nothing", got)
	}
	h.advanceTime(time.Second)
	h.wantContains("the response", h.takeWritten(client), "HTTP/1.1 503 ")
	h.wantOutcomes(map[Outcome]int{Rejected: 1})
}

// Verifies that an attempt is sent only if its connection is established before arriveBefore. The
// scheduler sets that limit to the end of the node's deduplication window for a retry of an
// idempotent request.
func TestAttemptStartsBeforeItsLimit(t *testing.T) {
	for _, delay := range []time.Duration{-time.Millisecond, time.Millisecond} {
		h := newProtocolHarness(t)
		h.deferConnects = true
		h.connectClient(requestWithID("a"))
		conn := h.nodeConn(0)
		req := h.findNodeConn(conn).attempt.req.live()
		h.findNodeConn(conn).attempt.arriveBefore = h.now + 100*time.Millisecond
		h.now += 100*time.Millisecond + delay
		h.gateway.Connected(h.now, conn)
		if h.runActions(); req.attempts.inFlight == 0 && delay < 0 || h.takeWritten(conn) != "" && delay > 0 {
			t.Errorf("established %v after the limit: %d attempts in flight, want it sent only before the limit", delay, req.attempts.inFlight)
		}
	}
}

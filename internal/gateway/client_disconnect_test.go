package gateway

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// Verifies that the connection to the node is reset when a client disconnects in the middle of a
// long body. The node then cannot execute the request, and its capacity is free at once.
func TestClientDisconnectsDuringUpload(t *testing.T) {
	h := newHarness(t, "")
	long := strings.Repeat("x", 40<<10)
	c := h.connectClient(putRequest("/feed-a/s/x", long)[:20<<10])
	n := h.nodeConn(0)
	h.wantContains("the request at the node", h.takeWritten(n), "Content-Length: 40960")
	h.gateway.Closed(h.now, c)
	h.runActions()
	if h.closedBy[n] != Abort {
		t.Error("the connection to the node was not reset")
	}
	h.wantOutcomes(map[Outcome]int{ClientDisconnected: 1})
	h.wantCapacityFree()
}

// wantCapacityFree checks that the node of the harness, to which one connection was dialed, has room for as
// many requests as its initial concurrency window of 2 allows.
func (h *harness) wantCapacityFree() {
	h.t.Helper()
	for i := range 2 {
		h.connectClient(getRequest(fmt.Sprint("/feed-a/s/", i)))
	}
	if len(h.dialed) != 3 {
		h.t.Errorf("%d connections to nodes, want 3", len(h.dialed))
	}
}

// Regression test: a request that was written whole stayed on its way after its client had disconnected,
// and a node that had been cut off executed it later. Its connection is reset, as long as no response
// proves that the node has the request, and the capacity at the node is free at once.
func TestClientDisconnectsBeforeResponse(t *testing.T) {
	h := newHarness(t, "")
	c := h.connectClient(putRequest("/feed-a/s/x", "segment"))
	n := h.nodeConn(0)
	h.wantContains("the request at the node", h.takeWritten(n), "PUT /feed-a/s/x", "segment")
	h.gateway.Closed(h.now, c)
	h.runActions()
	if h.closedBy[n] != Abort {
		t.Error("the connection to the node was not reset")
	}
	h.wantOutcomes(map[Outcome]int{ClientDisconnected: 1})
	h.wantCapacityFree()
}

// Verifies that an attempt continues when the client disconnects while a response arrives that is not
// forwarded yet. The node has executed the request, and its capacity is free only at the end of the
// response. The connection is reused then.
func TestClientDisconnectsWhileResponseArrives(t *testing.T) {
	h := newProtocolHarness(t)
	c := h.connectClient(requestWithID("a"))
	n := h.nodeConn(0)
	response := okResponse("x")
	h.deliver(n, response[:len(response)-1])
	h.gateway.EOF(h.now, c)
	h.runActions()
	if _, closed := h.closedBy[n]; closed {
		t.Fatal("the attempt was aborted although its response has begun")
	}
	if len(h.gateway.requests.byID) != 1 {
		t.Fatalf("%d requests with an attempt in flight, want 1", len(h.gateway.requests.byID))
	}
	h.advanceTime(50 * time.Millisecond)
	h.deliver(n, response[len(response)-1:])
	h.wantOutcomes(map[Outcome]int{ClientDisconnected: 1})
	h.advanceTime(reuseDelay)
	h.connectClient(requestWithID("b"))
	if len(h.dialed) != 1 {
		t.Error("the connection to the node was not reused")
	}
}

// Verifies that the connection to the node is reset when a client disconnects in the middle of a
// response, as the node would go on sending a response that no one reads.
func TestClientDisconnectsDuringResponse(t *testing.T) {
	h := newHarness(t, "")
	c := h.connectClient(getRequest("/feed-a/s/x"))
	n := h.nodeConn(0)
	h.deliver(n, "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\nabc")
	h.gateway.Closed(h.now, c)
	h.runActions()
	if h.closedBy[n] != Abort {
		t.Error("the connection to the node was not reset")
	}
	h.wantOutcomes(map[Outcome]int{ClientDisconnected: 1})
}

// Verifies that a client that shuts down its sending side after two pipelined requests gets both
// responses, and that the connection is closed then.
func TestHalfClosedClientGetsItsResponses(t *testing.T) {
	h := newHarness(t, "")
	c := h.connectClient(getRequest("/feed-a/s/1") + getRequest("/feed-a/s/2"))
	h.gateway.EOF(h.now, c)
	h.runActions()
	n := h.nodeConn(0)
	h.deliver(n, okResponse("one"))
	h.advanceTime(reuseDelay)
	h.deliver(n, okResponse("two"))
	h.wantContains("the responses", h.takeWritten(c), "one", "two")
	if _, closed := h.closedBy[c]; !closed {
		t.Error("the connection stays open after the last response")
	}
	h.wantOutcomes(map[Outcome]int{Served: 2})
}

// Verifies that nothing leaves for a node, and nothing stays on its way to one, once the client has gone, in
// each state of a request: while it waits for a node, while a connection is dialed, when it is half written,
// when it is written, before a retry, in its second attempt, and in the parts of a listing.
func TestNothingLeavesForANodeAfterTheClientHasGone(t *testing.T) {
	const failure = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
	read, write := getRequest("/feed-a/s/x"), putRequest("/feed-a/s/x", strings.Repeat("b", 10<<10))
	for _, test := range []struct {
		state   string
		request string
		prepare func(h *harness, request string) ConnID
	}{
		{"waits for a node", read, func(h *harness, request string) ConnID {
			for range 8 { // fill the window of the node
				h.connectClient(getRequest("/feed-a/s/other"))
			}
			return h.connectClient(request)
		}},
		{"dials", write, func(h *harness, request string) ConnID {
			h.deferConnects = true
			return h.connectClient(request)
		}},
		{"is half written", write, func(h *harness, request string) ConnID {
			h.deferConnects = true
			c := h.connectClient(request)
			n := h.nodeConn(0)
			h.blocked[n] = true
			h.gateway.Connected(h.now, n)
			h.runActions()
			h.gateway.Wrote(h.now, n, len(h.gateway.PendingOutput(h.now, n)))
			h.gateway.Wrote(h.now, n, 100)
			return c
		}},
		{"is written", write, (*harness).connectClient},
		{"waits for a retry", read, func(h *harness, request string) ConnID {
			c := h.connectClient(request)
			h.deliver(h.nodeConn(0), failure)
			return c
		}},
		{"is retried", read, func(h *harness, request string) ConnID {
			c := h.connectClient(request)
			h.deliver(h.nodeConn(0), failure)
			h.advanceTime(100 * time.Millisecond)
			if h.gateway.Counts().Attempts != 2 {
				t.Fatalf("%d attempts, want 2", h.gateway.Counts().Attempts)
			}
			return c
		}},
		{"is listed", "PROPFIND /feed-b/ HTTP/1.1\r\nHost: h\r\nDepth: 1\r\nContent-Length: 0\r\n\r\n", (*harness).connectClient},
	} {
		t.Run(test.state, func(t *testing.T) {
			h := newHarness(t, "")
			c := test.prepare(h, test.request)
			others := h.gateway.nodes.conns
			h.gateway.Closed(h.now, c)
			h.runActions()
			for _, conn := range h.dialed {
				h.takeWritten(conn)
				delete(h.blocked, conn)
				if n := h.findNodeConn(conn); n != nil && n.attempt != nil && !strings.Contains(n.attempt.identity.path, "/s/other") {
					t.Errorf("the node has an attempt of %s, state %v, after its client has gone", n.attempt.identity.path, n.state)
				}
				h.gateway.Connected(h.now, conn) // of those that were dialed
			}
			if others == 0 {
				t.Error("the request had no connection, and none was there")
			}
			h.deferConnects = false
			h.advanceTime(500 * time.Millisecond)
			for _, conn := range h.dialed {
				if got := h.takeWritten(conn); strings.Contains(got, "/feed-a/s/x") || strings.Contains(got, "PROPFIND") {
					t.Errorf("%.60q was written to a node after its client had gone", got)
				}
			}
			h.checkAccounting()
		})
	}
}

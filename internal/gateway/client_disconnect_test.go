package gateway

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// A client leaves in the middle of a long body. The connection to the node is reset before
// the body is complete, so that the node cannot execute the request, and its capacity is
// free at once.
func TestClientDisconnectsDuringUpload(t *testing.T) {
	h := newHarness(t, "")
	long := strings.Repeat("x", 40<<10)
	c := h.connectClient(putRequest("/feed-a/s/x", long)[:20<<10])
	n := h.nodeConn(0)
	h.wantContains("at the node", h.takeWritten(n), "Content-Length: 40960")
	h.gateway.Closed(h.now, c)
	h.runActions()
	if h.closedBy[n] != Abort {
		t.Error("the node's connection stays open")
	}
	h.wantOutcomes(map[Outcome]int{ClientDisconnected: 1})
	for i := range 2 { // the initial window is 2: both places are free
		h.connectClient(getRequest(fmt.Sprint("/feed-a/s/", i)))
	}
	if len(h.dialed) != 3 {
		t.Errorf("%d connections, want 3", len(h.dialed))
	}
}

// A client leaves while a node, which has the whole request, executes it. The attempt goes
// on, and the node's capacity is free only when it responds.
func TestClientDisconnectsWhileNodeExecutes(t *testing.T) {
	h := newHarness(t, "")
	c := h.connectClient(putRequest("/feed-a/s/x", "segment"))
	n := h.nodeConn(0)
	h.gateway.Closed(h.now, c)
	h.runActions()
	if _, closed := h.closedBy[n]; closed {
		t.Fatal("the attempt was aborted though the node has the whole request")
	}
	if len(h.gateway.requests.byID) != 1 {
		t.Fatalf("%d requests with an attempt out, want 1", len(h.gateway.requests.byID))
	}
	h.advanceTime(50 * time.Millisecond)
	h.deliver(n, okResponse("x"))
	h.wantOutcomes(map[Outcome]int{ClientDisconnected: 1})
	h.connectClient(getRequest("/feed-a/s/y"))
	if len(h.dialed) != 1 {
		t.Error("the connection is not reused")
	}
}

// A client leaves in the middle of a response. The node would stream the rest to nobody:
// its connection is reset.
func TestClientDisconnectsDuringResponse(t *testing.T) {
	h := newHarness(t, "")
	c := h.connectClient(getRequest("/feed-a/s/x"))
	n := h.nodeConn(0)
	h.deliver(n, "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\nabc")
	h.gateway.Closed(h.now, c)
	h.runActions()
	if h.closedBy[n] != Abort {
		t.Error("the node streams to nobody")
	}
	h.wantOutcomes(map[Outcome]int{ClientDisconnected: 1})
}

// A client shuts down its sending side behind two requests. It still gets both responses,
// and then the connection is closed.
func TestHalfClosedClientGetsItsResponses(t *testing.T) {
	h := newHarness(t, "")
	c := h.connectClient(getRequest("/feed-a/s/1") + getRequest("/feed-a/s/2"))
	h.gateway.EOF(h.now, c)
	h.runActions()
	n := h.nodeConn(0)
	h.deliver(n, okResponse("one"))
	h.deliver(n, okResponse("two"))
	h.wantContains("the responses", h.takeWritten(c), "one", "two")
	if _, closed := h.closedBy[c]; !closed {
		t.Error("the connection stays open after the last response")
	}
	h.wantOutcomes(map[Outcome]int{Served: 2})
}

package gateway

import (
	"strings"
	"testing"
	"time"
)

// A response without a length is complete when its node ends the connection in order.
// After a reset, or while nothing comes, it is not, and the client must not get it.
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
			t.Errorf("%s: its connection is reused", c.name)
		}
	}
}

// A node responds twice, the second time some milliseconds later. The second response
// would be taken for that of the next request on the connection. The next request is
// therefore sent on a connection that was idle longer, and the one that brought the
// unsolicited response is closed.
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
	h.wantContains("on the one idle longer", h.takeWritten(m), "GET /c ")
	h.deliver(n, okResponse("a"))
	if _, closed := h.closedBy[n]; !closed {
		t.Error("a connection that brought a response nobody has asked for stays open")
	}
	h.deliver(m, okResponse("c"))
	h.wantContains("the response", h.takeWritten(c), "c")
}

// Of the connections that were idle long enough the one used last is reused, so that those
// not needed reach their idle timeout.
func TestLastUsedConnectionIsReused(t *testing.T) {
	h := newProtocolHarness(t)
	h.connectClient(requestWithID("a"))
	h.connectClient(requestWithID("b"))
	n, m := h.nodeConn(0), h.nodeConn(1)
	h.deliver(n, okResponse("a"))
	h.advanceTime(time.Millisecond)
	h.deliver(m, okResponse("b"))
	h.takeWritten(n)
	h.takeWritten(m)
	h.advanceTime(100 * time.Millisecond)
	h.connectClient(requestWithID("c"))
	h.wantContains("on the last used", h.takeWritten(m), "GET /c ")
}

// A node closes a connection right behind a response, and the reset is under way when the
// next request is sent. It would be unknown whether that request was executed. So a non-
// idempotent request is not sent on a connection whose response has just come, while other
// requests reuse it at once.
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
	h.wantContains("the responses", h.takeWritten(c), "x", "written")
	h.deliver(c, getRequest("/feed-a/s/y"))
	h.wantContains("a read at once", h.takeWritten(m), "GET /feed-a/s/y")
	h.deliver(m, okResponse("y"))
	h.takeWritten(c)
}

// A node is seen to keep its connections open, so that a non-idempotent request reuses one
// at once; after it has closed one right behind a response, it does not any more.
func TestFreshConnectionIsReusedOnceNodeKeepsThemOpen(t *testing.T) {
	h := newHarness(t, "")
	c := h.connectClient(getRequest("/feed-a/s/x"))
	h.deliver(h.nodeConn(0), okResponse("x"))
	h.takeWritten(h.nodeConn(0))
	h.advanceTime(reuseDelay) // the node keeps connections open
	h.deliver(c, getRequest("/feed-a/s/x"))
	h.deliver(h.nodeConn(0), okResponse("x"))
	h.takeWritten(h.nodeConn(0))
	h.deliver(c, putRequest("/feed-a/s/x", "one"))
	h.wantContains("on the same connection", h.takeWritten(h.nodeConn(0)), "PUT /feed-a/s/x")
	h.deliver(h.nodeConn(0), okResponse(""))
	h.gateway.Closed(h.now, h.nodeConn(0)) // right behind its response: it does not
	h.runActions()
	h.deliver(c, getRequest("/feed-a/s/x"))
	h.takeWritten(h.nodeConn(1))
	h.deliver(h.nodeConn(1), okResponse("x"))
	h.deliver(c, putRequest("/feed-a/s/x", "two"))
	h.wantContains("on a new connection again", h.takeWritten(h.nodeConn(2)), "PUT /feed-a/s/x")
}

// At the limit of connections to a node a non-idempotent request is sent on a fresh
// connection all the same.
func TestFreshConnectionIsReusedAtConnectionLimit(t *testing.T) {
	h := newHarness(t, "")
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

// A node responds before the request was written whole. That is a late response to an
// earlier request on the connection: this one was not executed, and is sent on another
// connection.
func TestResponseToAnEarlierRequest(t *testing.T) {
	h := newProtocolHarness(t)
	h.connectClient(requestWithID("warm"))
	n := h.nodeConn(0)
	h.deliver(n, okResponse(""))
	h.takeWritten(n)
	h.advanceTime(reuseDelay) // the write reuses the connection
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
	h.wantContains("the response", h.takeWritten(c), "200 OK", "its own")
}

// longResponses is a protocol whose responses may be longer than a stream's that is discarded.
type longResponses struct{ fakeProtocol }

func (longResponses) MaxResponseBytes() (one, all int64) { return 1 << 18, 1 << 20 }

// Guards against connections that are closed since their client has left: with messages that are
// buffered, a whole response that nobody waits for is read to its end, and its connection serves
// the next request.
func TestConnectionOutlivesUnwantedResponse(t *testing.T) {
	h := newProtocolHarness(t)
	h.gateway.SetProtocol(longResponses{})
	c := h.connectClient(requestWithID("a"))
	n := h.nodeConn(0)
	h.gateway.EOF(h.now, c)
	h.runActions()
	h.deliver(n, okResponse(strings.Repeat("x", 1<<18)))
	if op, closed := h.closedBy[n]; closed {
		t.Errorf("closed by %v", op)
	}
	h.connectClient(requestWithID("b"))
	if len(h.dialed) != 1 {
		t.Errorf("%d connections, want 1", len(h.dialed))
	}
}

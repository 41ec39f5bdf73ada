package gateway

import (
	"strings"
	"testing"
	"time"
)

// Verifies that a response without a length counts as complete only if the node ends the
// connection in order. After a reset or the no-progress timeout part of it may be missing, so
// the client must not get it.
func TestResponseWithoutLength(t *testing.T) {
	const text = "HTTP/1.1 200 OK\r\n\r\nall of it"
	for _, test := range []struct {
		name string
		end  func(h *harness, conn ConnID)
		want string
	}{
		{"end", func(h *harness, conn ConnID) { h.gateway.EOF(h.now, conn) }, "all of it"},
		{"reset", func(h *harness, conn ConnID) { h.gateway.Closed(h.now, conn) }, ""},
		{"silence", func(h *harness, conn ConnID) { h.advanceTime(260 * time.Millisecond) }, ""},
	} {
		h := newProtocolHarness(t)
		client := h.connectClient(requestWithID("a"))
		conn := h.nodeConn(0)
		h.takeWritten(conn)
		h.deliver(conn, text)
		if got := h.takeWritten(client); got != "" {
			t.Errorf("%s: the client got %q before the end of the response, want nothing", test.name, got)
		}
		test.end(h, conn)
		h.runActions()
		if got := h.takeWritten(client); test.want == "" && got != "" {
			t.Errorf("%s: the client got %q, want nothing", test.name, got)
		} else {
			h.wantContains(test.name, got, test.want)
		}
		h.connectClient(requestWithID("b"))
		if h.advanceTime(100 * time.Millisecond); h.takeWritten(conn) != "" {
			t.Errorf("%s: the connection of the response is reused", test.name)
		}
	}
}

// Guards against a node that responds twice, the second time some milliseconds later, so that
// the second response is taken for that of the next request on the connection. The next
// request is therefore sent on a connection that was idle longer, and a connection that
// delivers an unsolicited response is closed.
func TestDuplicateResponseFromNode(t *testing.T) {
	h := newProtocolHarness(t)
	clientA, clientB := h.connectClient(requestWithID("a")), h.connectClient(requestWithID("b"))
	connA, connB := h.nodeConn(0), h.nodeConn(1)
	h.deliver(connB, okResponse("b"))
	h.advanceTime(30 * time.Millisecond)
	h.deliver(connA, okResponse("a"))
	h.takeWritten(clientA)
	h.takeWritten(clientB)
	h.takeWritten(connA)
	h.takeWritten(connB)
	clientC := h.connectClient(requestWithID("c"))
	h.wantContains("the request on the connection idle longer", h.takeWritten(connB), "GET /c ")
	h.deliver(connA, okResponse("a"))
	if _, closed := h.closedBy[connA]; !closed {
		t.Error("a connection with an unsolicited response stays open")
	}
	h.deliver(connB, okResponse("c"))
	h.wantContains("the response", h.takeWritten(clientC), "c")
}

// Verifies that of the connections that were idle long enough the most recently used one is
// reused. The others then reach their idle timeout if they are not needed.
func TestLastUsedConnectionIsReused(t *testing.T) {
	h := newProtocolHarness(t)
	h.connectClient(requestWithID("a"))
	h.connectClient(requestWithID("b"))
	connA, connB := h.nodeConn(0), h.nodeConn(1)
	h.deliver(connA, okResponse("a"))
	h.advanceTime(time.Millisecond)
	h.deliver(connB, okResponse("b"))
	h.takeWritten(connA)
	h.takeWritten(connB)
	h.advanceTime(100 * time.Millisecond)
	h.connectClient(requestWithID("c"))
	h.wantContains("the request on the most recently used connection", h.takeWritten(connB), "GET /c ")
}

// Guards against a node that closes a connection right after a response: whether a request
// that is sent before the reset arrives was executed is then unknown. A non-idempotent request
// is therefore not sent on a connection whose response has just arrived, while other requests
// reuse it at once.
func TestNonIdempotentRequestAvoidsFreshConnection(t *testing.T) {
	h := newHarness(t, "")
	client := h.connectClient(getRequest("/feed-a/s/x"))
	oldConn := h.nodeConn(0)
	h.deliver(oldConn, okResponse("x"))
	h.takeWritten(oldConn)
	h.deliver(client, putRequest("/feed-a/s/x", "segment"))
	h.gateway.Closed(h.now, oldConn)
	h.runActions()
	newConn := h.nodeConn(1)
	h.wantContains("the write on a new connection", h.takeWritten(newConn), "PUT /feed-a/s/x", "Maddergap-Attempt: 0")
	h.deliver(newConn, okResponse("written"))
	h.wantContains("the responses", h.takeWritten(client), "x", "written")
	h.deliver(client, getRequest("/feed-a/s/y"))
	h.wantContains("the read right after the response", h.takeWritten(newConn), "GET /feed-a/s/y")
	h.deliver(newConn, okResponse("y"))
	h.takeWritten(client)
}

// Verifies that a non-idempotent request reuses a connection at once if the node is known to
// keep connections open, and no longer does after the node has closed one right after a
// response.
func TestFreshConnectionIsReusedOnceNodeKeepsThemOpen(t *testing.T) {
	h := newHarness(t, "")
	client := h.connectClient(getRequest("/feed-a/s/x"))
	h.deliver(h.nodeConn(0), okResponse("x"))
	h.takeWritten(h.nodeConn(0))
	h.advanceTime(reuseDelay) // the node keeps connections open
	h.deliver(client, getRequest("/feed-a/s/x"))
	h.deliver(h.nodeConn(0), okResponse("x"))
	h.takeWritten(h.nodeConn(0))
	h.deliver(client, putRequest("/feed-a/s/x", "one"))
	h.wantContains("the write on the same connection", h.takeWritten(h.nodeConn(0)), "PUT /feed-a/s/x")
	h.deliver(h.nodeConn(0), okResponse(""))
	h.gateway.Closed(h.now, h.nodeConn(0)) // right after the response: the node does not keep it open
	h.runActions()
	h.deliver(client, getRequest("/feed-a/s/x"))
	h.takeWritten(h.nodeConn(1))
	h.deliver(h.nodeConn(1), okResponse("x"))
	h.deliver(client, putRequest("/feed-a/s/x", "two"))
	h.wantContains("the write on a new connection", h.takeWritten(h.nodeConn(2)), "PUT /feed-a/s/x")
}

// Verifies that a non-idempotent request is sent on a connection whose response has just
// arrived if the limit of connections to the node leaves no other.
func TestFreshConnectionIsReusedAtConnectionLimit(t *testing.T) {
	h := newHarness(t, "")
	h.gateway.config.Limits.ConnsPerNode = 1
	h.connectClient(getRequest("/feed-a/s/x"))
	h.takeWritten(h.nodeConn(0))
	h.deliver(h.nodeConn(0), okResponse("x"))
	h.connectClient(putRequest("/feed-a/s/x", "segment"))
	if len(h.dialed) > 1 {
		t.Errorf("%d connections to the node, want 1", len(h.dialed))
	}
	h.wantContains("the write on the only connection", h.takeWritten(h.nodeConn(0)), "PUT /feed-a/s/x")
}

// Verifies that a response that arrives before the complete request was written is taken for a
// late response to an earlier request on the connection. The present request was not executed
// then, and is sent again on another connection.
func TestResponseToAnEarlierRequest(t *testing.T) {
	h := newProtocolHarness(t)
	h.connectClient(requestWithID("warm"))
	oldConn := h.nodeConn(0)
	h.deliver(oldConn, okResponse(""))
	h.takeWritten(oldConn)
	h.advanceTime(reuseDelay) // the write reuses the connection
	h.blocked[oldConn] = true
	client := h.connectClient(putRequest("/", "payload", "id: a"))
	h.gateway.Wrote(h.now, oldConn, 10)
	h.deliver(oldConn, okResponse("of another"))
	if got := h.takeWritten(client); got != "" || h.closedBy[oldConn] != Abort {
		t.Fatalf("the client got %q, want nothing; connections closed by %v, want the node's aborted", got, h.closedBy)
	}
	h.advanceTime(50 * time.Millisecond)
	newConn := h.nodeConn(1)
	h.wantContains("the request sent again", h.takeWritten(newConn), "PUT /a ", "payload")
	h.deliver(newConn, okResponse("its own"))
	h.wantContains("the response", h.takeWritten(client), "200 OK", "its own")
}

// longResponses is a protocol whose limit of a response is above the bytes that WebDAV discards of
// an unwanted one.
type longResponses struct{ fakeProtocol }

func (longResponses) MaxResponseBytes() (perResponse, total int64) { return 1 << 18, 1 << 20 }

// Guards against node connections that are closed because a client has left. With a protocol that
// buffers its messages, an unwanted response of any permitted length is read to its end, and the
// connection serves the next request.
func TestConnectionOutlivesUnwantedResponse(t *testing.T) {
	h := newProtocolHarness(t)
	h.gateway.SetProtocol(longResponses{})
	client := h.connectClient(requestWithID("a"))
	conn := h.nodeConn(0)
	h.gateway.EOF(h.now, client)
	h.runActions()
	h.deliver(conn, okResponse(strings.Repeat("x", 1<<18)))
	if op, closed := h.closedBy[conn]; closed {
		t.Errorf("the node's connection was closed by %v, want it open", op)
	}
	h.connectClient(requestWithID("b"))
	if len(h.dialed) != 1 {
		t.Errorf("%d connections to the node, want 1", len(h.dialed))
	}
}

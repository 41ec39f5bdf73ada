package gateway

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"maddergap/internal/config"
	"maddergap/scheduler"
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

// Regression test: a node's second response, a millisecond late, was served to the client of the
// next request on the connection. That happened whenever the node had no connection that was idle
// longer, and at a limit of connections.
func TestDuplicateResponseOnOnlyConnection(t *testing.T) {
	for name, harnessOf := range harnessesByProtocol {
		for _, limit := range []int{1, 4} {
			for _, waits := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s, %d connections, may wait %v", name, limit, waits), func(t *testing.T) {
					h := harnessOf(t, harnessConfig)
					h.gateway.config.Limits.ConnsPerNode = limit
					first := h.connectClient(getRequest("/feed-a/s/a", "id: a"))
					oldConn := h.nodeConn(0)
					if !waits {
						h.useUpReuseWaits()
					}
					h.deliver(oldConn, okResponse("made for a"))
					h.wantContains("the first response", h.takeWritten(first), "made for a")
					second := h.connectClient(getRequest("/feed-a/s/b", "id: b"))
					h.advanceTime(time.Millisecond)
					h.deliver(oldConn, okResponse("made for a"))
					if got := h.takeWritten(second); got != "" {
						t.Fatalf("the client got %q, want nothing before the node's response to its request", got)
					}
					if _, closed := h.closedBy[oldConn]; !closed {
						t.Error("the connection with the second response stays open")
					}
					h.advanceTime(100 * time.Millisecond)
					newConn := h.nodeConn(1)
					h.deliver(newConn, okResponse("made for b"))
					h.wantContains("the second client's response", h.takeWritten(second), "made for b")
				})
			}
		}
	}
}

// useUpReuseWaits makes requests for the first node get a new connection instead of waiting for one,
// up to the end of the present interval.
func (h *harness) useUpReuseWaits() {
	h.gateway.nodes.byName["n0"].reuseWaits = reuseWaitLimit{since: h.now, count: maxReuseWaitsPerInterval}
}

// Verifies that a connection is reused once it was idle for reuseDelay, and not before, by requests
// of any effect.
func TestConnectionIsReusedAfterDelay(t *testing.T) {
	for _, request := range []string{getRequest("/feed-a/s/y"), putRequest("/feed-a/s/y", "segment")} {
		for _, idle := range []time.Duration{0, reuseDelay - 1, reuseDelay} {
			h := newHarness(t, "")
			h.connectClient(getRequest("/feed-a/s/x"))
			conn := h.nodeConn(0)
			h.takeWritten(conn)
			h.deliver(conn, okResponse("x"))
			h.advanceTime(idle)
			h.connectClient(request)
			if sent := h.takeWritten(conn) != ""; sent != (idle == reuseDelay) {
				t.Errorf("%.4q after %v: sent on the connection %v", request, idle, sent)
			}
			h.advanceTime(reuseDelay - idle)
			if idle < reuseDelay {
				h.wantContains("the request that has waited", h.takeWritten(conn), request[:16])
			}
			if len(h.dialed) != 1 {
				t.Errorf("%.4q after %v: %d connections, want 1", request, idle, len(h.dialed))
			}
		}
	}
}

// Verifies that requests which follow each other closely wait for an idle connection only
// maxReuseWaitsPerInterval times, and then get new connections, so that the throughput of a node is
// not limited by reuseDelay.
func TestFewRequestsWaitForConnection(t *testing.T) {
	h := newHarness(t, "")
	for i := range 2 * maxReuseWaitsPerInterval {
		client := h.connectClient(getRequest("/feed-a/s/x"))
		h.advanceTime(reuseDelay)
		conn := h.nodeConn(len(h.dialed) - 1)
		h.deliver(conn, okResponse("x"))
		h.wantContains(fmt.Sprint("response ", i), h.takeWritten(client), "200 OK")
	}
	if len(h.dialed) != 2 {
		t.Errorf("%d connections, want 2: one more when the waits are used up", len(h.dialed))
	}
}

// Verifies that a connection on which no request was sent yet is used at once: no response to an
// earlier request can arrive on it.
func TestUnusedConnectionIsUsedAtOnce(t *testing.T) {
	h := newProtocolHarness(t)
	h.deferConnects = true
	client := h.connectClient(requestWithID("a"))
	conn := h.nodeConn(0)
	h.gateway.EOF(h.now, client)
	h.gateway.Connected(h.now, conn)
	h.runActions()
	h.connectClient(requestWithID("b"))
	h.wantContains("the request on the connection dialed before", h.takeWritten(conn), "GET /b ")
}

// Guards against a node that closes a connection right after a response: it is then unknown
// whether a request that was sent before the reset arrived was executed. A request is therefore
// not sent on a connection whose response has just arrived.
func TestRequestAvoidsFreshConnection(t *testing.T) {
	for _, request := range []string{getRequest("/feed-a/s/y"), putRequest("/feed-a/s/y", "segment")} {
		for _, waits := range []bool{true, false} {
			h := newHarness(t, "")
			client := h.connectClient(getRequest("/feed-a/s/x"))
			oldConn := h.nodeConn(0)
			if !waits {
				h.useUpReuseWaits()
			}
			h.deliver(oldConn, okResponse("x"))
			h.takeWritten(oldConn)
			h.deliver(client, request)
			h.gateway.Closed(h.now, oldConn)
			h.advanceTime(100 * time.Millisecond)
			newConn := h.nodeConn(1)
			h.wantContains("the request on a new connection", h.takeWritten(newConn), " /feed-a/s/y")
			h.deliver(newConn, okResponse("of y"))
			h.wantContains("the responses", h.takeWritten(client), "x", "of y")
		}
	}
}

// Verifies that at a limit of connections a request waits for the connection whose response has just
// arrived, so that the limit is kept.
func TestRequestWaitsAtConnectionLimit(t *testing.T) {
	for name, lower := range map[string]func(l *config.Limits){
		"per node": func(l *config.Limits) { l.ConnsPerNode = 1 },
		"over all": func(l *config.Limits) { l.NodeConns = 1 },
	} {
		h := newHarness(t, "")
		lower(&h.gateway.config.Limits)
		h.connectClient(getRequest("/feed-a/s/x"))
		conn := h.nodeConn(0)
		h.useUpReuseWaits()
		h.takeWritten(conn)
		h.deliver(conn, okResponse("x"))
		h.connectClient(putRequest("/feed-a/s/x", "segment"))
		h.advanceTime(reuseDelay)
		h.wantContains(name+": the write", h.takeWritten(conn), "PUT /feed-a/s/x", "Maddergap-Attempt: 0")
		if n := len(h.dialed); n != 1 {
			t.Errorf("%s: %d connections to nodes, want 1", name, n)
		}
	}
}

// Verifies that nothing is sent for a client that disconnects while its request waits for a connection,
// and that the connection is kept for the next request.
func TestClientDisconnectsWhileWaitingForConnection(t *testing.T) {
	for name, harnessOf := range harnessesByProtocol {
		h := harnessOf(t, harnessConfig)
		h.connectClient(getRequest("/feed-a/s/a", "id: a"))
		conn := h.nodeConn(0)
		h.takeWritten(conn)
		h.deliver(conn, okResponse("a"))
		client := h.connectClient(getRequest("/feed-a/s/b", "id: b"))
		h.gateway.Closed(h.now, client)
		h.advanceTime(reuseDelay)
		if got := h.takeWritten(conn); got != "" {
			t.Errorf("%s: %q was sent for a client that has disconnected, want nothing", name, got)
		}
		h.wantOutcomes(map[Outcome]int{Served: 1, ClientDisconnected: 1})
		h.connectClient(getRequest("/feed-a/s/c", "id: c"))
		h.wantContains(name+": the next request", h.takeWritten(conn), "GET /")
	}
}

// Verifies that nothing is sent to a node that begins to drain while a request waits for its connection.
func TestNodeDrainsWhileRequestWaitsForConnection(t *testing.T) {
	h := newProtocolHarness(t)
	h.connectClient(requestWithID("a"))
	conn := h.nodeConn(0)
	h.takeWritten(conn)
	h.deliver(conn, okResponse("a"))
	client := h.connectClient(requestWithID("b"))
	h.setNodeState(scheduler.Draining)
	h.advanceTime(100 * time.Millisecond)
	if got := h.takeWritten(conn); got != "" {
		t.Errorf("%q was sent to a draining node, want nothing", got)
	}
	newConn := h.nodeConn(1)
	h.deliver(newConn, okResponse("of another node"))
	h.wantContains("the response", h.takeWritten(client), "of another node")
}

// reusableConn returns a connection to a node that has responded to a request and was idle for reuseDelay.
func (h *harness) reusableConn() ConnID {
	h.connectClient(getRequest("/feed-a/s/a", "id: a"))
	conn := h.nodeConn(0)
	h.takeWritten(conn)
	h.deliver(conn, okResponse("made for a"))
	h.advanceTime(reuseDelay)
	return conn
}

// wantServedOnNewConn checks that a client's request is sent again on a second connection, and that the
// client gets the response from there.
func (h *harness) wantServedOnNewConn(what string, client ConnID) {
	h.t.Helper()
	h.advanceTime(100 * time.Millisecond)
	h.deliver(h.nodeConn(1), okResponse("made for b"))
	h.wantContains(what+": the response", h.takeWritten(client), "made for b")
}

// Regression test: a node's second response that arrived while the process was held up, and was not read
// yet, was served to the client of the next request on the connection.
func TestDuplicateResponseIsReadBeforeReuse(t *testing.T) {
	for name, harnessOf := range harnessesByProtocol {
		h := harnessOf(t, harnessConfig)
		oldConn := h.reusableConn()
		h.arrived[oldConn] = okResponse("made for a")
		client := h.connectClient(getRequest("/feed-a/s/b", "id: b"))
		if got := h.takeWritten(oldConn); got != "" {
			t.Errorf("%s: %q was sent on the connection with the second response, want nothing", name, got)
		}
		h.wantServedOnNewConn(name, client)
	}
}

// Regression test: a response on a connection that had not taken a byte of its request yet was served to a
// WebDAV client. It belongs to an earlier request.
func TestResponseBeforeFirstByteIsNotForwarded(t *testing.T) {
	for name, harnessOf := range harnessesByProtocol {
		h := harnessOf(t, harnessConfig)
		oldConn := h.reusableConn()
		h.blocked[oldConn] = true
		client := h.connectClient(getRequest("/feed-a/s/b", "id: b"))
		h.deliver(oldConn, okResponse("made for a"))
		if got := h.takeWritten(client); got != "" {
			t.Errorf("%s: the client got %q, want nothing", name, got)
		}
		h.wantServedOnNewConn(name, client)
	}
}

// Verifies that data on an idle connection closes it and is counted, so that operators see nodes
// that respond twice.
func TestUnsolicitedResponsesAreCounted(t *testing.T) {
	h := newHarness(t, "")
	h.connectClient(getRequest("/feed-a/s/x"))
	h.deliver(h.nodeConn(0), okResponse("x"))
	h.deliver(h.nodeConn(0), okResponse("x"))
	if c := h.gateway.Counts(); c.UnsolicitedResponses != 1 || c.NodeConnsOpened != 1 || c.NodeConns != 0 {
		t.Errorf("%d unsolicited responses, %d connections opened, %d open; want 1, 1, 0", c.UnsolicitedResponses, c.NodeConnsOpened, c.NodeConns)
	}
}

// Verifies that a response that arrives before the complete request was written is taken for a
// late response to an earlier request on the connection. In that case the current request was not
// executed, and is sent again on another connection.
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

// longResponses is a fakeProtocol that permits longer responses than the 64 KiB that
// webdavProtocol reads of an unwanted response.
type longResponses struct{ fakeProtocol }

func (longResponses) MaxResponseBytes() (perResponse, total int64) { return 1 << 18, 1 << 20 }

// Guards against node connections that are closed because a client has disconnected while its response
// arrives. With a protocol that buffers its messages, an unwanted response of any permitted length is
// read to its end, and the connection serves the next request.
func TestConnectionOutlivesUnwantedResponse(t *testing.T) {
	h := newProtocolHarness(t)
	h.gateway.SetProtocol(longResponses{})
	client := h.connectClient(requestWithID("a"))
	conn := h.nodeConn(0)
	response := okResponse(strings.Repeat("x", 1<<18))
	h.deliver(conn, response[:len(response)-1<<18])
	h.gateway.EOF(h.now, client)
	h.runActions()
	h.deliver(conn, response[len(response)-1<<18:])
	if op, closed := h.closedBy[conn]; closed {
		t.Errorf("the node's connection was closed by %v, want it open", op)
	}
	h.advanceTime(reuseDelay)
	h.connectClient(requestWithID("b"))
	if len(h.dialed) != 1 {
		t.Errorf("%d connections to the node, want 1", len(h.dialed))
	}
}

package discovery

import (
	"errors"
	"strings"
	"testing"
	"time"

	"maddergap/internal/nodelist"
	"maddergap/scheduler"
)

// Verifies that the client requests the full list, then watches it, and returns the nodes of both as
// updates, whatever the sizes of the pieces in which responses arrive.
func TestFullListThenWatches(t *testing.T) {
	for _, n := range []int{1, 7, 1 << 20} {
		h := newAgentHarness(t)
		if h.lastRequest != "GET /api/targets HTTP/1.1" {
			t.Fatalf("the first request is %q", h.lastRequest)
		}
		h.respond(listJSON(41, true, endpointJSON("a", "up"), endpointJSON("b", "draining")), n)
		update, ok := h.client.TakeUpdate()
		nodes, full := update.Nodes, update.Full
		want := nodelist.Node{Name: "a", Addr: "10.0.0.9:1", Zone: 1, Shard: 2, Started: time.UnixMilli(1700000000123)}
		if !ok || !full || len(nodes) != 2 || nodes[0] != want || nodes[1].State != scheduler.Draining {
			t.Fatalf("got update %v, full %v, nodes %+v; want a full list of a and of b, draining", ok, full, nodes)
		}
		if h.lastRequest != "GET /api/targets?from=41&hold_ms=120 HTTP/1.1" {
			t.Fatalf("got request %q after the full list, want a watch at once", h.lastRequest)
		}
		h.respond(listJSON(43, false, endpointJSON("a", "removed")), n)
		if update, ok = h.client.TakeUpdate(); !ok || update.Full || len(update.Nodes) != 1 || update.Nodes[0].State != scheduler.Removed {
			t.Fatalf("got update %v: %+v; want the removal of a node", ok, update)
		}
		h.respond(listJSON(43, false), n)
		if _, ok = h.client.TakeUpdate(); ok || !strings.Contains(h.lastRequest, "from=43") {
			t.Fatalf("got an update without a change, or no further watch: last request %q", h.lastRequest)
		}
	}
}

// Verifies that a failed call, in each of many ways and repeatedly, leaves the list in effect, and
// that the next call follows on a new connection within a limited time. It requests the changes since
// the known version if the server did not respond, rejected the call or lost the connection, and the
// full list after an invalid response.
func TestFailedCallKeepsList(t *testing.T) {
	const fullList, changes = "GET /api/targets HTTP/1.1", "GET /api/targets?from=41&hold_ms=0 HTTP/1.1"
	goodList := listJSON(41, true, endpointJSON("a", "up"))
	for _, test := range failedCalls(fullList, changes) {
		h := newAgentHarness(t)
		h.respond(goodList, 99)
		h.client.TakeUpdate()
		for range 20 {
			dialsBefore, connBefore := len(h.dials), h.lastConn
			test.fail(h)
			h.step()
			if _, ok := h.client.TakeUpdate(); ok {
				t.Fatalf("%s: got an update from a failed call", test.name)
			}
			h.advance(2 * agentPolicy.maxCallAge)
			if len(h.dials) == dialsBefore || len(h.dials) > dialsBefore+40 || h.lastConn == connBefore {
				t.Fatalf("%s: %d dials within %v, want 1 to 40 and a request on a new connection", test.name, len(h.dials)-dialsBefore, 2*agentPolicy.maxCallAge)
			}
			if h.lastRequest != test.nextRequest {
				t.Fatalf("%s: wrong request %q after the failed call", test.name, h.lastRequest)
			}
			status := h.client.Status()
			if status.LastError == nil && status.CallsAbandoned == 0 && len(h.pendingRequests) < 2 {
				t.Fatalf("%s: the status shows no failed call", test.name)
			}
			if test.want != nil && !errors.Is(status.LastError, test.want) {
				t.Fatalf("%s: got error %v, want %v", test.name, status.LastError, test.want)
			}
			h.respond(goodList, 99)
			h.client.TakeUpdate()
			if err := h.client.Status().LastError; err != nil || len(h.open) != 1 {
				t.Fatalf("%s: got error %v and %d open connections after a good list, want no error and one connection", test.name, err, len(h.open))
			}
		}
	}
}

// failedCall is a case of TestFailedCallKeepsList: a call that fails after a list of version 41.
type failedCall struct {
	name        string
	fail        func(h *harness)
	nextRequest string // request line of the next call
	want        error  // error of the call; nil if it is not checked
}

func failedCalls(fullList, changes string) []failedCall {
	respond := func(body string) func(h *harness) { return func(h *harness) { h.respond(body, 99) } }
	deliver := func(p string) func(h *harness) { return func(h *harness) { h.deliver(h.lastConn, p) } }
	deliverPart := func(h *harness) { h.deliver(h.lastConn, httpResponse(listJSON(42, true))[:60]) }
	changed := func(endpoint string) string { return listJSON(50, false, endpoint) }
	return []failedCall{
		{"silence", func(h *harness) { h.advance(agentPolicy.maxCallAge) }, changes, nil},
		{"silence within the response", func(h *harness) { deliverPart(h); h.advance(maxResponseDeferral) }, changes, nil},
		{"closed", func(h *harness) { h.resetConn(h.lastConn) }, changes, ErrConnectionLost},
		{"closed within the response", func(h *harness) { deliverPart(h); h.resetConn(h.lastConn) }, changes, ErrConnectionLost},
		{"rejected", deliver("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"), changes, nil},
		{"not HTTP", deliver("\x00\x01\r\n\r\n"), fullList, nil},
		{"header without end", deliver("HTTP/1.1 200 OK\r\nX: " + strings.Repeat("a", 20<<10)), fullList, nil},
		{"other status", deliver("HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n"), fullList, nil},
		{"length over the bound", deliver("HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n"), fullList, ErrListTooLarge},
		{"list without end", func(h *harness) {
			h.deliver(h.lastConn, "HTTP/1.1 200 OK\r\n\r\n"+`{"endpoints":[`)
			for range 1000 {
				h.deliver(h.lastConn, strings.Repeat(" ", 8<<10))
			}
		}, fullList, ErrListTooLarge},
		{"not JSON", respond(`{"index":`), fullList, ErrMalformedList},
		{"no index", respond(`{"snapshot":true,"endpoints":[]}`), fullList, ErrMalformedList},
		{"stale index", respond(listJSON(3, false, endpointJSON("c", "up"))), fullList, ErrStaleIndex},
		{"full list of no node", respond(listJSON(50, true)), fullList, ErrUnexpectedList},
		{"no name", respond(changed(endpointJSON("", "up"))), fullList, ErrMalformedList},
		{"not an object", respond(changed("7")), fullList, ErrMalformedList},
		{"not an array", respond(`{"index":50,"snapshot":false,"endpoints":{"a":[]}}`), fullList, ErrMalformedList},
		{"bad address", respond(strings.Replace(changed(endpointJSON("c", "up")), "10.0.0.9:1", "there", 1)), fullList, ErrMalformedList},
		{"bad start time", respond(strings.Replace(changed(endpointJSON("c", "up")), "1700000000123", "-1", 1)), fullList, ErrMalformedList},
		{"two bodies", deliver("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}{}"), fullList, ErrMalformedList},
	}
}

// Verifies that a node with an unknown status counts as draining, and that an unknown zone gets the
// next number. A later version of the protocol may send both.
func TestUnknownStatusAndZone(t *testing.T) {
	h := newAgentHarness(t)
	h.respond(listJSON(1, true, endpointJSON("a", "resting"), strings.Replace(endpointJSON("b", "up"), "z1", "moon", 1)), 99)
	update, ok := h.client.TakeUpdate()
	nodes := update.Nodes
	if !ok || nodes[0].State != scheduler.Draining || nodes[1].Zone != 2 {
		t.Errorf("got update %v, nodes %+v; want the first one draining and the second one in zone 2", ok, nodes)
	}
}

// Verifies that a change of the server's address closes the old connection at once, and that the
// full list is requested from the new address: the new server has its own versions, which may be lower.
func TestSetAddress(t *testing.T) {
	h := newAgentHarness(t)
	h.respond(listJSON(41, true, endpointJSON("a", "up")), 99)
	h.client.SetAddress(h.now, "10.0.0.1:1")
	if h.step(); len(h.dials) != 1 {
		t.Fatal("SetAddress with the same address dials again")
	}
	h.client.SetAddress(h.now, "10.0.0.2:2")
	if h.step(); len(h.dials) != 2 || h.dials[1] != "10.0.0.2:2" || h.closedConns != 1 || len(h.open) != 1 || h.lastRequest != "GET /api/targets HTTP/1.1" {
		t.Fatalf("dials %v, %d connections closed, request %q; want the full list requested at the new address", h.dials, h.closedConns, h.lastRequest)
	}
	h.respond(listJSON(2, true, endpointJSON("a", "up")), 99)
	if update, ok := h.client.TakeUpdate(); !ok || !update.Full {
		t.Error("got no update from the full list of the new address")
	}
}

// Verifies that a server that responds to watches at once, though nothing changed, does not cause a
// busy loop of calls.
func TestMinCallInterval(t *testing.T) {
	h := newAgentHarness(t)
	h.onRequest = func(conn int, _ string) {
		delete(h.pendingRequests, conn)
		h.deliver(conn, httpResponse(listJSON(41, false)))
	}
	h.respond(listJSON(41, true, endpointJSON("a", "up")), 1<<20)
	before := h.client.Status().CallsSent
	h.advance(time.Second)
	if sent := h.client.Status().CallsSent - before; sent > int(time.Second/minCallInterval)+1 {
		t.Errorf("%d calls within a second, want at most one in each minCallInterval", sent)
	}
}

// Verifies that interim (1xx) responses before a list are skipped, also if they arrive in pieces, and
// that the call fails if there are too many.
func TestInterimResponses(t *testing.T) {
	const interim = "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Hints\r\nLink: a\r\n\r\n"
	for _, n := range []int{1, 1 << 20} {
		h := newAgentHarness(t)
		for remaining := interim; len(remaining) > 0; remaining = remaining[min(n, len(remaining)):] {
			h.deliver(h.lastConn, remaining[:min(n, len(remaining))])
		}
		h.respond(listJSON(41, true, endpointJSON("a", "up")), n)
		if update, ok := h.client.TakeUpdate(); !update.Full || !ok || len(h.dials) != 1 {
			t.Fatalf("no list received after interim responses: error %v", h.client.Status().LastError)
		}
	}
	h := newAgentHarness(t)
	h.deliver(h.lastConn, strings.Repeat(interim, 20))
	if h.step(); !errors.Is(h.client.Status().LastError, ErrTooManyInterim) {
		t.Errorf("got error %v after too many interim responses, want ErrTooManyInterim", h.client.Status().LastError)
	}
}

// Verifies that a client with a list from before its start requests the changes since that list from
// a polled service, and returns the full list with these changes applied. After an invalid response
// it requests the full list. From an agent it requests the full list at once.
func TestResumeFrom(t *testing.T) {
	known := []nodelist.Node{{Name: "a", Addr: "10.0.0.1:1"}, {Name: "b", Addr: "10.0.0.2:1"}}
	resumedHarness := func(poll bool) *harness {
		c := New("10.0.0.1:1", []string{"z0", "z1"}, poll, 1)
		c.ResumeFrom(41, known)
		return newHarness(t, c)
	}
	const changes, fullList = "GET /api/targets?from=41&hold_ms=0 HTTP/1.1", "GET /api/targets HTTP/1.1"

	h := resumedHarness(true)
	if h.lastRequest != changes {
		t.Fatalf("the first request is %q", h.lastRequest)
	}
	h.respond(listJSON(43, false, endpointJSON("b", "draining"), endpointJSON("c", "up")), 99)
	update, ok := h.client.TakeUpdate()
	states := map[string]scheduler.NodeState{}
	for _, n := range update.Nodes {
		states[n.Name] = n.State
	}
	if !ok || !update.Full || len(states) != 3 || states["b"] != scheduler.Draining || states["a"] != scheduler.Serving {
		t.Errorf("changes: got update %v: %+v; want a full list of a, b (draining) and c", ok, update)
	}

	h = resumedHarness(true)
	h.respond(listJSON(41, false), 99)
	if update, ok := h.client.TakeUpdate(); !ok || !update.Full || len(update.Nodes) != 2 {
		t.Errorf("no changes: got update %v: %+v; want a full list of a and b", ok, update)
	}

	h = resumedHarness(true)
	h.respond(listJSON(50, true, endpointJSON("z", "up")), 99)
	if update, ok := h.client.TakeUpdate(); !ok || !update.Full || len(update.Nodes) != 1 {
		t.Errorf("full list: got update %v: %+v; want a full list of one node", ok, update)
	}

	h = resumedHarness(true)
	h.respond(listJSON(7, false), 99)
	if h.advance(pollPolicy.maxBackoff); h.lastRequest != fullList {
		t.Errorf("got request %q after a stale index, want one for the full list", h.lastRequest)
	}
	if h = resumedHarness(false); h.lastRequest != fullList {
		t.Errorf("got first request %q to an agent, want one for the full list", h.lastRequest)
	}
}

package gateway

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"maddergap/internal/config"
	"maddergap/internal/nodelist"
	"maddergap/scheduler"
)

// The seam: one whole request through a head, no descriptor, no real clock.
func TestRequestReachesNodeAndResponseReturns(t *testing.T) {
	h := newHarness(t, "")
	c := h.connectClient(getRequest("/feed-a/s/x", "traceparent: 00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"))
	n := h.nodeConn(0)
	got := h.takeWritten(n)
	h.wantContains("at the node", got, "GET /feed-a/s/x HTTP/1.1\r\n", "Host: h\r\n", "Via: 1.1 maddergap", "X-Request-Id: ", "Maddergap-Attempt: 0", "traceparent: 00-0af7651916cd43dd8448eb211c80319c-")
	if strings.Contains(got, "b7ad6b7169203331") {
		t.Error("the attempt goes under the client's span, not its own")
	}
	h.now += 5 * time.Millisecond
	h.receive(n, "HTTP/1.1 200 OK\r\nContent-Le")
	h.receive(n, "ngth: 6\r\nETag: \"e\"\r\n\r\nabc")
	h.receive(n, "def")
	h.wantContains("the answer", h.takeWritten(c), "HTTP/1.1 200 OK\r\n", "Content-Length: 6\r\n", "ETag: \"e\"", "X-Request-Id: ", "\r\n\r\nabcdef")
	h.wantOutcomes(map[Outcome]int{Served: 1})
	if s := h.spans[0]; s.Node != "n0" || s.AttemptOutcome != scheduler.OK || s.Parent != h.spans[1].ID || fmt.Sprintf("%x", h.spans[1].Parent) != "b7ad6b7169203331" {
		t.Errorf("spans %+v", h.spans)
	}
	// The kept connections serve the next request.
	h.receive(c, getRequest("/feed-a/s/y"))
	if len(h.dialed) != 1 {
		t.Errorf("%d connections, want the first one again", len(h.dialed))
	}
}

// Same seed and events, same actions.
func TestSameEventsSameActions(t *testing.T) {
	day := func() string {
		h := newHarness(t, "")
		for i := range 20 {
			c := h.connectClient(getRequest(fmt.Sprint("/feed-b/s", i, "/x")))
			h.advanceTime(3 * time.Millisecond)
			if i%5 == 4 {
				h.gateway.Closed(h.now, c)
			}
			for _, n := range h.dialed {
				if h.takeWritten(n) != "" && i%3 > 0 {
					h.receive(n, okResponse("x"))
				}
			}
		}
		h.advanceTime(2 * time.Second)
		return h.actionLog.String()
	}
	if a, b := day(), day(); a != b || len(a) < 500 {
		t.Errorf("two runs differ, or did nothing:\n%.500s\n%.500s", a, b)
	}
}

// A node takes a segment-write and never answers.
func TestUnresponsiveNodeFailsNonIdempotentRequest(t *testing.T) {
	h := newHarness(t, "")
	c := h.connectClient(putRequest("/feed-a/s/x", "segment"))
	n := h.nodeConn(0)
	h.wantContains("at the node", h.takeWritten(n), "PUT /feed-a/s/x", "Content-Length: 7", "segment")
	h.advanceTime(970 * time.Millisecond)
	if got := h.takeWritten(c); got != "" {
		t.Fatalf("answered early: %q", got)
	}
	h.advanceTime(20 * time.Millisecond) // the deadline less the answer margin
	got := h.takeWritten(c)
	h.wantContains("the answer", got, "HTTP/1.1 504 ", "not known")
	if strings.Contains(got, "Retry-After") {
		t.Error("a failure promises nothing")
	}
	h.advanceTime(3 * time.Second)
	if h.gateway.Counts().Attempts != 1 || h.takeWritten(c) != "" {
		t.Errorf("%d attempts, want 1 and one answer", h.gateway.Counts().Attempts)
	}
	h.wantOutcomes(map[Outcome]int{Failed: 1})
	// Well again, the node is used again.
	h.receive(c, putRequest("/feed-a/s/x", "again"))
	h.advanceTime(time.Second / 2)
	h.receive(h.nodeConn(len(h.dialed)-1), okResponse(""))
	h.wantContains("the answer", h.takeWritten(c), "200 OK")
}

// An answer after the deadline reaches nobody: its connection is gone.
func TestResponseAfterDeadlineIsDropped(t *testing.T) {
	h := newHarness(t, "")
	c := h.connectClient(putRequest("/feed-a/s/x", "segment"))
	n := h.nodeConn(0)
	h.advanceTime(time.Second)
	h.takeWritten(c)
	if h.closedBy[n] != Abort {
		t.Error("the connection of the late attempt stays open")
	}
	h.receive(n, okResponse("late"))
	if got := h.takeWritten(c); got != "" {
		t.Errorf("a second answer: %q", got)
	}
}

// A client gives up in the middle of a long body: the node's connection is
// broken off before the body is whole, so that it cannot run, and the slot is
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
	for i := range 2 { // windowStart is 2: both slots are there
		h.connectClient(getRequest(fmt.Sprint("/feed-a/s/", i)))
	}
	if len(h.dialed) != 3 {
		t.Errorf("%d connections, want 3", len(h.dialed))
	}
}

// A client that leaves while it waits: the slot comes back with the answer.
func TestClientDisconnectsWhileNodeExecutes(t *testing.T) {
	h := newHarness(t, "")
	c := h.connectClient(putRequest("/feed-a/s/x", "segment"))
	n := h.nodeConn(0)
	h.gateway.Closed(h.now, c)
	h.runActions()
	if _, gone := h.closedBy[n]; gone {
		t.Fatal("the attempt was broken off, though the node has it whole")
	}
	if len(h.gateway.requests.byID) != 1 {
		t.Fatalf("%d requests with an attempt out, want 1", len(h.gateway.requests.byID))
	}
	h.advanceTime(50 * time.Millisecond)
	h.receive(n, okResponse("x"))
	h.wantOutcomes(map[Outcome]int{ClientDisconnected: 1})
	h.connectClient(getRequest("/feed-a/s/y"))
	if len(h.dialed) != 1 {
		t.Error("the connection was not kept")
	}
}

// A client leaves in the middle of an answer.
func TestClientDisconnectsDuringResponse(t *testing.T) {
	h := newHarness(t, "")
	c := h.connectClient(getRequest("/feed-a/s/x"))
	n := h.nodeConn(0)
	h.receive(n, "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\nabc")
	h.gateway.Closed(h.now, c)
	h.runActions()
	if h.closedBy[n] != Abort {
		t.Error("the node streams on to nobody")
	}
	h.wantOutcomes(map[Outcome]int{ClientDisconnected: 1})
}

// A node that answers before it has the body: the client has that answer, and
// neither connection is used again.
func TestNodeRespondsBeforeBodyIsComplete(t *testing.T) {
	h := newHarness(t, "")
	c := h.connectClient(putRequest("/feed-a/s/x", strings.Repeat("x", 400<<10))[:40<<10])
	n := h.nodeConn(0)
	h.receive(n, "HTTP/1.1 423 Locked\r\nContent-Length: 0\r\n\r\n")
	h.wantContains("the answer", h.takeWritten(c), "HTTP/1.1 423 Locked", "Connection: close")
	if h.closedBy[n] != Close {
		t.Error("the node's connection is kept in the middle of a body")
	}
	h.receive(c, strings.Repeat("x", 100<<10)) // read and dropped, so that no reset takes the answer away
	h.advanceTime(3 * time.Second)
	if _, gone := h.closedBy[c]; !gone {
		t.Error("the client's connection lingers for ever")
	}
	h.wantOutcomes(map[Outcome]int{Served: 1})
}

// A reset in the middle of an answer: the client's answer is cut short, so that
// it cannot be taken for whole, and nothing is sent again.
func TestNodeResetsDuringResponse(t *testing.T) {
	h := newHarness(t, "")
	c := h.connectClient(getRequest("/feed-a/s/x"))
	n := h.nodeConn(0)
	h.receive(n, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n")
	h.gateway.Closed(h.now, n)
	h.runActions()
	h.advanceTime(2 * time.Second)
	if h.closedBy[c] != Abort || strings.Contains(h.takeWritten(c), "0\r\n\r\n") {
		t.Error("the client may take half an answer for a whole one")
	}
	if h.gateway.Counts().Attempts != 1 {
		t.Errorf("%d attempts", h.gateway.Counts().Attempts)
	}
}

// A kept connection closes just as a request goes out. Not a byte written: it
// never ran, and may go again. Written: an unsafe request fails.
func TestIdleConnectionClosesAsRequestIsSent(t *testing.T) {
	for _, written := range []bool{false, true} {
		h := newHarness(t, "")
		c := h.connectClient(getRequest("/feed-a/s/x"))
		n := h.nodeConn(0)
		h.receive(n, okResponse("x"))
		h.takeWritten(c)
		h.advanceTime(reuseDelay) // a connection that has not rested is not used for this
		h.blocked[n] = !written
		h.receive(c, putRequest("/feed-a/s/x", "segment"))
		h.gateway.EOF(h.now, n)
		h.runActions()
		h.advanceTime(50 * time.Millisecond)
		if written {
			h.wantContains("the answer", h.takeWritten(c), "HTTP/1.1 502 ")
			h.wantOutcomes(map[Outcome]int{Served: 1, Failed: 1})
			continue
		}
		n = h.nodeConn(1)
		h.wantContains("at the node", h.takeWritten(n), "PUT /feed-a/s/x", "Maddergap-Attempt: 1", "segment")
		h.receive(n, okResponse(""))
		h.wantContains("the answer", h.takeWritten(c), "200 OK")
	}
}

// A safe request whose attempt was reset goes again; both are in one trace.
func TestSafeRequestIsRetriedAfterReset(t *testing.T) {
	h := newHarness(t, "")
	c := h.connectClient(getRequest("/feed-a/s/x"))
	h.gateway.Closed(h.now, h.nodeConn(0))
	h.runActions()
	h.advanceTime(100 * time.Millisecond)
	h.receive(h.nodeConn(1), okResponse("x"))
	h.wantContains("the answer", h.takeWritten(c), "200 OK")
	if h.spans[0].Trace != h.spans[1].Trace || h.spans[0].ID == h.spans[1].ID || h.spans[1].Attempt != 1 {
		t.Errorf("%+v", h.spans)
	}
}

// A full node: a body that is held goes again, one that streamed on does not.
func TestNodeQueueFull(t *testing.T) {
	const full = "HTTP/1.1 503 Service Unavailable\r\nMaddergap-Ran: no\r\nContent-Length: 0\r\n\r\n"
	h := newHarness(t, "")
	c := h.connectClient(putRequest("/feed-a/s/x", "segment"))
	h.receive(h.nodeConn(0), full)
	h.advanceTime(900 * time.Millisecond)
	if h.gateway.Counts().Attempts < 2 {
		t.Error("a refused attempt of a held body was not tried again")
	}
	_ = c
	h = newHarness(t, "retry-after 2s\n")
	c = h.connectClient(putRequest("/feed-a/s/x", strings.Repeat("x", 400<<10))[:60<<10])
	h.receive(c, "xxx")
	h.receive(h.nodeConn(0), full)
	h.wantContains("the answer", h.takeWritten(c), "HTTP/1.1 503 ", "Retry-After: 2\r\n", "no harm")
	h.advanceTime(time.Second)
	if h.gateway.Counts().Attempts != 1 {
		t.Error("half a body was sent again")
	}
}

// A 503 that does not say that it never ran promises nothing.
func TestPlain503IsAFailure(t *testing.T) {
	h := newHarness(t, "")
	c := h.connectClient(putRequest("/feed-a/s/x", "segment"))
	h.receive(h.nodeConn(0), "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
	h.wantContains("the answer", h.takeWritten(c), "HTTP/1.1 502 ")
}

// No node: a refusal, at the end of the client's time.
func TestUnreachableNodeIsRejectedAtDeadline(t *testing.T) {
	h := newHarness(t, "")
	h.refuseDials = true
	c := h.connectClient(putRequest("/feed-a/s/x", "segment"))
	h.advanceTime(time.Second)
	h.wantContains("the answer", h.takeWritten(c), "HTTP/1.1 503 ")
	h.wantOutcomes(map[Outcome]int{Rejected: 1})
}

func TestPipelinedRequests(t *testing.T) {
	h := newHarness(t, "")
	c := h.connectClient(getRequest("/feed-a/s/1") + putRequest("/feed-a/s/2", "two") + getRequest("/feed-a/s/3"))
	for i, sent := range []struct {
		text string
		conn int // the write goes out on a connection of its own, as the other has not rested
	}{{"GET /feed-a/s/1", 0}, {"PUT /feed-a/s/2", 1}, {"GET /feed-a/s/3", 0}} {
		n := h.nodeConn(sent.conn)
		h.wantContains("at the node", h.takeWritten(n), sent.text)
		h.receive(n, okResponse(fmt.Sprint("answer", i)))
	}
	got := h.takeWritten(c)
	if a, b := strings.Index(got, "answer0"), strings.Index(got, "answer2"); a < 0 || b < a || strings.Count(got, "200 OK") != 3 {
		t.Errorf("answers out of order: %q", got)
	}
}

// A client that closes its sending side is still owed what it asked for.
func TestHalfClosedClientGetsItsResponses(t *testing.T) {
	h := newHarness(t, "")
	c := h.connectClient(getRequest("/feed-a/s/1") + getRequest("/feed-a/s/2"))
	h.gateway.EOF(h.now, c)
	h.runActions()
	n := h.nodeConn(0)
	h.receive(n, okResponse("one"))
	h.receive(n, okResponse("two"))
	h.wantContains("the answers", h.takeWritten(c), "one", "two")
	if _, gone := h.closedBy[c]; !gone {
		t.Error("the connection stays open after the last answer")
	}
	h.wantOutcomes(map[Outcome]int{Served: 2})
}

func TestExpectContinue(t *testing.T) {
	h := newHarness(t, "")
	c := h.connectClient("PUT /feed-a/s/x HTTP/1.1\r\nHost: h\r\nContent-Length: 7\r\nExpect: 100-continue\r\n\r\n")
	h.wantContains("the invitation", h.takeWritten(c), "HTTP/1.1 100 Continue\r\n\r\n")
	h.receive(c, "segment")
	h.receive(h.nodeConn(0), okResponse(""))
	h.wantContains("the answer", h.takeWritten(c), "HTTP/1.1 200")
	// A long body is not invited before a node takes it, and never after a refusal.
	h = newHarness(t, "")
	h.refuseDials = true
	c = h.connectClient("PUT /feed-a/s/x HTTP/1.1\r\nHost: h\r\nContent-Length: 7000000\r\nExpect: 100-continue\r\n\r\n")
	h.advanceTime(20 * time.Second)
	got := h.takeWritten(c)
	h.wantContains("the answer", got, "HTTP/1.1 503")
	if strings.Contains(got, "100 Continue") {
		t.Error("a body was invited for nothing")
	}
}

func TestChunkedBodies(t *testing.T) {
	h := newHarness(t, "")
	c := h.connectClient("PUT /feed-a/s/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
	n := h.nodeConn(0)
	h.wantContains("a short body at the node", h.takeWritten(n), "Content-Length: 5\r\n", "\r\n\r\nabcde")
	h.receive(n, "HTTP/1.1 201 Created\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n")
	h.wantContains("the answer", h.takeWritten(c), "Transfer-Encoding: chunked", "2\r\nhi\r\n", "0\r\n\r\n")
	h.advanceTime(reuseDelay) // the connection is used for a write again
	// A long one streams on in chunks.
	h.receive(c, "PUT /feed-a/s/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5000\r\n"+strings.Repeat("y", 0x5000)+"\r\n")
	h.wantContains("a long body at the node", h.takeWritten(n), "Transfer-Encoding: chunked", "yyy")
	h.receive(c, "3\r\nend\r\n0\r\n\r\n")
	h.wantContains("its end", h.takeWritten(n), "3\r\nend\r\n0\r\n\r\n")
	h.receive(n, okResponse(""))
	h.wantContains("the answer", h.takeWritten(c), "200 OK")
	h.wantOutcomes(map[Outcome]int{Served: 2})
}

func TestHeadAndHTTP10(t *testing.T) {
	h := newHarness(t, "")
	c := h.connectClient("HEAD /feed-a/s/x HTTP/1.1\r\nHost: h\r\n\r\n")
	n := h.nodeConn(0)
	h.receive(n, "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n")
	if got := h.takeWritten(c); !strings.Contains(got, "Content-Length: 1000") || !strings.HasSuffix(got, "\r\n\r\n") {
		t.Errorf("%q", got)
	}
	c = h.connectClient("GET /feed-a/s/x HTTP/1.0\r\n\r\n")
	h.wantContains("at the node", h.takeWritten(n), "Host: node:0")
	h.receive(n, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n")
	if got := h.takeWritten(c); strings.Contains(got, "chunked") || !strings.HasSuffix(got, "\r\n\r\nhi") {
		t.Errorf("%q", got)
	}
	h.wantLingeringClose(c)
}

// Malformed requests are answered as RFC 9112 says and reach no node.
func TestMalformedRequestsReachNoNode(t *testing.T) {
	for text, status := range map[string]string{
		"PUT /feed-a/s/x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n": "400",
		"GET /feed-a/s/x HTTP/1.1\r\nHost: h\r\n X: folded\r\n\r\n":                                      "400",
		"GET /feed-a/" + strings.Repeat("x", 5000) + " HTTP/1.1\r\nHost: h\r\n\r\n":                      "414",
		"GET /feed-a/s HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 20000):                          "431",
		"PUT /feed-a/s/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n":                "400",
		"GET /feed-a/../s HTTP/1.1\r\nHost: h\r\n\r\n":                                                   "400",
		"GET /nope/s HTTP/1.1\r\nHost: h\r\n\r\n":                                                        "404",
		"BREW /feed-a/s HTTP/1.1\r\nHost: h\r\n\r\n":                                                     "501",
	} {
		h := newHarness(t, "")
		c := h.connectClient(text)
		h.wantContains("the answer", h.takeWritten(c), "HTTP/1.1 "+status+" ")
		if len(h.dialed) > 0 {
			t.Errorf("%.40q reached a node", text)
		}
		if status == "400" && !strings.Contains(text, "..") && h.closedBy[c] != Close {
			h.advanceTime(3 * time.Second)
			if _, gone := h.closedBy[c]; !gone {
				t.Errorf("%.40q: the connection goes on", text)
			}
		}
	}
	// A chunk that turns bad once the body streams: the node never has it whole.
	h := newHarness(t, "")
	c := h.connectClient("PUT /feed-a/s/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5000\r\n" + strings.Repeat("y", 0x5000) + "\r\n")
	h.receive(c, "zz\r\n")
	if h.closedBy[h.nodeConn(0)] != Abort {
		t.Error("the node's connection goes on")
	}
	h.wantContains("the answer", h.takeWritten(c), "HTTP/1.1 400")
	h.wantOutcomes(map[Outcome]int{ClientDisconnected: 1})
}

// A byte a second: the header, then the body, is given up in its time, and no
// slot at a node is held meanwhile.
func TestSlowClients(t *testing.T) {
	h := newHarness(t, "")
	c := h.connectClient("G")
	for range 4 {
		h.advanceTime(time.Second)
		h.receive(c, "E")
	}
	h.wantContains("the answer", h.takeWritten(c), "HTTP/1.1 408 ")
	c = h.connectClient("PUT /feed-a/s/x HTTP/1.1\r\nHost: h\r\nContent-Length: 7\r\n\r\nseg")
	h.advanceTime(4 * time.Second)
	h.wantContains("the answer", h.takeWritten(c), "HTTP/1.1 408 ")
	if len(h.dialed) > 0 {
		t.Error("a slow body holds a node")
	}
	// One that does not read its answer: the node is paused, then the client dropped.
	c = h.connectClient(getRequest("/feed-a/s/x"))
	h.blocked[c] = true
	n := h.nodeConn(0)
	h.receive(n, "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n"+strings.Repeat("x", 40<<10))
	h.receive(n, strings.Repeat("x", 10<<10))
	if !h.paused[n] || len(h.gateway.Out(h.now, c)) > 64<<10 {
		t.Errorf("the node is not paused; %d bytes are held", len(h.gateway.Out(h.now, c)))
	}
	h.advanceTime(4 * time.Second)
	if h.closedBy[c] != Abort || h.closedBy[n] != Abort {
		t.Errorf("%v", h.closedBy)
	}
	h.wantOutcomes(map[Outcome]int{ClientDisconnected: 1})
}

// A long body goes at the pace of the node: the client is paused at the bound.
func TestUploadIsPausedAtBufferLimit(t *testing.T) {
	h := newHarness(t, "")
	c := h.connectClient(putRequest("/feed-a/s/x", strings.Repeat("x", 1<<20))[:20<<10])
	n := h.nodeConn(0)
	h.blocked[n] = true
	sent := 20 << 10
	for range 50 {
		if h.paused[c] {
			break
		}
		h.receive(c, strings.Repeat("x", 8<<10))
		sent += 8 << 10
	}
	if !h.paused[c] || sent > 120<<10 {
		t.Fatalf("%d bytes taken for a node that reads none", sent)
	}
	h.blocked[n] = false
	h.flush(n)
	h.runActions()
	for rest := len(putRequest("/feed-a/s/x", strings.Repeat("x", 1<<20))) - sent; rest > 0; rest -= 8 << 10 {
		h.receive(c, strings.Repeat("x", min(8<<10, rest)))
	}
	if got := h.takeWritten(n); len(got) < 1<<20 {
		t.Fatalf("%d bytes at the node", len(got))
	}
	h.receive(n, okResponse(""))
	h.wantContains("the answer", h.takeWritten(c), "200 OK")
}

// At the bound of connections to a node an attempt is not sent, and says so.
func TestConnectionsPerNodeAreLimited(t *testing.T) {
	h := newHarness(t, "")
	for i := range 40 {
		h.connectClient(getRequest(fmt.Sprint("/feed-a/s/", i)))
		h.advanceTime(60 * time.Millisecond)
	}
	h.advanceTime(2 * time.Second)
	if n := h.gateway.nodes.byName["n0"].conns; n > 4 {
		t.Errorf("%d connections to a node, want 4 at most", n)
	}
	if f := h.outcomes(); f[Rejected] != 40 {
		t.Errorf("%v, want 40 refused", f)
	}
}

func TestMergedListing(t *testing.T) {
	const find = "PROPFIND /feed-b/ HTTP/1.1\r\nHost: h\r\nDepth: 1\r\nContent-Length: 0\r\n\r\n"
	part := func(name string) string {
		x := `<D:multistatus xmlns:D="DAV:"><D:response><D:href>` + name + `</D:href><D:status>HTTP/1.1 200 OK</D:status></D:response></D:multistatus>`
		return fmt.Sprintf("HTTP/1.1 207 Multi-Status\r\nContent-Length: %d\r\n\r\n%s", len(x), x)
	}
	h := newHarness(t, "")
	c := h.connectClient(find)
	h.receive(h.nodeConn(0), part("/feed-b/one"))
	if got := h.takeWritten(c); got != "" {
		t.Fatalf("half a listing: %q", got)
	}
	h.receive(h.nodeConn(1), part("/feed-b/two"))
	h.wantContains("the listing", h.takeWritten(c), "207 Multi-Status", "/feed-b/one", "/feed-b/two")
	h.wantOutcomes(map[Outcome]int{Served: 2})

	h = newHarness(t, "") // one shard never answers
	c = h.connectClient(find)
	h.receive(h.nodeConn(0), part("/feed-b/one"))
	h.advanceTime(2 * time.Second)
	got := h.takeWritten(c)
	h.wantContains("the answer", got, "HTTP/1.1 503 ", "part of the listing")
	if strings.Contains(got, "multistatus") || strings.Count(got, "HTTP/1.1") != 1 {
		t.Errorf("a listing that lacks half: %q", got)
	}

	h = newHarness(t, "") // one gives nonsense
	c = h.connectClient(find)
	h.receive(h.nodeConn(0), part("/feed-b/one"))
	h.receive(h.nodeConn(1), "HTTP/1.1 207 Multi-Status\r\nContent-Length: 3\r\n\r\n<a>")
	h.wantContains("the answer", h.takeWritten(c), "HTTP/1.1 502 ", "malformed")

	h = newHarness(t, "listing-max 1k\n")
	c = h.connectClient(find)
	h.receive(h.nodeConn(0), part("/feed-b/"+strings.Repeat("x", 2000)))
	h.receive(h.nodeConn(1), part("/feed-b/two"))
	h.advanceTime(2 * time.Second)
	h.wantContains("the answer", h.takeWritten(c), "HTTP/1.1 507 ")

	h = newHarness(t, "") // the client leaves
	c = h.connectClient(find)
	h.gateway.Closed(h.now, c)
	h.runActions()
	h.receive(h.nodeConn(0), part("/feed-b/one"))
	h.receive(h.nodeConn(1), part("/feed-b/two"))
	h.wantOutcomes(map[Outcome]int{ClientDisconnected: 2})
}

// A stop: what was taken is answered, and nothing more is read.
func TestShutdown(t *testing.T) {
	h := newHarness(t, "")
	idle := h.connectClient(getRequest("/feed-a/s/0"))
	h.receive(h.nodeConn(0), okResponse("zero"))
	h.takeWritten(idle)
	c := h.connectClient(getRequest("/feed-a/s/1") + getRequest("/feed-a/s/2"))
	silent, fresh, half := h.connectClient(""), h.connectClient(""), h.connectClient(getRequest("/feed-b/s/0"))
	h.receive(h.nodeConn(1), okResponse("zero"))
	h.takeWritten(half)
	h.receive(half, "GET /feed-a/s/4 HTT")
	h.gateway.Shutdown(h.now)
	h.runActions()
	if h.gateway.Idle() {
		t.Error("idle with a request under way")
	}
	h.receive(idle, getRequest("/feed-a/s/9")) // crosses the shutdown
	h.wantLingeringClose(idle)
	h.receive(h.nodeConn(0), okResponse("one"))
	h.wantContains("the answer", h.takeWritten(c), "200 OK", "Connection: close")
	h.wantLingeringClose(c)
	// What was accepted, or begun to be read, before the end still has its answer.
	for _, late := range []struct {
		c    ConnID
		text string
	}{{fresh, getRequest("/feed-a/s/3")}, {half, getRequest("/feed-a/s/4")[19:]}} {
		h.receive(late.c, late.text)
		h.receive(h.nodeConn(0), okResponse("late"))
		h.wantContains("the answer", h.takeWritten(late.c), "200 OK", "Connection: close")
		h.wantLingeringClose(late.c)
	}
	h.advanceTime(firstRequestGrace)
	if h.closedBy[silent] != Close || !h.gateway.Idle() || h.gateway.Counts().Received != 5 {
		t.Errorf("a silent connection ended by %v, idle %v after %d taken, want 5", h.closedBy[silent], h.gateway.Idle(), h.gateway.Counts().Received)
	}
}

// At the end of the stop time whatever has no answer gets one: refused where nothing was
// sent, failed else.
func TestAbortRemainingAnswersEveryRequest(t *testing.T) {
	h := newHarness(t, "")
	out := h.connectClient(getRequest("/feed-a/s/1"))
	h.gateway.SetNodes(h.now, nil)
	waits := h.connectClient(getRequest("/feed-a/s/2"))
	h.gateway.Shutdown(h.now)
	h.runActions()
	h.advanceTime(100 * time.Millisecond)
	h.gateway.AbortRemaining(h.now)
	h.runActions()
	h.wantContains("of what was sent", h.takeWritten(out), "HTTP/1.1 502 ", "Connection: close")
	h.wantContains("of what waited", h.takeWritten(waits), "HTTP/1.1 503 ", "Connection: close")
	h.receive(h.nodeConn(0), okResponse("too late"))
	if got := h.takeWritten(out); got != "" {
		t.Errorf("answered twice: %q", got)
	}
	h.wantOutcomes(map[Outcome]int{Failed: 1, Rejected: 1})
}

// A warm connection's request costs few allocations, and an idle one little memory.
func TestAllocationsPerRequest(t *testing.T) {
	h := newHarness(t, "")
	h.gateway.observer = nil
	c := h.connectClient(getRequest("/feed-a/s/x"))
	n := h.nodeConn(0)
	answer, ask := []byte(okResponse("hello")), []byte(getRequest("/feed-a/s/x"))
	turn := func() {
		for {
			acts, _ := h.gateway.Advance(h.now)
			if len(acts) == 0 {
				return
			}
			for _, a := range acts {
				if a.Op == Flush {
					h.gateway.Wrote(h.now, a.Conn, len(h.gateway.Out(h.now, a.Conn)))
				}
			}
		}
	}
	h.gateway.Data(h.now, n, answer)
	turn()
	allocs := testing.AllocsPerRun(200, func() {
		h.now += time.Millisecond
		h.gateway.Data(h.now, c, ask)
		turn()
		h.gateway.Data(h.now, n, answer)
		turn()
	})
	if allocs > 12 {
		t.Errorf("%v allocations a request, want 12 at most (most are the module's)", allocs)
	}
	t.Logf("%v allocations a request", allocs)
}

// timerScheduler is a core that asks for timers as the test says.
type timerScheduler struct {
	timers  []time.Duration
	firedAt []Time
}

func (c *timerScheduler) Handle(now Time, events []scheduler.Event) (acts []scheduler.Action) {
	for _, e := range events {
		if _, ok := e.(scheduler.TimerFired); ok {
			c.firedAt = append(c.firedAt, now)
		} else if len(c.timers) > 0 {
			acts = append(acts, scheduler.SetTimer{After: c.timers[0]})
			c.timers = c.timers[1:]
		}
	}
	return acts
}

// A timer takes the place of the one before, also where it is later: the module
// takes an earlier one for a chance event and would wait for the later for ever.
func TestSchedulerTimerIsReplaced(t *testing.T) {
	h := newHarness(t, "")
	core := &timerScheduler{timers: []time.Duration{10 * time.Millisecond, 20 * time.Millisecond}}
	h.gateway.scheduler = core
	began := h.now
	h.connectClient(getRequest("/feed-a/s/x"))
	h.connectClient(getRequest("/feed-a/s/y"))
	h.advanceTime(100 * time.Millisecond)
	if len(core.firedAt) != 1 || core.firedAt[0] != began+20*time.Millisecond {
		t.Errorf("woken at %v, want once after 20ms", core.firedAt)
	}
}

// A client that leaves in the middle of a long body, or of an answer, gives its
// exchange back once: given back twice, it would serve two requests at once.
func TestRequestIsRecycledOnce(t *testing.T) {
	h := newHarness(t, "")
	for i := range 5 {
		c := h.connectClient(putRequest("/feed-a/s/x", strings.Repeat("x", 40<<10))[:20<<10])
		h.gateway.Closed(h.now, c)
		h.runActions()
		h.advanceTime(time.Duration(i) * time.Second)
	}
	seen := map[*request]bool{}
	for _, req := range h.gateway.requests.free {
		if seen[req] {
			t.Fatal("an exchange is kept twice")
		}
		seen[req] = true
	}
}

// A reload with fewer volumes leaves requests under way as they were taken.
func TestReloadDuringRequest(t *testing.T) {
	h := newHarness(t, "")
	c := h.connectClient(getRequest("/feed-b/s/x"))
	n := h.nodeConn(0)
	less, err := config.Parse("rig", []byte(strings.Replace(harnessConfig, "volume feed-b plan p shards 0,1\n", "", 1)))
	if err != nil {
		t.Fatal(err)
	}
	if err := h.gateway.Reload(less); err != nil {
		t.Fatal(err)
	}
	h.receive(n, okResponse("still"))
	h.wantContains("the answer", h.takeWritten(c), "200 OK", "still")
	h.receive(c, getRequest("/feed-b/s/x"))
	h.wantContains("the answer", h.takeWritten(c), "404 Not Found")
	if h.spans[1].Volume != "feed-b" {
		t.Errorf("%+v", h.spans[1])
	}
	if other, _ := config.Parse("rig", []byte(harnessConfig+"heads 3\n")); h.gateway.Reload(other) == nil {
		t.Error("the number of heads changed under way")
	}
}

// Connection may name fields of one connection alone, never Host.
func TestConnectionFieldCannotRemoveHost(t *testing.T) {
	h := newHarness(t, "")
	h.connectClient(getRequest("/feed-a/s/x", "Connection: Host, X-Own", "X-Own: 1"))
	got := h.takeWritten(h.nodeConn(0))
	h.wantContains("at the node", got, "Host: h\r\n")
	if strings.Contains(got, "X-Own") {
		t.Error("a field of one connection was passed on")
	}
}

// A slot whose connection the driver has yet to close is not used again before.
func TestSlotIsReusedOnlyAfterClose(t *testing.T) {
	h := newHarness(t, "clients 2\nadmit reserve 1\nknown 10.0.0.0/8\n")
	first := h.gateway.Accept(h.now, netip.MustParseAddrPort("127.0.0.1:1"), 0).ID
	h.gateway.Accept(h.now, netip.MustParseAddrPort("127.0.0.1:2"), 0)
	h.runActions()
	known := h.gateway.Accept(h.now, netip.MustParseAddrPort("10.0.0.1:3"), 0).ID // the first gives way, in the same turn
	if known.Slot() == first.Slot() {
		t.Error("the driver would close the new connection for the old, or neither")
	}
	h.runActions()
	if h.closedBy[first] != Close {
		t.Fatalf("%v", h.closedBy)
	}
	h.runActions()
	if again := h.gateway.Accept(h.now, netip.MustParseAddrPort("10.0.0.1:4"), 0).ID; again.Slot() != first.Slot() {
		t.Error("the slot is lost")
	}
}

// Nodes that come and go leave nothing behind, nor do their connections.
func TestReplacedNodesAreForgotten(t *testing.T) {
	h := newHarness(t, "")
	for i := range 3000 {
		name := fmt.Sprint("x", i)
		h.gateway.SetNodes(h.now, []nodelist.Node{{Name: name, Addr: "node:" + name}})
		h.runActions()
		c := h.connectClient(getRequest("/feed-a/u/x"))
		h.receive(h.dialed[len(h.dialed)-1], okResponse("a"))
		h.gateway.Closed(h.now, c)
		h.advanceTime(time.Millisecond)
	}
	if len(h.gateway.nodes.byName) > 3 || len(h.gateway.conns.slots) > 16 || len(h.gateway.requests.byID) > 0 || h.gateway.Counts().NodeConns > 2 {
		t.Errorf("%d nodes, %d slots, %d requests, %d connections are held", len(h.gateway.nodes.byName), len(h.gateway.conns.slots), len(h.gateway.requests.byID), h.gateway.Counts().NodeConns)
	}
}

// A node's address changes, or it starts anew, while a request is under way on a
// connection to it: that connection is not kept for the next.
func TestConnectionToPreviousAddressIsNotReused(t *testing.T) {
	for name, n := range map[string]nodelist.Node{"moved": {Name: "n0", Addr: "node:9"}, "new start": {Name: "n0", Addr: "node:0", Started: time.Unix(2e9, 0)}} {
		h := newHarness(t, "")
		h.connectClient(getRequest("/feed-a/s/x"))
		h.gateway.SetNodes(h.now, []nodelist.Node{n, {Name: "n1", Addr: "node:1", Shard: 1}})
		h.runActions()
		h.receive(h.nodeConn(0), okResponse("a"))
		h.connectClient(getRequest("/feed-a/s/y"))
		if len(h.dialed) != 2 || h.closedBy[h.nodeConn(0)] != Close {
			t.Errorf("%s: %d connections were made, want another; the first ended by %v", name, len(h.dialed), h.closedBy[h.nodeConn(0)])
		}
	}
}

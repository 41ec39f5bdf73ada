package gateway

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// Verifies that three pipelined requests are sent to nodes one after the other, and that the
// responses arrive in the same order.
func TestPipelinedRequests(t *testing.T) {
	h := newHarness(t, "")
	c := h.connectClient(getRequest("/feed-a/s/1") + putRequest("/feed-a/s/2", "two") + getRequest("/feed-a/s/3"))
	n := h.nodeConn(0)
	for i, text := range []string{"GET /feed-a/s/1", "PUT /feed-a/s/2", "GET /feed-a/s/3"} {
		h.advanceTime(reuseDelay)
		h.wantContains("the request at the node", h.takeWritten(n), text)
		h.deliver(n, okResponse(fmt.Sprint("answer", i)))
	}
	got := h.takeWritten(c)
	if a, b := strings.Index(got, "answer0"), strings.Index(got, "answer2"); a < 0 || b < a || strings.Count(got, "200 OK") != 3 {
		t.Errorf("responses out of order: %q", got)
	}
}

// Verifies that a client that waits for 100 (Continue) is asked for a short body at once, but for
// a long one only when the request is sent to a node.
func TestExpectContinue(t *testing.T) {
	h := newHarness(t, "")
	c := h.connectClient("PUT /feed-a/s/x HTTP/1.1\r\nHost: h\r\nContent-Length: 7\r\nExpect: 100-continue\r\n\r\n")
	h.wantContains("the 100 response", h.takeWritten(c), "HTTP/1.1 100 Continue\r\n\r\n")
	h.deliver(c, "segment")
	h.deliver(h.nodeConn(0), okResponse(""))
	h.wantContains("the response", h.takeWritten(c), "HTTP/1.1 200")
	// The client is not asked for a long body if the request is rejected.
	h = newHarness(t, "")
	h.refuseDials = true
	c = h.connectClient("PUT /feed-a/s/x HTTP/1.1\r\nHost: h\r\nContent-Length: 7000000\r\nExpect: 100-continue\r\n\r\n")
	h.advanceTime(20 * time.Second)
	got := h.takeWritten(c)
	h.wantContains("the response", got, "HTTP/1.1 503")
	if strings.Contains(got, "100 Continue") {
		t.Error("the client was asked for the body of a request that was rejected")
	}
}

// Verifies that a short chunked body is forwarded with its length, a long one in chunks as it
// arrives, and a chunked response in chunks.
func TestChunkedBodies(t *testing.T) {
	h := newHarness(t, "")
	c := h.connectClient("PUT /feed-a/s/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
	n := h.nodeConn(0)
	h.wantContains("a short body at the node", h.takeWritten(n), "Content-Length: 5\r\n", "\r\n\r\nabcde")
	h.deliver(n, "HTTP/1.1 201 Created\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n")
	h.wantContains("the response", h.takeWritten(c), "Transfer-Encoding: chunked", "2\r\nhi\r\n", "0\r\n\r\n")
	h.advanceTime(reuseDelay) // so that the write reuses the connection
	// A long body is forwarded in chunks.
	h.deliver(c, "PUT /feed-a/s/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5000\r\n"+strings.Repeat("y", 0x5000)+"\r\n")
	h.wantContains("a long body at the node", h.takeWritten(n), "Transfer-Encoding: chunked", "yyy")
	h.deliver(c, "3\r\nend\r\n0\r\n\r\n")
	h.wantContains("the end of the body at the node", h.takeWritten(n), "3\r\nend\r\n0\r\n\r\n")
	h.deliver(n, okResponse(""))
	h.wantContains("the response", h.takeWritten(c), "200 OK")
	h.wantOutcomes(map[Outcome]int{Served: 2})
}

// Verifies that the response to HEAD is forwarded with its Content-Length and without a body, and
// that an HTTP/1.0 client gets the body of a chunked response without chunks, and its connection is
// closed after the response.
func TestHeadAndHTTP10(t *testing.T) {
	h := newHarness(t, "")
	c := h.connectClient("HEAD /feed-a/s/x HTTP/1.1\r\nHost: h\r\n\r\n")
	n := h.nodeConn(0)
	h.deliver(n, "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n")
	if got := h.takeWritten(c); !strings.Contains(got, "Content-Length: 1000") || !strings.HasSuffix(got, "\r\n\r\n") {
		t.Errorf("%q", got)
	}
	h.advanceTime(reuseDelay)
	c = h.connectClient("GET /feed-a/s/x HTTP/1.0\r\n\r\n")
	h.wantContains("the request at the node", h.takeWritten(n), "Host: node:0")
	h.deliver(n, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n")
	if got := h.takeWritten(c); strings.Contains(got, "chunked") || !strings.HasSuffix(got, "\r\n\r\nhi") {
		t.Errorf("%q", got)
	}
	h.wantLingeringClose(c)
}

// Verifies that malformed requests are answered as RFC 9112 requires, do not reach a node, and
// end the connection if the input behind them cannot be parsed.
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
		h.wantContains("the response", h.takeWritten(c), "HTTP/1.1 "+status+" ")
		if len(h.dialed) > 0 {
			t.Errorf("%.40q reached a node", text)
		}
		if status == "400" && !strings.Contains(text, "..") && h.closedBy[c] != Close {
			h.advanceTime(3 * time.Second)
			if _, closed := h.closedBy[c]; !closed {
				t.Errorf("%.40q: the connection was not closed", text)
			}
		}
	}
	// A malformed chunk in a body that is already being forwarded: the node must not get a complete request.
	h := newHarness(t, "")
	c := h.connectClient("PUT /feed-a/s/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5000\r\n" + strings.Repeat("y", 0x5000) + "\r\n")
	h.deliver(c, "zz\r\n")
	if h.closedBy[h.nodeConn(0)] != Abort {
		t.Error("the connection to the node was not reset")
	}
	h.wantContains("the response", h.takeWritten(c), "HTTP/1.1 400")
	h.wantOutcomes(map[Outcome]int{AnsweredLocally: 1})
}

// Verifies that a client that sends its header too slowly, or stops in the middle of a body, is
// answered 408 and occupies no connection to a node. If a client does not read its response,
// reading from the node is paused, and the client is dropped after a timeout.
func TestSlowClients(t *testing.T) {
	h := newHarness(t, "")
	c := h.connectClient("G")
	for range 4 {
		h.advanceTime(time.Second)
		h.deliver(c, "E")
	}
	h.wantContains("the response", h.takeWritten(c), "HTTP/1.1 408 ")
	c = h.connectClient("PUT /feed-a/s/x HTTP/1.1\r\nHost: h\r\nContent-Length: 7\r\n\r\nseg")
	h.advanceTime(4 * time.Second)
	h.wantContains("the response", h.takeWritten(c), "HTTP/1.1 408 ")
	if len(h.dialed) > 0 {
		t.Error("a client with an incomplete request occupies a connection to a node")
	}
	// A client that does not read its response: the node is paused, then the client is dropped.
	c = h.connectClient(getRequest("/feed-a/s/x"))
	h.blocked[c] = true
	n := h.nodeConn(0)
	h.deliver(n, "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n"+strings.Repeat("x", 40<<10))
	h.deliver(n, strings.Repeat("x", 10<<10))
	if !h.paused[n] || len(h.gateway.PendingOutput(h.now, c)) > 64<<10 {
		t.Errorf("the node is not paused, or too much is buffered: %d bytes, want at most 64 KiB", len(h.gateway.PendingOutput(h.now, c)))
	}
	h.advanceTime(4 * time.Second)
	if h.closedBy[c] != Abort || h.closedBy[n] != Abort {
		t.Errorf("%v", h.closedBy)
	}
	h.wantOutcomes(map[Outcome]int{Dropped: 1})
}

// Verifies that reading from a client is paused at the limit of the buffer if the node takes a
// long body more slowly than the client sends it, and resumed when the node has taken the
// buffered part.
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
		h.deliver(c, strings.Repeat("x", 8<<10))
		sent += 8 << 10
	}
	if !h.paused[c] || sent > 120<<10 {
		t.Fatalf("%d bytes were read for a node that takes none, want the client paused at 120 KiB or less", sent)
	}
	h.blocked[n] = false
	h.flush(n)
	h.runActions()
	for remaining := len(putRequest("/feed-a/s/x", strings.Repeat("x", 1<<20))) - sent; remaining > 0; remaining -= 8 << 10 {
		h.deliver(c, strings.Repeat("x", min(8<<10, remaining)))
	}
	if got := h.takeWritten(n); len(got) < 1<<20 {
		t.Fatalf("%d bytes at the node, want at least 1 MiB", len(got))
	}
	h.deliver(n, okResponse(""))
	h.wantContains("the response", h.takeWritten(c), "200 OK")
}

// Verifies that Host is forwarded even if the client lists it in the Connection field. The fields
// listed there apply to one connection only and are removed, but Host must not be.
func TestConnectionFieldCannotRemoveHost(t *testing.T) {
	h := newHarness(t, "")
	h.connectClient(getRequest("/feed-a/s/x", "Connection: Host, X-Own", "X-Own: 1"))
	got := h.takeWritten(h.nodeConn(0))
	h.wantContains("the request at the node", got, "Host: h\r\n")
	if strings.Contains(got, "X-Own") {
		t.Error("the field X-Own was forwarded although Connection lists it")
	}
}

// Verifies the reported outcomes: the gateway's own error responses must not be logged as served,
// and clients that the gateway disconnected must not be logged as clients that left.
func TestOutcomeIdentifiesWhoEndedRequest(t *testing.T) {
	begun := putRequest("/feed-a/s/x", strings.Repeat("x", 40<<10))[:20<<10]
	for _, test := range []struct {
		name, request string
		act           func(h *harness, c ConnID)
		want          Outcome
	}{
		{"unknown volume", getRequest("/feed-z/x"), func(*harness, ConnID) {}, AnsweredLocally},
		{"slow header", "GET ", func(h *harness, _ ConnID) { h.advanceTime(3 * time.Second) }, AnsweredLocally},
		{"incomplete body, before the response", begun, func(h *harness, c ConnID) { h.gateway.EOF(h.now, c) }, AnsweredLocally},
		{"incomplete body, during the response", begun, func(h *harness, c ConnID) {
			h.deliver(h.nodeConn(0), sizedHeader+"hello")
			h.gateway.EOF(h.now, c)
		}, Dropped},
		{"unread response", getRequest("/feed-a/s/x"), func(h *harness, c ConnID) {
			h.blocked[c] = true
			h.deliver(h.nodeConn(0), sizedHeader+"hello")
			h.advanceTime(4 * time.Second)
		}, Dropped},
		{"client disconnects", getRequest("/feed-a/s/x"), func(h *harness, c ConnID) { h.gateway.Closed(h.now, c) }, ClientDisconnected},
		{"response of a node", getRequest("/feed-a/s/x"), func(h *harness, c ConnID) { h.deliver(h.nodeConn(0), okResponse("x")) }, Served},
	} {
		h := newHarness(t, "")
		test.act(h, h.connectClient(test.request))
		h.runActions()
		var got []Outcome
		for _, span := range h.spans {
			if span.Node == "" {
				got = append(got, span.Outcome)
			}
		}
		if len(got) != 1 || got[0] != test.want {
			t.Errorf("%s: outcomes %v, want %v", test.name, got, test.want)
		}
	}
}

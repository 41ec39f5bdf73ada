package gateway

import (
	"strings"
	"testing"
	"time"
)

// Verifies that a client's connection is not reset when a node's response breaks off before any
// byte of it was written to the client. The request is retried if that is safe, and answered with
// an error status otherwise.
func TestResponseBreaksBeforeHeaderIsWritten(t *testing.T) {
	long := strings.Repeat("x", 20<<10) // longer than the body buffer: it is streamed, and cannot be sent again
	for _, test := range []struct {
		name, request, response, want string
	}{
		{"reset after the header", putRequest("/feed-a/s/x", "segment"), sizedHeader, "HTTP/1.1 502 "},
		{"reset within the body", putRequest("/feed-a/s/x", "segment"), sizedHeader + "hello", "HTTP/1.1 502 "},
		{"malformed chunk", putRequest("/feed-a/s/x", "segment"), chunkedHeader + "zz\r\n", "HTTP/1.1 502 "},
		{"request with a streamed body", putRequest("/feed-a/s/x", long), sizedHeader + "hello", "HTTP/1.1 502 "},
		{"safe request, which is retried", getRequest("/feed-a/s/x"), sizedHeader + "hello", "HTTP/1.1 503 "},
		{"part of a listing", listRequest, listingHeader + firstChunk, "HTTP/1.1 503 "},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, "")
			c := h.connectClient(test.request)
			h.gateway.Data(h.now, h.nodeConn(0), []byte(test.response))
			h.gateway.Closed(h.now, h.nodeConn(0))
			h.runActions()
			for n := 1; n < len(h.dialed); n++ {
				h.deliver(h.nodeConn(n), "HTTP/1.1 503 Busy\r\nMaddergap-Ran: no\r\nContent-Length: 0\r\n\r\n")
			}
			h.advanceTime(2 * time.Second)
			got := h.takeWritten(c)
			h.wantContains("the response", got, test.want)
			if strings.Count(got, "HTTP/1.1 ") != 1 || h.closedBy[c] == Abort {
				t.Errorf("the responses are %q, want one; the connection was closed by %v", got, h.closedBy[c])
			}
			h.wantEachRequestReportedOnce()
		})
	}
}

// Verifies that a client's connection is reset when a node's response breaks off after a part of
// its header was written to the client: only a reset tells the client that the rest is missing.
func TestResponseBreaksAfterPartIsWritten(t *testing.T) {
	h := newHarness(t, "")
	c := h.connectClient(putRequest("/feed-a/s/x", "segment"))
	h.blocked[c] = true
	h.deliver(h.nodeConn(0), sizedHeader)
	h.gateway.Wrote(h.now, c, 5)
	h.gateway.Closed(h.now, h.nodeConn(0))
	h.runActions()
	if h.closedBy[c] != Abort {
		t.Errorf("closed by %v, want abort", h.closedBy[c])
	}
}

// Verifies that a close caused by the client is not reported as a violation of the invariant
// `close`; frequent false reports would make the invariant useless. A client that ends its body
// early gets an error status. A client that does not read its response is disconnected.
func TestClientFaultIsNotViolation(t *testing.T) {
	begun := putRequest("/feed-a/s/x", strings.Repeat("x", 40<<10))[:20<<10]
	for _, test := range []struct {
		name, request string
		act           func(h *harness, c ConnID)
		want          string
	}{
		{"body ends early, before the response", begun, func(h *harness, c ConnID) { h.gateway.EOF(h.now, c) }, "HTTP/1.1 400 "},
		{"body ends early, during the response", begun, func(h *harness, c ConnID) {
			h.deliver(h.nodeConn(0), sizedHeader+"hello")
			h.gateway.EOF(h.now, c)
		}, "HTTP/1.1 200 "},
		{"body stops", begun, func(h *harness, c ConnID) { h.advanceTime(4 * time.Second) }, "HTTP/1.1 504 "},
		{"response is not read", getRequest("/feed-a/s/x"), func(h *harness, c ConnID) {
			h.blocked[c] = true
			h.deliver(h.nodeConn(0), sizedHeader+"hello")
			h.advanceTime(4 * time.Second)
		}, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, "")
			c := h.connectClient(test.request)
			test.act(h, c)
			h.runActions()
			h.wantContains("what the client got", h.takeWritten(c), test.want)
			h.advanceTime(10 * time.Second)
			if _, closed := h.closedBy[c]; !closed {
				t.Error("the connection was not closed")
			}
			if len(h.violations) > 0 {
				t.Errorf("violations %v, want none", h.violations)
			}
		})
	}
}

// Verifies that a close while the response is due is reported as a violation if the client still
// has time to read the part that it was sent.
func TestCloseBeforeReadDeadlineIsViolation(t *testing.T) {
	h := newHarness(t, "")
	c := h.connectClient(getRequest("/feed-a/s/x"))
	h.blocked[c] = true
	h.deliver(h.nodeConn(0), sizedHeader+"hello")
	h.advanceTime(time.Second)
	h.gateway.closeConn(h.gateway.conns.find(c), Close)
	if len(h.violations) != 1 {
		t.Errorf("violations %v, want one", h.violations)
	}
}

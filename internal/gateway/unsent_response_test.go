package gateway

import (
	"strings"
	"testing"
	"time"
)

// Guards against a client whose connection is reset without a byte, though its request was not
// answered yet: the node's response breaks off before its header was written. A request that
// may be tried again is, and any other gets a status.
func TestResponseBreaksBeforeHeaderIsWritten(t *testing.T) {
	long := strings.Repeat("x", 20<<10) // its body is streamed, so that it cannot be sent again
	for _, test := range []struct {
		name, request, response, want string
	}{
		{"reset behind the header", putRequest("/feed-a/s/x", "segment"), sizedHeader, "HTTP/1.1 502 "},
		{"reset within the body", putRequest("/feed-a/s/x", "segment"), sizedHeader + "hello", "HTTP/1.1 502 "},
		{"malformed chunk", putRequest("/feed-a/s/x", "segment"), chunkedHeader + "zz\r\n", "HTTP/1.1 502 "},
		{"of a streamed body", putRequest("/feed-a/s/x", long), sizedHeader + "hello", "HTTP/1.1 502 "},
		{"of a read", getRequest("/feed-a/s/x"), sizedHeader + "hello", "HTTP/1.1 503 "},
		{"of a part of a listing", listRequest, listingHeader + firstChunk, "HTTP/1.1 503 "},
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
				t.Errorf("%q, closed by %v", got, h.closedBy[c])
			}
			h.wantReportsOfRequests()
		})
	}
}

// The same when a part of the header was written: only a reset can tell the client that the rest
// is missing, as before.
func TestResponseBreaksWhenPartOfItIsWritten(t *testing.T) {
	h := newHarness(t, "")
	c := h.connectClient(putRequest("/feed-a/s/x", "segment"))
	h.blocked[c] = true
	h.deliver(h.nodeConn(0), sizedHeader)
	h.gateway.Wrote(h.now, c, 5)
	h.gateway.Closed(h.now, h.nodeConn(0))
	h.runActions()
	if h.closedBy[c] != Abort {
		t.Errorf("closed by %v", h.closedBy[c])
	}
}

// Guards against violations of `close` by what clients do: an invariant that is reported each time
// is believed by nobody. One that ends its body early gets a status; one that does not read its
// response is cut off.
func TestClientsFaultIsNoViolation(t *testing.T) {
	begun := putRequest("/feed-a/s/x", strings.Repeat("x", 40<<10))[:20<<10]
	for _, test := range []struct {
		name, request string
		act           func(h *harness, c ConnID)
		want          string
	}{
		{"body ends early, before the response", begun, func(h *harness, c ConnID) { h.gateway.EOF(h.now, c) }, "HTTP/1.1 400 "},
		{"body ends early, in the response", begun, func(h *harness, c ConnID) {
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
				t.Error("the connection stays open")
			}
			if len(h.violations) > 0 {
				t.Errorf("violated: %v", h.violations)
			}
		})
	}
}

// A close while the response is due stays a violation, also for a client that still has time to
// read what it was sent.
func TestCloseWithinReadTimeIsViolation(t *testing.T) {
	h := newHarness(t, "")
	c := h.connectClient(getRequest("/feed-a/s/x"))
	h.blocked[c] = true
	h.deliver(h.nodeConn(0), sizedHeader+"hello")
	h.advanceTime(time.Second)
	h.gateway.closeConn(h.gateway.conns.find(c), Close)
	if len(h.violations) != 1 {
		t.Errorf("violated: %v", h.violations)
	}
}

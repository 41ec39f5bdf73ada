package gateway

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"maddergap/internal/config"
	"maddergap/scheduler"
)

// A node takes a write and never responds. The client gets 504 in time, which does not
// say that a retry is harmless, the write is not sent again, and the node is used again once
// it responds.
func TestUnresponsiveNodeFailsNonIdempotentRequest(t *testing.T) {
	h := newHarness(t, "")
	c := h.connectClient(putRequest("/feed-a/s/x", "segment"))
	n := h.nodeConn(0)
	h.wantContains("at the node", h.takeWritten(n), "PUT /feed-a/s/x", "Content-Length: 7", "segment")
	h.advanceTime(970 * time.Millisecond)
	if got := h.takeWritten(c); got != "" {
		t.Fatalf("a response before the deadline: %q", got)
	}
	h.advanceTime(20 * time.Millisecond) // the deadline less the response margin
	got := h.takeWritten(c)
	h.wantContains("the response", got, "HTTP/1.1 504 ", "not known")
	if strings.Contains(got, "Retry-After") {
		t.Error("a failure must not promise that a retry is harmless")
	}
	h.advanceTime(3 * time.Second)
	if h.gateway.Counts().Attempts != 1 || h.takeWritten(c) != "" {
		t.Errorf("%d attempts, want 1 and one answer", h.gateway.Counts().Attempts)
	}
	h.wantOutcomes(map[Outcome]int{Failed: 1})
	// The node responds again, and is used again.
	h.deliver(c, putRequest("/feed-a/s/x", "again"))
	h.advanceTime(time.Second / 2)
	h.deliver(h.nodeConn(len(h.dialed)-1), okResponse(""))
	h.wantContains("the response", h.takeWritten(c), "200 OK")
}

// A node responds after the deadline of the request. The client has its final response by
// then and must not get another: the connection to the node is reset at the deadline.
func TestResponseAfterDeadlineIsDropped(t *testing.T) {
	h := newHarness(t, "")
	c := h.connectClient(putRequest("/feed-a/s/x", "segment"))
	n := h.nodeConn(0)
	h.advanceTime(time.Second)
	h.takeWritten(c)
	if h.closedBy[n] != Abort {
		t.Error("the connection of the late attempt is open")
	}
	h.deliver(n, okResponse("late"))
	if got := h.takeWritten(c); got != "" {
		t.Errorf("a second response: %q", got)
	}
}

// A node responds before it has the whole body. The client gets that response, and neither
// connection is reused. What the client still sends is read and dropped for a while, so
// that no reset takes the response from it.
func TestNodeRespondsBeforeBodyIsComplete(t *testing.T) {
	h := newHarness(t, "")
	c := h.connectClient(putRequest("/feed-a/s/x", strings.Repeat("x", 400<<10))[:40<<10])
	n := h.nodeConn(0)
	h.deliver(n, "HTTP/1.1 423 Locked\r\nContent-Length: 0\r\n\r\n")
	h.wantContains("the response", h.takeWritten(c), "HTTP/1.1 423 Locked", "Connection: close")
	if h.closedBy[n] != Close {
		t.Error("the node's connection is kept in the middle of a body")
	}
	h.deliver(c, strings.Repeat("x", 100<<10)) // read and dropped, so that no reset takes the response from the client
	h.advanceTime(3 * time.Second)
	if _, closed := h.closedBy[c]; !closed {
		t.Error("the client's connection stays open")
	}
	h.wantOutcomes(map[Outcome]int{Served: 1})
}

// A node resets the connection in the middle of a response. The client's connection is
// reset too, so that it cannot take the response for complete, and the request is not
// retried.
func TestNodeResetsDuringResponse(t *testing.T) {
	h := newHarness(t, "")
	c := h.connectClient(getRequest("/feed-a/s/x"))
	n := h.nodeConn(0)
	h.deliver(n, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n")
	h.gateway.Closed(h.now, n)
	h.runActions()
	h.advanceTime(2 * time.Second)
	if h.closedBy[c] != Abort || strings.Contains(h.takeWritten(c), "0\r\n\r\n") {
		t.Error("the client may take half a response for a complete one")
	}
	if h.gateway.Counts().Attempts != 1 {
		t.Errorf("%d attempts", h.gateway.Counts().Attempts)
	}
}

// A node closes an idle connection just as a request is sent on it. If no byte of the
// request was written, it was not executed and is retried. Otherwise that is unknown, and
// a non-idempotent request fails.
func TestIdleConnectionClosesAsRequestIsSent(t *testing.T) {
	for _, written := range []bool{false, true} {
		h := newHarness(t, "")
		c := h.connectClient(getRequest("/feed-a/s/x"))
		n := h.nodeConn(0)
		h.deliver(n, okResponse("x"))
		h.takeWritten(c)
		h.advanceTime(reuseDelay) // a fresh connection would not be used for the write
		h.blocked[n] = !written
		h.deliver(c, putRequest("/feed-a/s/x", "segment"))
		h.gateway.EOF(h.now, n)
		h.runActions()
		h.advanceTime(50 * time.Millisecond)
		if written {
			h.wantContains("the response", h.takeWritten(c), "HTTP/1.1 502 ")
			h.wantOutcomes(map[Outcome]int{Served: 1, Failed: 1})
			continue
		}
		n = h.nodeConn(1)
		h.wantContains("at the node", h.takeWritten(n), "PUT /feed-a/s/x", "Maddergap-Attempt: 1", "segment")
		h.deliver(n, okResponse(""))
		h.wantContains("the response", h.takeWritten(c), "200 OK")
	}
}

// A safe request whose connection was reset is retried. Both attempts are in one trace.
func TestSafeRequestIsRetriedAfterReset(t *testing.T) {
	h := newHarness(t, "")
	c := h.connectClient(getRequest("/feed-a/s/x"))
	h.gateway.Closed(h.now, h.nodeConn(0))
	h.runActions()
	h.advanceTime(100 * time.Millisecond)
	h.deliver(h.nodeConn(1), okResponse("x"))
	h.wantContains("the response", h.takeWritten(c), "200 OK")
	if h.spans[0].Trace != h.spans[1].Trace || h.spans[0].ID == h.spans[1].ID || h.spans[1].Attempt != 1 {
		t.Errorf("%+v", h.spans)
	}
}

// A node rejects a request as its queue is full. A request whose body is buffered is
// retried; one whose body was forwarded beyond the buffer cannot be, and is rejected with
// Retry-After.
func TestNodeQueueFull(t *testing.T) {
	const full = "HTTP/1.1 503 Service Unavailable\r\nMaddergap-Ran: no\r\nContent-Length: 0\r\n\r\n"
	h := newHarness(t, "")
	c := h.connectClient(putRequest("/feed-a/s/x", "segment"))
	h.deliver(h.nodeConn(0), full)
	h.advanceTime(900 * time.Millisecond)
	if h.gateway.Counts().Attempts < 2 {
		t.Error("a rejected attempt of a buffered body was not retried")
	}
	_ = c
	h = newHarness(t, "retry-after 2s\n")
	c = h.connectClient(putRequest("/feed-a/s/x", strings.Repeat("x", 400<<10))[:60<<10])
	h.deliver(c, "xxx")
	h.deliver(h.nodeConn(0), full)
	h.wantContains("the response", h.takeWritten(c), "HTTP/1.1 503 ", "Retry-After: 2\r\n", "no harm")
	h.advanceTime(time.Second)
	if h.gateway.Counts().Attempts != 1 {
		t.Error("a body that was forwarded was retried")
	}
}

// A node's 503 that does not say that the request was not executed leaves that unknown: a
// write fails.
func TestPlain503IsAFailure(t *testing.T) {
	h := newHarness(t, "")
	c := h.connectClient(putRequest("/feed-a/s/x", "segment"))
	h.deliver(h.nodeConn(0), "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
	h.wantContains("the response", h.takeWritten(c), "HTTP/1.1 502 ")
}

// No node can be reached. The request was not executed and is rejected, at the end of its
// client's time.
func TestUnreachableNodeIsRejectedAtDeadline(t *testing.T) {
	h := newHarness(t, "")
	h.refuseDials = true
	c := h.connectClient(putRequest("/feed-a/s/x", "segment"))
	h.advanceTime(time.Second)
	h.wantContains("the response", h.takeWritten(c), "HTTP/1.1 503 ")
	h.wantOutcomes(map[Outcome]int{Rejected: 1})
}

// Forty requests wait for a node that never responds. It gets no more connections than
// configured, and every request is rejected in time.
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

// Guards against a healthy node that is ejected by this instance's own limits of connections:
// three attempts for which there was no connection in a row opened its circuit breaker. They are
// not sent, and served as soon as there is a connection.
func TestConnectionLimitIsNotTheNodesFault(t *testing.T) {
	for name, lower := range map[string]func(l *config.Limits){
		"per node": func(l *config.Limits) { l.ConnsPerNode = 1 },
		"over all": func(l *config.Limits) { l.NodeConns = 1 },
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, "")
			lower(&h.gateway.config.Limits)
			h.connectClient(getRequest("/feed-a/s/0"))
			for i := range 4 {
				h.connectClient(getRequest(fmt.Sprint("/feed-a/s/", i+1)))
				h.advanceTime(20 * time.Millisecond)
			}
			for range 10 {
				h.takeWritten(h.nodeConn(0))
				h.deliver(h.nodeConn(0), okResponse("x"))
				h.advanceTime(10 * time.Millisecond)
			}
			notSent := 0
			for _, span := range h.spans {
				if span.Node != "" && span.AttemptOutcome == scheduler.ConnectFailed {
					t.Errorf("attempt %d of %s counts as a failed connection", span.Attempt, span.Request)
				}
				if span.Node != "" && span.AttemptOutcome == scheduler.NotSent {
					notSent++
				}
			}
			if notSent < 3 {
				t.Errorf("%d attempts met the limit, want 3 or more", notSent)
			}
			h.wantOutcomes(map[Outcome]int{Served: 5})
		})
	}
}

// Guards against rejections that cannot be told apart in the log: the report of a request that was
// not sent in time names the send rule that held it back.
func TestRejectionNamesSendRule(t *testing.T) {
	for _, test := range []struct {
		want    string
		prepare func(h *harness)
	}{
		{"no-node", func(h *harness) { h.gateway.SetNodes(h.now, nil) }},
		{"breaker-open", func(h *harness) { // the node takes what its window allows, and is silent
			for i := range 10 {
				h.connectClient(getRequest(fmt.Sprint("/feed-a/held/", i)))
			}
		}},
	} {
		t.Run(test.want, func(t *testing.T) {
			h := newHarness(t, "")
			test.prepare(h)
			h.connectClient(getRequest("/feed-a/s/x"))
			h.advanceTime(1100 * time.Millisecond)
			var got string
			for _, span := range h.spans {
				if span.Node == "" && span.Path == "/feed-a/s/x" {
					got = span.WaitReason
				}
			}
			if got != test.want {
				t.Errorf("%q, want %q", got, test.want)
			}
		})
	}
}

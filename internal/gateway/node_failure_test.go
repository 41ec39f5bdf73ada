package gateway

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"maddergap/internal/config"
	"maddergap/scheduler"
)

// Verifies what becomes of a write whose node never responds: the client gets 504 in time,
// without a promise that a retry is harmless, and the write is not sent again. The node is
// used again once it responds.
func TestUnresponsiveNodeFailsNonIdempotentRequest(t *testing.T) {
	h := newHarness(t, "")
	client := h.connectClient(putRequest("/feed-a/s/x", "segment"))
	conn := h.nodeConn(0)
	h.wantContains("the request at the node", h.takeWritten(conn), "PUT /feed-a/s/x", "Content-Length: 7", "segment")
	h.advanceTime(970 * time.Millisecond)
	if got := h.takeWritten(client); got != "" {
		t.Fatalf("the client got %q before the deadline, want nothing", got)
	}
	h.advanceTime(20 * time.Millisecond) // the deadline less the response margin
	got := h.takeWritten(client)
	h.wantContains("the response", got, "HTTP/1.1 504 ", "not known")
	if strings.Contains(got, "Retry-After") {
		t.Error("a failure promises that a retry is harmless, want no Retry-After")
	}
	h.advanceTime(3 * time.Second)
	if h.gateway.Counts().Attempts != 1 || h.takeWritten(client) != "" {
		t.Errorf("%d attempts, want 1 attempt and one response", h.gateway.Counts().Attempts)
	}
	h.wantOutcomes(map[Outcome]int{Failed: 1})
	// The node responds again, and is used again.
	h.deliver(client, putRequest("/feed-a/s/x", "again"))
	h.advanceTime(time.Second / 2)
	h.deliver(h.nodeConn(len(h.dialed)-1), okResponse(""))
	h.wantContains("the response", h.takeWritten(client), "200 OK")
}

// Verifies that a client that got its final response at the deadline gets no second one when the
// node responds later: the connection to the node is reset at the deadline.
func TestResponseAfterDeadlineIsDropped(t *testing.T) {
	h := newHarness(t, "")
	client := h.connectClient(putRequest("/feed-a/s/x", "segment"))
	conn := h.nodeConn(0)
	h.advanceTime(time.Second)
	h.takeWritten(client)
	if h.closedBy[conn] != Abort {
		t.Error("the node connection of the late attempt was not reset")
	}
	h.deliver(conn, okResponse("late"))
	if got := h.takeWritten(client); got != "" {
		t.Errorf("the client got a second response: %q", got)
	}
}

// Verifies that a node may respond before it has the complete body: the client gets that
// response, and neither connection is reused. What the client still sends is read and discarded
// for a while, because a reset would make the client lose the response.
func TestNodeRespondsBeforeBodyIsComplete(t *testing.T) {
	h := newHarness(t, "")
	client := h.connectClient(putRequest("/feed-a/s/x", strings.Repeat("x", 400<<10))[:40<<10])
	conn := h.nodeConn(0)
	h.deliver(conn, "HTTP/1.1 423 Locked\r\nContent-Length: 0\r\n\r\n")
	h.wantContains("the response", h.takeWritten(client), "HTTP/1.1 423 Locked", "Connection: close")
	if h.closedBy[conn] != Close {
		t.Error("the node connection stays open in the middle of a request body")
	}
	h.deliver(client, strings.Repeat("x", 100<<10)) // read and discarded
	h.advanceTime(3 * time.Second)
	if _, closed := h.closedBy[client]; !closed {
		t.Error("the client's connection stays open")
	}
	h.wantOutcomes(map[Outcome]int{Served: 1})
}

// Guards against a client that takes a partial response for a complete one: if a node resets
// its connection in the middle of a response, the client's connection is reset too. The request
// is not retried.
func TestNodeResetsDuringResponse(t *testing.T) {
	h := newHarness(t, "")
	client := h.connectClient(getRequest("/feed-a/s/x"))
	conn := h.nodeConn(0)
	h.deliver(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n")
	h.gateway.Closed(h.now, conn)
	h.runActions()
	h.advanceTime(2 * time.Second)
	if h.closedBy[client] != Abort || strings.Contains(h.takeWritten(client), "0\r\n\r\n") {
		t.Error("the client may take a partial response for a complete one")
	}
	if h.gateway.Counts().Attempts != 1 {
		t.Errorf("%d attempts, want 1", h.gateway.Counts().Attempts)
	}
}

// Verifies what happens if a node closes an idle connection just as a request is sent on it. If
// no byte was written, the request was not executed and is retried. Otherwise it may have been
// executed, and a non-idempotent request fails.
func TestIdleConnectionClosesAsRequestIsSent(t *testing.T) {
	for _, written := range []bool{false, true} {
		h := newHarness(t, "")
		client := h.connectClient(getRequest("/feed-a/s/x"))
		conn := h.nodeConn(0)
		h.deliver(conn, okResponse("x"))
		h.takeWritten(client)
		h.advanceTime(reuseDelay) // before that, the write would not reuse the connection
		h.blocked[conn] = !written
		h.deliver(client, putRequest("/feed-a/s/x", "segment"))
		h.gateway.EOF(h.now, conn)
		h.runActions()
		h.advanceTime(50 * time.Millisecond)
		if written {
			h.wantContains("the response", h.takeWritten(client), "HTTP/1.1 502 ")
			h.wantOutcomes(map[Outcome]int{Served: 1, Failed: 1})
			continue
		}
		conn = h.nodeConn(1)
		h.wantContains("the request at the node", h.takeWritten(conn), "PUT /feed-a/s/x", "Maddergap-Attempt: 1", "segment")
		h.deliver(conn, okResponse(""))
		h.wantContains("the response", h.takeWritten(client), "200 OK")
	}
}

// Verifies that a safe request whose connection was reset is retried, and that both attempts
// belong to one trace.
func TestSafeRequestIsRetriedAfterReset(t *testing.T) {
	h := newHarness(t, "")
	client := h.connectClient(getRequest("/feed-a/s/x"))
	h.gateway.Closed(h.now, h.nodeConn(0))
	h.runActions()
	h.advanceTime(100 * time.Millisecond)
	h.deliver(h.nodeConn(1), okResponse("x"))
	h.wantContains("the response", h.takeWritten(client), "200 OK")
	if h.spans[0].Trace != h.spans[1].Trace || h.spans[0].ID == h.spans[1].ID || h.spans[1].Attempt != 1 {
		t.Errorf("%+v", h.spans)
	}
}

// Verifies what becomes of a request that a node rejects because its queue is full. A request
// with a buffered body is retried. A request whose body was forwarded beyond the buffer cannot be
// retried, and is rejected with Retry-After.
func TestNodeQueueFull(t *testing.T) {
	const full = "HTTP/1.1 503 Service Unavailable\r\nMaddergap-Ran: no\r\nContent-Length: 0\r\n\r\n"
	h := newHarness(t, "")
	client := h.connectClient(putRequest("/feed-a/s/x", "segment"))
	h.deliver(h.nodeConn(0), full)
	h.advanceTime(900 * time.Millisecond)
	if h.gateway.Counts().Attempts < 2 {
		t.Error("a rejected request with a buffered body was not retried")
	}
	_ = client
	h = newHarness(t, "retry-after 2s\n")
	client = h.connectClient(putRequest("/feed-a/s/x", strings.Repeat("x", 400<<10))[:60<<10])
	h.deliver(client, "xxx")
	h.deliver(h.nodeConn(0), full)
	h.wantContains("the response", h.takeWritten(client), "HTTP/1.1 503 ", "Retry-After: 2\r\n", "no harm")
	h.advanceTime(time.Second)
	if h.gateway.Counts().Attempts != 1 {
		t.Error("a request whose body was forwarded beyond the buffer was retried")
	}
}

// Verifies that a write fails if the node's 503 response does not say that the request was not
// executed: it may have been.
func TestPlain503IsAFailure(t *testing.T) {
	h := newHarness(t, "")
	client := h.connectClient(putRequest("/feed-a/s/x", "segment"))
	h.deliver(h.nodeConn(0), "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
	h.wantContains("the response", h.takeWritten(client), "HTTP/1.1 502 ")
}

// Verifies that a request is rejected at its deadline if no node can be reached. It was not
// executed, so that it is not failed.
func TestUnreachableNodeIsRejectedAtDeadline(t *testing.T) {
	h := newHarness(t, "")
	h.refuseDials = true
	client := h.connectClient(putRequest("/feed-a/s/x", "segment"))
	h.advanceTime(time.Second)
	h.wantContains("the response", h.takeWritten(client), "HTTP/1.1 503 ")
	h.wantOutcomes(map[Outcome]int{Rejected: 1})
}

// Verifies that a node that never responds gets no more connections than configured while forty
// requests wait for it, and that every request is rejected in time.
func TestConnectionsPerNodeAreLimited(t *testing.T) {
	h := newHarness(t, "")
	for i := range 40 {
		h.connectClient(getRequest(fmt.Sprint("/feed-a/s/", i)))
		h.advanceTime(60 * time.Millisecond)
	}
	h.advanceTime(2 * time.Second)
	if n := h.gateway.nodes.byName["n0"].conns; n > 4 {
		t.Errorf("%d connections to the node, want 4 at most", n)
	}
	if got := h.outcomes(); got[Rejected] != 40 {
		t.Errorf("outcomes %v, want 40 rejected", got)
	}
}

// Regression test: this instance's own limits on connections made it eject a healthy node, because
// three attempts in a row that got no connection opened the node's circuit breaker. Such attempts
// end as not sent, and their requests are served as soon as a connection is free.
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
				h.advanceTime(reuseDelay)
			}
			notSent := 0
			for _, span := range h.spans {
				if span.Node != "" && span.AttemptOutcome == scheduler.ConnectFailed {
					t.Errorf("attempt %d of %s ended as ConnectFailed, want NotSent", span.Attempt, span.Request)
				}
				if span.Node != "" && span.AttemptOutcome == scheduler.NotSent {
					notSent++
				}
			}
			if notSent < 3 {
				t.Errorf("%d attempts were not sent because of the limit, want 3 or more", notSent)
			}
			h.wantOutcomes(map[Outcome]int{Served: 5})
		})
	}
}

// Verifies that the report of a request that was not sent in time names the send rule that kept it
// waiting, so that rejections can be told apart in the log.
func TestRejectionNamesSendRule(t *testing.T) {
	for _, test := range []struct {
		want    string
		prepare func(h *harness)
	}{
		{"no-node", func(h *harness) { h.gateway.SetNodes(h.now, nil) }},
		{"breaker-open", func(h *harness) { // the node gets as many requests as its window allows, and never responds
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
				t.Errorf("wait reason is %q, want %q", got, test.want)
			}
		})
	}
}

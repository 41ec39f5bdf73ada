package gateway

import (
	"strings"
	"testing"
	"time"

	"maddergap/scheduler"
)

// idempotentWindow is the deduplication window of the harness of newIdempotentHarness.
const idempotentWindow = 200 * time.Millisecond

// newIdempotentHarness returns a harness in which writes are idempotent within idempotentWindow, and are sent with
// the protocol of that name in harnessesByProtocol. The first attempt of a write was lost by a reset, and the second one was sent on conn.
func newIdempotentHarness(t *testing.T, name string) (h *harness, client, conn ConnID, start Time) {
	t.Helper()
	h = harnessesByProtocol[name](t, strings.Replace(harnessConfig, "effect unsafe", "effect keyed window 200ms", 1))
	start = h.now
	client = h.connectClient(putRequest("/feed-a/s/a", "segment", "id: a"))
	h.gateway.Closed(h.now, h.nodeConn(0))
	h.advanceTime(50 * time.Millisecond)
	conn = h.nodeConn(1)
	h.wantContains("the retry", h.takeWritten(conn), "PUT /", "segment")
	return h, client, conn, start
}

// Regression test: a retry that was sent within the deduplication window could be on its way until the
// client's deadline, and arrive when the nodes had forgotten the first attempt. It is given up at the end
// of the window by a reset, which also discards the bytes that the kernel has not delivered yet.
func TestRetryIsGivenUpAtDeduplicationEnd(t *testing.T) {
	for name := range harnessesByProtocol {
		h, client, conn, start := newIdempotentHarness(t, name)
		h.advanceTime(start + idempotentWindow - 1 - h.now)
		if _, closed := h.closedBy[conn]; closed {
			t.Errorf("%s: the retry was given up before the end of the window", name)
		}
		h.advanceTime(1)
		if op := h.closedBy[conn]; op != Abort {
			t.Errorf("%s: the connection of the retry is closed by %v at the end of the window, want abort", name, op)
		}
		h.wantContains(name+": the response", h.takeWritten(client), "HTTP/1.1 503 ")
		h.advanceTime(time.Second)
		if len(h.dialed) != 2 {
			t.Errorf("%s: %d attempts, want 2", name, len(h.dialed))
		}
		if last := h.lastAttempt(); last.AttemptOutcome != scheduler.Cancelled || h.gateway.Counts().AttemptsGivenUp != 1 {
			t.Errorf("%s: the retry ended as %v, %d attempts given up; want cancelled, 1", name, last.AttemptOutcome, h.gateway.Counts().AttemptsGivenUp)
		}
	}
}

// lastAttempt returns the span of the attempt that ended last.
func (h *harness) lastAttempt() (last Span) {
	for _, span := range h.spans {
		if span.Node != "" {
			last = span
		}
	}
	return last
}

// Verifies that a retry whose response has begun by the end of the deduplication window is not given up:
// it has arrived in time.
func TestRetryWithResponseOutlastsDeduplicationEnd(t *testing.T) {
	for name := range harnessesByProtocol {
		h, client, conn, start := newIdempotentHarness(t, name)
		response := okResponse("written")
		h.advanceTime(start + idempotentWindow - h.now - time.Millisecond)
		h.deliver(conn, response[:len(response)-3])
		h.advanceTime(100 * time.Millisecond)
		h.deliver(conn, response[len(response)-3:])
		h.wantContains(name+": the response", h.takeWritten(client), "200 OK", "written")
	}
}

// Verifies that a retry is given up at the end of the deduplication window also if its client has
// disconnected meanwhile.
func TestRetryWithoutClientIsGivenUpAtDeduplicationEnd(t *testing.T) {
	for name := range harnessesByProtocol {
		h, client, conn, start := newIdempotentHarness(t, name)
		h.gateway.Closed(h.now, client)
		h.advanceTime(start + idempotentWindow - h.now)
		if op := h.closedBy[conn]; op != Abort {
			t.Errorf("%s: the connection of the retry is closed by %v, want abort", name, op)
		}
	}
}

// Regression test: when a node ended a connection on which a request was on its way, the gateway closed it
// in order, so that the kernel went on sending the request, which could arrive after its retry.
func TestLostAttemptIsAborted(t *testing.T) {
	for name := range harnessesByProtocol {
		h, _, conn, _ := newIdempotentHarness(t, name)
		h.gateway.EOF(h.now, conn)
		h.runActions()
		if op := h.closedBy[conn]; op != Abort {
			t.Errorf("%s: the connection is closed by %v, want abort", name, op)
		}
	}
}

// Verifies that a retry which a node answers with an error is not given up either while the body of that
// error arrives.
func TestRetryWithErrorOutlastsDeduplicationEnd(t *testing.T) {
	h, client, conn, start := newIdempotentHarness(t, "WebDAV")
	h.advanceTime(start + idempotentWindow - h.now - time.Millisecond)
	h.deliver(conn, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 6\r\n\r\nbro")
	h.advanceTime(100 * time.Millisecond)
	h.deliver(conn, "ken")
	if op, closed := h.closedBy[conn]; closed || h.gateway.Counts().AttemptsGivenUp != 0 {
		t.Errorf("the connection is closed by %v, %d attempts given up; want it open, and 0", op, h.gateway.Counts().AttemptsGivenUp)
	}
	h.wantContains("the response", h.takeWritten(client), "HTTP/1.1 503 ")
}

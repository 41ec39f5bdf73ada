package gateway

import (
	"testing"
	"time"
)

// An instance stops. Requests under way, those whose header has begun, and the first of a
// connection just accepted are answered; idle connections are closed without a reset; no
// further request is taken.
func TestShutdown(t *testing.T) {
	h := newHarness(t, "")
	idle := h.connectClient(getRequest("/feed-a/s/0"))
	h.deliver(h.nodeConn(0), okResponse("zero"))
	h.takeWritten(idle)
	c := h.connectClient(getRequest("/feed-a/s/1") + getRequest("/feed-a/s/2"))
	silent, fresh, half := h.connectClient(""), h.connectClient(""), h.connectClient(getRequest("/feed-b/s/0"))
	h.deliver(h.nodeConn(1), okResponse("zero"))
	h.takeWritten(half)
	h.deliver(half, "GET /feed-a/s/4 HTT")
	h.gateway.Shutdown(h.now)
	h.runActions()
	if h.gateway.Idle() {
		t.Error("idle with a request under way")
	}
	h.deliver(idle, getRequest("/feed-a/s/9")) // crosses the shutdown
	h.wantLingeringClose(idle)
	h.deliver(h.nodeConn(0), okResponse("one"))
	h.wantContains("the response", h.takeWritten(c), "200 OK", "Connection: close")
	h.wantLingeringClose(c)
	// A connection just accepted, and a request whose header has begun, are answered.
	for _, late := range []struct {
		c    ConnID
		text string
	}{{fresh, getRequest("/feed-a/s/3")}, {half, getRequest("/feed-a/s/4")[19:]}} {
		h.deliver(late.c, late.text)
		h.deliver(h.nodeConn(0), okResponse("late"))
		h.wantContains("the response", h.takeWritten(late.c), "200 OK", "Connection: close")
		h.wantLingeringClose(late.c)
	}
	h.advanceTime(firstRequestGrace)
	if h.closedBy[silent] != Close || !h.gateway.Idle() || h.gateway.Counts().Received != 5 {
		t.Errorf("a silent connection ended by %v, idle %v after %d taken, want 5", h.closedBy[silent], h.gateway.Idle(), h.gateway.Counts().Received)
	}
}

// The time for a shutdown is over. Every request that has no response gets one: it is
// rejected if nothing was sent of it, and failed otherwise. A response that comes later is
// dropped.
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
	h.wantContains("of the request that was sent", h.takeWritten(out), "HTTP/1.1 502 ", "Connection: close")
	h.wantContains("of the request that waited", h.takeWritten(waits), "HTTP/1.1 503 ", "Connection: close")
	h.deliver(h.nodeConn(0), okResponse("too late"))
	if got := h.takeWritten(out); got != "" {
		t.Errorf("a second response: %q", got)
	}
	h.wantOutcomes(map[Outcome]int{Failed: 1, Rejected: 1})
}

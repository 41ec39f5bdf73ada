package gateway

import (
	"fmt"
	"testing"
	"time"
)

// Verifies which requests are still answered after Shutdown: those under way, those whose header
// has begun to arrive, and the first one of a connection just accepted. Idle connections are
// closed without a reset, and no other request is accepted.
func TestShutdown(t *testing.T) {
	h := newHarness(t, "")
	idle := h.connectClient(getRequest("/feed-a/s/0"))
	h.deliver(h.nodeConn(0), okResponse("zero"))
	h.takeWritten(idle)
	h.advanceTime(reuseDelay)
	c := h.connectClient(getRequest("/feed-a/s/1") + getRequest("/feed-a/s/2"))
	noRequest, fresh, partial := h.connectClient(""), h.connectClient(""), h.connectClient(getRequest("/feed-b/s/0"))
	h.deliver(h.nodeConn(1), okResponse("zero"))
	h.takeWritten(partial)
	h.deliver(partial, "GET /feed-a/s/4 HTT")
	h.gateway.Shutdown(h.now)
	h.runActions()
	if h.gateway.Idle() {
		t.Error("Idle returned true with a request under way")
	}
	h.deliver(idle, getRequest("/feed-a/s/9")) // arrives after the shutdown, and is not accepted
	h.wantLingeringClose(idle)
	h.deliver(h.nodeConn(0), okResponse("one"))
	h.wantContains("the response", h.takeWritten(c), "200 OK", "Connection: close")
	h.wantLingeringClose(c)
	// A connection just accepted, and a request whose header has begun, are answered.
	for _, late := range []struct {
		c    ConnID
		text string
	}{{fresh, getRequest("/feed-a/s/3")}, {partial, getRequest("/feed-a/s/4")[19:]}} {
		h.advanceTime(reuseDelay)
		h.deliver(late.c, late.text)
		h.deliver(h.nodeConn(0), okResponse("late"))
		h.wantContains("the response", h.takeWritten(late.c), "200 OK", "Connection: close")
		h.wantLingeringClose(late.c)
	}
	h.advanceTime(firstRequestGrace)
	if h.closedBy[noRequest] != Close || !h.gateway.Idle() || h.gateway.Counts().Received != 5 {
		t.Errorf("connection without a request closed by %v, want close; Idle %v, want true; %d requests received, want 5", h.closedBy[noRequest], h.gateway.Idle(), h.gateway.Counts().Received)
	}
}

// Verifies that AbortRemaining answers every request that has no response yet when the time for a
// graceful shutdown is over: 503 if no attempt was made, and 502 otherwise. A node's response that
// arrives later is discarded.
func TestAbortRemainingAnswersEveryRequest(t *testing.T) {
	h := newHarness(t, "")
	sent := h.connectClient(getRequest("/feed-a/s/1"))
	h.gateway.SetNodes(h.now, nil)
	waiting := h.connectClient(getRequest("/feed-a/s/2"))
	h.gateway.Shutdown(h.now)
	h.runActions()
	h.advanceTime(100 * time.Millisecond)
	h.gateway.AbortRemaining(h.now)
	h.runActions()
	h.wantContains("the response to the request that was sent", h.takeWritten(sent), "HTTP/1.1 502 ", "Connection: close")
	h.wantContains("the response to the request that waited", h.takeWritten(waiting), "HTTP/1.1 503 ", "Connection: close")
	if op := h.closedBy[h.nodeConn(0)]; op != Abort {
		t.Errorf("the connection of the attempt is closed by %v, want abort", op)
	}
	h.deliver(h.nodeConn(0), okResponse("too late"))
	if got := h.takeWritten(sent); got != "" {
		t.Errorf("second response %q, want none", got)
	}
	h.wantOutcomes(map[Outcome]int{Failed: 1, Rejected: 1})
}

// Regression test: a request that became complete after the remaining ones had been aborted was sent to a
// node, and the process exited before its response. A request that is still arriving then is rejected, so
// that its client has a response whenever it sends the rest; so is one that begins later.
func TestAbortRemainingRejectsIncompleteRequests(t *testing.T) {
	for name, harnessOf := range harnessesByProtocol {
		request := putRequest("/feed-a/s/a", "segment", "id: a")
		for _, sent := range []int{10, len(request) - 3, len(request)} { // in the header, in the body, after the abort
			h := harnessOf(t, harnessConfig)
			early := sent
			if sent == len(request) {
				early = 0
			}
			client := h.connectClient(request[:early])
			h.gateway.Shutdown(h.now)
			h.runActions()
			incomplete := h.gateway.AbortRemaining(h.now)
			h.runActions()
			if want := min(early, 1); incomplete != want {
				t.Errorf("%s, %d bytes: %d incomplete requests, want %d", name, early, incomplete, want)
			}
			if early == 0 {
				client = h.connectClient(request)
			}
			h.wantContains(fmt.Sprintf("%s, %d bytes: the response", name, early), h.takeWritten(client), "HTTP/1.1 503 ", "Connection: close", reasonStopped)
			if early > 0 {
				h.deliver(client, request[early:])
			}
			h.advanceTime(100 * time.Millisecond)
			if got := h.takeWritten(client); got != "" || len(h.dialed) > 0 {
				t.Errorf("%s, %d bytes: second response %q, %d connections to nodes; want none", name, early, got, len(h.dialed))
			}
			h.wantLingeringClose(client)
		}
	}
}

// Verifies that AbortRemaining ends a connection on which no request has begun without a reset, and leaves
// alone one whose last response is being written.
func TestAbortRemainingEndsIdleConnections(t *testing.T) {
	h := newHarness(t, "")
	unread := h.connectClient(getRequest("/feed-a/s/1"))
	h.blocked[unread] = true
	h.deliver(h.nodeConn(0), okResponse("one"))
	h.gateway.Shutdown(h.now)
	h.runActions()
	fresh := h.connectClient("")
	h.gateway.AbortRemaining(h.now)
	h.runActions()
	h.wantLingeringClose(fresh)
	h.blocked[unread] = false
	h.flush(unread)
	h.runActions()
	h.wantContains("the response", h.takeWritten(unread), "200 OK", "one")
	h.wantLingeringClose(unread)
}

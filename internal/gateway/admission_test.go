package gateway

import (
	"net/netip"
	"strings"
	"testing"
	"time"
)

// acceptFrom opens a client connection from an address, which must be admitted.
func (h *harness) acceptFrom(addr string) ConnID {
	result := h.gateway.Accept(h.now, netip.MustParseAddrPort(addr), 0)
	if !result.Admitted {
		h.t.Fatalf("the connection from %s was rejected with %q", addr, result.Response)
	}
	h.runActions()
	return result.ID
}

// Verifies that an upload below the minimum rate is answered 408. The client sends a byte of
// its body each second, so that the timeout between bytes never ends the upload.
func TestUploadBelowMinRateIsEnded(t *testing.T) {
	h := newHarness(t, "pace body 100 after 5s\n")
	c := h.connectClient("PUT /feed-a/s/x HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n")
	for i := 0; h.takeWritten(c) == "" && i < 20; i++ {
		h.advanceTime(time.Second)
		h.deliver(c, "x")
		if got := h.takeWritten(c); got != "" {
			if i < 4 || i > 6 {
				t.Errorf("upload ended after %d s, want about 5 s", i)
			}
			h.wantContains("the response", got, "408 ")
			return
		}
	}
	t.Error("the upload was not ended")
}

// Verifies that a slow upload above the minimum rate is not ended, however long it takes.
func TestUploadAboveMinRateContinues(t *testing.T) {
	h := newHarness(t, "pace body 100 after 2s\n")
	c := h.connectClient("PUT /feed-a/s/x HTTP/1.1\r\nHost: h\r\nContent-Length: 3000\r\n\r\n")
	for range 20 {
		h.advanceTime(time.Second)
		h.deliver(c, strings.Repeat("x", 150))
	}
	if h.closedBy[c] != 0 || h.takeWritten(c) != "" {
		t.Error("the upload was ended although its rate is above the minimum")
	}
}

// Verifies that a client that reads its response below the minimum rate, a few bytes each second,
// is disconnected. Otherwise it would occupy a connection to a node for ever.
func TestDownloadBelowMinRateIsEnded(t *testing.T) {
	h := newHarness(t, "pace answer 1k after 5s\n")
	c := h.connectClient(getRequest("/feed-a/s/x"))
	h.blocked[c] = true
	h.deliver(h.nodeConn(0), "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n"+strings.Repeat("y", 60000))
	h.deliver(h.nodeConn(0), "y") // more than is buffered: the node is paused
	for range 20 {
		h.advanceTime(time.Second)
		if _, closed := h.closedBy[c]; closed {
			if elapsed := h.now - 24*time.Hour; elapsed < 4*time.Second || elapsed > 7*time.Second {
				t.Errorf("disconnected after %v, want about 5 s", elapsed)
			}
			return
		}
		h.gateway.Wrote(h.now, c, 100)
		h.runActions()
	}
	t.Error("the download was not ended")
}

// Verifies the limit on requests per client connection, here 2: the response to the last request
// announces that the connection is closed, and the gateway closes it.
func TestRequestsPerConnectionLimit(t *testing.T) {
	h := newHarness(t, "requests 2\n")
	c := h.connectClient(getRequest("/feed-a/s/x"))
	h.deliver(h.nodeConn(0), okResponse("one"))
	if got := h.takeWritten(c); strings.Contains(got, "Connection: close") {
		t.Errorf("%q", got)
	}
	h.advanceTime(reuseDelay)
	h.deliver(c, getRequest("/feed-a/s/x"))
	h.deliver(h.nodeConn(0), okResponse("two"))
	h.wantContains("the last response", h.takeWritten(c), "two", "Connection: close")
	h.wantLingeringClose(c)
}

// Verifies which connections are preempted when known clients connect at the connection limit.
// A connection may be preempted while its request is incomplete, and while it is idle. It must not
// be preempted from the submission of its request until the response is written completely.
func TestPreemption(t *testing.T) {
	h := newHarness(t, "clients 3\nadmit reserve 1\nknown 10.0.0.0/8\n")
	slow := h.acceptFrom("1.1.1.1:1")
	h.deliver(slow, "PUT /feed-a/s/x HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\nabc")
	submitted := h.acceptFrom("1.1.1.2:1")
	h.deliver(submitted, getRequest("/feed-a/s/x"))
	third := h.acceptFrom("10.0.0.1:1")
	h.deliver(third, getRequest("/feed-a/s/x"))
	h.acceptFrom("10.0.0.2:1")
	if _, closed := h.closedBy[slow]; !closed {
		t.Fatal("the connection whose request was not submitted was not preempted")
	}
	h.blocked[submitted] = true
	h.deliver(h.nodeConn(0), okResponse("answer"))
	if result := h.gateway.Accept(h.now, netip.MustParseAddrPort("10.0.0.3:1"), 0); result.Admitted {
		t.Error("a connection whose response is not written completely was preempted")
	}
	h.blocked[submitted] = false
	h.flush(submitted)
	h.runActions()
	h.wantContains("the response", h.takeWritten(submitted), "answer")
	h.acceptFrom("10.0.0.4:1") // the submitted request has its response, and its connection is idle
	if h.closedBy[submitted] != Close {
		t.Errorf("the idle connection was not preempted; closed: %v", h.closedBy)
	}
}

// Verifies the limit on the buffers of all connections, which clients that do not read reach.
// At the limit, new requests of unknown clients are rejected, and each connection may still
// buffer its minimum. Once the buffers have drained, requests are served again.
func TestTotalBufferLimit(t *testing.T) {
	h := newHarness(t, "clients 4\nadmit reserve 1\nbuffers 64k\nknown 10.0.0.0/8\n")
	var readers []ConnID
	for i := range 2 {
		c := h.acceptFrom("1.1.1.1:1")
		readers = append(readers, c)
		h.blocked[c] = true
		h.deliver(c, getRequest("/feed-a/s/x"))
		h.deliver(h.nodeConn(i), "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n")
		for range 30 {
			if !h.paused[h.nodeConn(i)] {
				h.deliver(h.nodeConn(i), strings.Repeat("y", 1000))
			}
		}
	}
	if n := h.gateway.Counts().BufferedBytes; n < 48<<10 || n > 80<<10 {
		t.Errorf("%d bytes buffered, want 48 to 80 KiB at a limit of 64 KiB", n)
	}
	if !h.paused[h.nodeConn(1)] {
		t.Error("the gateway reads from the second node beyond the limit")
	}
	other := h.acceptFrom("1.1.1.3:1")
	h.deliver(other, getRequest("/feed-a/s/x"))
	h.wantContains("the response beyond the limit", h.takeWritten(other), "503 ", "buffers", "no harm")
	for i, c := range readers {
		h.blocked[c] = false
		for range 300 {
			h.flush(c)
			h.runActions()
			if !h.paused[h.nodeConn(i)] && h.findNodeConn(h.nodeConn(i)).attempt != nil {
				h.deliver(h.nodeConn(i), strings.Repeat("y", 1000))
			}
		}
		if got := strings.Count(h.takeWritten(c), "y"); got != 100000 {
			t.Errorf("reader %d got %d bytes, want 100000", i, got)
		}
	}
	if n := h.gateway.Counts().BufferedBytes; n != 0 {
		t.Errorf("%d bytes are still accounted for, want 0", n)
	}
	h.advanceTime(reuseDelay)
	laterClient := h.acceptFrom("1.1.1.4:1")
	h.deliver(laterClient, getRequest("/feed-a/s/x"))
	for i := range 2 {
		if n := h.findNodeConn(h.nodeConn(i)); n != nil && n.attempt != nil {
			h.deliver(h.nodeConn(i), okResponse("well"))
		}
	}
	h.wantContains("the response after the buffers have drained", h.takeWritten(laterClient), "200 OK", "well")
}

// Verifies that a connection rejected during a flood takes no slot and no timer, and that
// responses to rejected connections are sent only at the configured rate.
func TestRejectedConnectionTakesNoSlot(t *testing.T) {
	h := newHarness(t, "clients 1\nadmit answers 1 answers-burst 2\n")
	h.acceptFrom("1.1.1.1:1")
	slots, timers := len(h.gateway.conns.slots), len(h.gateway.timers.heap)
	responses := 0
	for range 1000 {
		result := h.gateway.Accept(h.now, netip.MustParseAddrPort("1.1.1.2:1"), 0)
		if result.Admitted {
			t.Fatal("a connection was admitted beyond the limit")
		}
		if len(result.Response) > 0 {
			responses++
			h.wantContains("the response", string(result.Response), "HTTP/1.1 503 ", "Retry-After: 1\r\n", "Connection: close\r\n\r\ntoo many connections (total)")
		}
	}
	if responses != 2 || len(h.gateway.conns.slots) != slots || len(h.gateway.timers.heap) != timers {
		t.Errorf("%d responses, %d slots, %d timers; want 2 responses, and slots and timers as before", responses, len(h.gateway.conns.slots), len(h.gateway.timers.heap))
	}
}

// Verifies that responses are in time on a machine that is too busy to call the gateway in time.
// The gateway subtracts twice the delay from its clients' deadlines, once for reading the request
// and once for writing the response. Half of the deadline always remains, and the estimate of
// the delay decays with time.
func TestLagShortensDeadlines(t *testing.T) {
	rejectionDelay := func(lateBy, after time.Duration) time.Duration {
		h := newHarness(t, "")
		h.refuseDials = true // no node can be reached, so that the gateway rejects the request at its deadline
		first := h.connectClient(getRequest("/feed-a/s/x"))
		if lateBy > 0 {
			h.now = h.next + lateBy
			h.runActions()
		}
		h.advanceTime(after)
		h.gateway.Closed(h.now, first)
		h.runActions()
		c, start := h.connectClient(getRequest("/feed-a/s/y")), h.now
		for range 10000 {
			if h.takeWritten(c) != "" {
				return h.now - start
			}
			h.advanceTime(time.Millisecond)
		}
		t.Fatal("no response within 10 s")
		return 0
	}
	onTime, late, veryLate, recovered := rejectionDelay(0, 0), rejectionDelay(60*time.Millisecond, 0), rejectionDelay(5*time.Second, 0), rejectionDelay(60*time.Millisecond, 30*time.Second)
	if d := onTime - late; d < 100*time.Millisecond || d > 130*time.Millisecond {
		t.Errorf("rejected after %v, and after %v when called 60 ms late; want 120 ms sooner", onTime, late)
	}
	if veryLate < onTime/3 {
		t.Errorf("rejected after %v when called 5 s late, want at least a third of %v", veryLate, onTime)
	}
	if d := onTime - recovered; d > 5*time.Millisecond || d < -5*time.Millisecond {
		t.Errorf("rejected after %v long after a late call, want %v as without a late call", recovered, onTime)
	}
}

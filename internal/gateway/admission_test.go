package gateway

import (
	"net/netip"
	"strings"
	"testing"
	"time"
)

// acceptFrom opens a client connection from an address.
func (h *harness) acceptFrom(addr string) ConnID {
	result := h.gateway.Accept(h.now, netip.MustParseAddrPort(addr), 0)
	if !result.Admitted {
		h.t.Fatalf("%s is not admitted: %q", addr, result.Answer)
	}
	h.runActions()
	return result.ID
}

// A client sends a byte of its body now and then, so that it is never without progress. It
// is answered 408 for being below the minimum rate.
func TestUploadBelowMinRateIsEnded(t *testing.T) {
	h := newHarness(t, "pace body 100 after 5s\n")
	c := h.connectClient("PUT /feed-a/s/x HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n")
	for i := 0; h.takeWritten(c) == "" && i < 20; i++ {
		h.advanceTime(time.Second)
		h.deliver(c, "x")
		if got := h.takeWritten(c); got != "" {
			if i < 4 || i > 6 {
				t.Errorf("ended after %d s, want 5", i)
			}
			h.wantContains("the response", got, "408 ")
			return
		}
	}
	t.Error("it is never ended")
}

// A client sends a long body slowly, and above the minimum rate. It is not ended, however
// long it takes.
func TestUploadAboveMinRateGoesOn(t *testing.T) {
	h := newHarness(t, "pace body 100 after 2s\n")
	c := h.connectClient("PUT /feed-a/s/x HTTP/1.1\r\nHost: h\r\nContent-Length: 3000\r\n\r\n")
	for range 20 {
		h.advanceTime(time.Second)
		h.deliver(c, strings.Repeat("x", 150))
	}
	if h.closedBy[c] != 0 || h.takeWritten(c) != "" {
		t.Error("ended though it is above the minimum rate")
	}
}

// A client takes a few bytes of its response now and then. It is dropped for being below
// the minimum rate, as it would hold the node for ever.
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
	t.Error("it is never ended")
}

// A client connection may have two requests. The response to the second says that the
// connection ends, and the gateway closes it.
func TestRequestsPerConnectionLimit(t *testing.T) {
	h := newHarness(t, "requests 2\n")
	c := h.connectClient(getRequest("/feed-a/s/x"))
	h.deliver(h.nodeConn(0), okResponse("one"))
	if got := h.takeWritten(c); strings.Contains(got, "Connection: close") {
		t.Errorf("%q", got)
	}
	h.deliver(c, getRequest("/feed-a/s/x"))
	h.deliver(h.nodeConn(0), okResponse("two"))
	h.wantContains("the last response", h.takeWritten(c), "two", "Connection: close")
	h.wantLingeringClose(c)
}

// All places are taken when known clients come. A request that was not received whole is
// preempted, and so is an idle connection; a request that was submitted and a response
// that is still to be written are not.
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
		t.Fatal("the request that was not submitted was not preempted")
	}
	h.blocked[submitted] = true
	h.deliver(h.nodeConn(0), okResponse("answer"))
	if result := h.gateway.Accept(h.now, netip.MustParseAddrPort("10.0.0.3:1"), 0); result.Admitted {
		t.Error("a response that is still to be written was preempted")
	}
	h.blocked[submitted] = false
	h.flush(submitted)
	h.runActions()
	h.wantContains("the response", h.takeWritten(submitted), "answer")
	h.acceptFrom("10.0.0.4:1") // now it is idle
	if h.closedBy[submitted] != Close {
		t.Errorf("the idle connection was not preempted: %v", h.closedBy)
	}
}

// Clients that do not read fill the buffers. At the limit over all connections no request
// of an unknown client begins, and each connection keeps its minimum. When the buffers
// have drained, all is as before.
func TestTotalBufferLimit(t *testing.T) {
	h := newHarness(t, "clients 4\nadmit reserve 1\nbuffers 40k\nknown 10.0.0.0/8\n")
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
	if n := h.gateway.Counts().BufferedBytes; n < 30<<10 || n > 50<<10 {
		t.Errorf("%d bytes buffered, the limit is 40k and some", n)
	}
	if !h.paused[h.nodeConn(1)] {
		t.Error("the second node is read on beyond the limit")
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
			t.Errorf("reader %d got %d bytes", i, got)
		}
	}
	if n := h.gateway.Counts().BufferedBytes; n != 0 {
		t.Errorf("%d bytes are still accounted", n)
	}
	again := h.acceptFrom("1.1.1.4:1")
	h.deliver(again, getRequest("/feed-a/s/x"))
	for i := range 2 {
		if n := h.findNodeConn(h.nodeConn(i)); n != nil && n.attempt != nil {
			h.deliver(h.nodeConn(i), okResponse("well"))
		}
	}
	h.wantContains("the response after it", h.takeWritten(again), "200 OK", "well")
}

// A flood of connections beyond the limit. A rejected connection takes no slot and no
// timer, and gets a response only as often as configured.
func TestRejectedConnectionTakesNoSlot(t *testing.T) {
	h := newHarness(t, "clients 1\nadmit answers 1 answers-burst 2\n")
	h.acceptFrom("1.1.1.1:1")
	slots, timers := len(h.gateway.conns.slots), len(h.gateway.timers.heap)
	responses := 0
	for range 1000 {
		result := h.gateway.Accept(h.now, netip.MustParseAddrPort("1.1.1.2:1"), 0)
		if result.Admitted {
			t.Fatal("admitted beyond the limit")
		}
		if len(result.Answer) > 0 {
			responses++
			h.wantContains("the response", string(result.Answer), "HTTP/1.1 503 ", "Retry-After: 1\r\n", "Connection: close\r\n\r\ntoo many connections (total)")
		}
	}
	if responses != 2 || len(h.gateway.conns.slots) != slots || len(h.gateway.timers.heap) != timers {
		t.Errorf("%d responses, %d slots, %d timers", responses, len(h.gateway.conns.slots), len(h.gateway.timers.heap))
	}
}

// The machine is too busy to call the gateway in time. It takes twice the delay from its
// clients' deadlines, once for reading the request and once for writing the response, so
// that the response is in time. Half of the deadline is left in any case, and the delay is
// forgotten after a while.
func TestLagShortensDeadlines(t *testing.T) {
	last := func(lateBy, after time.Duration) time.Duration {
		h := newHarness(t, "")
		h.refuseDials = true // no node is reached: the gateway rejects the request at its deadline
		first := h.connectClient(getRequest("/feed-a/s/x"))
		if lateBy > 0 {
			h.now = h.next + lateBy
			h.runActions()
		}
		h.advanceTime(after)
		h.gateway.Closed(h.now, first)
		h.runActions()
		c, began := h.connectClient(getRequest("/feed-a/s/y")), h.now
		for range 10000 {
			if h.takeWritten(c) != "" {
				return h.now - began
			}
			h.advanceTime(time.Millisecond)
		}
		t.Fatal("no response")
		return 0
	}
	onTime, late, veryLate, recovered := last(0, 0), last(60*time.Millisecond, 0), last(5*time.Second, 0), last(60*time.Millisecond, 30*time.Second)
	if d := onTime - late; d < 100*time.Millisecond || d > 130*time.Millisecond {
		t.Errorf("rejected after %v, %v when called 60 ms late: want 120 ms sooner", onTime, late)
	}
	if veryLate < onTime/3 {
		t.Errorf("rejected after %v: half of %v is left in any case", veryLate, onTime)
	}
	if d := onTime - recovered; d > 5*time.Millisecond || d < -5*time.Millisecond {
		t.Errorf("rejected after %v long after a delay, %v without one", recovered, onTime)
	}
}

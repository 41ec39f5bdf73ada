package gateway

import (
	"net/netip"
	"strings"
	"testing"
	"time"
)

// acceptFrom is a new client connection from an address.
func (h *harness) acceptFrom(addr string) ConnID {
	w := h.gateway.Accept(h.now, netip.MustParseAddrPort(addr), 0)
	if !w.Admitted {
		h.t.Fatalf("%s is not admitted: %q", addr, w.Answer)
	}
	h.runActions()
	return w.ID
}

// A body that moves a byte now and then, never standing still for long, is given up.
func TestUploadBelowMinRateIsEnded(t *testing.T) {
	h := newHarness(t, "pace body 100 after 5s\n")
	c := h.connectClient("PUT /feed-a/s/x HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n")
	for i := 0; h.takeWritten(c) == "" && i < 20; i++ {
		h.advanceTime(time.Second)
		h.deliver(c, "x")
		if got := h.takeWritten(c); got != "" {
			if i < 4 || i > 6 {
				t.Errorf("given up after %d s, want 5", i)
			}
			h.wantContains("the answer", got, "408 ")
			return
		}
	}
	t.Error("it is held for ever")
}

// One that keeps the pace is not, however long it takes.
func TestUploadAboveMinRateGoesOn(t *testing.T) {
	h := newHarness(t, "pace body 100 after 2s\n")
	c := h.connectClient("PUT /feed-a/s/x HTTP/1.1\r\nHost: h\r\nContent-Length: 3000\r\n\r\n")
	for range 20 {
		h.advanceTime(time.Second)
		h.deliver(c, strings.Repeat("x", 150))
	}
	if h.closedBy[c] != 0 || h.takeWritten(c) != "" {
		t.Error("given up though it moves")
	}
}

// A reader that takes a few bytes now and then is dropped; its node is not held.
func TestDownloadBelowMinRateIsEnded(t *testing.T) {
	h := newHarness(t, "pace answer 1k after 5s\n")
	c := h.connectClient(getRequest("/feed-a/s/x"))
	h.blocked[c] = true
	h.deliver(h.nodeConn(0), "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n"+strings.Repeat("y", 60000))
	h.deliver(h.nodeConn(0), "y") // more than is held: the node waits
	for range 20 {
		h.advanceTime(time.Second)
		if _, gone := h.closedBy[c]; gone {
			if elapsed := h.now - 24*time.Hour; elapsed < 4*time.Second || elapsed > 7*time.Second {
				t.Errorf("dropped after %v, want about 5 s", elapsed)
			}
			return
		}
		h.gateway.Wrote(h.now, c, 100)
		h.runActions()
	}
	t.Error("it is served for ever")
}

// A connection has so many requests, and its last answer says that it ends.
func TestRequestsPerConnectionLimit(t *testing.T) {
	h := newHarness(t, "requests 2\n")
	c := h.connectClient(getRequest("/feed-a/s/x"))
	h.deliver(h.nodeConn(0), okResponse("one"))
	if got := h.takeWritten(c); strings.Contains(got, "Connection: close") {
		t.Errorf("%q", got)
	}
	h.deliver(c, getRequest("/feed-a/s/x"))
	h.deliver(h.nodeConn(0), okResponse("two"))
	h.wantContains("the last answer", h.takeWritten(c), "two", "Connection: close")
	h.wantLingeringClose(c)
}

// For a known client a request that has not come whole gives way; one that is taken,
// and an answer that is still to be written, do not.
func TestPreemption(t *testing.T) {
	h := newHarness(t, "clients 3\nadmit reserve 1\nknown 10.0.0.0/8\n")
	slow := h.acceptFrom("1.1.1.1:1")
	h.deliver(slow, "PUT /feed-a/s/x HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\nabc")
	taken := h.acceptFrom("1.1.1.2:1")
	h.deliver(taken, getRequest("/feed-a/s/x"))
	third := h.acceptFrom("10.0.0.1:1")
	h.deliver(third, getRequest("/feed-a/s/x"))
	h.acceptFrom("10.0.0.2:1")
	if _, gone := h.closedBy[slow]; !gone {
		t.Fatal("the request that was not taken did not give way")
	}
	h.blocked[taken] = true
	h.deliver(h.nodeConn(0), okResponse("answer"))
	if w := h.gateway.Accept(h.now, netip.MustParseAddrPort("10.0.0.3:1"), 0); w.Admitted {
		t.Error("an answer that is still to be written gave way")
	}
	h.blocked[taken] = false
	h.flush(taken)
	h.runActions()
	h.wantContains("the answer", h.takeWritten(taken), "answer")
	h.acceptFrom("10.0.0.4:1") // now it is idle
	if h.closedBy[taken] != Close {
		t.Errorf("the idle connection did not give way: %v", h.closedBy)
	}
}

// Past the bound of all buffers no request of an unknown client begins, each
// connection holds its least alone, and all is as before when they have drained.
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
		t.Errorf("%d bytes held, the bound is 40k and some", n)
	}
	if !h.paused[h.nodeConn(1)] {
		t.Error("the second node is read on past the bound")
	}
	other := h.acceptFrom("1.1.1.3:1")
	h.deliver(other, getRequest("/feed-a/s/x"))
	h.wantContains("the answer past the bound", h.takeWritten(other), "503 ", "buffers", "no harm")
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
		t.Errorf("%d bytes are still booked", n)
	}
	again := h.acceptFrom("1.1.1.4:1")
	h.deliver(again, getRequest("/feed-a/s/x"))
	for i := range 2 {
		if n := h.findNodeConn(h.nodeConn(i)); n != nil && n.attempt != nil {
			h.deliver(h.nodeConn(i), okResponse("well"))
		}
	}
	h.wantContains("the answer after it", h.takeWritten(again), "200 OK", "well")
}

// What is turned away costs no slot and no timer, and is told so within the budget.
func TestRejectedConnectionTakesNoSlot(t *testing.T) {
	h := newHarness(t, "clients 1\nadmit answers 1 answers-burst 2\n")
	h.acceptFrom("1.1.1.1:1")
	slots, timers := len(h.gateway.conns.slots), len(h.gateway.timers.heap)
	told := 0
	for range 1000 {
		w := h.gateway.Accept(h.now, netip.MustParseAddrPort("1.1.1.2:1"), 0)
		if w.Admitted {
			t.Fatal("past its cap")
		}
		if len(w.Answer) > 0 {
			told++
			h.wantContains("the answer", string(w.Answer), "HTTP/1.1 503 ", "Retry-After: 1\r\n", "Connection: close\r\n\r\ntoo many connections (total)")
		}
	}
	if told != 2 || len(h.gateway.conns.slots) != slots || len(h.gateway.timers.heap) != timers {
		t.Errorf("%d told, %d slots, %d timers", told, len(h.gateway.conns.slots), len(h.gateway.timers.heap))
	}
}

// A head that is called late takes that twice from its clients' time, so that the
// last answer is still in time; half of the time is left whatever happens, and the
// lag is forgotten.
func TestStallShortensDeadlines(t *testing.T) {
	last := func(lateBy, after time.Duration) time.Duration {
		h := newHarness(t, "")
		h.refuseDials = true // no node is reached: the answer is the head's own, at the end
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
		t.Fatal("no answer")
		return 0
	}
	calm, late, fast, old := last(0, 0), last(60*time.Millisecond, 0), last(5*time.Second, 0), last(60*time.Millisecond, 30*time.Second)
	if d := calm - late; d < 100*time.Millisecond || d > 130*time.Millisecond {
		t.Errorf("answered after %v, %v when called 60 ms late: want 120 ms sooner", calm, late)
	}
	if fast < calm/3 {
		t.Errorf("answered after %v: half of %v is the client's whatever happens", fast, calm)
	}
	if d := calm - old; d > 5*time.Millisecond || d < -5*time.Millisecond {
		t.Errorf("answered after %v long after it was late, %v in calm", old, calm)
	}
}

package gateway

import (
	"strings"
	"testing"
	"time"
)

// Regression test: the requests of one client that the gateway answers itself were all answered within one
// read, some thousands of them, while others waited.
func TestManyLocalResponsesTakeTurns(t *testing.T) {
	const count = 500
	h := newHarness(t, "")
	c := h.connect()
	h.gateway.Data(h.now, c, []byte(strings.Repeat("OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n", count)))
	h.runActions()
	first := strings.Count(h.takeWritten(c), "HTTP/1.1 200")
	if first == 0 || first > 20 || !h.paused[c] {
		t.Errorf("%d responses within a turn, reading paused: %v; want a few, and paused", first, h.paused[c])
	}
	if h.next > h.now+2*time.Millisecond {
		t.Errorf("the next call is due in %v, want it soon", h.next-h.now)
	}
	h.advanceTime(time.Second)
	if n := first + strings.Count(h.takeWritten(c), "HTTP/1.1 200"); n != count || h.paused[c] {
		t.Errorf("%d responses in the end, reading paused: %v; want %d, and not paused", n, h.paused[c], count)
	}
	h.gateway.EOF(h.now, c)
	h.runActions()
	if h.closedBy[c] != Close {
		t.Error("the connection stays open after its end")
	}
}

// Guards against a client that sends requests and reads no response: its requests are not read on while
// the buffer for its responses is full, and are answered once it reads.
func TestUnreadLocalResponsesPauseClient(t *testing.T) {
	const count = 2000
	h := newHarness(t, "")
	c := h.connect()
	h.blocked[c] = true
	h.gateway.Data(h.now, c, []byte(strings.Repeat("OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n", count)))
	h.advanceTime(time.Second)
	if n := h.gateway.buffers.usedBytes; n > 160<<10 || !h.paused[c] {
		t.Errorf("%d bytes are buffered for a client that does not read, reading paused: %v", n, h.paused[c])
	}
	h.blocked[c] = false
	responses := 0
	for range 100 {
		h.flush(c)
		h.advanceTime(20 * time.Millisecond)
		responses += strings.Count(h.takeWritten(c), "HTTP/1.1 200")
	}
	if _, closed := h.closedBy[c]; responses != count || closed {
		t.Errorf("%d responses, connection closed: %v; want %d and an open connection", responses, closed, count)
	}
}

package e2e

import (
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"maddergap/internal/fakenode"
)

// A client that writes a byte at a time is served if it is done within header-time, and one
// that stops in its header gets 408.
func TestSlowRequests(t *testing.T) {
	_, addrs := startNodes(t, 1, fakenode.Options{})
	instance := startWebDAV(t, "", addrs[0], addrs[0])
	_, stuckReader := instance.send("GET /feed-a/s HT") // header-time is 1 s
	_, halfReader := instance.send(putRequest("/feed-a/s", "segment")[:60])
	c, r := instance.send("")
	for _, b := range []byte(putRequest("/feed-a/slow", "x")) {
		c.Write([]byte{b})
		time.Sleep(time.Millisecond)
	}
	if status, _, _ := instance.receive(r, "PUT"); status != 201 {
		t.Errorf("a slow request within its time: %d", status)
	}
	if status, _, _ := instance.receive(stuckReader, "GET"); status != 408 {
		t.Errorf("a header that stops: %d, want 408", status)
	}
	if status, _, _ := instance.receive(halfReader, "PUT"); status != 408 {
		t.Errorf("a header that stops: %d, want 408", status)
	}
}

// A client reads nothing of a large response. It is dropped after stall-time, and the
// memory of its response is released.
func TestStalledReader(t *testing.T) {
	_, addrs := startNodes(t, 1, fakenode.Options{})
	instance := startWebDAV(t, "", addrs[0], addrs[0])
	_, r := instance.send(putRequest("/feed-a/big", strings.Repeat("x", 16<<20)))
	instance.receive(r, "PUT")
	c, _ := instance.send(getRequest("/feed-a/big"))
	if stalled := waitForReset(t, c); stalled < 1500*time.Millisecond || stalled > 3*time.Second { // stall-time is 2 s
		t.Errorf("dropped after its response made no progress for %v", stalled)
	}
	if n, err := io.Copy(io.Discard, c); err == nil || n >= 16<<20 {
		t.Errorf("%d bytes, %v: the gateway waited for a client that has stopped", n, err)
	}
}

// waitForReset waits, without reading, until a connection is reset, and returns for how
// long no byte had arrived by then. It counts from the last byte, not from the request: a
// busy machine takes its time to fill the socket buffers.
func waitForReset(t *testing.T, c net.Conn) (stalled time.Duration) {
	t.Helper()
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	buffered, lastArrival := -1, time.Now()
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(2 * time.Millisecond) {
		reset := false
		raw.Control(func(fd uintptr) {
			if n, err := unix.IoctlGetInt(int(fd), unix.TIOCINQ); err == nil && n > buffered {
				buffered, lastArrival = n, time.Now()
			}
			poll := []unix.PollFd{{Fd: int32(fd)}}
			n, _ := unix.Poll(poll, 0)
			reset = n > 0 && poll[0].Revents&(unix.POLLERR|unix.POLLHUP) != 0
		})
		if reset {
			return time.Since(lastArrival)
		}
	}
	t.Error("the gateway waits for a client that reads nothing of its response")
	return 0
}

// A thousand clients read nothing of large responses. Each is held to its share of the
// buffers and dropped after stall-time, and others are served meanwhile.
func TestManyStalledReaders(t *testing.T) {
	_, addrs := startNodes(t, 1, fakenode.Options{})
	instance := startWebDAV(t, "clients 1200\nadmit reserve 50 answers 20 answers-burst 20\nknown 127.9.0.0/16\nbuffer 16k\nbuffers 8m\n", addrs[0], addrs[0])
	c, r := instance.connectFrom("127.9.0.1")
	io.WriteString(c, putRequest("/feed-a/x", strings.Repeat("x", 4<<20)))
	if status, _, _ := instance.receive(r, "PUT"); status != 201 {
		t.Fatal(status)
	}
	for i := range 1000 {
		stalled, _ := instance.connectFrom(fmt.Sprintf("127.30.%d.%d", i/200, i%200+1))
		stalled.(*net.TCPConn).SetReadBuffer(4096)
		io.WriteString(stalled, getRequest("/feed-a/x"))
	}
	for i := range 10 {
		c, r := instance.connectFrom(fmt.Sprintf("127.9.0.%d", i+2))
		io.WriteString(c, putRequest(fmt.Sprint("/feed-a/small", i), "y"))
		if status, _, _ := instance.receive(r, "PUT"); status != 201 && status != 503 {
			t.Errorf("a known client among stalled readers: %d", status)
		}
	}
	eventually(t, "the stalled readers are dropped and requests are served as before", func() bool {
		c, r := instance.connectFrom("127.9.0.1")
		io.WriteString(c, putRequest("/feed-a/small", "y"))
		status, _, _ := instance.receive(r, "PUT")
		return status == 201 || status == 204
	})
}

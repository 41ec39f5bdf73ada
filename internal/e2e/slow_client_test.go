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

// Verifies that a client that writes its request one byte at a time is served, while clients that stop
// in the middle of the header or of the body get 408.
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
		t.Errorf("request written slowly: status %d, want 201", status)
	}
	if status, _, _ := instance.receive(stuckReader, "GET"); status != 408 {
		t.Errorf("incomplete header: status %d, want 408", status)
	}
	if status, _, _ := instance.receive(halfReader, "PUT"); status != 408 {
		t.Errorf("incomplete body: status %d, want 408", status)
	}
}

// Verifies that a client that reads nothing of a large response is disconnected after stall-time, and
// that the gateway has not sent the whole response by then.
func TestStalledReader(t *testing.T) {
	_, addrs := startNodes(t, 1, fakenode.Options{})
	instance := startWebDAV(t, "", addrs[0], addrs[0])
	_, r := instance.send(putRequest("/feed-a/big", strings.Repeat("x", 16<<20)))
	instance.receive(r, "PUT")
	c, _ := instance.send(getRequest("/feed-a/big"))
	if stalled := waitForReset(t, c); stalled < 1500*time.Millisecond || stalled > 3*time.Second { // stall-time is 2 s
		t.Errorf("disconnected after %v without progress, want 1.5 s to 3 s", stalled)
	}
	if n, err := io.Copy(io.Discard, c); err == nil || n >= 16<<20 {
		t.Errorf("read %d bytes, error %v; want a truncated response", n, err)
	}
}

// waitForReset waits, without reading, until a connection is reset, and returns the time since the
// last byte arrived. It does not count from the request, as a busy machine may take long to fill the
// socket buffers.
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
			fds := []unix.PollFd{{Fd: int32(fd)}}
			n, _ := unix.Poll(fds, 0)
			reset = n > 0 && fds[0].Revents&(unix.POLLERR|unix.POLLHUP) != 0
		})
		if reset {
			return time.Since(lastArrival)
		}
	}
	t.Error("a client that reads nothing of its response was not disconnected within 20 s")
	return 0
}

// Verifies that known clients still get responses while a thousand clients read nothing of large
// responses: each connection may fill only its share of the buffers. After stall-time these
// clients are disconnected, and requests are served as before.
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
			t.Errorf("known client among stalled readers: status %d, want 201 or 503", status)
		}
	}
	eventually(t, "requests are served again after the stalled readers were disconnected", func() bool {
		c, r := instance.connectFrom("127.9.0.1")
		io.WriteString(c, putRequest("/feed-a/small", "y"))
		status, _, _ := instance.receive(r, "PUT")
		return status == 201 || status == 204
	})
}

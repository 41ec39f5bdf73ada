package e2e

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"maddergap/internal/fakenode"
)

// Shapes by which requests are smuggled, and headers past their bounds: each is
// answered as RFC 9112 says, the connection ends, and no node hears of it.
func TestShapesThatAreRefused(t *testing.T) {
	nodes, addrs := startNodes(t, 1, fakenode.Options{})
	instance := startWebDAV(t, "", addrs[0], addrs[0])
	const hidden = "GET /feed-a/hidden HTTP/1.1\r\nHost: h\r\n\r\n"
	for name, c := range map[string]struct {
		text   string
		status int
	}{
		"two lengths":         {"PUT /feed-a/s HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nContent-Length: 44\r\n\r\n" + hidden, 400},
		"length with chunked": {"PUT /feed-a/s HTTP/1.1\r\nHost: h\r\nContent-Length: 44\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden, 400},
		"unknown coding":      {"PUT /feed-a/s HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n" + hidden, 501},
		"obs-fold":            {"GET /feed-a/s HTTP/1.1\r\nHost: h\r\nX: a\r\n\tTransfer-Encoding: chunked\r\n\r\n" + hidden, 400},
		"bare CR":             {"GET /feed-a/s HTTP/1.1\r\nHost: h\r\nX: a\rContent-Length: 44\r\n\r\n" + hidden, 400},
		"bare LF":             {"GET /feed-a/s HTTP/1.1\nHost: h\r\n\r\n" + hidden, 400},
		"bad chunk":           {"PUT /feed-a/s HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0x2\r\n" + hidden, 400},
		"long target":         {"GET /feed-a/" + strings.Repeat("a", 4096) + " HTTP/1.1\r\nHost: h\r\n\r\n" + hidden, 414},
		"long header":         {"GET /feed-a/s HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("a", 40<<10) + "\r\n\r\n" + hidden, 431},
		"many fields":         {"GET /feed-a/s HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("X: a\r\n", 200) + "\r\n" + hidden, 431},
		"no host":             {"GET /feed-a/s HTTP/1.1\r\n\r\n" + hidden, 400},
		"version":             {"GET /feed-a/s HTTP/3.0\r\nHost: h\r\n\r\n" + hidden, 505},
	} {
		_, r := instance.send(c.text)
		status, body, _ := instance.receive(r, "GET")
		if status != c.status || body == "" {
			t.Errorf("%s: %d %q, want %d", name, status, body, c.status)
		}
		if rest, _ := io.ReadAll(r); len(rest) > 0 {
			t.Errorf("%s: more follows: %.100q", name, rest)
		}
	}
	// At the bounds, not past them, requests are served.
	_, r := instance.send("GET /feed-a/" + strings.Repeat("a", 4096-8) + " HTTP/1.1\r\nHost: h\r\n\r\n")
	if status, _, _ := instance.receive(r, "GET"); status != 404 {
		t.Errorf("a target at its bound: %d", status)
	}
	for _, e := range nodes[0].Entries() {
		if strings.Contains(e.Path, "hidden") || e.Path == "/feed-a/s" {
			t.Errorf("a node heard of %s %s", e.Method, e.Path)
		}
	}
}

func TestPipelinedExpectChunkedHead(t *testing.T) {
	_, addrs := startNodes(t, 1, fakenode.Options{})
	instance := startWebDAV(t, "", addrs[0], addrs[0])
	_, r := instance.send(putRequest("/feed-a/p", "one") + getRequest("/feed-a/p") + "HEAD /feed-a/p HTTP/1.1\r\nHost: h\r\n\r\n" + putRequest("/feed-a/p", "three") + getRequest("/feed-a/p"))
	for i, want := range []struct {
		method string
		status int
		body   string
	}{{"PUT", 201, "Created"}, {"GET", 200, "one"}, {"HEAD", 200, ""}, {"PUT", 204, ""}, {"GET", 200, "three"}} {
		if status, body, _ := instance.receive(r, want.method); status != want.status || body != want.body {
			t.Errorf("answer %d: %d %q, want %d %q", i, status, body, want.status, want.body)
		}
	}
	c, r := instance.send("PUT /feed-a/e HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nTransfer-Encoding: chunked\r\n\r\n")
	line, _ := r.ReadString('\n')
	if empty, _ := r.ReadString('\n'); line != "HTTP/1.1 100 Continue\r\n" || empty != "\r\n" {
		t.Fatalf("%q %q", line, empty)
	}
	for _, piece := range []string{"3\r\n", "abc", "\r\n4;x=y\r\ndefg\r", "\n0\r\nTrailer: t\r\n\r", "\n"} {
		io.WriteString(c, piece)
		time.Sleep(5 * time.Millisecond)
	}
	if status, _, _ := instance.receive(r, "PUT"); status != 201 {
		t.Errorf("chunked PUT: %d", status)
	}
	_, r = instance.send(getRequest("/feed-a/e"))
	if _, body, _ := instance.receive(r, "GET"); body != "abcdefg" {
		t.Errorf("%q is stored", body)
	}
}

// A node streams an answer of unknown length; the client has it whole, in chunks.
func TestAnswerOfUnknownLength(t *testing.T) {
	want := bytes.Repeat([]byte("segment "), 100<<10)
	addr := startRawNode(t, func(c *net.TCPConn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n")
			c.Write(want)
		}
	})
	instance := startWebDAV(t, "", addr, addr)
	_, r := instance.send(getRequest("/feed-a/s"))
	if status, body, h := instance.receive(r, "GET"); status != 200 || body != string(want) || h.Get("Content-Length") != "" {
		t.Errorf("%d with %d bytes, want %d", status, len(body), len(want))
	}
}

// A node answers after the deadline: the client has had its failure by then, and
// hears no more.
func TestAnswerAfterDeadline(t *testing.T) {
	late := make(chan error, 1)
	addr := startRawNode(t, func(c *net.TCPConn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			time.Sleep(1800 * time.Millisecond)
			_, err = io.WriteString(c, "HTTP/1.1 201 Created\r\nContent-Length: 0\r\n\r\n")
			late <- err
		}
	})
	instance := startWebDAV(t, "", addr, addr)
	c, r := instance.send(putRequest("/feed-a/s", "segment"))
	if status, _, _ := instance.receive(r, "PUT"); status != 504 {
		t.Errorf("%d, want 504", status)
	}
	<-late
	c.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
	if n, _ := r.Read(make([]byte, 1)); n > 0 {
		t.Error("the late answer came through")
	}
}

// A client that reads and writes a byte at a time is borne within its time, and
// one that stops is not; others are served meanwhile.
// A header line that ends with a bare LF is refused at once, not with 408 at header-time.
func TestBareLineFeed(t *testing.T) {
	_, addrs := startNodes(t, 1, fakenode.Options{})
	instance := startWebDAV(t, "", addrs[0], addrs[0])
	_, r := instance.send("GET /feed-a/x HTTP/1.1\nHost: h\n\n")
	if status, _, _ := instance.receive(r, "GET"); status != 400 {
		t.Errorf("%d, want 400", status)
	}
}

func TestSlowClients(t *testing.T) {
	_, addrs := startNodes(t, 1, fakenode.Options{})
	instance := startWebDAV(t, "", addrs[0], addrs[0])
	stuck, stuckReader := instance.send("GET /feed-a/s HT") // header-time is 1 s
	half, halfReader := instance.send(putRequest("/feed-a/s", "segment")[:60])
	_, _ = stuck, half
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
	// One that reads nothing of a large answer is dropped, and its memory with it.
	_, r = instance.send(putRequest("/feed-a/big", strings.Repeat("x", 16<<20)))
	instance.receive(r, "PUT")
	c, _ = instance.send(getRequest("/feed-a/big"))
	if stood := stoodStill(t, c); stood < 1500*time.Millisecond || stood > 3*time.Second { // stall-time is 2 s
		t.Errorf("dropped after its answer stood still for %v", stood)
	}
	if n, err := io.Copy(io.Discard, c); err == nil || n >= 16<<20 {
		t.Errorf("%d bytes, %v: a client that stopped was waited for", n, err)
	}
}

// stoodStill waits, without reading, until a connection is reset, and returns for how long
// no byte had come then. It counts from the last byte, not from the request: a busy
// machine takes its time to fill the system's buffers.
func stoodStill(t *testing.T, c net.Conn) (stood time.Duration) {
	t.Helper()
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	held, last := -1, time.Now()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		reset := false
		raw.Control(func(fd uintptr) {
			if n, err := unix.IoctlGetInt(int(fd), unix.TIOCINQ); err == nil && n > held {
				held, last = n, time.Now()
			}
			poll := []unix.PollFd{{Fd: int32(fd)}}
			n, _ := unix.Poll(poll, 0)
			reset = n > 0 && poll[0].Revents&(unix.POLLERR|unix.POLLHUP) != 0
		})
		if reset {
			return time.Since(last)
		}
	}
	t.Error("a client that takes nothing of its answer is waited for")
	return 0
}

// A shard that does not answer makes the listing fail, plainly.
func TestListingWithSilentShard(t *testing.T) {
	_, addrs := startNodes(t, 1, fakenode.Options{})
	silent := startRawNode(t, func(c *net.TCPConn, r *bufio.Reader) { io.Copy(io.Discard, r) })
	instance := startWebDAV(t, "", addrs[0], silent)
	began := time.Now()
	_, r := instance.send("PROPFIND /feed-b/ HTTP/1.1\r\nHost: h\r\nDepth: 1\r\nContent-Length: 0\r\n\r\n")
	status, body, _ := instance.receive(r, "PROPFIND")
	if status != 503 || strings.Contains(body, "multistatus") || time.Since(began) > 4*time.Second {
		t.Errorf("%d %q after %v", status, body, time.Since(began))
	}
	_, r = instance.send("PROPFIND /feed-b/ HTTP/1.1\r\nHost: h\r\nDepth: infinity\r\nContent-Length: 0\r\n\r\n")
	if status, body, _ := instance.receive(r, "PROPFIND"); status != 403 || !strings.Contains(body, "propfind-finite-depth") {
		t.Errorf("%d %q", status, body)
	}
}

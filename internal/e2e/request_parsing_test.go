package e2e

import (
	"io"
	"strings"
	"testing"
	"time"

	"maddergap/internal/fakenode"
)

// Verifies that requests of the forms used for request smuggling, and headers over the limits, get the
// status that RFC 9112 requires. The connection is closed after that, and no node is sent the request
// or the second one hidden after it.
func TestMalformedRequestsAreRejected(t *testing.T) {
	nodes, addrs := startNodes(t, 1, fakenode.Options{})
	instance := startWebDAV(t, "", addrs[0], addrs[0])
	const hidden = "GET /feed-a/hidden HTTP/1.1\r\nHost: h\r\n\r\n"
	for _, c := range []struct {
		name, text string
		status     int
	}{
		{"two lengths", "PUT /feed-a/s HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nContent-Length: 44\r\n\r\n" + hidden, 400},
		{"length with chunked", "PUT /feed-a/s HTTP/1.1\r\nHost: h\r\nContent-Length: 44\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden, 400},
		{"unknown coding", "PUT /feed-a/s HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n" + hidden, 501},
		{"obs-fold", "GET /feed-a/s HTTP/1.1\r\nHost: h\r\nX: a\r\n\tTransfer-Encoding: chunked\r\n\r\n" + hidden, 400},
		{"bare CR", "GET /feed-a/s HTTP/1.1\r\nHost: h\r\nX: a\rContent-Length: 44\r\n\r\n" + hidden, 400},
		{"bare LF", "GET /feed-a/s HTTP/1.1\nHost: h\r\n\r\n" + hidden, 400},
		{"bad chunk", "PUT /feed-a/s HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0x2\r\n" + hidden, 400},
		{"long target", "GET /feed-a/" + strings.Repeat("a", 4096) + " HTTP/1.1\r\nHost: h\r\n\r\n" + hidden, 414},
		{"long header", "GET /feed-a/s HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("a", 40<<10) + "\r\n\r\n" + hidden, 431},
		{"many fields", "GET /feed-a/s HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("X: a\r\n", 200) + "\r\n" + hidden, 431},
		{"no host", "GET /feed-a/s HTTP/1.1\r\n\r\n" + hidden, 400},
		{"unknown version", "GET /feed-a/s HTTP/3.0\r\nHost: h\r\n\r\n" + hidden, 505},
	} {
		_, r := instance.send(c.text)
		status, body, _ := instance.receive(r, "GET")
		if status != c.status || body == "" {
			t.Errorf("%s: status %d, body %q; want %d and a body", c.name, status, body, c.status)
		}
		if rest, _ := io.ReadAll(r); len(rest) > 0 {
			t.Errorf("%s: data after the response: %.100q, want EOF", c.name, rest)
		}
	}
	_, r := instance.send("GET /feed-a/" + strings.Repeat("a", 4096-8) + " HTTP/1.1\r\nHost: h\r\n\r\n")
	if status, _, _ := instance.receive(r, "GET"); status != 404 {
		t.Errorf("target of the maximum length: status %d, want 404", status)
	}
	for _, e := range nodes[0].Entries() {
		if strings.Contains(e.Path, "hidden") || e.Path == "/feed-a/s" {
			t.Errorf("the node was sent %s %s, want nothing of these requests", e.Method, e.Path)
		}
	}
}

// Verifies that a request whose lines end with a bare LF is rejected immediately with 400, and not with
// 408 when header-time has passed.
func TestBareLineFeedIsRejected(t *testing.T) {
	_, addrs := startNodes(t, 1, fakenode.Options{})
	instance := startWebDAV(t, "", addrs[0], addrs[0])
	_, r := instance.send("GET /feed-a/x HTTP/1.1\nHost: h\n\n")
	if status, _, _ := instance.receive(r, "GET"); status != 400 {
		t.Errorf("status %d, want 400", status)
	}
}

// Verifies that requests pipelined on one connection get their responses in order.
func TestPipelinedRequests(t *testing.T) {
	_, addrs := startNodes(t, 1, fakenode.Options{})
	instance := startWebDAV(t, "", addrs[0], addrs[0])
	_, r := instance.send(putRequest("/feed-a/p", "one") + getRequest("/feed-a/p") + "HEAD /feed-a/p HTTP/1.1\r\nHost: h\r\n\r\n" + putRequest("/feed-a/p", "three") + getRequest("/feed-a/p"))
	for n, want := range []struct {
		method string
		status int
		body   string
	}{
		{"PUT", 201, "Created"},
		{"GET", 200, "one"},
		{"HEAD", 200, ""},
		{"PUT", 204, ""},
		{"GET", 200, "three"},
	} {
		if status, body, _ := instance.receive(r, want.method); status != want.status || body != want.body {
			t.Errorf("response %d: status %d, body %q; want %d %q", n, status, body, want.status, want.body)
		}
	}
}

// Verifies that a client that expects 100 Continue gets it, and that its chunked body is stored intact
// although the chunks are split across several writes.
func TestExpectContinueWithChunkedBody(t *testing.T) {
	_, addrs := startNodes(t, 1, fakenode.Options{})
	instance := startWebDAV(t, "", addrs[0], addrs[0])
	c, r := instance.send("PUT /feed-a/e HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nTransfer-Encoding: chunked\r\n\r\n")
	line, _ := r.ReadString('\n')
	if empty, _ := r.ReadString('\n'); line != "HTTP/1.1 100 Continue\r\n" || empty != "\r\n" {
		t.Fatalf("got %q %q, want 100 Continue and an empty line", line, empty)
	}
	for _, piece := range []string{"3\r\n", "abc", "\r\n4;x=y\r\ndefg\r", "\n0\r\nTrailer: t\r\n\r", "\n"} {
		io.WriteString(c, piece)
		time.Sleep(5 * time.Millisecond)
	}
	if status, _, _ := instance.receive(r, "PUT"); status != 201 {
		t.Errorf("chunked PUT: status %d, want 201", status)
	}
	_, r = instance.send(getRequest("/feed-a/e"))
	if _, body, _ := instance.receive(r, "GET"); body != "abcdefg" {
		t.Errorf("stored body %q, want \"abcdefg\"", body)
	}
}

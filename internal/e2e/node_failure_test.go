package e2e

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"maddergap/internal/fakenode"
)

// Verifies the handling of a write to which the node never responds. The client gets 504 by the
// deadline, without Retry-After since the write may have been executed, and no second response.
// The write is not sent again, and the node is used again after it has recovered.
func TestUnresponsiveNode(t *testing.T) {
	nodes, addrs := startNodes(t, 1, fakenode.Options{Script: []fakenode.Step{{Fault: fakenode.Silent, From: 0, To: 2 * time.Second}}})
	instance := startWebDAV(t, "", addrs[0], addrs[0])
	start := time.Now()
	c, r := instance.send(putRequest("/feed-a/s", "segment"))
	status, body, header := instance.receive(r, "PUT")
	if took := time.Since(start); status != 504 || took > 1500*time.Millisecond || header.Get("Retry-After") != "" || body == "" {
		t.Errorf("status %d, body %q after %v; want 504 by the deadline, without Retry-After", status, body, took)
	}
	c.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
	if n, _ := r.Read(make([]byte, 1)); n > 0 {
		t.Error("the client got data after the response")
	}
	if sent := countRequests(nodes[0], "/feed-a/s"); sent != 1 {
		t.Errorf("the write was sent to the node %d times, want 1", sent)
	}
	for deadline := time.Now().Add(8 * time.Second); ; {
		_, r := instance.send(putRequest("/feed-a/t", "segment"))
		status, _, _ := instance.receive(r, "PUT")
		if status == 201 || status == 204 { // 204: the node has executed an earlier write without responding
			break
		}
		t.Log(time.Since(start), status)
		if time.Now().After(deadline) {
			t.Fatal("the node was not used again within 8 s")
		}
	}
}

// Verifies that the client gets the response of a node that responds before it reads the request
// body. The body is larger than the socket buffers, so the upload is still in progress then.
func TestNodeRespondsBeforeBody(t *testing.T) {
	addr := startRawNode(t, func(c *net.TCPConn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			io.WriteString(c, "HTTP/1.1 423 Locked\r\nContent-Length: 6\r\n\r\nlocked")
			io.Copy(io.Discard, r)
		}
	})
	instance := startWebDAV(t, "body hold 16k rate 1m\n", addr, addr)
	c, r := instance.send("PUT /feed-a/s HTTP/1.1\r\nHost: h\r\nContent-Length: 50000000\r\n\r\n")
	go func() {
		for range 100 {
			if _, err := c.Write(make([]byte, 64<<10)); err != nil {
				return
			}
		}
	}()
	if status, body, _ := instance.receive(r, "PUT"); status != 423 || body != "locked" {
		t.Errorf("status %d, body %q; want 423 and \"locked\"", status, body)
	}
}

// Verifies that the client can detect a truncated response: the node resets the connection in the
// middle of the body, and the gateway must not end its own response as if it were complete.
func TestNodeResetsDuringResponse(t *testing.T) {
	addr := startRawNode(t, func(c *net.TCPConn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf")
			time.Sleep(50 * time.Millisecond)
			c.SetLinger(0)
		}
	})
	instance := startWebDAV(t, "", addr, addr)
	_, r := instance.send(getRequest("/feed-a/s"))
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	if b, err := io.ReadAll(resp.Body); err == nil {
		t.Errorf("the client read the truncated body %q without an error", b)
	}
}

// putCounter counts the PUT requests that a node has read, by path.
type putCounter struct {
	mu     sync.Mutex
	byPath map[string]int
}

func (p *putCounter) add(r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.Method == "PUT" {
		p.byPath[r.URL.Path]++
	}
}

func (p *putCounter) count(path string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.byPath[path]
}

// serveOneThenReset serves a connection of a node: it responds to the first request, and resets the
// connection when it has read the second.
func (p *putCounter) serveOneThenReset(c *net.TCPConn, r *bufio.Reader) {
	for n := 0; ; n++ {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		io.Copy(io.Discard, request.Body)
		p.add(request)
		if n == 1 {
			c.SetLinger(0)
			return
		}
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	}
}

// Verifies the handling of a node that resets a reused connection when it has read the next request
// on it. Idempotent requests are sent again and served. A non-idempotent request is sent at most
// once; if it was sent it must not get 503, which promises that it was not executed.
func TestNodeResetsReusedConnection(t *testing.T) {
	puts := putCounter{byPath: map[string]int{}}
	addr := startRawNode(t, puts.serveOneThenReset)
	instance := startWebDAV(t, "", addr, addr)
	for i := range 10 {
		_, r := instance.send(getRequest("/feed-a/s"))
		if status, _, _ := instance.receive(r, "GET"); status != 200 {
			t.Errorf("read %d: status %d, want 200", i, status)
		}
	}
	for i := range 10 {
		path := fmt.Sprint("/feed-a/", i)
		_, r := instance.send(putRequest(path, "x"))
		status, _, _ := instance.receive(r, "PUT")
		if n := puts.count(path); n > 1 || (status == 503 && n > 0) {
			t.Errorf("write of %s was sent %d times and got %d; want it sent once at most, and no 503 if sent", path, n, status)
		}
	}
}

// Verifies that the client gets the whole body of a response without a length, which the node ends
// by closing the connection. The gateway sends it without Content-Length.
func TestResponseOfUnknownLength(t *testing.T) {
	want := bytes.Repeat([]byte("segment "), 100<<10)
	addr := startRawNode(t, func(c *net.TCPConn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n")
			c.Write(want)
		}
	})
	instance := startWebDAV(t, "", addr, addr)
	_, r := instance.send(getRequest("/feed-a/s"))
	if status, body, header := instance.receive(r, "GET"); status != 200 || body != string(want) || header.Get("Content-Length") != "" {
		t.Errorf("status %d, %d bytes; want 200 and the %d bytes sent, without Content-Length", status, len(body), len(want))
	}
}

// Verifies that a node's response after the deadline is not forwarded: the client already got 504.
func TestResponseAfterDeadline(t *testing.T) {
	responded := make(chan error, 1)
	addr := startRawNode(t, func(c *net.TCPConn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			time.Sleep(1800 * time.Millisecond)
			_, err = io.WriteString(c, "HTTP/1.1 201 Created\r\nContent-Length: 0\r\n\r\n")
			responded <- err
		}
	})
	instance := startWebDAV(t, "", addr, addr)
	c, r := instance.send(putRequest("/feed-a/s", "segment"))
	if status, _, _ := instance.receive(r, "PUT"); status != 504 {
		t.Errorf("status %d, want 504", status)
	}
	<-responded
	c.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
	if n, _ := r.Read(make([]byte, 1)); n > 0 {
		t.Error("the client got the response that the node sent after the deadline")
	}
}

// Verifies that a listing fails with 503 if one of the two shards does not respond to its part: an
// incomplete listing must not look complete. A listing of infinite depth at the root of a volume
// gets 403.
func TestListingWithUnresponsiveShard(t *testing.T) {
	_, addrs := startNodes(t, 1, fakenode.Options{})
	unresponsive := startRawNode(t, func(c *net.TCPConn, r *bufio.Reader) { io.Copy(io.Discard, r) })
	instance := startWebDAV(t, "", addrs[0], unresponsive)
	start := time.Now()
	_, r := instance.send("PROPFIND /feed-b/ HTTP/1.1\r\nHost: h\r\nDepth: 1\r\nContent-Length: 0\r\n\r\n")
	status, body, _ := instance.receive(r, "PROPFIND")
	if status != 503 || strings.Contains(body, "multistatus") || time.Since(start) > 4*time.Second {
		t.Errorf("listing of depth 1: status %d, body %q after %v; want 503 within 4s", status, body, time.Since(start))
	}
	_, r = instance.send("PROPFIND /feed-b/ HTTP/1.1\r\nHost: h\r\nDepth: infinity\r\nContent-Length: 0\r\n\r\n")
	if status, body, _ := instance.receive(r, "PROPFIND"); status != 403 || !strings.Contains(body, "propfind-finite-depth") {
		t.Errorf("listing of infinite depth: status %d, body %q; want 403 propfind-finite-depth", status, body)
	}
}

package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"maddergap/internal/loopback"
)

const (
	testLoopbackNetwork = 240 // third byte of the nodes' loopback addresses
	testShard           = 1
)

// startNode starts a node that holds testShard. host is the last byte of its loopback address. The
// node is killed when the test ends.
func startNode(t *testing.T, host int) *node {
	t.Helper()
	n := newNode("s-00", testShard, loopback.Addr(testLoopbackNetwork, host, nodePort), 1)
	if err := n.start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.kill)
	return n
}

// get sends a request for a shard on a new connection and returns the response.
func get(t *testing.T, n *node, shard int) (status int, body string, err error) {
	t.Helper()
	conn, err := net.Dial("tcp", n.addr)
	if err != nil {
		return 0, "", err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprintf(conn, "GET /api HTTP/1.1\r\nHost: b\r\nX-Txn: 7\r\nX-Remaining: 1500u\r\nIO-Info: volume=1,shard=%d\r\n\r\n", shard)
	r, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, "", err
	}
	text, err := io.ReadAll(r.Body)
	return r.StatusCode, string(text), err
}

// Verifies that a node records each request, since the audit checks a run by the nodes' records. The
// first request is served. The second is rejected without being executed, because the node does not
// hold its shard.
func TestNodeRecordsRequests(t *testing.T) {
	n := startNode(t, 1)
	if status, body, err := get(t, n, testShard); status != http.StatusOK || body != responseBody("7") || err != nil {
		t.Errorf("request for the shard of the node: got %d %q, error %v, want 200 and the body for request 7", status, body, err)
	}
	if status, _, err := get(t, n, testShard+1); status != http.StatusServiceUnavailable || err != nil {
		t.Errorf("request for another shard: got %d, error %v, want 503", status, err)
	}
	records := n.records()
	if len(records) != 2 {
		t.Fatalf("got records %+v, want 2", records)
	}
	served, rejected := records[0], records[1]
	if served.Status != http.StatusOK || served.ExecutedAt == 0 || served.Timeout != 1500 || served.Traceparent != "7" {
		t.Errorf("got record %+v of the served request, want it executed, with status 200, timeout 1500 and the X-Txn value 7 as Traceparent", served)
	}
	if rejected.Status != http.StatusServiceUnavailable || rejected.ExecutedAt != 0 || rejected.Sequence != 2 {
		t.Errorf("got record %+v of the rejected request, want it not executed, with status 503 and sequence number 2", rejected)
	}
}

// Verifies that each response fault fails a request in its own way: with a timeout, a connection reset
// or a malformed response. The node still records the request as executed, without a response.
func TestNodeResponseFaults(t *testing.T) {
	n := startNode(t, 2)
	for fault, isExpected := range map[responseFault]func(error) bool{
		responseFaultHang:      isTimeout,
		responseFaultReset:     func(err error) bool { return errors.Is(err, syscall.ECONNRESET) },
		responseFaultMalformed: func(err error) bool { return err != nil && !isTimeout(err) },
	} {
		n.setFault(fault)
		if status, _, err := get(t, n, testShard); status != 0 || !isExpected(err) {
			t.Errorf("fault %d: got status %d and unexpected error %v", fault, status, err)
		}
	}
	for _, record := range n.records() { // wanted: executed, without a status and a response time
		if record.ExecutedAt == 0 || record.Status != 0 || record.RespondedAt != 0 {
			t.Errorf("%+v", record)
		}
	}
}

// Verifies that a node accepts nothing during a pause. A connection in the accept queue waits until the
// pause ends and is then reset, without its request being read. Afterwards the node serves again.
func TestNodePausesAccept(t *testing.T) {
	n := startNode(t, 3)
	n.pauseAccept()
	conn, err := net.Dial("tcp", n.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	io.WriteString(conn, "GET /api HTTP/1.1\r\nHost: b\r\n\r\n")
	conn.SetDeadline(time.Now().Add(100 * time.Millisecond))
	if _, err := conn.Read(make([]byte, 1)); !isTimeout(err) {
		t.Errorf("read during the pause: got error %v, want a timeout", err)
	}
	n.resumeAccept()
	conn.SetDeadline(time.Now().Add(time.Second))
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("read after the pause: got error %v, want ECONNRESET", err)
	}
	if len(n.records()) != 0 {
		t.Errorf("got records %+v, want none", n.records())
	}
	if status, _, err := get(t, n, testShard); status != http.StatusOK {
		t.Errorf("new connection after the pause: got status %d and error %v, want 200", status, err)
	}
}

// Verifies that a node keeps its address and its records over restarts, and refuses connections while down.
func TestNodeRestarts(t *testing.T) {
	n := startNode(t, 4)
	for range 2 {
		if status, _, err := get(t, n, testShard); status != http.StatusOK {
			t.Fatalf("got status %d and error %v, want 200", status, err)
		}
		n.kill()
		if _, _, err := get(t, n, testShard); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("while the node is down: got error %v, want ECONNREFUSED", err)
		}
		if err := n.start(); err != nil {
			t.Fatal(err)
		}
	}
	if len(n.records()) != 2 {
		t.Errorf("got records %+v, want 2", n.records())
	}
}

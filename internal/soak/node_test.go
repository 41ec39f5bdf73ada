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
	testNetwork = 240
	testShard   = 1
)

func startNode(t *testing.T, host int) *node {
	t.Helper()
	n := newNode("s-00", testShard, loopback.Addr(testNetwork, host, nodePort), 1)
	if err := n.start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.kill)
	return n
}

// get sends a request for a shard on a connection of its own.
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

// A node records what the audit joins: a request that it served, and one that it rejected because
// it does not have its shard, which has no effect.
func TestNodeRecordsRequests(t *testing.T) {
	n := startNode(t, 1)
	if status, body, err := get(t, n, testShard); status != http.StatusOK || body != responseBody("7") || err != nil {
		t.Errorf("its shard: %d %q, %v", status, body, err)
	}
	if status, _, err := get(t, n, testShard+1); status != http.StatusServiceUnavailable || err != nil {
		t.Errorf("another shard: %d, %v", status, err)
	}
	records := n.records()
	if len(records) != 2 {
		t.Fatalf("records %+v", records)
	}
	served, rejected := records[0], records[1]
	if served.Status != http.StatusOK || served.ExecutedAt == 0 || served.Timeout != 1500 || served.Traceparent != "7" {
		t.Errorf("served: %+v", served)
	}
	if rejected.Status != http.StatusServiceUnavailable || rejected.ExecutedAt != 0 || rejected.Sequence != 2 {
		t.Errorf("rejected: %+v", rejected)
	}
}

// A node that fails to respond has executed the request all the same, as its record says.
func TestNodeResponseFaults(t *testing.T) {
	n := startNode(t, 2)
	for fault, isExpected := range map[responseFault]func(error) bool{
		respondsNever:     isTimeout,
		respondsByReset:   func(err error) bool { return errors.Is(err, syscall.ECONNRESET) },
		respondsMalformed: func(err error) bool { return err != nil && !isTimeout(err) },
	} {
		n.setFault(fault)
		if status, _, err := get(t, n, testShard); status != 0 || !isExpected(err) {
			t.Errorf("fault %d: %d, %v", fault, status, err)
		}
	}
	for _, record := range n.records() {
		if record.ExecutedAt == 0 || record.Status != 0 || record.RespondedAt != 0 {
			t.Errorf("%+v", record)
		}
	}
}

// A process that is stuck accepts nothing: a connection in its queue waits, and is reset in the end
// without its request having been read. Afterwards the node serves as before.
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
		t.Errorf("in the pause: %v, want nothing to happen", err)
	}
	n.resumeAccept()
	conn.SetDeadline(time.Now().Add(time.Second))
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("after the pause: %v, want a reset", err)
	}
	if len(n.records()) != 0 {
		t.Errorf("records %+v", n.records())
	}
	if status, _, err := get(t, n, testShard); status != http.StatusOK {
		t.Errorf("afterwards: %d, %v", status, err)
	}
}

// A node keeps its address and its records over a restart.
func TestNodeRestarts(t *testing.T) {
	n := startNode(t, 4)
	for range 2 {
		if status, _, err := get(t, n, testShard); status != http.StatusOK {
			t.Fatalf("%d, %v", status, err)
		}
		n.kill()
		if _, _, err := get(t, n, testShard); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("while it is down: %v", err)
		}
		if err := n.start(); err != nil {
			t.Fatal(err)
		}
	}
	if len(n.records()) != 2 {
		t.Errorf("records %+v", n.records())
	}
}

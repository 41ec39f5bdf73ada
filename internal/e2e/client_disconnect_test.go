package e2e

import (
	"net"
	"strings"
	"testing"
	"time"

	"maddergap/internal/fakenode"
)

// Verifies that no node executes a write whose client disconnected in the middle of the body.
func TestIncompleteBodyIsNotExecuted(t *testing.T) {
	nodes, addrs := startNodes(t, 1, fakenode.Options{})
	instance := startWebDAV(t, "body hold 16k rate 1m\n", addrs[0], addrs[0])
	c, _ := instance.send(putRequest("/feed-a/s", strings.Repeat("x", 1<<20))[:100<<10])
	time.Sleep(100 * time.Millisecond)
	c.Close()
	_, r := instance.send(getRequest("/feed-a/s"))
	if status, _, _ := instance.receive(r, "GET"); status != 404 {
		t.Errorf("read after an incomplete write: status %d, want 404", status)
	}
	for _, e := range nodes[0].Entries() {
		if e.Method == "PUT" && e.ExecutedAt != 0 {
			t.Errorf("the incomplete write was executed: %+v", e)
		}
	}
}

// Verifies that the capacity that a request holds at its node is released when the client resets the
// connection in the middle of the response: after twenty such requests, another one is served.
func TestClientDisconnectsDuringResponse(t *testing.T) {
	_, addrs := startNodes(t, 1, fakenode.Options{})
	instance := startWebDAV(t, "", addrs[0], addrs[0])
	_, r := instance.send(putRequest("/feed-a/big", strings.Repeat("x", 8<<20)))
	instance.receive(r, "PUT")
	for range 20 {
		c, r := instance.send(getRequest("/feed-a/big"))
		r.ReadByte()
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	_, r = instance.send(getRequest("/feed-a/big"))
	if status, body, _ := instance.receive(r, "GET"); status != 200 || len(body) != 8<<20 {
		t.Errorf("read after twenty disconnects: status %d, %d bytes; want 200 and the whole file", status, len(body))
	}
}

// Regression test: a write whose node was cut off for a moment stayed on its way after its client had
// disconnected, and the node executed it when it could be reached again.
func TestWriteDoesNotArriveAfterClientHasLeft(t *testing.T) {
	testOverHeldLink(t, "1500m", webdavConfig, func(t *testing.T, node *forgetfulNode, instance *testInstance, write string) {
		node.link.setHeld(true)
		c, _ := instance.send(write)
		time.Sleep(100 * time.Millisecond)
		c.(*net.TCPConn).SetLinger(0) // in WebDAV a client that only ends its sending side still reads
		c.Close()
		time.Sleep(100 * time.Millisecond)
		node.link.setHeld(false)
		time.Sleep(300 * time.Millisecond)
		if n := node.writesArrived(); n != 0 {
			t.Errorf("the write arrived %d times after its client had left, want never", n)
		}
	})
}

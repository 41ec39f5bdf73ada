package e2e

import (
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"maddergap/internal/fakenode"
)

// Verifies a graceful shutdown with writes in flight, as after SIGTERM: the instance serves the writes,
// closes its listeners and ends.
func TestShutdownServesRequestsInFlight(t *testing.T) {
	_, addrs := startNodes(t, 1, fakenode.Options{UnitTime: 300 * time.Millisecond, Cores: 4, QueueLimit: 10})
	instance := startWebDAV(t, "", addrs[0], addrs[0])
	statuses := make(chan int, 2)
	for i := range 2 {
		_, r := instance.send(putRequest(fmt.Sprint("/feed-a/", i), "segment"))
		go func() {
			status, _, _ := instance.receive(r, "PUT")
			statuses <- status
		}()
	}
	time.Sleep(100 * time.Millisecond)
	if err := instance.stop(); err != nil {
		t.Errorf("stop: %v", err)
	}
	for range 2 {
		if status := <-statuses; status != 201 {
			t.Errorf("request in flight: status %d, want 201", status)
		}
	}
	if c, err := net.Dial("tcp", instance.addr); err == nil {
		c.Close()
		t.Error("the listener is open after the shutdown")
	}
}

// Verifies that an instance stops although clients keep connecting, sending requests and closing their
// connections. A request received before the stop is served, and sent to the node exactly once.
func TestShutdownDuringFlood(t *testing.T) {
	nodes, addrs := startNodes(t, 1, fakenode.Options{UnitTime: 200 * time.Millisecond, Cores: 4, QueueLimit: 64})
	instance := startWebDAV(t, floodConfig, addrs[0], addrs[0])
	c, r := instance.connectFrom("127.9.0.1")
	io.WriteString(c, putRequest("/feed-a/taken", "x"))
	time.Sleep(50 * time.Millisecond)
	quit := make(chan struct{})
	var flood sync.WaitGroup
	flood.Go(func() { instance.sendUntil(quit, getRequest("/feed-a/x")) })
	time.Sleep(20 * time.Millisecond)
	err := instance.stop()
	close(quit)
	flood.Wait()
	if err != nil {
		t.Error(err)
	}
	if status, _, _ := instance.receive(r, "PUT"); status != 201 {
		t.Errorf("request received before the stop: status %d, want 201", status)
	}
	if sent := countRequests(nodes[0], "/feed-a/taken"); sent != 1 {
		t.Errorf("the request was sent to the node %d times, want 1", sent)
	}
}

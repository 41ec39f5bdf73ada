package e2e

import (
	"io"
	"net"
	"os"
	"testing"
	"time"
)

// Verifies that idle connections do not shut out other clients. 400 clients connect and send nothing
// to an instance with 256 descriptors. Idle connections are preempted, so that other clients are
// served; the remaining idle connections are closed within three seconds.
func TestPlatformIdleConnectionsArePreempted(t *testing.T) {
	node := startNodeResponding(t, "fine")
	instance := startPlatformReady(t, startDiscovery(t, node), platformOptions{})
	start := time.Now()
	var idle []net.Conn
	for range 400 {
		idle = append(idle, instance.connect())
	}
	served := 0
	for range 20 {
		if status, _ := instance.roundTrip(instance.newRead(0, "1200m").text); status == 200 {
			served++
		}
	}
	if served < 18 {
		t.Errorf("%d of 20 requests were served, want at least 18", served)
	}
	time.Sleep(150 * time.Millisecond)
	instance.roundTrip(instance.newRead(0, "1200m").text)
	if open := countOpen(idle); open > 256/4 {
		t.Errorf("%d idle connections are open, want at most 64, a quarter of the descriptors; the platform lets its clients occupy a third", open)
	}
	for _, c := range idle {
		c.SetReadDeadline(start.Add(3 * time.Second))
		if _, err := io.Copy(io.Discard, c); err != nil && os.IsTimeout(err) {
			t.Fatal("an idle connection is still open after 3 s")
		}
	}
}

// countOpen returns the number of connections that the gateway has not closed.
func countOpen(conns []net.Conn) int {
	open := 0
	for _, c := range conns {
		c.SetReadDeadline(time.Now().Add(2 * time.Millisecond))
		if _, err := c.Read(make([]byte, 1)); err != nil && os.IsTimeout(err) {
			open++
		}
	}
	return open
}

package e2e

import (
	"io"
	"net"
	"os"
	"testing"
	"time"
)

// Four hundred clients connect and send nothing, with 256 descriptors for the instance.
// Others are served all the same: idle connections are preempted for them. The rest is
// closed within three seconds.
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
		t.Errorf("%d of 20 requests were served among idle connections", served)
	}
	time.Sleep(150 * time.Millisecond)
	instance.roundTrip(instance.newRead(0, "1200m").text)
	if open := countOpen(idle); open > 256/4 {
		t.Errorf("%d idle connections are kept of 256 descriptors: clients of the platform may have 85 in all", open)
	}
	for _, c := range idle {
		c.SetReadDeadline(start.Add(3 * time.Second))
		if _, err := io.Copy(io.Discard, c); err != nil && os.IsTimeout(err) {
			t.Fatal("an idle connection is open after 3 s")
		}
	}
}

// countOpen returns how many connections the gateway has not closed.
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

package e2e

import (
	"net"
	"sync"
	"testing"
	"time"
)

// Clients connect without a pause while the head stops: whoever's connection stands has an
// answer, up to the very last.
func TestStopAmongNewcomers(t *testing.T) {
	for range 4 {
		node := startNodeResponding(t, "fine")
		instance := startPlatform(t, startDiscovery(t, node).addr, platformOptions{})
		within(t, 2*time.Second, instance.ready)
		end := make(chan struct{})
		var clients sync.WaitGroup
		for range 6 {
			clients.Go(func() {
				for {
					select {
					case <-end:
						return
					default:
						newcomer(t, instance)
					}
				}
			})
		}
		time.Sleep(100 * time.Millisecond)
		instance.stop()
		close(end)
		clients.Wait()
	}
}

// newcomer connects, asks and wants an answer, unless it does not get through.
func newcomer(t *testing.T, instance *platformInstance) {
	c, err := net.DialTimeout("tcp", instance.addr, 300*time.Millisecond)
	if err != nil {
		time.Sleep(5 * time.Millisecond)
		return
	}
	defer c.Close()
	request := instance.newRequest("GET", "read", 0, "1000m")
	id, text := request.id, request.text
	c.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := c.Write([]byte(text)); err != nil {
		t.Errorf("request %s: %v", id, err)
		return
	}
	b := make([]byte, 12)
	if _, err := c.Read(b); err != nil {
		t.Errorf("request %s has no answer: %v", id, err)
	}
}

package e2e

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"net"
)

// Clients connect without a pause while the head stops: whoever's connection stands has an
// answer, up to the very last.
func TestStopAmongNewcomers(t *testing.T) {
	for range 4 {
		node := newStubNode(t, func(int, *http.Request) reply { return ok("fine") })
		s := startWith(t, newStubDiscovery(t, node).addr, strings.NewReplacer())
		within(t, 2*time.Second, s.ready)
		end := make(chan struct{})
		var clients sync.WaitGroup
		for range 6 {
			clients.Go(func() {
				for {
					select {
					case <-end:
						return
					default:
						newcomer(t, s)
					}
				}
			})
		}
		time.Sleep(100 * time.Millisecond)
		s.stop()
		close(end)
		clients.Wait()
	}
}

// newcomer connects, asks and wants an answer, unless it does not get through.
func newcomer(t *testing.T, s *service) {
	c, err := net.DialTimeout("tcp", s.addr, 300*time.Millisecond)
	if err != nil {
		time.Sleep(5 * time.Millisecond)
		return
	}
	defer c.Close()
	id, text := s.request("GET", "read", 0, "1000m", "")
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

package e2e

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

// System calls fail for a while, in ways that Linux documents. Every request that has the
// time is served, no request is executed twice, and no node is taken for faulty: its circuit
// breaker stays closed.
func TestFailingSystemCalls(t *testing.T) {
	const shortly = "from 300ms for 300ms"
	for _, faults := range []string{
		"socket ENFILE " + shortly,
		"connect EADDRNOTAVAIL " + shortly,
		"connect ENETUNREACH " + shortly,
		"accept ENFILE " + shortly + "; accept ECONNABORTED chance 0.3",
		"accept EINVAL " + shortly,
		"epoll_ctl ENOMEM chance 0.3 from 150ms",
		"epoll_ctl ENOSPC " + shortly,
		"epoll_ctl ENOSPC from 300ms for 1s",
		"write ENOBUFS " + shortly + "; read ENOMEM " + shortly,
		"read SHORT; write SHORT",
		"read EINTR chance 0.3; write EINTR chance 0.3; accept EINTR chance 0.3; epoll_wait EINTR chance 0.3",
		"shutdown ENOBUFS chance 0.5; connect EINTR chance 0.5; socket EMFILE chance 0.3",
	} {
		t.Run(faults, func(t *testing.T) {
			t.Parallel()
			testFailingSystemCalls(t, faults)
		})
	}
}

func testFailingSystemCalls(t *testing.T, faults string) {
	// Each response ends its connection, so that connections are made all the time.
	node := startNodeClosing(t)
	instance := startPlatform(t, startDiscovery(t, node).addr, platformOptions{syscallFaults: faults})
	within(t, 2*time.Second, instance.ready)
	var clients sync.WaitGroup
	deadline := time.Now().Add(900 * time.Millisecond)
	for n := range 4 {
		clients.Go(func() { instance.wantServedUntil(deadline, n%2 == 0) })
	}
	clients.Wait()
	instance.stop()
	if log := instance.log.String(); strings.Contains(log, "breaker_open=true") {
		t.Errorf("the breaker of a faultless node opened; the instance's log:\n%s", log)
	}
	wantSentOnce(t, node)
}

// wantServedUntil sends writes and reads in turn until the deadline, and checks that each is
// served. It ends with the first that is not.
func (i *platformInstance) wantServedUntil(deadline time.Time, writeFirst bool) {
	for write := writeFirst; time.Now().Before(deadline); write = !write {
		request := i.newRead(0, "2000m")
		if write {
			request = i.newWrite(0, "2000m")
		}
		if status, body := i.roundTrip(request.text); status != 200 || body != "fine" {
			i.t.Errorf("request %s: %d %q", request.id, status, body)
			return
		}
	}
}

// Epoll takes no new connection for a second. Requests are served all the same, a little
// later.
func TestServesWithoutEpoll(t *testing.T) {
	const minServed = 20
	node := startNodeClosing(t)
	start := time.Now()
	instance := startPlatform(t, startDiscovery(t, node).addr, platformOptions{syscallFaults: "epoll_ctl ENOSPC from 300ms for 1s"})
	within(t, 250*time.Millisecond, instance.ready)
	time.Sleep(time.Until(start.Add(350 * time.Millisecond)))
	served := 0
	for time.Since(start) < 1200*time.Millisecond {
		if status, body := instance.roundTrip(instance.newRead(0, "800m").text); status != 200 || body != "fine" {
			t.Fatalf("after %d requests: %d %q", served, status, body)
		}
		served++
	}
	instance.stop()
	if log := instance.log.String(); served < minServed || strings.Contains(log, "breaker_open=true") {
		t.Errorf("%d requests served, want %d, with no breaker open; the instance's log:\n%s", served, minServed, log)
	}
}

// System calls fail at each step of a shutdown, from before it begins until after the
// listener is closed. What is in flight, what comes on open connections and what waits in
// the listen queue is served, and the instance ends.
func TestStopWhileSystemCallsFail(t *testing.T) {
	for _, faults := range []string{
		"accept EMFILE from 700ms for 600ms",
		"accept ENOBUFS from 700ms for 300ms; socket EMFILE from 700ms for 600ms",
		"socket ENFILE from 700ms for 600ms",
		"connect EADDRNOTAVAIL from 700ms for 600ms",
		"epoll_ctl ENOSPC from 700ms for 600ms",
		"epoll_ctl ENOMEM from 700ms for 600ms; poll ENOMEM from 700ms for 200ms",
		"write ENOBUFS from 700ms for 600ms",
		"read ENOMEM from 700ms for 600ms",
		"shutdown ENOBUFS from 700ms for 900ms",
		"epoll_wait EINTR chance 0.5 from 700ms; accept EINTR chance 0.5 from 700ms; read SHORT from 700ms; write SHORT from 700ms",
	} {
		t.Run(faults, func(t *testing.T) {
			t.Parallel()
			testStopWhileSystemCallsFail(t, faults)
		})
	}
}

func testStopWhileSystemCallsFail(t *testing.T, faults string) {
	// Each response ends its connection, so that each request needs another one.
	node := startNodeClosing(t)
	start := time.Now()
	instance := startPlatform(t, startDiscovery(t, node).addr, platformOptions{syscallFaults: faults})
	within(t, 600*time.Millisecond, instance.ready)
	open := make([]net.Conn, 4) // established before anything fails
	for n := range open {
		open[n] = instance.connect()
		fmt.Fprint(open[n], instance.newRead(0, "2500m").text)
		if status := readStatus(open[n]); status != 200 {
			t.Fatalf("%d before anything failed", status)
		}
	}
	time.Sleep(time.Until(start.Add(800 * time.Millisecond)))
	var responses sync.WaitGroup
	send := func(name string, c net.Conn) {
		fmt.Fprint(c, instance.newRead(0, "2500m").text)
		responses.Go(func() {
			if status := readStatus(c); status != 200 {
				t.Errorf("%s: %d", name, status)
			}
		})
	}
	for n := range 4 {
		send(fmt.Sprint("new connection ", n), instance.connect())
		send(fmt.Sprint("open connection ", n), open[n])
	}
	instance.daemon.Stop()
	responses.Wait()
	if err := instance.stop(); err != nil {
		t.Errorf("%v; the instance's log:\n%s", err, instance.log.String())
	}
}

// Guards against a faultless node that is ejected by a shortage on this machine: descriptors are
// short, so that some dials come through and others wait until they time out.
func TestDescriptorShortageOpensNoBreaker(t *testing.T) {
	node := startNodeClosing(t)
	instance := startPlatform(t, startDiscovery(t, node).addr, platformOptions{syscallFaults: "socket EMFILE chance 0.9 from 300ms"})
	within(t, 2*time.Second, instance.ready)
	var clients sync.WaitGroup
	deadline := time.Now().Add(3 * time.Second)
	for range 8 {
		clients.Go(func() {
			for time.Now().Before(deadline) {
				instance.roundTrip(instance.newRead(0, "1200m").text)
			}
		})
	}
	clients.Wait()
	instance.stop()
	log := instance.log.String()
	if opened := strings.Count(log, "breaker_open=true"); opened > 0 {
		t.Errorf("the breaker of a faultless node was open at %d looks of %d", opened, strings.Count(log, "breaker_open="))
	}
}

package e2e

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

// Verifies that requests with a deadline of 2 s are served although system calls fail for a while with
// errors that Linux documents. No request is sent twice, and the circuit breaker of the node stays
// closed, as local errors say nothing about the node.
func TestFailingSystemCalls(t *testing.T) {
	const briefly = "from 300ms for 300ms"
	for _, faults := range []string{
		"socket ENFILE " + briefly,
		"connect EADDRNOTAVAIL " + briefly,
		"connect ENETUNREACH " + briefly,
		"accept ENFILE " + briefly + "; accept ECONNABORTED chance 0.3",
		"accept EINVAL " + briefly,
		"epoll_ctl ENOMEM chance 0.3 from 150ms",
		"epoll_ctl ENOSPC " + briefly,
		"epoll_ctl ENOSPC from 300ms for 1s",
		"write ENOBUFS " + briefly + "; read ENOMEM " + briefly,
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
	// The node closes the connection after each response, so that the gateway has to dial for each
	// request.
	node := startNodeClosingConns(t)
	instance := startPlatformInstance(t, startDiscovery(t, node).addr, platformOptions{syscallFaults: faults})
	within(t, 2*time.Second, instance.ready)
	var clients sync.WaitGroup
	deadline := time.Now().Add(900 * time.Millisecond)
	for n := range 4 {
		clients.Go(func() { instance.wantServedUntil(deadline, n%2 == 0) })
	}
	clients.Wait()
	instance.stop()
	if log := instance.log.String(); strings.Contains(log, "breaker_open=true") {
		t.Errorf("the circuit breaker of a healthy node opened; the instance's log:\n%s", log)
	}
	wantSentOnce(t, node)
}

// wantServedUntil alternates writes and reads until the deadline and checks that each is served. It
// returns after the first that is not.
func (i *platformInstance) wantServedUntil(deadline time.Time, writeFirst bool) {
	for write := writeFirst; time.Now().Before(deadline); write = !write {
		request := i.newRead(0, "2000m")
		if write {
			request = i.newWrite(0, "2000m")
		}
		if status, body := i.roundTrip(request.text); status != 200 || body != "fine" {
			i.t.Errorf("request %s: status %d, body %q; want 200 and \"fine\"", request.id, status, body)
			return
		}
	}
}

// Verifies that requests are served, with a small delay, while no descriptor can be registered with
// epoll: epoll_ctl fails with ENOSPC for a second. The event loop then polls the connections.
func TestServesWithoutEpoll(t *testing.T) {
	const minServed = 20
	node := startNodeClosingConns(t)
	start := time.Now()
	instance := startPlatformInstance(t, startDiscovery(t, node).addr, platformOptions{syscallFaults: "epoll_ctl ENOSPC from 300ms for 1s"})
	within(t, 250*time.Millisecond, instance.ready)
	time.Sleep(time.Until(start.Add(350 * time.Millisecond)))
	served := 0
	for time.Since(start) < 1200*time.Millisecond {
		if status, body := instance.roundTrip(instance.newRead(0, "800m").text); status != 200 || body != "fine" {
			t.Fatalf("after %d requests: status %d, body %q; want 200 and \"fine\"", served, status, body)
		}
		served++
	}
	instance.stop()
	if log := instance.log.String(); served < minServed || strings.Contains(log, "breaker_open=true") {
		t.Errorf("%d requests served, want at least %d and no open circuit breaker; the instance's log:\n%s", served, minServed, log)
	}
}

// Verifies that no request is lost if system calls fail around a shutdown. The failures start before
// the shutdown begins and end after the listener is closed. The requests on open connections and on new ones, which may still be
// in the listen queue, are served, and the instance stops.
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
	// The node closes the connection after each response, so that the gateway has to dial for each
	// request.
	node := startNodeClosingConns(t)
	start := time.Now()
	instance := startPlatformInstance(t, startDiscovery(t, node).addr, platformOptions{syscallFaults: faults})
	within(t, 600*time.Millisecond, instance.ready)
	open := make([]net.Conn, 4) // established before any system call fails
	for n := range open {
		open[n] = instance.connect()
		fmt.Fprint(open[n], instance.newRead(0, "2500m").text)
		if status := readStatus(open[n]); status != 200 {
			t.Fatalf("status %d before any system call failed, want 200", status)
		}
	}
	time.Sleep(time.Until(start.Add(800 * time.Millisecond)))
	var responses sync.WaitGroup
	send := func(name string, c net.Conn) {
		fmt.Fprint(c, instance.newRead(0, "2500m").text)
		responses.Go(func() {
			if status := readStatus(c); status != 200 {
				t.Errorf("%s: status %d, want 200", name, status)
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
		t.Errorf("the shutdown failed: %v; the instance's log:\n%s", err, instance.log.String())
	}
}

// Guards against a circuit breaker that opens for a healthy node because of a shortage on the
// gateway's machine. 90 % of the socket calls fail with EMFILE, so that some dials succeed and
// others are retried until their requests time out.
func TestDescriptorShortageOpensNoBreaker(t *testing.T) {
	node := startNodeClosingConns(t)
	instance := startPlatformInstance(t, startDiscovery(t, node).addr, platformOptions{syscallFaults: "socket EMFILE chance 0.9 from 300ms"})
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
		t.Errorf("the circuit breaker of a healthy node was open in %d of %d logged node states", opened, strings.Count(log, "breaker_open="))
	}
}

package e2e

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"maddergap/internal/scriptednode"
)

// Verifies that no request is lost while an instance stops. Clients send requests, each on a new
// connection; each request is served or gets 503.
func TestPlatformShutdownLosesNoRequest(t *testing.T) {
	node := startPlatformNode(t, func(*http.Request) scriptednode.Response {
		time.Sleep(20 * time.Millisecond)
		return okResponse("fine")
	})
	instance := startPlatformReady(t, startDiscovery(t, node), platformOptions{})
	var lost, served atomic.Int64
	var clients sync.WaitGroup
	deadline := time.Now().Add(800 * time.Millisecond)
	for range 4 {
		clients.Go(func() {
			for time.Now().Before(deadline) {
				status, body := instance.roundTrip(instance.newRead(0, "1200m").text)
				switch {
				case status == 200 && body == "fine":
					served.Add(1)
				case status != 503:
					lost.Add(1)
				}
			}
		})
	}
	time.Sleep(400 * time.Millisecond)
	instance.daemon.Stop()
	clients.Wait()
	if err := instance.stop(); err != nil {
		t.Error(err)
	}
	if lost.Load() > 0 || served.Load() < 20 {
		t.Errorf("%d requests lost, %d served; want 0 and at least 20", lost.Load(), served.Load())
	}
}

// Guards against connections that are reset because they are still in the listen queue when the
// instance closes its listener. Clients keep connecting while the instance stops; the request on each
// established connection gets a response.
func TestPlatformShutdownServesListenQueue(t *testing.T) {
	for range 4 {
		node := startNodeResponding(t, "fine")
		instance := startPlatformInstance(t, startDiscovery(t, node).addr, platformOptions{})
		within(t, 2*time.Second, instance.ready)
		quit := make(chan struct{})
		var clients sync.WaitGroup
		for range 6 {
			clients.Go(func() {
				for {
					select {
					case <-quit:
						return
					default:
						instance.wantResponseIfConnected()
					}
				}
			})
		}
		time.Sleep(100 * time.Millisecond)
		instance.stop()
		close(quit)
		clients.Wait()
	}
}

// wantResponseIfConnected connects, sends a request and checks that there is a response. It checks
// nothing if the connection cannot be established.
func (i *platformInstance) wantResponseIfConnected() {
	c, err := net.DialTimeout("tcp", i.addr, 300*time.Millisecond)
	if err != nil {
		time.Sleep(5 * time.Millisecond)
		return
	}
	defer c.Close()
	request := i.newRead(0, "1000m")
	c.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := c.Write([]byte(request.text)); err != nil {
		i.t.Errorf("request %s cannot be written: %v", request.id, err)
		return
	}
	b := make([]byte, 12)
	if _, err := c.Read(b); err != nil {
		i.t.Errorf("request %s has no response: %v", request.id, err)
	}
}

// Verifies what a shutdown does to three kinds of client connections. A new connection has time to
// send its request, and the rest of a partly received request is read; both are served. An idle
// connection is shut down: a request sent after that is not forwarded, and its client sees EOF
// and no reset, so that it can safely retry.
func TestPlatformShutdownOfClientConnections(t *testing.T) {
	node := startNodeResponding(t, "fine")
	instance := startPlatformReady(t, startDiscovery(t, node), platformOptions{})
	idle, partial := instance.connect(), instance.connect()
	fmt.Fprint(idle, instance.newRead(0, "1200m").text)
	idleReader := bufio.NewReader(idle)
	if r, _, err := readResponse(idleReader, "GET"); err != nil || r.StatusCode != 200 {
		t.Fatal(err)
	}
	instance.daemon.Stop()
	within(t, time.Second, func() bool { return strings.Contains(instance.log.String(), "msg=draining") })
	fresh := instance.connect()
	partialRequest := instance.newRead(0, "1200m").text
	io.WriteString(partial, partialRequest[:60])
	within(t, time.Second, func() bool { return strings.Contains(instance.log.String(), `msg="shutting down"`) })
	before := len(node.received())
	io.WriteString(idle, instance.newRead(0, "1200m").text)
	if b, err := io.ReadAll(idleReader); err != nil || len(b) > 0 {
		t.Errorf("the idle client read %q, error %v; want EOF", b, err)
	}
	idle.Close()
	time.Sleep(50 * time.Millisecond)
	if n := len(node.received()); n != before {
		t.Error("a request sent after the shutdown of its connection was forwarded")
	}
	fmt.Fprint(fresh, instance.newRead(0, "1200m").text)
	io.WriteString(partial, partialRequest[60:])
	wantServedAndClosed(t, "new connection", fresh)
	wantServedAndClosed(t, "partial request", partial)
	if err := instance.stop(); err != nil {
		t.Error(err)
	}
}

// wantServedAndClosed checks that a client connection gets one response of 200 followed by EOF.
func wantServedAndClosed(t *testing.T, name string, c net.Conn) {
	t.Helper()
	c.SetReadDeadline(time.Now().Add(3 * time.Second))
	response, err := io.ReadAll(c)
	if got := string(response); err != nil || !strings.HasPrefix(got, "HTTP/1.1 200 ") || !strings.HasSuffix(got, "fine") {
		t.Errorf("%s: response %q, error %v; want 200 and then EOF", name, got, err)
	}
	c.Close()
}

// Verifies that every client gets a response from an instance that stops while its node hangs, even
// if the clients' deadlines are later than the deadline of the shutdown.
func TestPlatformShutdownWithHungNodes(t *testing.T) {
	node := startHungNode(t)
	instance := startPlatformReady(t, startDiscovery(t, node), platformOptions{})
	var conns []net.Conn
	for n := range 6 {
		c := instance.connect()
		fmt.Fprint(c, instance.newRead(n%2, "30000m").text)
		conns = append(conns, c)
	}
	within(t, time.Second, func() bool { return instance.loggedState("received") == "6" })
	instance.daemon.Stop()
	instance.daemon.Stop()
	instance.stop()
	for n, c := range conns {
		c.SetReadDeadline(time.Now().Add(time.Second))
		r, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || r.StatusCode < 500 {
			t.Errorf("request %d: response %v, error %v; want a status of 500 or more", n, r, err)
		}
	}
}

// Verifies that an instance that was never ready because discovery does not respond stops within
// 2 s, also right after a reload.
func TestPlatformShutdownBeforeReady(t *testing.T) {
	instance := startPlatformInstance(t, startUnresponsiveDiscovery(t), platformOptions{})
	start := time.Now()
	instance.daemon.Reload()
	if err := instance.stop(); err != nil || time.Since(start) > 2*time.Second {
		t.Errorf("stop returned %v after %v, want no error within 2 s", err, time.Since(start))
	}
}

// Verifies that an instance stopped between two reloads, with a request in flight and discovery not
// responding, serves the request, closes the client's connection and stops.
func TestPlatformShutdownDuringReload(t *testing.T) {
	node := startPlatformNode(t, func(*http.Request) scriptednode.Response {
		time.Sleep(300 * time.Millisecond)
		return okResponse("fine")
	})
	d := startDiscovery(t, node)
	instance := startPlatformReady(t, d, platformOptions{})
	c := instance.connect()
	fmt.Fprint(c, instance.newRead(0, "1200m").text)
	within(t, time.Second, func() bool { return instance.loggedState("received") == "1" })
	d.StartOutage()
	instance.writeConfig(startUnresponsiveDiscovery(t))
	instance.daemon.Reload()
	instance.daemon.Stop()
	instance.daemon.Reload()
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || r.StatusCode != 200 || !r.Close {
		t.Errorf("response %+v, error %v; want 200 with Connection: close", r, err)
	}
	c.Close()
	if err := instance.stop(); err != nil {
		t.Error(err)
	}
}

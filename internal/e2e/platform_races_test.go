package e2e

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"maddergap/internal/discovery"
)

// A client pipelines requests and disconnects while the first of them waits for a node, with
// a FIN behind bytes that the gateway has not read, or with a reset. When a node is there,
// none of the requests may be sent to it.
func TestPlatformClientDisconnectsAfterPipelinedRequests(t *testing.T) {
	for _, c := range []struct {
		name     string
		requests int
		reset    bool
	}{
		{name: "FIN", requests: 2},
		{name: "reset", requests: 2, reset: true},
		{name: "FIN with the last byte", requests: 1},
		{name: "many requests", requests: 1000},
	} {
		t.Run(c.name, func(t *testing.T) { testDisconnectAfterRequests(t, c.requests, c.reset) })
	}
}

func testDisconnectAfterRequests(t *testing.T, requests int, reset bool) {
	one, two := startNodeResponding(t, "one"), startNodeResponding(t, "two")
	d := startDiscovery(t, one)
	instance := startPlatformReady(t, d, platformOptions{})
	c := instance.connect()
	text := ""
	for range requests {
		text += instance.newRead(1, "1200m").text
	}
	go c.Write([]byte(text))
	within(t, time.Second, func() bool { return instance.loggedState("received") == "1" })
	if reset {
		c.SetLinger(0)
	}
	c.Close()
	within(t, time.Second, func() bool { return instance.loggedState("disconnected") == "1" })
	d.setEndpoints(endpointOf("s0", one, 0, "up"), endpointOf("s1", two, 1, "up"))
	within(t, time.Second, func() bool {
		status, _ := instance.roundTrip(instance.newRead(1, "1200m").text)
		return status == 200
	})
	if ids := two.receivedIDs(); len(ids) != 1 {
		t.Errorf("%d requests were sent to the node, want the one of a connected client", len(ids))
	}
}

// stalledListener is a node whose listen queue is full, so that no connection to it is
// established until resume is called: the kernel of the client then succeeds with a retry.
type stalledListener struct {
	t    *testing.T
	fd   int
	addr string
}

func startStalledListener(t *testing.T) *stalledListener {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := unix.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	sockaddr, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	l := &stalledListener{t: t, fd: fd, addr: fmt.Sprintf("127.0.0.1:%d", sockaddr.(*unix.SockaddrInet4).Port)}
	filler, err := net.Dial("tcp", l.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { filler.Close(); unix.Close(fd) })
	return l
}

// resume makes room in the listen queue and accepts the next connection.
func (l *stalledListener) resume() net.Conn {
	l.t.Helper()
	filler, _, err := unix.Accept(l.fd)
	if err != nil {
		l.t.Fatal(err)
	}
	unix.Close(filler)
	unix.Listen(l.fd, 16)
	duplicate, err := unix.Dup(l.fd)
	if err != nil {
		l.t.Fatal(err)
	}
	file := os.NewFile(uintptr(duplicate), "listener")
	defer file.Close()
	ln, err := net.FileListener(file)
	if err != nil {
		l.t.Fatal(err)
	}
	l.t.Cleanup(func() { ln.Close() })
	ln.(*net.TCPListener).SetDeadline(time.Now().Add(4 * time.Second))
	c, err := ln.Accept()
	if err != nil {
		l.t.Fatal(err)
	}
	return c
}

// endpoint returns the listener as an endpoint of the status.
func (l *stalledListener) endpoint(status string) discovery.Endpoint {
	return discovery.Endpoint{Name: "late", Address: l.addr, Zone: "z0", Status: status}
}

// startWithPendingConnect runs an instance whose only node is a stalled listener, and has a
// client send a request for which it dials the node.
func startWithPendingConnect(t *testing.T, d *fakeDiscovery, node *stalledListener) (*platformInstance, net.Conn) {
	t.Helper()
	d.setEndpoints(node.endpoint("up"))
	longConnect := strings.NewReplacer(`"connectTimeout":250000`, `"connectTimeout":3000000`)
	instance := startPlatformReady(t, d, platformOptions{configChange: longConnect})
	c := instance.connect()
	fmt.Fprint(c, instance.newRead(0, "5000m").text)
	within(t, time.Second, func() bool { return instance.loggedState("node_connections") == "1" })
	return instance, c
}

// A connection to a node is established after the client of its request has disconnected.
// The request must not be sent on it.
func TestPlatformNodeConnectsAfterClientDisconnects(t *testing.T) {
	node := startStalledListener(t)
	instance, c := startWithPendingConnect(t, startDiscovery(t), node)
	c.Close()
	within(t, time.Second, func() bool { return instance.loggedState("disconnected") == "1" })
	wantNothingSent(t, node.resume())
}

// A connection to a node is established after discovery has the node as draining. The
// request must not be sent on it, and is served by another node.
func TestPlatformNodeConnectsAfterDraining(t *testing.T) {
	node := startStalledListener(t)
	other := startNodeResponding(t, "other")
	d := startDiscovery(t)
	instance, c := startWithPendingConnect(t, d, node)
	version := instance.loggedState("version")
	d.setEndpoints(node.endpoint("draining"), endpointOf("other", other, 0, "up"))
	within(t, time.Second, func() bool { return instance.loggedState("version") != version })
	wantNothingSent(t, node.resume())
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || r.StatusCode != 200 {
		t.Errorf("%v %v, want it served by the other node", r, err)
	}
}

// wantNothingSent checks that the gateway sends nothing on a connection to a node.
func wantNothingSent(t *testing.T, c net.Conn) {
	t.Helper()
	t.Cleanup(func() { c.Close() })
	c.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
	if sent, _ := io.ReadAll(c); len(sent) > 0 {
		t.Errorf("%q is sent on the late connection", sent)
	}
}

// A node resets its connection together with a complete response, or shortly after it. The
// response is delivered, and the next request is not affected.
func TestPlatformNodeResetsAfterResponse(t *testing.T) {
	for _, delay := range []time.Duration{0, 300 * time.Microsecond, 2 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) { testResetAfterResponse(t, delay) })
	}
}

func testResetAfterResponse(t *testing.T, delay time.Duration) {
	var sequential sync.Mutex // one connection is served at a time
	addr := startRawNode(t, func(c *net.TCPConn, r *bufio.Reader) {
		sequential.Lock()
		defer sequential.Unlock()
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		io.Copy(io.Discard, request.Body)
		io.WriteString(c, okResponse("fine").Text)
		time.Sleep(delay)
		c.SetLinger(0)
		c.Close()
	})
	d := startDiscovery(t)
	d.setEndpoints(discovery.Endpoint{Name: "n", Address: addr, Zone: "z0", Status: "up"})
	instance := startPlatformReady(t, d, platformOptions{})
	for n := range 40 {
		if status, body := instance.roundTrip(instance.newWrite(0, "1200m").text); status != 200 || body != "fine" {
			t.Fatalf("request %d: %d %q", n, status, body)
		}
	}
}

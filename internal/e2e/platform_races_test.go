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

// Guards against requests that are sent to a node although their client has disconnected. The client
// pipelines requests and disconnects while the first of them waits for a node: with a FIN, which may
// come after bytes that the gateway has not read yet, or with a reset. When a node becomes
// available, none of the requests may be sent to it.
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
	if ids := two.received(); len(ids) != 1 {
		t.Errorf("%d requests were sent to the node, want 1, that of the connected client", len(ids))
	}
}

// fullListener is a node whose listen queue is full, so that no connection to it is established until
// resume is called. After that the gateway's kernel succeeds when it retransmits the SYN.
type fullListener struct {
	t    *testing.T
	fd   int
	addr string
}

func startFullListener(t *testing.T) *fullListener {
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
	l := &fullListener{t: t, fd: fd, addr: fmt.Sprintf("127.0.0.1:%d", sockaddr.(*unix.SockaddrInet4).Port)}
	filler, err := net.Dial("tcp", l.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { filler.Close(); unix.Close(fd) })
	return l
}

// resume makes room in the listen queue and accepts the connection that was pending.
func (l *fullListener) resume() net.Conn {
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

// endpoint returns the listener as an endpoint with a status.
func (l *fullListener) endpoint(status string) discovery.Endpoint {
	return discovery.Endpoint{Name: "late", Address: l.addr, Zone: "z0", Status: status}
}

// startWithPendingConnect runs an instance whose only node does not accept connections yet. It sends a
// request, waits until the instance is dialing the node, and returns the client's connection.
func startWithPendingConnect(t *testing.T, d *fakeDiscovery, node *fullListener) (*platformInstance, net.Conn) {
	t.Helper()
	d.setEndpoints(node.endpoint("up"))
	longConnect := strings.NewReplacer(`"connectTimeout":250000`, `"connectTimeout":3000000`)
	instance := startPlatformReady(t, d, platformOptions{configChange: longConnect})
	c := instance.connect()
	fmt.Fprint(c, instance.newRead(0, "5000m").text)
	within(t, time.Second, func() bool { return instance.loggedState("node_connections") == "1" })
	return instance, c
}

// Verifies that a request is not sent on a node connection that is established only after the client
// of the request has disconnected.
func TestPlatformNodeConnectsAfterClientDisconnects(t *testing.T) {
	node := startFullListener(t)
	instance, c := startWithPendingConnect(t, startDiscovery(t), node)
	c.Close()
	within(t, time.Second, func() bool { return instance.loggedState("disconnected") == "1" })
	wantNothingSent(t, node.resume())
}

// Verifies that a request is not sent on a node connection that is established only after discovery
// has listed the node as draining. Another node serves the request.
func TestPlatformNodeConnectsAfterDraining(t *testing.T) {
	node := startFullListener(t)
	other := startNodeResponding(t, "other")
	d := startDiscovery(t)
	instance, c := startWithPendingConnect(t, d, node)
	version := instance.loggedState("version")
	d.setEndpoints(node.endpoint("draining"), endpointOf("other", other, 0, "up"))
	within(t, time.Second, func() bool { return instance.loggedState("version") != version })
	wantNothingSent(t, node.resume())
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || r.StatusCode != 200 {
		t.Errorf("response %v, error %v; want 200 from the other node", r, err)
	}
}

// wantNothingSent checks that the gateway sends nothing on a node connection for 300 ms.
func wantNothingSent(t *testing.T, c net.Conn) {
	t.Helper()
	t.Cleanup(func() { c.Close() })
	c.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
	if sent, _ := io.ReadAll(c); len(sent) > 0 {
		t.Errorf("the gateway sent %q on the connection, want nothing", sent)
	}
}

// Verifies that a response is forwarded although the node resets the connection immediately or
// shortly after it has sent the complete response, and that the next request is not affected.
func TestPlatformNodeResetsAfterResponse(t *testing.T) {
	for _, delay := range []time.Duration{0, 300 * time.Microsecond, 2 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) { testResetAfterResponse(t, delay) })
	}
}

func testResetAfterResponse(t *testing.T, delay time.Duration) {
	var sequential sync.Mutex // locked while a connection is served: one at a time
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
			t.Fatalf("request %d: status %d, body %q; want 200 and \"fine\"", n, status, body)
		}
	}
}

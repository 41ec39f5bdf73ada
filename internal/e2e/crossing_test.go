package e2e

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"maddergap/internal/discovery"
)

// A client sends requests ahead and goes while the first of them waits for a node, by a
// FIN behind bytes that are not read, or by a reset. When there is a node, none is sent.
func TestCrossingGoneBehindRequestsSentAhead(t *testing.T) {
	for _, how := range []string{"end", "reset", "end with the last byte", "much ahead"} {
		t.Run(how, func(t *testing.T) {
			one, two := startNodeResponding(t, "one"), startNodeResponding(t, "two")
			d := startDiscovery(t, one)
			instance := startPlatformReady(t, d, platformOptions{})
			c := instance.connect()
			text := ""
			n := 2
			switch how {
			case "end with the last byte":
				n = 1
			case "much ahead":
				n = 1000
			}
			for range n {
				text += instance.newRead(1, "1200m").text
			}
			go c.Write([]byte(text))
			within(t, time.Second, func() bool { return instance.loggedState("received") == "1" })
			if how == "reset" {
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
				t.Errorf("%d requests came to the node, one of a client that is there", len(ids))
			}
		})
	}
}

// slowToAccept is a node whose listen queue is full, so that no connection comes up until
// it is told to go on: the system then tries again by itself.
func slowToAccept(t *testing.T) (addr string, goOn func() net.Listener) {
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
	sa, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr = fmt.Sprintf("127.0.0.1:%d", sa.(*unix.SockaddrInet4).Port)
	filler, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { filler.Close(); unix.Close(fd) })
	return addr, func() net.Listener {
		accepted, _, err := unix.Accept(fd)
		if err != nil {
			t.Fatal(err)
		}
		unix.Close(accepted)
		unix.Listen(fd, 16)
		other, err := unix.Dup(fd)
		if err != nil {
			t.Fatal(err)
		}
		file := os.NewFile(uintptr(other), "listener")
		defer file.Close()
		ln, err := net.FileListener(file)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { ln.Close() })
		return ln
	}
}

// A node's connection comes up after its request's client has gone, and after the node was
// told to drain: nothing is sent on it for them.
func TestCrossingLateConnection(t *testing.T) {
	for _, how := range []string{"client leaves", "node drains"} {
		t.Run(how, func(t *testing.T) {
			addr, goOn := slowToAccept(t)
			other := startNodeResponding(t, "other")
			d := startDiscovery(t)
			entry := func(status string) discovery.Endpoint {
				return discovery.Endpoint{Name: "late", Address: addr, Zone: "z0", Status: status}
			}
			d.setEndpoints(entry("up"))
			instance := startPlatformReady(t, d, platformOptions{configChange: strings.NewReplacer(`"connectTimeout":250000`, `"connectTimeout":3000000`)})
			c := instance.connect()
			fmt.Fprint(c, instance.newRead(0, "5000m").text)
			within(t, time.Second, func() bool { return instance.loggedState("node_connections") == "1" })
			if how == "client leaves" {
				c.Close()
				within(t, time.Second, func() bool { return instance.loggedState("disconnected") == "1" })
			} else {
				version := instance.loggedState("version")
				d.setEndpoints(entry("draining"), endpointOf("other", other, 0, "up"))
				within(t, time.Second, func() bool { return instance.loggedState("version") != version })
			}
			ln := goOn()
			ln.(*net.TCPListener).SetDeadline(time.Now().Add(4 * time.Second))
			late, err := ln.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer late.Close()
			late.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
			if got, _ := io.ReadAll(late); len(got) > 0 {
				t.Errorf("%q is sent on the late connection", got)
			}
			if how == "node drains" {
				r, err := http.ReadResponse(bufio.NewReader(c), nil)
				if err != nil || r.StatusCode != 200 {
					t.Errorf("%v %v, want it served by the other node", r, err)
				}
			}
		})
	}
}

// A reset that comes together with a whole answer, or a little later, takes nothing from it
// nor from the next request.
func TestCrossingResetBehindAnswer(t *testing.T) {
	for _, pause := range []time.Duration{0, 300 * time.Microsecond, 2 * time.Millisecond} {
		t.Run(pause.String(), func(t *testing.T) { resetBehindAnswer(t, pause) })
	}
}

func resetBehindAnswer(t *testing.T, pause time.Duration) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			r, err := http.ReadRequest(bufio.NewReader(c))
			if err != nil {
				c.Close()
				continue
			}
			io.Copy(io.Discard, r.Body)
			io.WriteString(c, okResponse("fine").text)
			time.Sleep(pause)
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}
	}()
	d := startDiscovery(t)
	d.setEndpoints(discovery.Endpoint{Name: "n", Address: ln.Addr().String(), Zone: "z0", Status: "up"})
	instance := startPlatformReady(t, d, platformOptions{})
	for i := range 40 {
		if status, body := instance.roundTrip(instance.newWrite(0, "1200m").text); status != 200 || body != "fine" {
			t.Fatalf("request %d: %d %q", i, status, body)
		}
	}
}

// What comes as the head ends: a connection just made has time for its request, a request
// that is half read is read on, and one on a resting connection that crosses the shutdown
// is not sent on, while its client sees an end and no reset.
func TestCrossingStop(t *testing.T) {
	sh := startNodeResponding(t, "fine")
	instance := startPlatformReady(t, startDiscovery(t, sh), platformOptions{})
	answer := func(c net.Conn) string {
		c.SetReadDeadline(time.Now().Add(3 * time.Second))
		b, err := io.ReadAll(c)
		if err != nil {
			return "error: " + err.Error()
		}
		return string(b)
	}
	resting, half := instance.connect(), instance.connect()
	fmt.Fprint(resting, instance.newRead(0, "1200m").text)
	in := bufio.NewReader(resting)
	if r, err := http.ReadResponse(in, nil); err != nil || r.StatusCode != 200 {
		t.Fatal(err)
	} else {
		io.Copy(io.Discard, r.Body)
	}
	instance.daemon.Stop()
	within(t, time.Second, func() bool { return strings.Contains(instance.log.String(), "msg=draining") })
	fresh := instance.connect()
	text := instance.newRead(0, "1200m").text
	io.WriteString(half, text[:60])
	within(t, time.Second, func() bool { return strings.Contains(instance.log.String(), `msg="shutting down"`) })
	before := len(sh.received())
	io.WriteString(resting, instance.newRead(0, "1200m").text)
	if b, err := io.ReadAll(in); err != nil || len(b) > 0 {
		t.Errorf("the resting client sees %q, %v; want the end", b, err)
	}
	resting.Close()
	time.Sleep(50 * time.Millisecond)
	if n := len(sh.received()); n != before {
		t.Error("a request was sent on that came after the shutdown of its connection")
	}
	fmt.Fprint(fresh, instance.newRead(0, "1200m").text)
	io.WriteString(half, text[60:])
	for name, c := range map[string]net.Conn{"just made": fresh, "half read": half} {
		if got := answer(c); !strings.HasPrefix(got, "HTTP/1.1 200 ") || !strings.HasSuffix(got, "fine") {
			t.Errorf("%s: %q", name, got)
		}
		c.Close()
	}
	if err := instance.stop(); err != nil {
		t.Error(err)
	}
}

// Nodes hang as the head ends, and clients' times reach beyond its own: each has an answer
// before the head is gone.
func TestCrossingStopWithHungNodes(t *testing.T) {
	sh := startScriptedNode(t, func(int, *http.Request) nodeResponse { return nodeResponse{hang: true} })
	instance := startPlatformReady(t, startDiscovery(t, sh), platformOptions{})
	var conns []net.Conn
	for i := range 6 {
		c := instance.connect()
		fmt.Fprint(c, instance.newRead(i%2, "30000m").text)
		conns = append(conns, c)
	}
	within(t, time.Second, func() bool { return instance.loggedState("received") == "6" })
	instance.daemon.Stop()
	instance.daemon.Stop()
	instance.stop()
	for i, c := range conns {
		c.SetReadDeadline(time.Now().Add(time.Second))
		r, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || r.StatusCode < 500 {
			t.Errorf("request %d: %v %v", i, r, err)
		}
	}
}

// A new process has an old list from its configuration. While discovery would answer
// nothing goes out by it; when discovery is silent the head serves by it, a second later.
func TestCrossingOldListAtTheStart(t *testing.T) {
	old, now := startNodeResponding(t, "old"), startNodeResponding(t, "now")
	known := strings.NewReplacer(`"settings":{`, fmt.Sprintf(`"known":%s,"settings":{`, marshalEndpointList(t, endpointOf("old", old, 0, "up"))))
	d := startDiscovery(t)
	d.setEndpoints(endpointOf("old", old, 0, "draining"), endpointOf("now", now, 0, "up"))
	instance := startPlatform(t, d.addr, platformOptions{configChange: known})
	if status, body := instance.roundTrip(instance.newRead(0, "1200m").text); status != 200 || body != "now" || len(old.received()) != 0 {
		t.Errorf("%d %q, %d requests by the old list", status, body, len(old.received()))
	}

	instance = startPlatform(t, startUnresponsiveDiscovery(t), platformOptions{configChange: known})
	began := time.Now()
	if instance.ready() {
		t.Error("ready before discovery had time to answer")
	}
	status, body := instance.roundTrip(instance.newRead(0, "4000m").text)
	if took := time.Since(began); status != 200 || body != "old" || took < 900*time.Millisecond || took > 3*time.Second || !instance.ready() {
		t.Errorf("%d %q after %v, ready %v", status, body, took, instance.ready())
	}
}

// A stop before the head was ever ready, with discovery silent, and one with a reload
// before and behind it while a request is under way: the request has its answer, and the
// head ends.
func TestCrossingStopAndReload(t *testing.T) {
	instance := startPlatform(t, startUnresponsiveDiscovery(t), platformOptions{})
	began := time.Now()
	instance.daemon.Reload()
	if err := instance.stop(); err != nil || time.Since(began) > 2*time.Second {
		t.Errorf("before it was ready: %v after %v", err, time.Since(began))
	}

	sh := startScriptedNode(t, func(int, *http.Request) nodeResponse { time.Sleep(300 * time.Millisecond); return okResponse("fine") })
	d := startDiscovery(t, sh)
	instance = startPlatformReady(t, d, platformOptions{})
	c := instance.connect()
	fmt.Fprint(c, instance.newRead(0, "1200m").text)
	within(t, time.Second, func() bool { return instance.loggedState("received") == "1" })
	d.StartOutage() // discovery is down from here on
	instance.writeConfig(startUnresponsiveDiscovery(t))
	instance.daemon.Reload()
	instance.daemon.Stop()
	instance.daemon.Reload()
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || r.StatusCode != 200 || !r.Close {
		t.Errorf("%+v, %v", r, err)
	}
	c.Close()
	if err := instance.stop(); err != nil {
		t.Error(err)
	}
}

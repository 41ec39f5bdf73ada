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

// instanceState is a field of the latest line that logs the state of the instance, or nothing.
func (s *service) instanceState(field string) string {
	log := s.log.String()
	i := strings.LastIndex(log, `msg="instance state"`)
	if i < 0 {
		return ""
	}
	line, _, _ := strings.Cut(log[i:], "\n")
	_, rest, _ := strings.Cut(line, " "+field+"=")
	value, _, _ := strings.Cut(rest, " ")
	return value
}

func (s *service) dial(t *testing.T) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp", s.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c.(*net.TCPConn)
}

// A client sends requests ahead and goes while the first of them waits for a node, by a
// FIN behind bytes that are not read, or by a reset. When there is a node, none is sent.
func TestCrossingGoneBehindRequestsSentAhead(t *testing.T) {
	for _, how := range []string{"end", "reset", "end with the last byte", "much ahead"} {
		t.Run(how, func(t *testing.T) {
			one, two := newStubNode(t, func(int, *http.Request) reply { return ok("one") }), newStubNode(t, func(int, *http.Request) reply { return ok("two") })
			d := newStubDiscovery(t, one)
			s := serveOn(t, d)
			c := s.dial(t)
			text := ""
			n := 2
			switch how {
			case "end with the last byte":
				n = 1
			case "much ahead":
				n = 1000
			}
			for range n {
				text += second(s.request("GET", "read", 1, "1200m", ""))
			}
			go c.Write([]byte(text))
			within(t, time.Second, func() bool { return s.instanceState("received") == "1" })
			if how == "reset" {
				c.SetLinger(0)
			}
			c.Close()
			within(t, time.Second, func() bool { return s.instanceState("disconnected") == "1" })
			d.set(endpointOf("s0", one, 0, "up"), endpointOf("s1", two, 1, "up"))
			within(t, time.Second, func() bool {
				status, _ := s.raw(second(s.request("GET", "read", 1, "1200m", "")))
				return status == 200
			})
			if ids := two.ids(); len(ids) != 1 {
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
			other := newStubNode(t, func(int, *http.Request) reply { return ok("other") })
			d := newStubDiscovery(t)
			entry := func(status string) discovery.Endpoint {
				return discovery.Endpoint{Name: "late", Address: addr, Zone: "z0", Status: status}
			}
			d.set(entry("up"))
			s := serveWith(t, d, strings.NewReplacer(`"connectTimeout":250000`, `"connectTimeout":3000000`))
			c := s.dial(t)
			fmt.Fprint(c, second(s.request("GET", "read", 0, "5000m", "")))
			within(t, time.Second, func() bool { return s.instanceState("node_connections") == "1" })
			if how == "client leaves" {
				c.Close()
				within(t, time.Second, func() bool { return s.instanceState("disconnected") == "1" })
			} else {
				version := s.instanceState("version")
				d.set(entry("draining"), endpointOf("other", other, 0, "up"))
				within(t, time.Second, func() bool { return s.instanceState("version") != version })
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
			io.WriteString(c, ok("fine").text)
			time.Sleep(pause)
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}
	}()
	d := newStubDiscovery(t)
	d.set(discovery.Endpoint{Name: "n", Address: ln.Addr().String(), Zone: "z0", Status: "up"})
	s := serveOn(t, d)
	for i := range 40 {
		if status, body := s.raw(second(s.request("PUT", "write", 0, "1200m", ""))); status != 200 || body != "fine" {
			t.Fatalf("request %d: %d %q", i, status, body)
		}
	}
}

// What comes as the head ends: a connection just made has time for its request, a request
// that is half read is read on, and one on a resting connection that crosses the shutdown
// is not sent on, while its client sees an end and no reset.
func TestCrossingStop(t *testing.T) {
	sh := newStubNode(t, func(int, *http.Request) reply { return ok("fine") })
	s := serveOn(t, newStubDiscovery(t, sh))
	answer := func(c net.Conn) string {
		c.SetReadDeadline(time.Now().Add(3 * time.Second))
		b, err := io.ReadAll(c)
		if err != nil {
			return "error: " + err.Error()
		}
		return string(b)
	}
	resting, half := s.dial(t), s.dial(t)
	fmt.Fprint(resting, second(s.request("GET", "read", 0, "1200m", "")))
	in := bufio.NewReader(resting)
	if r, err := http.ReadResponse(in, nil); err != nil || r.StatusCode != 200 {
		t.Fatal(err)
	} else {
		io.Copy(io.Discard, r.Body)
	}
	s.d.Stop()
	within(t, time.Second, func() bool { return strings.Contains(s.log.String(), "msg=draining") })
	fresh := s.dial(t)
	_, text := s.request("GET", "read", 0, "1200m", "")
	io.WriteString(half, text[:60])
	within(t, time.Second, func() bool { return strings.Contains(s.log.String(), `msg="shutting down"`) })
	before := len(sh.ids())
	io.WriteString(resting, second(s.request("GET", "read", 0, "1200m", "")))
	if b, err := io.ReadAll(in); err != nil || len(b) > 0 {
		t.Errorf("the resting client sees %q, %v; want the end", b, err)
	}
	resting.Close()
	time.Sleep(50 * time.Millisecond)
	if n := len(sh.ids()); n != before {
		t.Error("a request was sent on that came after the shutdown of its connection")
	}
	fmt.Fprint(fresh, second(s.request("GET", "read", 0, "1200m", "")))
	io.WriteString(half, text[60:])
	for name, c := range map[string]net.Conn{"just made": fresh, "half read": half} {
		if got := answer(c); !strings.HasPrefix(got, "HTTP/1.1 200 ") || !strings.HasSuffix(got, "fine") {
			t.Errorf("%s: %q", name, got)
		}
		c.Close()
	}
	if err := s.stop(); err != nil {
		t.Error(err)
	}
}

// Nodes hang as the head ends, and clients' times reach beyond its own: each has an answer
// before the head is gone.
func TestCrossingStopWithHungNodes(t *testing.T) {
	sh := newStubNode(t, func(int, *http.Request) reply { return reply{hang: true} })
	s := serveOn(t, newStubDiscovery(t, sh))
	var conns []net.Conn
	for i := range 6 {
		c := s.dial(t)
		fmt.Fprint(c, second(s.request("GET", "read", i%2, "30000m", "")))
		conns = append(conns, c)
	}
	within(t, time.Second, func() bool { return s.instanceState("received") == "6" })
	s.d.Stop()
	s.d.Stop()
	s.stop()
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
	old, now := newStubNode(t, func(int, *http.Request) reply { return ok("old") }), newStubNode(t, func(int, *http.Request) reply { return ok("now") })
	known := strings.NewReplacer(`"settings":{`, fmt.Sprintf(`"known":%s,"settings":{`, listText(t, endpointOf("old", old, 0, "up"))))
	d := newStubDiscovery(t)
	d.set(endpointOf("old", old, 0, "draining"), endpointOf("now", now, 0, "up"))
	s := startWith(t, d.addr, known)
	if status, body := s.raw(second(s.request("GET", "read", 0, "1200m", ""))); status != 200 || body != "now" || len(old.ids()) != 0 {
		t.Errorf("%d %q, %d requests by the old list", status, body, len(old.ids()))
	}

	s = startWith(t, silentDiscovery(t), known)
	began := time.Now()
	if s.ready() {
		t.Error("ready before discovery had time to answer")
	}
	status, body := s.raw(second(s.request("GET", "read", 0, "4000m", "")))
	if took := time.Since(began); status != 200 || body != "old" || took < 900*time.Millisecond || took > 3*time.Second || !s.ready() {
		t.Errorf("%d %q after %v, ready %v", status, body, took, s.ready())
	}
}

// A stop before the head was ever ready, with discovery silent, and one with a reload
// before and behind it while a request is under way: the request has its answer, and the
// head ends.
func TestCrossingStopAndReload(t *testing.T) {
	s := startWith(t, silentDiscovery(t), strings.NewReplacer())
	began := time.Now()
	s.d.Reload()
	if err := s.stop(); err != nil || time.Since(began) > 2*time.Second {
		t.Errorf("before it was ready: %v after %v", err, time.Since(began))
	}

	sh := newStubNode(t, func(int, *http.Request) reply { time.Sleep(300 * time.Millisecond); return ok("fine") })
	d := newStubDiscovery(t, sh)
	s = serveOn(t, d)
	c := s.dial(t)
	fmt.Fprint(c, second(s.request("GET", "read", 0, "1200m", "")))
	within(t, time.Second, func() bool { return s.instanceState("received") == "1" })
	d.StartOutage() // discovery is down from here on
	s.tell(silentDiscovery(t))
	s.d.Reload()
	s.d.Stop()
	s.d.Reload()
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || r.StatusCode != 200 || !r.Close {
		t.Errorf("%+v, %v", r, err)
	}
	c.Close()
	if err := s.stop(); err != nil {
		t.Error(err)
	}
}

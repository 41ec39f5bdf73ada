package eventloop

import (
	"fmt"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"maddergap/internal/admission"
	"maddergap/internal/config"
	"maddergap/internal/gateway"
	"maddergap/internal/nodelist"
	"maddergap/internal/syscalls"
)

const testConfig = `listen 127.0.0.1:0
nodes nodes
class c effect safe aim 1s deadline 5s
plan p rate 1
volume v plan p shards 0
route * class c
clients 64
admit reserve 16 answers 4 answers-burst 4
known 127.9.0.0/16
`

// newLoop returns a loop, its gateway, and the addresses of listenerCount listeners. The gateway
// has 64 client slots, 16 of them reserved for the known clients of 127.9.0.0/16.
func newLoop(t *testing.T, listenerCount int) (*Loop, *gateway.Gateway, []string) {
	t.Helper()
	return newLoopWithCalls(t, syscalls.Linux{}, listenerCount)
}

// newLoopWithCalls is like newLoop but makes its system calls through calls.
func newLoopWithCalls(t *testing.T, calls syscalls.Calls, listenerCount int) (*Loop, *gateway.Gateway, []string) {
	t.Helper()
	c, err := config.Parse("m.conf", []byte(testConfig))
	if err != nil {
		t.Fatal(err)
	}
	l, err := NewWithCalls(calls, c.Limits.Clients+64, 4)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	g, err := gateway.New(c, 1, l.Now(), l.Origin(), nil)
	if err != nil {
		t.Fatal(err)
	}
	g.SetNodes(l.Now(), []nodelist.Node{{Name: "n", Addr: "127.0.0.1:1"}})
	l.Gateway = g
	var addrs []string
	for range listenerCount {
		addr, err := l.Listen("127.0.0.1:0", c.Admission.KnownClientFilter(admission.NetworkHeader))
		if err != nil {
			t.Fatal(err)
		}
		addrs = append(addrs, addr)
	}
	return l, g, addrs
}

// dial connects to an address from the given loopback address.
func dial(t *testing.T, from, to string) net.Conn {
	t.Helper()
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}, Timeout: 5 * time.Second}
	c, err := d.Dial("tcp", to)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// runIterations runs the loop for n iterations. It wakes the loop each time, so that no
// iteration waits for an event.
func (l *Loop) runIterations(n int) {
	l.Run(func() bool {
		l.Wake()
		n--
		return n < 0
	})
}

// Verifies that a known client does not wait behind a burst of unknown clients. While the loop
// is not running, the unknown clients fill their listen queue, and a known client connects last.
// It enters the queue of the known clients, so the first iteration accepts it.
func TestKnownClientsAreAcceptedFirst(t *testing.T) {
	l, g, addrs := newLoop(t, 1)
	if len(l.listeners) != 2 {
		t.Skip("this kernel does not support a filter that selects the listen queue")
	}
	for i := range 600 {
		dial(t, fmt.Sprintf("127.20.0.%d", i%200+1), addrs[0])
	}
	dial(t, "127.9.0.1", addrs[0])
	l.runIterations(1)
	if n := g.Counts().Admitted.Known; n != 1 {
		t.Errorf("%d known clients were admitted in the first iteration, want 1", n)
	}
}

// Verifies that an iteration accepts a bounded number of connections when a burst of 600 clients
// connects, and that later iterations accept the rest. At most maxRejected of the rejected
// connections (see New) are kept open for the client to read its response; the others are closed at once.
func TestAcceptsPerIterationAreBounded(t *testing.T) {
	l, g, addrs := newLoop(t, 1)
	for i := range 600 {
		dial(t, fmt.Sprintf("127.20.0.%d", i%200+1), addrs[0])
	}
	decided := func() (n uint64) {
		counts := g.Counts()
		for _, count := range counts.ConnectionsRejected {
			n += count
		}
		return n + uint64(counts.Clients)
	}
	for iteration := range 3 {
		before := decided()
		l.runIterations(1)
		if n := decided() - before; n > maxAccepts {
			t.Errorf("iteration %d accepted %d connections, want at most %d", iteration, n, maxAccepts)
		}
	}
	for until := time.Now().Add(10 * time.Second); decided() < 600 && time.Now().Before(until); {
		l.runIterations(1)
	}
	if n := decided(); n != 600 {
		t.Errorf("%d connections were admitted or rejected, want 600", n)
	}
	if n := len(l.rejected.waiting); n != 4 {
		t.Errorf("%d rejected connections are kept open, want 4", n)
	}
}

// Verifies that a connection of one listener does not wait behind a burst of 400 connections of
// another: each round accepts one connection from each queue.
func TestListenersAreServedRoundRobin(t *testing.T) {
	l, g, addrs := newLoop(t, 2)
	for i := range 400 {
		dial(t, fmt.Sprintf("127.20.0.%d", i%200+1), addrs[0])
	}
	dial(t, "127.30.0.1", addrs[1])
	l.runIterations(len(l.listeners)) // each queue comes first in one iteration, even if time allows one accept only
	waiting := 0
	for _, ln := range l.listeners {
		if !ln.knownClients && ln.addressKey == l.listeners[len(l.listeners)-2].addressKey {
			_, _, err := unix.Accept4(ln.fd, unix.SOCK_NONBLOCK)
			if err == nil {
				waiting++
			}
		}
	}
	if waiting != 0 || g.Counts().Clients == 0 {
		t.Error("the connection of the second listener still waits, or no client was admitted")
	}
}

// Verifies that a client rejected for lack of a free slot, which has already sent its request,
// reads the complete response and then the end of the connection instead of a reset.
func TestRejectedClientReadsItsResponse(t *testing.T) {
	l, g, addrs := newLoop(t, 1)
	for i := range 64 {
		dial(t, fmt.Sprintf("127.20.0.%d", i+1), addrs[0])
	}
	until := time.Now().Add(20 * time.Second)
	for g.Counts().Clients < 64 && time.Now().Before(until) {
		l.runIterations(1)
	}
	c := dial(t, "127.21.0.1", addrs[0])
	io.WriteString(c, "GET /v/x HTTP/1.1\r\nHost: h\r\n\r\n")
	for len(l.rejected.waiting) == 0 && time.Now().Before(until) {
		l.runIterations(1)
	}
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	response, err := io.ReadAll(c)
	if err != nil || len(response) < 100 || string(response[:12]) != "HTTP/1.1 503" {
		t.Errorf("read error %v, response %q; want a complete 503 response and no error", err, response)
	}
}

func TestAddrPort(t *testing.T) {
	if a := addrPort(&unix.SockaddrInet4{Port: 80, Addr: [4]byte{127, 0, 0, 1}}); a != netip.MustParseAddrPort("127.0.0.1:80") {
		t.Error(a)
	}
}

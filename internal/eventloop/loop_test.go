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

// newLoop returns a loop around a gateway with 64 clients, 16 of them reserved for the known
// clients of 127.9.0.0/16, and so many listeners with their addresses.
func newLoop(t *testing.T, listeners int) (*Loop, *gateway.Gateway, []string) {
	t.Helper()
	c, err := config.Parse("m.conf", []byte(testConfig))
	if err != nil {
		t.Fatal(err)
	}
	l, err := New(c.Limits.Clients+64, 4)
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
	for range listeners {
		a, err := l.Listen("127.0.0.1:0", c.Admission.KnownClientFilter(admission.NetworkHeader))
		if err != nil {
			t.Fatal(err)
		}
		addrs = append(addrs, a)
	}
	return l, g, addrs
}

// dial connects from a loopback address.
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

// runIterations runs the loop for n iterations, those without an event too.
func (l *Loop) runIterations(n int) {
	l.Run(func() bool {
		l.Wake()
		n--
		return n < 0
	})
}

// While the loop stands still, a burst of unknown clients fills their queue, and a known
// client connects last. It has a queue of its own, so the first iteration accepts it.
func TestKnownClientsAreAcceptedFirst(t *testing.T) {
	l, g, addrs := newLoop(t, 1)
	if len(l.listeners) != 2 {
		t.Skip("this kernel takes no filter over a listen queue")
	}
	for i := range 600 {
		dial(t, fmt.Sprintf("127.20.0.%d", i%200+1), addrs[0])
	}
	dial(t, "127.9.0.1", addrs[0])
	l.runIterations(1)
	if n := g.Counts().Admitted.Known; n != 1 {
		t.Errorf("%d known clients after the first iteration", n)
	}
}

// A burst of 600 clients connects at once. Each iteration accepts a bounded number of
// them, and later ones the rest. No more rejected connections are held until they have
// read their response than the bound allows; the others are closed at once.
func TestAcceptsOfAnIterationAreBounded(t *testing.T) {
	l, g, addrs := newLoop(t, 1)
	for i := range 600 {
		dial(t, fmt.Sprintf("127.20.0.%d", i%200+1), addrs[0])
	}
	decided := func() (n uint64) {
		c := g.Counts()
		for _, x := range c.ConnectionsRejected {
			n += x
		}
		return n + uint64(c.Clients)
	}
	for iteration := range 3 {
		before := decided()
		l.runIterations(1)
		if n := decided() - before; n > maxAccepts {
			t.Errorf("iteration %d accepted %d connections, want %d at most", iteration, n, maxAccepts)
		}
	}
	for until := time.Now().Add(10 * time.Second); decided() < 600 && time.Now().Before(until); {
		l.runIterations(1)
	}
	if n := decided(); n != 600 {
		t.Errorf("%d of 600 were admitted or rejected", n)
	}
	if n := len(l.rejected.waiting); n != 4 {
		t.Errorf("%d rejected connections are held, want 4", n)
	}
}

// One of two listeners is flooded. The other's connection does not wait behind the
// flood, as each round accepts one connection of each queue.
func TestListenersAreServedInRounds(t *testing.T) {
	l, g, addrs := newLoop(t, 2)
	for i := range 400 {
		dial(t, fmt.Sprintf("127.20.0.%d", i%200+1), addrs[0])
	}
	dial(t, "127.30.0.1", addrs[1])
	l.runIterations(len(l.listeners)) // each queue is the first in one of them, however little time the machine leaves
	waiting := 0
	for _, n := range l.listeners {
		if !n.knownClients && n.addressKey == l.listeners[len(l.listeners)-2].addressKey {
			_, _, err := unix.Accept4(n.fd, unix.SOCK_NONBLOCK)
			if err == nil {
				waiting++
			}
		}
	}
	if waiting != 0 || g.Counts().Clients == 0 {
		t.Error("the connection of the other listener still waits, behind 400 of the first")
	}
}

// A gateway without a free slot rejects a client that has sent its request already. The
// client reads the complete response, then the end of the connection, and no reset.
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
	b, err := io.ReadAll(c)
	if err != nil || len(b) < 100 || string(b[:12]) != "HTTP/1.1 503" {
		t.Errorf("%v %q", err, b)
	}
}

func TestAddrPort(t *testing.T) {
	if a := addrPort(&unix.SockaddrInet4{Port: 80, Addr: [4]byte{127, 0, 0, 1}}); a != netip.MustParseAddrPort("127.0.0.1:80") {
		t.Error(a)
	}
}

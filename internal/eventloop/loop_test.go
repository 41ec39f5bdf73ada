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

const loopConf = `listen 127.0.0.1:0
nodes nodes
class c effect safe aim 1s deadline 5s
plan p rate 1
volume v plan p shards 0
route * class c
clients 64
admit reserve 16 answers 4 answers-burst 4
known 127.9.0.0/16
`

func newLoop(t *testing.T, listeners int, more string) (*Loop, *gateway.Gateway, []string) {
	t.Helper()
	c, err := config.Parse("m.conf", []byte(loopConf+more))
	if err != nil {
		t.Fatal(err)
	}
	l, err := New(c.Clients+64, 4)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	h, err := gateway.New(c, 1, l.Now(), l.Origin(), nil)
	if err != nil {
		t.Fatal(err)
	}
	h.SetNodes(l.Now(), []nodelist.Node{{Name: "n", Addr: "127.0.0.1:1"}})
	l.Gateway = h
	var addrs []string
	for range listeners {
		a, err := l.Listen("127.0.0.1:0", c.Admission.KnownClientFilter(admission.NetworkHeader))
		if err != nil {
			t.Fatal(err)
		}
		addrs = append(addrs, a)
	}
	return l, h, addrs
}

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

// turns runs the loop for so many turns, those without an event too.
func (l *Loop) turns(n int) {
	l.Run(func() bool {
		l.Wake()
		n--
		return n < 0
	})
}

// While the loop stands still a burst fills the queue of the others; the known
// client that comes last is taken in the very first turn.
func TestKnownComeFirst(t *testing.T) {
	l, h, addrs := newLoop(t, 1, "")
	if len(l.listeners) != 2 {
		t.Skip("this kernel sorts no connections")
	}
	for i := range 600 {
		dial(t, fmt.Sprintf("127.20.0.%d", i%200+1), addrs[0])
	}
	dial(t, "127.9.0.1", addrs[0])
	l.turns(1)
	if n := h.Counts().Admitted.Known; n != 1 {
		t.Errorf("%d known clients after the first turn", n)
	}
}

// A turn takes a bounded number of newcomers, and a later turn the rest; those told
// of their refusal beyond the bound of those held are closed at once.
func TestNewcomersOfATurn(t *testing.T) {
	l, h, addrs := newLoop(t, 1, "")
	for i := range 600 {
		dial(t, fmt.Sprintf("127.20.0.%d", i%200+1), addrs[0])
	}
	turned := func() (n uint64) {
		c := h.Counts()
		for _, x := range c.ConnectionsRejected {
			n += x
		}
		return n + uint64(c.Clients)
	}
	for turn := range 3 {
		before := turned()
		l.turns(1)
		if n := turned() - before; n > acceptTurn {
			t.Errorf("turn %d took %d newcomers, at most %d are due", turn, n, acceptTurn)
		}
	}
	for until := time.Now().Add(10 * time.Second); turned() < 600 && time.Now().Before(until); {
		l.turns(1)
	}
	if n := turned(); n != 600 {
		t.Errorf("%d of 600 were taken or turned away", n)
	}
	if n := len(l.lingering.queue); n != 4 {
		t.Errorf("%d are held to read their refusal, want 4", n)
	}
}

// Several listeners take turns: one that is flooded does not keep the other's out.
func TestListenersTakeTurns(t *testing.T) {
	l, h, addrs := newLoop(t, 2, "")
	for i := range 400 {
		dial(t, fmt.Sprintf("127.20.0.%d", i%200+1), addrs[0])
	}
	dial(t, "127.30.0.1", addrs[1])
	l.turns(len(l.listeners)) // each is the first of one, however short the machine makes them
	byListener := 0
	for _, n := range l.listeners {
		if !n.sorted && n.key == l.listeners[len(l.listeners)-2].key {
			_, _, err := unix.Accept4(n.fd, unix.SOCK_NONBLOCK)
			if err == nil {
				byListener++
			}
		}
	}
	if byListener != 0 || h.Counts().Clients == 0 {
		t.Error("the connection of the other listener still waits, behind 400 of the first")
	}
}

// Who is turned away reads the whole refusal though it had sent its request, and
// then the end.
func TestRefusalIsHeard(t *testing.T) {
	l, h, addrs := newLoop(t, 1, "")
	for i := range 64 {
		dial(t, fmt.Sprintf("127.20.0.%d", i+1), addrs[0])
	}
	until := time.Now().Add(20 * time.Second)
	for h.Counts().Clients < 64 && time.Now().Before(until) {
		l.turns(1)
	}
	c := dial(t, "127.21.0.1", addrs[0])
	io.WriteString(c, "GET /v/x HTTP/1.1\r\nHost: h\r\n\r\n")
	for len(l.lingering.queue) == 0 && time.Now().Before(until) {
		l.turns(1)
	}
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	b, err := io.ReadAll(c)
	if err != nil || len(b) < 100 || string(b[:12]) != "HTTP/1.1 503" {
		t.Errorf("%v %q", err, b)
	}
}

func TestAddrOf(t *testing.T) {
	if a := addrOf(&unix.SockaddrInet4{Port: 80, Addr: [4]byte{127, 0, 0, 1}}); a != netip.MustParseAddrPort("127.0.0.1:80") {
		t.Error(a)
	}
}

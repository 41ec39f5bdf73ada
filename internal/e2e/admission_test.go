package e2e

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"maddergap/internal/fakenode"
)

// connectionFlood is a case of TestConnectionFlood.
type connectionFlood struct {
	name string
	addr func(n int) string // of the n-th connection
	// indistinguishable is set if the flood is of known addresses that each stay below
	// their limit. Nothing tells such clients from good ones, so that only the bounds are
	// checked: it is for the list of known prefixes to exclude them.
	indistinguishable bool
	// unknownServed is set if clients that are not known still connect, also one from the
	// address of the flood.
	unknownServed bool
	wantLogged   bool
}

// Ten thousand connections are opened and held. Known clients connect and are served all
// the same, a client from before the flood keeps its connection, and the rest is rejected
// with a bounded number of log lines.
func TestConnectionFlood(t *testing.T) {
	for _, flood := range []connectionFlood{
		{name: "from one address", unknownServed: true,
			addr: func(int) string { return "127.0.5.1" }},
		{name: "from 2,000 addresses", wantLogged: true,
			addr: func(n int) string { return fmt.Sprintf("127.20.%d.%d", n%2000/200, n%200+1) }},
		{name: "from one known address",
			addr: func(int) string { return "127.9.200.1" }},
		{name: "from 2,000 known addresses", indistinguishable: true,
			addr: func(n int) string { return fmt.Sprintf("127.9.%d.%d", 100+n%2000/200, n%200+1) }},
	} {
		t.Run(flood.name, func(t *testing.T) { testConnectionFlood(t, flood) })
	}
}

func testConnectionFlood(t *testing.T, flood connectionFlood) {
	_, addrs := startNodes(t, 1, fakenode.Options{})
	instance := startWebDAV(t, floodConfig, addrs[0], addrs[0])
	before, beforeReader := instance.connectFrom("127.0.7.7")
	io.WriteString(before, putRequest("/feed-a/x", "segment"))
	instance.receive(beforeReader, "PUT")
	if status := instance.get(before, beforeReader); status != 200 {
		t.Fatalf("before the flood: %d", status)
	}
	instance.flood(floodConnections, flood.addr)
	served := instance.countKnownServed()
	if !flood.indistinguishable {
		if served != 10 {
			t.Errorf("%d of 10 known clients were served", served)
		}
		if status := instance.get(before, beforeReader); status != 200 {
			t.Errorf("a client from before the flood: %d", status)
		}
	}
	if flood.unknownServed {
		// The limit per address leaves places for clients that are not known. At the
		// address of the flood, one of its idle connections is preempted.
		for _, other := range []string{"127.0.7.8", flood.addr(0)} {
			if line := instance.getStatusLine(other); !strings.Contains(line, " 200 ") {
				t.Errorf("a client from %s, which is not known: %q", other, line)
			}
		}
	}
	if flood.wantLogged && !strings.Contains(instance.log.String(), "connection rejected") {
		t.Error("the flood is not logged")
	}
	if n := strings.Count(instance.log.String(), "connection rejected"); n > 60 {
		t.Errorf("%d log lines", n)
	}
}

// countKnownServed has ten known clients connect, and returns how many were served.
func (i *webdavInstance) countKnownServed() int {
	i.t.Helper()
	served := 0
	for n := range 10 {
		c, r := i.connectFrom(fmt.Sprintf("127.9.0.%d", n+1))
		io.WriteString(c, getRequest("/feed-a/x"))
		c.SetReadDeadline(time.Now().Add(5 * time.Second))
		if line, _ := r.ReadString('\n'); strings.Contains(line, " 200 ") {
			served++
		}
	}
	return served
}

// getStatusLine connects from an address, reads /feed-a/x, and returns the status line of
// the response, "" if there is none.
func (i *webdavInstance) getStatusLine(addr string) string {
	i.t.Helper()
	c, r := i.connectFrom(addr)
	io.WriteString(c, getRequest("/feed-a/x"))
	line, _ := r.ReadString('\n')
	return line
}

// A client connects when there are no places left, with its request on the way. It gets 503
// with Retry-After and then a clean end: a reset would take the response from it.
func TestRejectedConnectionGets503(t *testing.T) {
	_, addrs := startNodes(t, 1, fakenode.Options{})
	instance := startWebDAV(t, "clients 4\n", addrs[0], addrs[0])
	var held []net.Conn
	for range 4 {
		c, r := instance.send("")
		instance.get(c, r)
		held = append(held, c)
	}
	c, r := instance.send(getRequest("/feed-a/x"))
	status, body, header := instance.receive(r, "GET")
	if status != 503 || header.Get("Retry-After") == "" || !strings.Contains(body, "no harm") {
		t.Errorf("%d %v %q", status, header, body)
	}
	if _, err := r.ReadByte(); err != io.EOF {
		t.Errorf("after the rejection: %v, want EOF", err)
	}
	c.Close()
	held[0].Close()
	eventually(t, "a place is free again", func() bool {
		c, r := instance.send("")
		return instance.get(c, r) == 404
	})
}

// An instance starts, with no history of its clients, while others connect without a pause
// and hold their connections. Known clients are served at once.
func TestFloodRightAfterStart(t *testing.T) {
	_, addrs := startNodes(t, 1, fakenode.Options{})
	quit := make(chan struct{})
	var flood sync.WaitGroup
	instance := startWebDAV(t, floodConfig, addrs[0], addrs[0])
	flood.Go(func() { instance.holdConnectionsUntil(quit) })
	time.Sleep(100 * time.Millisecond)
	for i := range 10 {
		c, r := instance.connectFrom(fmt.Sprintf("127.9.0.%d", i+1))
		if status := instance.get(c, r); status != 404 {
			t.Errorf("known client %d in the flood: %d", i, status)
		}
	}
	close(quit)
	flood.Wait()
}

// A client that has all the connections of its address connects again at once after every
// rejection. It gets 503 for the burst of responses and is closed without one after that,
// known clients are served meanwhile, and it is admitted once it has closed a connection.
func TestImmediateReconnects(t *testing.T) {
	const client = "127.0.8.8"
	_, addrs := startNodes(t, 1, fakenode.Options{})
	instance := startWebDAV(t, "clients 20\nadmit address 4 reserve 4 answers 20 answers-burst 20\nknown 127.9.0.0/16\n", addrs[0], addrs[0])
	var admitted []net.Conn
	for range 4 { // served, so that none is preempted for the next
		c, r := instance.connectFrom(client)
		io.WriteString(c, putRequest("/feed-a/x", "x"))
		instance.receive(r, "PUT")
		admitted = append(admitted, c)
	}
	rejected, closed := instance.reconnectWithoutPause(client)
	if rejected < 20 || closed == 0 {
		t.Errorf("%d got 503, %d were closed: want 503 for the burst and not for the rest", rejected, closed)
	}
	admitted[0].Close()
	eventually(t, "its place is free again", func() bool {
		c, r := instance.connectFrom(client)
		defer c.Close()
		io.WriteString(c, getRequest("/feed-a/x"))
		line, _ := r.ReadString('\n')
		return strings.Contains(line, " 200 ")
	})
}

// reconnectWithoutPause connects 3,000 times from an address that is at its limit, and returns how
// often it got 503 and how often it was closed without a response. Meanwhile known clients
// have to be served.
func (i *webdavInstance) reconnectWithoutPause(addr string) (rejected, closed int) {
	i.t.Helper()
	for n := range 3000 {
		c, r := i.connectFrom(addr)
		io.WriteString(c, getRequest("/feed-a/x"))
		line, err := r.ReadString('\n')
		switch {
		case strings.Contains(line, " 503 "):
			rejected++
		case err != nil:
			closed++
		default:
			i.t.Fatalf("past the limit of its address: %q", line)
		}
		c.Close()
		if n%300 == 0 {
			known, knownReader := i.connectFrom(fmt.Sprintf("127.9.0.%d", n/300+1))
			if status := i.get(known, knownReader); status != 200 {
				i.t.Errorf("a known client meanwhile: %d", status)
			}
			known.Close()
		}
	}
	return rejected, closed
}

// A known client closes its sending side behind its request, during a flood. It gets the
// response and then a clean end.
func TestHalfCloseDuringFlood(t *testing.T) {
	_, addrs := startNodes(t, 1, fakenode.Options{UnitTime: 50 * time.Millisecond, Cores: 16, QueueLimit: 64})
	instance := startWebDAV(t, floodConfig, addrs[0], addrs[0])
	instance.flood(200, func(n int) string { return fmt.Sprintf("127.20.0.%d", n%200+1) })
	for i := range 10 {
		c, r := instance.connectFrom(fmt.Sprintf("127.9.0.%d", i+1))
		io.WriteString(c, putRequest(fmt.Sprint("/feed-a/half", i), "x"))
		c.(*net.TCPConn).CloseWrite()
		if status, _, _ := instance.receive(r, "PUT"); status != 201 {
			t.Errorf("%d", status)
		}
		if _, err := r.ReadByte(); err != io.EOF {
			t.Errorf("after the response: %v", err)
		}
	}
}

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
	addr func(n int) string // returns the source address of the n-th connection
	// indistinguishable is set if the flood comes from known addresses that each stay below the
	// limit per address. The gateway cannot tell these clients from legitimate ones, so only the
	// number of log lines is checked. Only a narrower list of known prefixes can exclude them.
	indistinguishable bool
	// unknownServed is set if unknown clients must still be served, including a client at the
	// source address of the flood.
	unknownServed bool
	wantLogged    bool
}

// Verifies that a flood of 10,000 connections, of which up to 3,000 are held open, does not lock out
// known clients. They connect and are served, a client from before the flood keeps its connection,
// and the rejections are logged in a bounded number of lines.
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
		t.Fatalf("before the flood: status %d, want 200", status)
	}
	instance.flood(floodConnections, flood.addr)
	served := instance.countKnownServed()
	if !flood.indistinguishable {
		if served != 10 {
			t.Errorf("%d of 10 known clients were served, want all", served)
		}
		if status := instance.get(before, beforeReader); status != 200 {
			t.Errorf("client connected before the flood: status %d, want 200", status)
		}
	}
	if flood.unknownServed {
		// The limit per address leaves room for other unknown clients. For a new connection from
		// the address of the flood, one of its idle connections is preempted.
		for _, other := range []string{"127.0.7.8", flood.addr(0)} {
			if line := instance.getStatusLine(other); !strings.Contains(line, " 200 ") {
				t.Errorf("unknown client from %s: status line %q, want 200", other, line)
			}
		}
	}
	if flood.wantLogged && !strings.Contains(instance.log.String(), "connection rejected") {
		t.Error("no rejected connection was logged")
	}
	if n := strings.Count(instance.log.String(), "connection rejected"); n > 60 {
		t.Errorf("%d log lines about rejected connections, want at most 60", n)
	}
}

// countKnownServed connects from ten known addresses and returns how many clients were served.
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

// getStatusLine sends a GET of /feed-a/x on a new connection from an address. It returns the status
// line of the response, or "" if there is no response.
func (i *webdavInstance) getStatusLine(addr string) string {
	i.t.Helper()
	c, r := i.connectFrom(addr)
	io.WriteString(c, getRequest("/feed-a/x"))
	line, _ := r.ReadString('\n')
	return line
}

// Verifies that a client that connects and sends a request while all connections are taken gets 503
// with Retry-After, followed by EOF. If the gateway closed the connection with the request unread,
// the kernel would send a reset, which could discard the response before the client has read it.
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
		t.Errorf("status %d, header %v, body %q; want 503 with Retry-After", status, header, body)
	}
	if _, err := r.ReadByte(); err != io.EOF {
		t.Errorf("read after the 503: %v, want EOF", err)
	}
	c.Close()
	held[0].Close()
	eventually(t, "a client is admitted after another has closed its connection", func() bool {
		c, r := instance.send("")
		return instance.get(c, r) == 404
	})
}

// Verifies that clients of a known prefix are served during a flood that begins when the instance
// has just started and has not learned any known clients yet.
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
			t.Errorf("known client %d during the flood: status %d, want 404", i, status)
		}
	}
	close(quit)
	flood.Wait()
}

// Verifies the handling of a client that is at the limit of its address and reconnects immediately
// after each rejection. It gets 503 until the rate limit of these responses is reached; after that its
// connections are closed without a response. Known clients are served meanwhile, and the client is
// admitted again once it has closed one of its connections.
func TestImmediateReconnects(t *testing.T) {
	const client = "127.0.8.8"
	_, addrs := startNodes(t, 1, fakenode.Options{})
	instance := startWebDAV(t, "clients 20\nadmit address 4 reserve 4 answers 20 answers-burst 20\nknown 127.9.0.0/16\n", addrs[0], addrs[0])
	var admitted []net.Conn
	for range 4 { // each is served a request, so that it is not preempted for the next
		c, r := instance.connectFrom(client)
		io.WriteString(c, putRequest("/feed-a/x", "x"))
		instance.receive(r, "PUT")
		admitted = append(admitted, c)
	}
	rejected, closed := instance.reconnectWithoutPause(client)
	if rejected < 20 || closed == 0 {
		t.Errorf("%d connections got 503, %d were closed without a response; want 20 or more and 1 or more", rejected, closed)
	}
	admitted[0].Close()
	eventually(t, "the client is admitted after it has closed a connection", func() bool {
		c, r := instance.connectFrom(client)
		defer c.Close()
		io.WriteString(c, getRequest("/feed-a/x"))
		line, _ := r.ReadString('\n')
		return strings.Contains(line, " 200 ")
	})
}

// reconnectWithoutPause connects 3,000 times from an address that is at its limit. It returns how many
// connections got 503 and how many were closed without a response. At every 300th connection it
// checks that a known client is served.
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
			i.t.Fatalf("connection over the limit of its address: status line %q, want 503 or a close", line)
		}
		c.Close()
		if n%300 == 0 {
			known, knownReader := i.connectFrom(fmt.Sprintf("127.9.0.%d", n/300+1))
			if status := i.get(known, knownReader); status != 200 {
				i.t.Errorf("known client during the reconnects: status %d, want 200", status)
			}
			known.Close()
		}
	}
	return rejected, closed
}

// Verifies that a known client that half-closes its connection after its request, during a flood,
// gets the response followed by EOF.
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
			t.Errorf("read after the response: %v, want EOF", err)
		}
	}
}

package e2e

import (
	"io"
	"net"
	"time"
)

// floodConfig admits 64 connections: at most 8 from one address, and 16 reserved for known clients,
// which are those of the prefix 127.9.0.0/16.
const floodConfig = `clients 64
admit address 8 reserve 16 answers 20 answers-burst 20
known 127.9.0.0/16
`

const (
	// floodConnections is the number of connections that a flood opens.
	floodConnections = 10_000
	// maxHeldConnections is the maximum number of connections that a flood holds open.
	// It limits the descriptors that the test process needs.
	maxHeldConnections = 3000
	// firstHeldConnections is the number of connections at the beginning of a flood that are held
	// until the end, since the gateway may have admitted them.
	firstHeldConnections = 200
)

// flood opens a number of connections, the n-th from the address addr(n). When more than
// maxHeldConnections are open, it closes the oldest, but never the first firstHeldConnections.
func (i *testInstance) flood(connections int, addr func(n int) string) {
	i.t.Helper()
	var held []net.Conn
	i.t.Cleanup(func() {
		for _, c := range held {
			c.Close()
		}
	})
	for n := range connections {
		dialer := dialerFrom(addr(n))
		c, err := dialer.Dial("tcp", i.addr)
		if err != nil {
			i.t.Fatalf("connection %d: %v", n, err)
		}
		if held = append(held, c); len(held) > maxHeldConnections {
			held[firstHeldConnections].Close()
			held = append(held[:firstHeldConnections], held[firstHeldConnections+1:]...)
		}
	}
}

// holdConnectionsUntil opens a connection every millisecond until quit is closed. It holds the first
// 2,000 of them open and closes these when it returns.
func (i *testInstance) holdConnectionsUntil(quit <-chan struct{}) {
	var held []net.Conn
	defer func() {
		for _, c := range held {
			c.Close()
		}
	}()
	for {
		select {
		case <-quit:
			return
		case <-time.After(time.Millisecond):
		}
		if c, err := net.Dial("tcp", i.addr); err == nil && len(held) < 2000 {
			held = append(held, c)
		}
	}
}

// sendUntil repeatedly connects, sends a request, and closes the connection without waiting for the
// response, until quit is closed.
func (i *testInstance) sendUntil(quit <-chan struct{}, request string) {
	for {
		select {
		case <-quit:
			return
		default:
		}
		c, err := net.Dial("tcp", i.addr)
		if err != nil {
			time.Sleep(time.Millisecond)
			continue
		}
		io.WriteString(c, request)
		c.Close()
	}
}

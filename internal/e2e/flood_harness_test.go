package e2e

import (
	"io"
	"net"
	"time"
)

// floodConfig admits 64 clients, and reserves places for those of a known prefix.
const floodConfig = `clients 64
admit address 8 reserve 16 answers 20 answers-burst 20
known 127.9.0.0/16
`

const (
	// floodConnections is how often a flood connects.
	floodConnections = 10_000
	// maxHeldConnections bounds the connections that a flood holds open, because of the
	// test's own descriptors.
	maxHeldConnections = 3000
	// firstHeldConnections of a flood are never closed: they may have been admitted.
	firstHeldConnections = 200
)

// flood connects a number of times, the n-th time from the address of n, and holds the
// connections open.
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

// holdConnectionsUntil opens a connection every millisecond until quit is closed, and holds
// the first 2,000.
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

// sendUntil sends a request on one connection after the other, without waiting for
// responses, until quit is closed.
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

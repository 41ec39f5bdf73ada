// Package scriptednode is a fake storage node for tests and the soak. It reads HTTP/1.1 requests
// from real connections and does with each of them what its handler says: it writes bytes that need
// not be a response, closes or resets the connection, or hangs. A server of package net/http cannot
// be made to fail in these ways.
package scriptednode

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// flushTime is how long the bytes before a reset are given to arrive. A reset discards what the
// peer's kernel has not handed over yet.
const flushTime = 10 * time.Millisecond

// Ending is what becomes of a connection after a response.
type Ending int

// Endings.
const (
	KeepAlive Ending = iota // the next request is read
	Close
	Reset // closed with a TCP reset
	Hang  // left open, without a response, until the peer closes it or the node ends
)

// String returns the name of the ending.
func (e Ending) String() string {
	return [...]string{"keep alive", "close", "reset", "hang"}[e]
}

// Response is what a node does about a request.
type Response struct {
	Text   string // written as it is; empty for nothing
	Ending Ending
}

// OK returns a response of status 200 with a body, after which the connection is kept alive.
func OK(body string) Response {
	return Response{Text: fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)}
}

// Handler returns the response to a request, whose body was read in full and is in r.Body. It is
// called at once from the goroutines of all connections, and may sleep.
type Handler func(r *http.Request) Response

// Node is a running node. It is safe for concurrent use.
type Node struct {
	listener net.Listener
	handler  Handler
	serving  sync.WaitGroup // of the goroutines

	mu     sync.Mutex
	conns  map[net.Conn]bool // the open ones; empty once closed is set
	closed bool
}

// Serve returns a node that serves the connections of a listener, until Close or Kill.
func Serve(listener net.Listener, handler Handler) *Node {
	n := &Node{listener: listener, handler: handler, conns: map[net.Conn]bool{}}
	n.serving.Go(n.accept)
	return n
}

// Addr returns the address of the listener, as host:port.
func (n *Node) Addr() string { return n.listener.Addr().String() }

// Close closes the listener and all connections, and waits until no handler runs.
func (n *Node) Close() {
	n.end(func(c net.Conn) { c.Close() })
	n.serving.Wait()
}

// Kill ends the node as the death of its process would: it closes the listener and resets all
// connections. Handlers that run are not waited for; nothing of what they return is sent.
func (n *Node) Kill() { n.end(reset) }

// end closes the listener, and each open connection by a function.
func (n *Node) end(closeConn func(net.Conn)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closed = true
	n.listener.Close()
	for c := range n.conns {
		closeConn(c)
	}
	clear(n.conns)
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.Close()
}

func (n *Node) accept() {
	for {
		c, err := n.listener.Accept()
		if err != nil {
			return
		}
		if !n.add(c) {
			c.Close()
			return
		}
		n.serving.Go(func() { n.serve(c) })
	}
}

// add reports whether the node takes a connection. Guards against one that was accepted at the same
// time as the node ended: it would stay open for good.
func (n *Node) add(c net.Conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return false
	}
	n.conns[c] = true
	return true
}

func (n *Node) remove(c net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
}

// serve reads requests from a connection until it ends.
func (n *Node) serve(c net.Conn) {
	defer c.Close()
	defer n.remove(c)
	in := bufio.NewReader(c)
	for {
		r, err := readRequest(in)
		if err != nil {
			return
		}
		if !respond(c, n.handler(r)) {
			return
		}
	}
}

// readRequest reads a request with its whole body.
func readRequest(in *bufio.Reader) (*http.Request, error) {
	r, err := http.ReadRequest(in)
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	return r, nil
}

// respond carries a response out and reports whether the connection is still in use.
func respond(c net.Conn, response Response) bool {
	if response.Ending == Hang {
		io.Copy(io.Discard, c) // until either side closes it
		return false
	}
	if _, err := io.WriteString(c, response.Text); err != nil {
		return false
	}
	if response.Ending == Reset {
		if response.Text != "" {
			time.Sleep(flushTime)
		}
		reset(c)
	}
	return response.Ending == KeepAlive
}

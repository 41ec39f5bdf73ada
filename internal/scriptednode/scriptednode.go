// Package scriptednode implements a fake storage node for tests and the soak. It reads HTTP/1.1
// requests from network connections. For each request a handler decides what the node does: write
// arbitrary bytes, also a malformed response, and then keep, close or reset the connection or let
// it hang. A net/http server cannot be made to fail in these ways.
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

// flushDelay is the time between a write and a reset, so that the peer can read the bytes. A reset
// makes the peer's kernel discard received bytes that the peer has not read yet.
const flushDelay = 10 * time.Millisecond

// ConnAction tells what the node does with a connection after a request.
type ConnAction int

// The ways to treat a connection after a request.
const (
	KeepAlive ConnAction = iota // read the next request
	Close
	Reset // close the connection with a TCP reset
	Hang  // write nothing; keep the connection open until the peer or the node closes it
)

// String returns the name of the action.
func (a ConnAction) String() string {
	return [...]string{"keep alive", "close", "reset", "hang"}[a]
}

// Response tells what a node does in response to a request.
type Response struct {
	Text       string // bytes to write unchanged, may be empty; not written if ConnAction is Hang
	ConnAction ConnAction
}

// OK returns a response with status 200 and a body that keeps the connection alive.
func OK(body string) Response {
	return Response{Text: fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)}
}

// Handler returns the response to a request. The body has been read in full and is available in
// r.Body. The goroutines of the connections call the handler concurrently; it may sleep.
type Handler func(r *http.Request) Response

// Node is a running node. It is safe for concurrent use.
type Node struct {
	listener net.Listener
	handler  Handler
	serving  sync.WaitGroup // goroutines of the listener and of the connections

	mu     sync.Mutex
	conns  map[net.Conn]bool // open connections; empty once closed is set
	closed bool
}

// Serve starts a node that serves the connections of a listener until Close or Kill.
func Serve(listener net.Listener, handler Handler) *Node {
	n := &Node{listener: listener, handler: handler, conns: map[net.Conn]bool{}}
	n.serving.Go(n.accept)
	return n
}

// Addr returns the address of the listener, as host:port.
func (n *Node) Addr() string { return n.listener.Addr().String() }

// Close closes the listener and all connections and waits until all handlers have returned.
func (n *Node) Close() {
	n.shutDown(func(c net.Conn) { c.Close() })
	n.serving.Wait()
}

// Kill imitates the death of the node's process: it closes the listener and resets all connections.
// It does not wait for running handlers; the responses that they return are not sent.
func (n *Node) Kill() { n.shutDown(reset) }

// shutDown closes the listener and calls closeConn for each open connection.
func (n *Node) shutDown(closeConn func(net.Conn)) {
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

// accept serves each accepted connection in a goroutine of its own until the listener is closed.
func (n *Node) accept() {
	for {
		c, err := n.listener.Accept()
		if err != nil {
			return
		}
		if !n.addConn(c) {
			c.Close()
			return
		}
		n.serving.Go(func() { n.serve(c) })
	}
}

// addConn registers an accepted connection, so that shutDown closes it. It returns false if the node
// has been shut down already; the caller must then close the connection itself.
func (n *Node) addConn(c net.Conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return false
	}
	n.conns[c] = true
	return true
}

// removeConn unregisters a connection that has ended.
func (n *Node) removeConn(c net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
}

// serve reads requests from a connection and responds to them until the connection ends.
func (n *Node) serve(c net.Conn) {
	defer c.Close()
	defer n.removeConn(c)
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

// respond carries out a response and reports whether to read another request from the connection.
func respond(c net.Conn, response Response) bool {
	if response.ConnAction == Hang {
		io.Copy(io.Discard, c) // returns when either side closes the connection
		return false
	}
	if _, err := io.WriteString(c, response.Text); err != nil {
		return false
	}
	if response.ConnAction == Reset {
		if response.Text != "" {
			time.Sleep(flushDelay)
		}
		reset(c)
	}
	return response.ConnAction == KeepAlive
}

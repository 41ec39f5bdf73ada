package e2e

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"
)

// serveConnections listens on a loopback port and has serve handle each connection, which
// is closed when serve returns and at the end of the test; quit is closed then too. n
// counts the connections from 0.
func serveConnections(t *testing.T, serve func(n int, c *net.TCPConn, quit <-chan struct{})) (addr string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var running sync.WaitGroup
	quit := make(chan struct{})
	handle := func(n int, c *net.TCPConn) {
		done := make(chan struct{})
		running.Go(func() {
			defer close(done)
			serve(n, c, quit)
			c.Close()
		})
		running.Go(func() {
			select {
			case <-quit:
				c.Close()
			case <-done:
			}
		})
	}
	running.Go(func() {
		for n := 0; ; n++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			handle(n, c.(*net.TCPConn))
		}
	})
	t.Cleanup(func() {
		ln.Close()
		close(quit)
		running.Wait()
	})
	return ln.Addr().String()
}

// startRawNode runs a node that does what the test does with each connection.
func startRawNode(t *testing.T, serve func(c *net.TCPConn, r *bufio.Reader)) (addr string) {
	t.Helper()
	return serveConnections(t, func(_ int, c *net.TCPConn, _ <-chan struct{}) {
		serve(c, bufio.NewReader(c))
	})
}

// nodeResponse is what a scriptedNode does with a request: it writes the text and keeps
// the connection open, unless one of the flags says otherwise.
type nodeResponse struct {
	text  string
	close bool // close the connection after the text
	reset bool // reset the connection after the text
	hang  bool // never respond, and keep the connection open
}

func okResponse(body string) nodeResponse {
	return nodeResponse{text: fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\nX-Pressure: inflight=1\r\n\r\n%s", len(body), body)}
}

// closingResponse is a response of 200 that ends its connection, so that the next request
// needs another one.
func closingResponse() nodeResponse {
	return nodeResponse{text: "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\nfine", close: true}
}

// scriptedNode is a node of the platform that responds as the test's script says. It
// records the requests that it has read whole.
type scriptedNode struct {
	addr   string
	script func(n int, r *http.Request) nodeResponse // n counts the requests from 1

	mu         sync.Mutex
	requestIDs []string // in the order of arrival
}

func startScriptedNode(t *testing.T, script func(n int, r *http.Request) nodeResponse) *scriptedNode {
	t.Helper()
	node := &scriptedNode{script: script}
	node.addr = serveConnections(t, node.serve)
	return node
}

// startNodeResponding runs a node that responds 200 to each request, with the body given.
func startNodeResponding(t *testing.T, body string) *scriptedNode {
	t.Helper()
	return startScriptedNode(t, func(int, *http.Request) nodeResponse { return okResponse(body) })
}

func (s *scriptedNode) serve(_ int, c *net.TCPConn, quit <-chan struct{}) {
	in := bufio.NewReader(c)
	for {
		r, err := readRequest(in)
		if err != nil {
			return
		}
		response := s.script(s.record(r), r)
		if response.hang {
			<-quit
			return
		}
		io.WriteString(c, response.text)
		if response.reset {
			time.Sleep(10 * time.Millisecond) // the gateway reads the text before the reset discards it
			c.SetLinger(0)
		}
		if response.close || response.reset {
			return
		}
	}
}

// readRequest reads a request and its whole body.
func readRequest(in *bufio.Reader) (*http.Request, error) {
	r, err := http.ReadRequest(in)
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(r.Body)
	r.Body = io.NopCloser(bytes.NewReader(body))
	return r, err
}

// record notes the id of a request and returns how many there were.
func (s *scriptedNode) record(r *http.Request) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requestIDs = append(s.requestIDs, r.Header.Get("X-Txn"))
	return len(s.requestIDs)
}

// received returns the ids of the requests that came whole, in order.
func (s *scriptedNode) received() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.requestIDs)
}

// countReceived returns how often a request came.
func (s *scriptedNode) countReceived(id string) int {
	count := 0
	for _, received := range s.received() {
		if received == id {
			count++
		}
	}
	return count
}

// wantSentOnce checks that no request came more than once, to whichever of the nodes.
func wantSentOnce(t *testing.T, nodes ...*scriptedNode) {
	t.Helper()
	count := map[string]int{}
	for _, node := range nodes {
		for _, id := range node.received() {
			if count[id]++; count[id] > 1 {
				t.Errorf("request %s was sent %d times", id, count[id])
			}
		}
	}
}

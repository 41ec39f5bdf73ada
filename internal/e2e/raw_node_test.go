package e2e

import (
	"bufio"
	"net"
	"sync"
	"testing"
)

// startRawNode runs a node that calls serve in a goroutine for each connection. A connection is closed
// when its call of serve returns, or else at the end of the test.
func startRawNode(t *testing.T, serve func(c *net.TCPConn, r *bufio.Reader)) (addr string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var running sync.WaitGroup
	quit := make(chan struct{})
	handle := func(c *net.TCPConn) {
		done := make(chan struct{})
		running.Go(func() {
			defer close(done)
			serve(c, bufio.NewReader(c))
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
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			handle(c.(*net.TCPConn))
		}
	})
	t.Cleanup(func() {
		ln.Close()
		close(quit)
		running.Wait()
	})
	return ln.Addr().String()
}

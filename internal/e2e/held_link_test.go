package e2e

import (
	"errors"
	"io"
	"net"
	"sync"
	"testing"
)

// heldLink is a network link from gateways to a node. While it is held, what a gateway sends stays on its
// way, as in a network that is cut for a moment: it arrives once the link is released, unless the
// gateway has reset the connection meanwhile.
type heldLink struct {
	addr     string
	listener net.Listener
	running  sync.WaitGroup

	mu     sync.Mutex
	change *sync.Cond
	held   bool
	closed bool
	conns  []net.Conn
}

// startHeldLink runs a link to a node until the end of the test. It is not held at first.
func startHeldLink(t *testing.T, nodeAddr string) *heldLink {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &heldLink{addr: listener.Addr().String(), listener: listener}
	l.change = sync.NewCond(&l.mu)
	l.running.Go(func() { l.accept(nodeAddr) })
	t.Cleanup(l.close)
	return l
}

// setHeld holds the link, or releases it.
func (l *heldLink) setHeld(held bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = held
	l.change.Broadcast()
}

func (l *heldLink) accept(nodeAddr string) {
	for {
		fromGateway, err := l.listener.Accept()
		if err != nil {
			return
		}
		toNode, err := net.Dial("tcp", nodeAddr)
		if err != nil || !l.add(fromGateway, toNode) {
			fromGateway.Close()
			continue
		}
		l.running.Go(func() { l.forward(toNode, fromGateway) })
		l.running.Go(func() {
			io.Copy(fromGateway, toNode)
			fromGateway.Close()
		})
	}
}

// add records connections to be closed at the end, and reports whether the link is still in use.
func (l *heldLink) add(conns ...net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, conns...)
	return !l.closed
}

// forward forwards the bytes of a gateway to the node, while the link is not held.
func (l *heldLink) forward(to, from net.Conn) {
	defer to.Close()
	var onItsWay []byte
	var end error
	l.running.Go(func() {
		buffer := make([]byte, 32<<10)
		for {
			n, err := from.Read(buffer)
			l.mu.Lock()
			onItsWay = append(onItsWay, buffer[:n]...)
			end = err
			l.change.Broadcast()
			l.mu.Unlock()
			if err != nil {
				return
			}
		}
	})
	for {
		l.mu.Lock()
		for !l.closed && (l.held || len(onItsWay) == 0 && end == nil) {
			l.change.Wait()
		}
		data, ended, closed := onItsWay, end, l.closed
		onItsWay = nil
		l.mu.Unlock()
		if reset := ended != nil && !errors.Is(ended, io.EOF); closed || reset {
			return
		}
		if _, err := to.Write(data); err != nil || ended != nil {
			return
		}
	}
}

func (l *heldLink) close() {
	l.listener.Close()
	l.mu.Lock()
	l.closed = true
	for _, c := range l.conns {
		c.Close()
	}
	l.change.Broadcast()
	l.mu.Unlock()
	l.running.Wait()
}

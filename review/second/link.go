package main

import (
	"io"
	"net"
	"sync"
)

// link is the network between the head and a shelf. While it is cut, it says nothing: bytes wait on both ways and come
// once it is back, as TCP sends them again until then. Bytes of a connection that its sender has reset are dropped.
type link struct {
	listener net.Listener
	shelf    string // address

	mu      sync.Mutex
	changed *sync.Cond
	cut     bool
}

// way is one direction of a connection over a link.
type way struct {
	waiting []byte // bytes that were sent and are not delivered yet
	ended   bool   // the sender has ended the connection
	reset   bool   // it did so by a reset
}

// startLink starts a link to a shelf.
func startLink(shelf string) (*link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &link{listener: l, shelf: shelf}
	k.changed = sync.NewCond(&k.mu)
	go func() {
		for {
			head, err := l.Accept()
			if err != nil {
				return
			}
			go k.connect(head)
		}
	}()
	return k, nil
}

// setCut cuts the link, or brings it back.
func (k *link) setCut(cut bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cut = cut
	k.changed.Broadcast()
}

// connect connects a connection of the head to the shelf.
func (k *link) connect(head net.Conn) {
	shelf, err := net.Dial("tcp", k.shelf)
	if err != nil {
		head.Close()
		return
	}
	go k.carry(shelf, head)
	k.carry(head, shelf)
}

// carry carries the bytes of one way and its end.
func (k *link) carry(from, to net.Conn) {
	w := &way{}
	go k.receive(from, w)
	for {
		k.mu.Lock()
		for !w.reset && (k.cut || len(w.waiting) == 0 && !w.ended) {
			k.changed.Wait()
		}
		bytes, ended, reset := w.waiting, w.ended, w.reset
		w.waiting = nil
		k.mu.Unlock()
		if reset {
			to.(*net.TCPConn).SetLinger(0)
			to.Close()
			return
		}
		if _, err := to.Write(bytes); err != nil {
			from.Close()
			return
		}
		if ended {
			to.(*net.TCPConn).CloseWrite()
			return
		}
	}
}

// receive takes what a sender sends, also while the link is cut.
func (k *link) receive(from net.Conn, w *way) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		k.mu.Lock()
		w.waiting = append(w.waiting, buffer[:n]...)
		w.ended, w.reset = err != nil, err != nil && err != io.EOF
		k.changed.Broadcast()
		k.mu.Unlock()
		if err != nil {
			return
		}
	}
}

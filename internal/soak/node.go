package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"maddergap/internal/fakenode"
)

// mode is how a node behaves.
type mode int

const (
	well mode = iota
	hanging
	resetting
	noisy
)

// node is a storage node on the platform's protocol. It records each request that came whole.
type node struct {
	name    string
	shard   int
	life    sync.Mutex // held while it is down
	mu      sync.Mutex
	rand    *rand.Rand
	ln      net.Listener
	conns   map[net.Conn]bool
	mode    mode
	paused  bool // takes no connections
	turning bool // turns everything away, as it drains
	entries []fakenode.Entry
	serial  uint64
}

func newNode(name string, shard int, seed uint64) *node {
	return &node{name: name, shard: shard, rand: rand.New(rand.NewPCG(seed, uint64(len(name)))), conns: map[net.Conn]bool{}}
}

// open listens at an address.
func (n *node) open(addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	n.mu.Lock()
	n.ln = ln
	n.mu.Unlock()
	go n.accept(ln)
	return nil
}

func (n *node) addr() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ln.Addr().String()
}

// vanish closes the node as the death of its process does.
func (n *node) vanish() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ln.Close()
	for c := range n.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	clear(n.conns)
}

func (n *node) set(change func(n *node)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change(n)
}

// backlogLate is the listen queue of a node that takes no connections: those behind it come up
// late, when the system tries again.
const (
	backlogLate = 1
	backlogWell = 512
)

// pause has the node take no connections, or take them again. What stands in its queue then is
// reset: it has waited all the while, and what came on it was not read in time.
func (n *node) pause(on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	raw, err := n.ln.(*net.TCPListener).SyscallConn()
	if err != nil {
		return
	}
	raw.Control(func(fd uintptr) {
		if on {
			syscall.Listen(int(fd), backlogLate)
			return
		}
		resetQueue(int(fd))
		syscall.Listen(int(fd), backlogWell)
	})
	n.paused = on
}

// resetQueue resets all connections that wait to be accepted.
func resetQueue(listener int) {
	for {
		fd, _, err := syscall.Accept4(listener, syscall.SOCK_CLOEXEC)
		if err != nil {
			return
		}
		syscall.SetsockoptLinger(fd, syscall.SOL_SOCKET, syscall.SO_LINGER, &syscall.Linger{Onoff: 1})
		syscall.Close(fd)
	}
}

func (n *node) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		if n.isPaused() { // it stands already: what comes on it is lost, those behind it come up late
			for n.isPaused() {
				time.Sleep(5 * time.Millisecond)
			}
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
			continue
		}
		n.mu.Lock()
		if n.ln != ln {
			n.mu.Unlock()
			c.Close()
			continue
		}
		n.conns[c] = true
		n.mu.Unlock()
		go n.serve(c)
	}
}

func (n *node) isPaused() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.paused
}

func (n *node) serve(c net.Conn) {
	defer func() {
		n.mu.Lock()
		delete(n.conns, c)
		n.mu.Unlock()
		c.Close()
	}()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if !n.answer(c, r) {
			return
		}
	}
}

// serviceTime is the mean of what a request takes.
const serviceTime = 4 * time.Millisecond

// answer takes a request and tells whether the connection goes on.
func (n *node) answer(c net.Conn, r *http.Request) bool {
	i, mode, turning, took := n.take(r)
	shard := -1
	for part := range strings.SplitSeq(r.Header.Get("IO-Info"), ",") {
		if text, ok := strings.CutPrefix(part, "shard="); ok {
			shard, _ = strconv.Atoi(text)
		}
	}
	if turning || shard >= 0 && shard != n.shard {
		n.end(i, 503, false)
		fmt.Fprint(c, "HTTP/1.1 503 Busy\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n")
		return true
	}
	time.Sleep(took)
	switch mode {
	case hanging:
		n.end(i, 0, true)
		io.Copy(io.Discard, c) // until the head gives up
		return false
	case resetting:
		n.end(i, 0, true)
		c.(*net.TCPConn).SetLinger(0)
		return false
	case noisy:
		n.end(i, 0, true)
		fmt.Fprint(c, "\x00\xffnoise\r\n\r\n")
		return true
	}
	n.end(i, 200, true)
	body := bodyOf(r.Header.Get("X-Txn"))
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err == nil
}

// bodyOf is the answer that belongs to a request.
func bodyOf(id string) string { return "answer to " + id }

// take records a request that came whole.
func (n *node) take(r *http.Request) (i int, m mode, turning bool, took time.Duration) {
	told, _ := strconv.ParseInt(strings.TrimSuffix(r.Header.Get("X-Remaining"), "u"), 10, 64)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.serial++
	n.entries = append(n.entries, fakenode.Entry{Node: n.name, Traceparent: r.Header.Get("X-Txn"), Method: r.Method, Path: r.URL.Path,
		IdempotencyKey: r.Header.Get("Piece"), Units: 1, ReceivedAt: micro(), Timeout: told, Sequence: n.serial})
	return len(n.entries) - 1, n.mode, n.turning, time.Duration(n.rand.ExpFloat64() * float64(serviceTime))
}

// end records what became of it.
func (n *node) end(i, status int, ran bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	e := &n.entries[i]
	e.Status = status
	if status > 0 {
		e.RespondedAt = micro()
	}
	if ran {
		e.ExecutedAt = micro()
	}
}

func (n *node) records() []fakenode.Entry {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]fakenode.Entry(nil), n.entries...)
}

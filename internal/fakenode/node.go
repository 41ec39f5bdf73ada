// Package fakenode implements a fake storage node for tests, rehearsals and measurements, never
// for real data. A node is an in-memory WebDAV object store (golang.org/x/net/webdav) behind a
// bounded queue. Processing time grows with the size of a request, faults follow a script, and
// each received request is recorded.
//
// node.go starts and stops a node and its listener, handler.go serves requests, processing.go
// simulates the processing time, warmup.go the reduced capacity after a restart. script.go parses
// scripts of faults, record.go writes the record of requests. store.go is the object store;
// preconditions.go, locks.go, lock_method.go and if_header.go add the requirements of RFC 4918 and
// RFC 9110 that the library does not meet.
package fakenode

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// scriptPollInterval is the time between two checks of whether the script lets the node listen.
const scriptPollInterval = 5 * time.Millisecond

// Node is a running fake node. It is safe for concurrent use.
type Node struct {
	options Options
	addr    string
	store   *store
	cores   chan struct{} // semaphore: holds one value for each request being processed

	closing    chan struct{}  // closed by Close
	scriptDone chan struct{}  // closed when followScript returns
	serving    sync.WaitGroup // goroutines that run server.Serve

	mu        sync.Mutex
	inFlight  int // requests admitted to the queue and not yet responded to
	record    *recorder
	warmup    warmup
	failed    bool // set when the node was overloaded; it accepts no more connections
	server    *http.Server
	listening bool
}

// Start starts a node. It returns an error if the record file cannot be created or the address
// cannot be listened on.
func Start(options Options) (*Node, error) {
	options = options.withDefaults()
	record, err := newRecorder(&options)
	if err != nil {
		return nil, err
	}
	n := &Node{
		options:    options,
		store:      newStore(),
		cores:      make(chan struct{}, options.Cores),
		closing:    make(chan struct{}),
		scriptDone: make(chan struct{}),
		record:     record,
	}
	n.addr, err = n.listen(options.Listen)
	if err != nil {
		_ = record.close() // nothing was written
		return nil, err
	}
	go n.followScript()
	return n, nil
}

// Addr returns the address that the node listens on. It stays the same across restarts.
func (n *Node) Addr() string { return n.addr }

// Entries returns the record of a node that keeps it in memory (no RecordFile), including the
// requests in progress.
func (n *Node) Entries() []Entry {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.record.entries()
}

// Close stops the node and closes its record.
func (n *Node) Close() error {
	close(n.closing)
	<-n.scriptDone // otherwise applyScript might open the listener again
	n.stopListening()
	n.serving.Wait()
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.record.close()
}

// elapsed returns the time since the epoch, from which the times of the script count.
func (n *Node) elapsed() time.Duration { return time.Since(n.options.Epoch) }

// listen starts serving on an address and returns that address with the actual port.
func (n *Node) listen(addr string) (string, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: http.HandlerFunc(n.serve), IdleTimeout: time.Minute}
	n.mu.Lock()
	n.server = server
	n.listening = true
	n.mu.Unlock()
	n.serving.Go(func() { _ = server.Serve(listener) }) // always http.ErrServerClosed
	return listener.Addr().String(), nil
}

// stopListening closes the listener and all connections, also those with requests in progress.
func (n *Node) stopListening() {
	n.mu.Lock()
	server := n.server
	n.listening = false
	n.mu.Unlock()
	_ = server.Close()
}

// followScript calls applyScript at each tick of scriptPollInterval until the node closes.
func (n *Node) followScript() {
	defer close(n.scriptDone)
	ticker := time.NewTicker(scriptPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-n.closing:
			return
		case <-ticker.C:
			n.applyScript(n.elapsed())
		}
	}
}

// applyScript opens or closes the listener as the script and an overload require at a time, and
// starts the warm-up after a restart.
func (n *Node) applyScript(at time.Duration) {
	n.mu.Lock()
	failed, listening := n.failed, n.listening
	n.mu.Unlock()
	restart := n.options.Script.activeStep(Restart, at)
	available := !failed && restart == nil && n.options.Script.activeStep(Refuse, at) == nil
	if !available && listening {
		n.stopListening()
	}
	if restart != nil {
		n.mu.Lock()
		n.warmup.begin(restart.To)
		n.mu.Unlock()
	}
	if available && !listening {
		_, _ = n.listen(n.addr) // if the port is not free yet, the next tick tries again
	}
}

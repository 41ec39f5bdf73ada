// Package fakenode is a fake storage node for tests, rehearsals and measurements, never for data.
// It is an object store in memory that speaks WebDAV (golang.org/x/net/webdav), behind a bounded
// queue, with a processing time by size, faults that follow a script, and a record of each request
// as it passed on the socket.
//
// node.go is the life of a node and its listener, handler.go the way of a request, processing.go
// how long it takes, warmup.go what a restarted node bears, script.go its faults, record.go its
// record. store.go is the object store, with preconditions.go, locks.go, lock_method.go and
// if_header.go for what RFC 4918 and RFC 9110 ask beyond the library's.
package fakenode

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// scriptInterval is how often the script is looked at for whether the node has to listen.
const scriptInterval = 5 * time.Millisecond

// Node is a running fake node. It is safe for concurrent use.
type Node struct {
	options Options
	addr    string
	store   *store
	cores   chan struct{} // has a value for each request that is processed

	closing    chan struct{}  // closed by Close
	scriptDone chan struct{}  // closed when followScript has returned
	serving    sync.WaitGroup // of the servers' goroutines

	mu        sync.Mutex
	inFlight  int // requests admitted to the queue and not yet responded to
	record    *recorder
	warmup    warmup
	failed    bool // it was overloaded, and accepts no connection any more
	server    *http.Server
	listening bool
}

// Start starts a node. Errors are of its record's file and of its listener.
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

// Addr returns the address that the node listens on. It stays the same over restarts.
func (n *Node) Addr() string { return n.addr }

// Entries returns the record of a node without a RecordFile, with the requests in progress.
func (n *Node) Entries() []Entry {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.record.entries()
}

// Close stops the node and closes its record.
func (n *Node) Close() error {
	close(n.closing)
	<-n.scriptDone // else it might listen again
	n.stopListening()
	n.serving.Wait()
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.record.close()
}

// elapsed is the time by the script.
func (n *Node) elapsed() time.Duration { return time.Since(n.options.Epoch) }

// listen serves on an address, and returns it with its port.
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

// stopListening closes the listener and all connections.
func (n *Node) stopListening() {
	n.mu.Lock()
	server := n.server
	n.listening = false
	n.mu.Unlock()
	_ = server.Close()
}

// followScript opens and closes the listener as the script and overload ask.
func (n *Node) followScript() {
	defer close(n.scriptDone)
	ticker := time.NewTicker(scriptInterval)
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

func (n *Node) applyScript(at time.Duration) {
	n.mu.Lock()
	failed, listening := n.failed, n.listening
	n.mu.Unlock()
	restart := n.options.Script.active(Restart, at)
	available := !failed && restart == nil && n.options.Script.active(Refuse, at) == nil
	if !available && listening {
		n.stopListening()
	}
	if restart != nil {
		n.mu.Lock()
		n.warmup.begin(restart.To)
		n.mu.Unlock()
	}
	if available && !listening {
		_, _ = n.listen(n.addr) // a port that is not free yet is tried again at the next tick
	}
}

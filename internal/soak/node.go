package soak

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"maddergap/internal/fakenode"
	"maddergap/internal/scriptednode"
)

// meanServiceTime is the mean time that a node takes to process a request. The times are exponentially
// distributed.
const meanServiceTime = 4 * time.Millisecond

// responseFault says what a node does in place of a proper response.
type responseFault int

const (
	responseFaultNone      responseFault = iota
	responseFaultHang                    // no response; the connection stays open
	responseFaultReset                   // the connection is reset
	responseFaultMalformed               // a response that is not HTTP
)

// node is a fake storage node that speaks the platform's protocol. Its identity, its records and its
// faults are kept over a restart.
type node struct {
	name  string
	shard int    // number of the shard that the node holds
	addr  string // host:port

	restartMu sync.Mutex  // held while a NodeRestart is in progress
	paused    atomic.Bool // set while the node accepts no connections; shared with the listener

	mu       sync.Mutex // guards the fields below
	rand     *rand.Rand // source of the service times
	listener *pausableListener
	server   *scriptednode.Node // serves the node; after kill, the server that was killed
	fault    responseFault      // responseFaultNone unless a fault is active
	entries  []fakenode.Entry   // records of all requests that were read in full, in the order of arrival
}

func newNode(name string, shard int, addr string, seed uint64) *node {
	return &node{name: name, shard: shard, addr: addr, rand: rand.New(rand.NewPCG(seed, uint64(len(name))))}
}

// start starts serving at the node's address, for the first time or after kill.
func (n *node) start() error {
	listener, err := listen(n.addr, &n.paused)
	if err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listener = listener
	n.server = scriptednode.Serve(listener, n.respond)
	return nil
}

// kill ends the node as if its process were killed: the port is closed and all connections are reset.
func (n *node) kill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.server.Kill()
}

// failResponses makes the node respond with a fault, and returns after the duration. If faults overlap,
// the latest one is in effect, and the first one that ends resets it to responseFaultNone.
func (n *node) failResponses(fault responseFault, duration time.Duration) {
	n.setFault(fault)
	time.Sleep(duration)
	n.setFault(responseFaultNone)
}

func (n *node) setFault(fault responseFault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.fault = fault
}

// pauseAccept makes the node stop accepting connections.
func (n *node) pauseAccept() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listener.pause()
}

// resumeAccept makes the node accept connections again.
func (n *node) resumeAccept() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listener.resume()
}

// respond records a request and responds to it according to the active fault. It rejects a request for
// another shard without executing it. A request is executed even if its response then fails.
func (n *node) respond(r *http.Request) scriptednode.Response {
	index, fault, serviceTime := n.recordArrival(r)
	if shard, ok := requestedShard(r.Header); ok && shard != n.shard {
		n.recordRejection(index)
		return scriptednode.Response{Text: "HTTP/1.1 503 Busy\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n"}
	}
	time.Sleep(serviceTime)
	n.recordEffect(index, fault == responseFaultNone)
	switch fault {
	case responseFaultHang:
		return scriptednode.Response{ConnAction: scriptednode.Hang}
	case responseFaultReset:
		return scriptednode.Response{ConnAction: scriptednode.Reset}
	case responseFaultMalformed:
		return scriptednode.Response{Text: "\x00\xffnoise\r\n\r\n"}
	}
	return scriptednode.OK(responseBody(r.Header.Get("X-Txn")))
}

// responseBody returns the body of the response to the request with an ID. The client compares the body
// to detect a response to another request.
func responseBody(id string) string { return "answer to " + id }

// requestedShard returns the number of the shard in the IO-Info header of a request. ok is false if there
// is no valid number.
func requestedShard(header http.Header) (shard int, ok bool) {
	for member := range strings.SplitSeq(header.Get("IO-Info"), ",") {
		if text, found := strings.CutPrefix(member, "shard="); found {
			shard, err := strconv.Atoi(text)
			return shard, err == nil
		}
	}
	return 0, false
}

// recordArrival adds a record of a request to n.entries and returns its index. It also returns the
// active fault and a random service time for the request.
func (n *node) recordArrival(r *http.Request) (index int, fault responseFault, serviceTime time.Duration) {
	timeout, _ := strconv.ParseInt(strings.TrimSuffix(r.Header.Get("X-Remaining"), "u"), 10, 64)
	n.mu.Lock()
	defer n.mu.Unlock()
	index = len(n.entries)
	n.entries = append(n.entries, fakenode.Entry{
		Node:           n.name,
		Traceparent:    r.Header.Get("X-Txn"),
		Method:         r.Method,
		Path:           r.URL.Path,
		IdempotencyKey: r.Header.Get("Piece"),
		Units:          1,
		ReceivedAt:     unixMicros(),
		Timeout:        timeout,
		Sequence:       uint64(index + 1),
	})
	return index, n.fault, time.Duration(n.rand.ExpFloat64() * float64(meanServiceTime))
}

// recordRejection records that the request of an entry was rejected without an effect.
func (n *node) recordRejection(index int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.entries[index].Status = http.StatusServiceUnavailable
	n.entries[index].RespondedAt = unixMicros()
}

// recordEffect records that the request of an entry was executed, and, if responds is set, that it was
// responded to.
func (n *node) recordEffect(index int, responds bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := unixMicros()
	n.entries[index].ExecutedAt = now
	if responds {
		n.entries[index].Status = http.StatusOK
		n.entries[index].RespondedAt = now
	}
}

// records returns the records of all requests received so far.
func (n *node) records() []fakenode.Entry {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.entries)
}

// unixMicros returns the current Unix time in microseconds, the unit of the times in records.
func unixMicros() int64 { return time.Now().UnixMicro() }

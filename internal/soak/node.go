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

// meanServiceTime is the mean time that a node takes for a request; the times are exponentially
// distributed.
const meanServiceTime = 4 * time.Millisecond

// responseFault is how a node fails to respond.
type responseFault int

const (
	respondsWell      responseFault = iota
	respondsNever                   // the connection stays open
	respondsByReset                 // in place of a response
	respondsMalformed               // with bytes that are not HTTP
)

// node is a fake storage node on the platform's protocol. What it is, its records and its faults
// outlive a restart.
type node struct {
	name  string
	shard int
	addr  string // host:port

	restart sync.Mutex  // locked while the node is down
	paused  atomic.Bool // accepts no connections

	mu       sync.Mutex // of what follows
	rand     *rand.Rand // of service times
	listener *pausableListener
	server   *scriptednode.Node // of the process that runs, or ran last
	fault    responseFault
	entries  []fakenode.Entry // of each request that was read in full
}

func newNode(name string, shard int, addr string, seed uint64) *node {
	return &node{name: name, shard: shard, addr: addr, rand: rand.New(rand.NewPCG(seed, uint64(len(name))))}
}

// start starts serving at the node's address.
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

// kill ends the node as the death of its process does.
func (n *node) kill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.server.Kill()
}

// failResponses makes the node fail to respond for a while. Of faults that overlap the latest one
// counts, until the first of them ends.
func (n *node) failResponses(fault responseFault, duration time.Duration) {
	n.setFault(fault)
	time.Sleep(duration)
	n.setFault(respondsWell)
}

func (n *node) setFault(fault responseFault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.fault = fault
}

// pauseAccept stops accepting connections.
func (n *node) pauseAccept() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listener.pause()
}

// resumeAccept accepts connections again.
func (n *node) resumeAccept() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listener.resume()
}

// respond records a request and handles it as the node's fault says. A request for another shard
// is rejected before it has an effect.
func (n *node) respond(r *http.Request) scriptednode.Response {
	entry, fault, serviceTime := n.recordArrival(r)
	if shard, ok := requestedShard(r.Header); ok && shard != n.shard {
		n.recordRejection(entry)
		return scriptednode.Response{Text: "HTTP/1.1 503 Busy\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n"}
	}
	time.Sleep(serviceTime)
	n.recordEffect(entry, fault == respondsWell)
	switch fault {
	case respondsNever:
		return scriptednode.Response{Ending: scriptednode.Hang}
	case respondsByReset:
		return scriptednode.Response{Ending: scriptednode.Reset}
	case respondsMalformed:
		return scriptednode.Response{Text: "\x00\xffnoise\r\n\r\n"}
	}
	return scriptednode.OK(responseBody(r.Header.Get("X-Txn")))
}

// responseBody is the body of the response to the request of an ID. It tells the client that the
// response is to its request and not to another one.
func responseBody(id string) string { return "answer to " + id }

// requestedShard is the shard that a request names, if it names one.
func requestedShard(header http.Header) (shard int, ok bool) {
	for member := range strings.SplitSeq(header.Get("IO-Info"), ",") {
		if text, found := strings.CutPrefix(member, "shard="); found {
			shard, err := strconv.Atoi(text)
			return shard, err == nil
		}
	}
	return 0, false
}

// recordArrival records a request. It returns the record's index, and how the request is handled.
func (n *node) recordArrival(r *http.Request) (entry int, fault responseFault, serviceTime time.Duration) {
	timeout, _ := strconv.ParseInt(strings.TrimSuffix(r.Header.Get("X-Remaining"), "u"), 10, 64)
	n.mu.Lock()
	defer n.mu.Unlock()
	entry = len(n.entries)
	n.entries = append(n.entries, fakenode.Entry{
		Node:           n.name,
		Traceparent:    r.Header.Get("X-Txn"),
		Method:         r.Method,
		Path:           r.URL.Path,
		IdempotencyKey: r.Header.Get("Piece"),
		Units:          1,
		ReceivedAt:     unixMicros(),
		Timeout:        timeout,
		Sequence:       uint64(entry + 1),
	})
	return entry, n.fault, time.Duration(n.rand.ExpFloat64() * float64(meanServiceTime))
}

// recordRejection records that a request was rejected.
func (n *node) recordRejection(entry int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.entries[entry].Status = http.StatusServiceUnavailable
	n.entries[entry].RespondedAt = unixMicros()
}

// recordEffect records that a request took effect, and whether a response follows.
func (n *node) recordEffect(entry int, responds bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := unixMicros()
	n.entries[entry].ExecutedAt = now
	if responds {
		n.entries[entry].Status = http.StatusOK
		n.entries[entry].RespondedAt = now
	}
}

// records returns the records of all requests so far.
func (n *node) records() []fakenode.Entry {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.entries)
}

// unixMicros is the time as records have it.
func unixMicros() int64 { return time.Now().UnixMicro() }

package gateway

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"maddergap/internal/admission"
	"maddergap/internal/config"
	"maddergap/internal/invariant"
	"maddergap/internal/membership"
	"maddergap/internal/nodelist"
)

const harnessConfig = `listen 127.0.0.1:0
nodes nodes
class read effect safe aim 100ms deadline 1s worth 2 late 0.5
class write effect unsafe aim 100ms deadline 1s worth 2 late 0.5
plan p rate 1000 reserve 1000
volume feed-a plan p shards 0
volume feed-b plan p shards 0,1
route PUT class write
route * class read
units bytes 64k
body hold 16k rate 1m
buffer 32k
answer-margin 20ms
header-time 2s
stall-time 3s
node-connections 4
`

const (
	harnessSeed = 7
	// harnessStart is the initial time of a harness.
	harnessStart = 24 * time.Hour
	// maxAdvances is the number of calls of Advance in a row that may return actions. With
	// more, the gateway is taken to be in an endless loop.
	maxAdvances = 1000
)

// harness simulates the environment of one Gateway: its driver, clients, storage nodes, clock and
// observer. The test acts as the clients and nodes: it delivers the bytes that they send, and
// takes the bytes that were written to them. By default, connections to nodes are established
// at once, and all output is written as soon as the gateway requests it.
type harness struct {
	t       *testing.T
	gateway *Gateway
	now     Time
	next    Time // time by which Advance has to be called next

	// Faults that a test can set.
	deferConnects bool              // connections stay in the dialing state until the test calls Connected
	refuseDials   bool              // dialed connections are refused
	blocked       map[ConnID]bool   // connections to which nothing can be written
	arrived       map[ConnID]string // bytes in the sockets of connections that were not read yet

	// What the gateway did.
	dialed      []ConnID                    // connections to nodes, in the order of their dials
	written     map[ConnID]*strings.Builder // bytes written to each connection since the last takeWritten
	paused      map[ConnID]bool
	writeClosed map[ConnID]bool // connections whose sending side was shut down
	closedBy    map[ConnID]Op   // the operation that closed a connection, Close or Abort
	actionLog   strings.Builder // one line for each action

	// What the observer was notified of.
	spans      []Span
	rejections []string // reasons for the rejected connections and requests
	violations []invariant.Violation
}

func (h *harness) Request(s *Span) { h.spans = append(h.spans, *s) }
func (h *harness) Attempt(s *Span) { h.spans = append(h.spans, *s) }

func (h *harness) AttemptGivenUp(string, string, int, time.Duration) {}

func (h *harness) MembersChanged([]membership.Change) {}

func (h *harness) InvariantViolated(v invariant.Violation) { h.violations = append(h.violations, v) }

func (h *harness) ConnectionRejected(_ netip.AddrPort, reason admission.Reason, _ bool) {
	h.rejections = append(h.rejections, reason.String())
}

// newHarness returns a harness with the nodes n0 in shard 0 and n1 in shard 1. moreConfig is
// appended to harnessConfig.
func newHarness(t *testing.T, moreConfig string) *harness {
	t.Helper()
	return newHarnessWithConfig(t, harnessConfig+moreConfig)
}

// newHarnessWithConfig is like newHarness with the whole text of a configuration.
func newHarnessWithConfig(t *testing.T, text string) *harness {
	t.Helper()
	c, err := config.Parse("harness", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{
		t:           t,
		now:         harnessStart,
		blocked:     map[ConnID]bool{},
		arrived:     map[ConnID]string{},
		written:     map[ConnID]*strings.Builder{},
		paused:      map[ConnID]bool{},
		writeClosed: map[ConnID]bool{},
		closedBy:    map[ConnID]Op{},
	}
	if h.gateway, err = New(c, harnessSeed, h.now, time.Unix(1e9, 0), h); err != nil {
		t.Fatal(err)
	}
	h.gateway.SetNodes(h.now, []nodelist.Node{{Name: "n0", Addr: "node:0"}, {Name: "n1", Addr: "node:1", Shard: 1}})
	h.runActions()
	return h
}

// runActions calls Advance and carries out its actions until it returns none.
func (h *harness) runActions() {
	for range maxAdvances {
		actions, next := h.gateway.Advance(h.now)
		if h.next = next; len(actions) == 0 {
			return
		}
		for _, a := range slices.Clone(actions) {
			fmt.Fprintf(&h.actionLog, "%v %v %d %s\n", h.now, a.Op, a.Conn, a.Addr)
			h.runAction(a)
		}
	}
	h.t.Fatal("Advance still returns actions after maxAdvances calls")
}

func (h *harness) runAction(a Action) {
	switch a.Op {
	case Dial:
		h.dial(a.Conn)
	case Flush:
		h.flush(a.Conn)
	case Read:
		h.read(a.Conn)
	case Pause, Resume:
		h.paused[a.Conn] = a.Op == Pause
	case CloseWrite:
		h.writeClosed[a.Conn] = true
	case Close, Abort:
		h.closedBy[a.Conn] = a.Op
	}
}

func (h *harness) dial(id ConnID) {
	if h.refuseDials {
		h.gateway.Closed(h.now, id)
		return
	}
	h.dialed = append(h.dialed, id)
	if !h.deferConnects {
		h.gateway.Connected(h.now, id)
	}
}

// read delivers the bytes that wait in a connection's socket.
func (h *harness) read(id ConnID) {
	if text := h.arrived[id]; text != "" {
		delete(h.arrived, id)
		h.gateway.Data(h.now, id, []byte(text))
	}
}

// flush writes all pending output of a connection, unless the connection is blocked.
func (h *harness) flush(id ConnID) {
	for p := h.gateway.PendingOutput(h.now, id); len(p) > 0 && !h.blocked[id]; p = h.gateway.PendingOutput(h.now, id) {
		if h.written[id] == nil {
			h.written[id] = &strings.Builder{}
		}
		h.written[id].Write(p)
		h.gateway.Wrote(h.now, id, len(p))
	}
}

// takeWritten returns the bytes written to a connection since the last call.
func (h *harness) takeWritten(id ConnID) string {
	b := h.written[id]
	if b == nil {
		return ""
	}
	delete(h.written, id)
	return b.String()
}

// advanceTime advances the clock by d, and calls the gateway at each time that Advance has
// returned.
func (h *harness) advanceTime(d time.Duration) {
	end := h.now + d
	for h.next <= end {
		h.now = max(h.next, h.now)
		h.runActions()
	}
	h.now = end
	h.runActions()
}

// connectClient opens a client connection, and delivers text on it.
func (h *harness) connectClient(text string) ConnID {
	id := h.gateway.Accept(h.now, netip.MustParseAddrPort("127.0.0.1:1000"), 0).ID
	h.deliver(id, text)
	return id
}

// deliver passes text to the gateway as data from the client or node of a connection.
func (h *harness) deliver(id ConnID, text string) {
	h.gateway.Data(h.now, id, []byte(text))
	h.runActions()
}

// nodeConn returns the n-th connection that was dialed to a node, counted from 0.
func (h *harness) nodeConn(n int) ConnID {
	h.t.Helper()
	if n >= len(h.dialed) {
		h.t.Fatalf("%d connections to nodes, want %d", len(h.dialed), n+1)
	}
	return h.dialed[n]
}

// findNodeConn returns the open connection to a node with an id, or nil if it is closed.
func (h *harness) findNodeConn(id ConnID) *nodeConn {
	c, _ := h.gateway.conns.find(id).(*nodeConn)
	return c
}

// wantContains checks that text contains all the parts.
func (h *harness) wantContains(what, text string, parts ...string) {
	h.t.Helper()
	for _, part := range parts {
		if !strings.Contains(text, part) {
			h.t.Errorf("%s is %.300q, want %q in it", what, text, part)
		}
	}
}

// wantLingeringClose checks that a client connection is closed without a reset: the gateway
// first shuts down its sending side, and closes the connection after the client's EOF.
func (h *harness) wantLingeringClose(c ConnID) {
	h.t.Helper()
	if op, closed := h.closedBy[c]; closed || !h.writeClosed[c] {
		h.t.Errorf("before the client's EOF: closed %v by %v, sending side shut down %v; want not closed, but shut down", closed, op, h.writeClosed[c])
	}
	h.gateway.EOF(h.now, c)
	h.runActions()
	if h.closedBy[c] != Close {
		h.t.Error("the connection was not closed after the client's EOF")
	}
}

// outcomes returns the numbers of submitted requests that have ended, by outcome.
func (h *harness) outcomes() map[Outcome]int {
	counts := map[Outcome]int{}
	for _, s := range h.spans {
		if s.Node == "" && s.Request != "" {
			counts[s.Outcome]++
		}
	}
	return counts
}

// wantOutcomes checks the outcomes of the submitted requests, and that no request is left.
func (h *harness) wantOutcomes(want map[Outcome]int) {
	h.t.Helper()
	if got := h.outcomes(); !maps.Equal(got, want) {
		h.t.Errorf("outcomes %v, want %v", got, want)
	}
	if n := len(h.gateway.requests.byID); n != 0 {
		h.t.Errorf("%d requests are left, want 0", n)
	}
}

func getRequest(path string, fields ...string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: h\r\n" + strings.Join(append(fields, ""), "\r\n") + "\r\n"
}

func putRequest(path, body string, fields ...string) string {
	return fmt.Sprintf("PUT %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n%s\r\n%s", path, len(body), strings.Join(append(fields, ""), "\r\n"), body)
}

func okResponse(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\nendpoint-load-metrics: TEXT named_metrics.inflight=1\r\n\r\n%s", len(body), body)
}

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

// harness runs one head over in-memory pipes with a clock of the test's.
type harness struct {
	t             *testing.T
	gateway       *Gateway
	now           Time
	next          Time
	written       map[ConnID]*strings.Builder // written to each connection and not taken yet
	dialed        []ConnID                    // connections to nodes, in order
	closedBy      map[ConnID]Op               // Close or Abort
	paused        map[ConnID]bool
	writeClosed   map[ConnID]bool
	deferConnects bool            // connections to nodes do not come up until the test says so
	blocked       map[ConnID]bool // takes nothing
	refuseDials   bool            // connections to nodes are refused
	actionLog     strings.Builder // every action, for comparing runs
	spans         []Span
	rejections    []string
	// violations are what the guard withheld or found.
	violations []invariant.Violation
}

func (h *harness) Request(s *Span) { h.spans = append(h.spans, *s) }
func (h *harness) Attempt(s *Span) { h.spans = append(h.spans, *s) }

func (h *harness) MembersChanged([]membership.Change) {}

func (h *harness) InvariantViolated(v invariant.Violation) { h.violations = append(h.violations, v) }

func (h *harness) ConnectionRejected(_ netip.AddrPort, why admission.Reason, _ bool) {
	h.rejections = append(h.rejections, why.String())
}

func newHarness(t *testing.T, more string) *harness {
	t.Helper()
	c, err := config.Parse("rig", []byte(harnessConfig+more))
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{t: t, now: 24 * time.Hour, written: map[ConnID]*strings.Builder{}, closedBy: map[ConnID]Op{}, paused: map[ConnID]bool{}, writeClosed: map[ConnID]bool{}, blocked: map[ConnID]bool{}}
	if h.gateway, err = New(c, 7, h.now, time.Unix(1e9, 0), h); err != nil {
		t.Fatal(err)
	}
	h.gateway.SetNodes(h.now, []nodelist.Node{{Name: "n0", Addr: "node:0"}, {Name: "n1", Addr: "node:1", Shard: 1}})
	h.runActions()
	return h
}

// runActions carries out what the head asks for.
func (h *harness) runActions() {
	for range 1000 {
		acts, next := h.gateway.Advance(h.now)
		if h.next = next; len(acts) == 0 {
			return
		}
		for _, a := range slices.Clone(acts) {
			fmt.Fprintf(&h.actionLog, "%v %d %d %s\n", h.now, a.Op, a.Conn, a.Addr)
			switch a.Op {
			case Dial:
				if h.refuseDials {
					h.gateway.Closed(h.now, a.Conn)
					continue
				}
				if h.dialed = append(h.dialed, a.Conn); !h.deferConnects {
					h.gateway.Connected(h.now, a.Conn)
				}
			case Flush:
				h.flush(a.Conn)
			case Pause, Resume:
				h.paused[a.Conn] = a.Op == Pause
			case CloseWrite:
				h.writeClosed[a.Conn] = true
			case Close, Abort:
				h.closedBy[a.Conn] = a.Op
			}
		}
	}
	h.t.Fatal("the head never comes to rest")
}

func (h *harness) flush(id ConnID) {
	p := h.gateway.Out(h.now, id)
	if len(p) == 0 || h.blocked[id] {
		return
	}
	if h.written[id] == nil {
		h.written[id] = &strings.Builder{}
	}
	h.written[id].Write(p)
	h.gateway.Wrote(h.now, id, len(p))
}

// takeWritten returns what was written to a connection since the last take.
func (h *harness) takeWritten(id ConnID) string {
	b := h.written[id]
	if b == nil {
		return ""
	}
	delete(h.written, id)
	return b.String()
}

// advanceTime lets time go by, stopping wherever the head wants to be called.
func (h *harness) advanceTime(d time.Duration) {
	end := h.now + d
	for h.next <= end {
		h.now = max(h.next, h.now)
		h.runActions()
	}
	h.now = end
	h.runActions()
}

func (h *harness) connectClient(text string) ConnID {
	id := h.gateway.Accept(h.now, netip.MustParseAddrPort("127.0.0.1:1000"), 0).ID
	h.receive(id, text)
	return id
}

func (h *harness) receive(id ConnID, text string) {
	h.gateway.Data(h.now, id, []byte(text))
	h.runActions()
}

// wantLingeringClose holds that a client's connection was ended without a reset: the head's side
// first, and the rest when the client has closed too.
func (h *harness) wantLingeringClose(c ConnID) {
	h.t.Helper()
	if op, gone := h.closedBy[c]; gone || !h.writeClosed[c] {
		h.t.Errorf("closed %v by %v before its client did, its sending side ended %v", gone, op, h.writeClosed[c])
	}
	h.gateway.EOF(h.now, c)
	h.runActions()
	if h.closedBy[c] != Close {
		h.t.Error("it goes on after its client closed")
	}
}

// nodeConn returns the n-th connection that was made to a node.
func (h *harness) nodeConn(n int) ConnID {
	h.t.Helper()
	if n >= len(h.dialed) {
		h.t.Fatalf("%d connections to nodes, want %d", len(h.dialed), n+1)
	}
	return h.dialed[n]
}

func (h *harness) wantContains(what, got string, parts ...string) {
	h.t.Helper()
	for _, p := range parts {
		if !strings.Contains(got, p) {
			h.t.Errorf("%s is %.300q, want %q in it", what, got, p)
		}
	}
}

// outcomes counts the requests that got a final answer, by outcome.
func (h *harness) outcomes() map[Outcome]int {
	m := map[Outcome]int{}
	for _, s := range h.spans {
		if s.Node == "" && s.Request != "" {
			m[s.Outcome]++
		}
	}
	return m
}

func (h *harness) wantOutcomes(want map[Outcome]int) {
	h.t.Helper()
	if got := h.outcomes(); !maps.Equal(got, want) {
		h.t.Errorf("final answers %v, want %v", got, want)
	}
	if n := len(h.gateway.requests.byID); n != 0 {
		h.t.Errorf("%d requests are still held", n)
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

// findNodeConn returns an open connection to a node, or nil if it is closed.
func (h *harness) findNodeConn(id ConnID) *nodeConn {
	c, _ := h.gateway.conns.find(id).(*nodeConn)
	return c
}

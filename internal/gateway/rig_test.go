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

const rigConf = `listen 127.0.0.1:0
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

// rig runs one head over in-memory pipes with a clock of the test's.
type rig struct {
	t      *testing.T
	h      *Gateway
	now    Time
	next   Time
	out    map[ConnID]*strings.Builder // written to each connection and not taken yet
	dials  []ConnID                    // connections to nodes, in order
	ended  map[ConnID]Op               // Close or Abort
	paused map[ConnID]bool
	shut   map[ConnID]bool
	late   bool            // connections to nodes do not come up until the test says so
	stuck  map[ConnID]bool // takes nothing
	refuse bool            // connections to nodes are refused
	log    strings.Builder // every action, for comparing runs
	spans  []Span
	turned []string
	// violations are what the guard withheld or found.
	violations []invariant.Violation
}

func (r *rig) Request(s *Span) { r.spans = append(r.spans, *s) }
func (r *rig) Attempt(s *Span) { r.spans = append(r.spans, *s) }

func (r *rig) MembersChanged([]membership.Change) {}

func (r *rig) InvariantViolated(v invariant.Violation) { r.violations = append(r.violations, v) }

func (r *rig) ConnectionRejected(_ netip.AddrPort, why admission.Reason, _ bool) {
	r.turned = append(r.turned, why.String())
}

func newRig(t *testing.T, more string) *rig {
	t.Helper()
	c, err := config.Parse("rig", []byte(rigConf+more))
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t, now: 24 * time.Hour, out: map[ConnID]*strings.Builder{}, ended: map[ConnID]Op{}, paused: map[ConnID]bool{}, shut: map[ConnID]bool{}, stuck: map[ConnID]bool{}}
	if r.h, err = New(c, 7, r.now, time.Unix(1e9, 0), r); err != nil {
		t.Fatal(err)
	}
	r.h.SetNodes(r.now, []nodelist.Node{{Name: "n0", Addr: "node:0"}, {Name: "n1", Addr: "node:1", Shard: 1}})
	r.run()
	return r
}

// run carries out what the head asks for.
func (r *rig) run() {
	for range 1000 {
		acts, next := r.h.Advance(r.now)
		if r.next = next; len(acts) == 0 {
			return
		}
		for _, a := range slices.Clone(acts) {
			fmt.Fprintf(&r.log, "%v %d %d %s\n", r.now, a.Op, a.Conn, a.Addr)
			switch a.Op {
			case Dial:
				if r.refuse {
					r.h.Closed(r.now, a.Conn)
					continue
				}
				if r.dials = append(r.dials, a.Conn); !r.late {
					r.h.Connected(r.now, a.Conn)
				}
			case Flush:
				r.write(a.Conn)
			case Pause, Resume:
				r.paused[a.Conn] = a.Op == Pause
			case CloseWrite:
				r.shut[a.Conn] = true
			case Close, Abort:
				r.ended[a.Conn] = a.Op
			}
		}
	}
	r.t.Fatal("the head never comes to rest")
}

func (r *rig) write(id ConnID) {
	p := r.h.Out(r.now, id)
	if len(p) == 0 || r.stuck[id] {
		return
	}
	if r.out[id] == nil {
		r.out[id] = &strings.Builder{}
	}
	r.out[id].Write(p)
	r.h.Wrote(r.now, id, len(p))
}

// take returns what was written to a connection since the last take.
func (r *rig) take(id ConnID) string {
	b := r.out[id]
	if b == nil {
		return ""
	}
	delete(r.out, id)
	return b.String()
}

// pass lets time go by, stopping wherever the head wants to be called.
func (r *rig) pass(d time.Duration) {
	end := r.now + d
	for r.next <= end {
		r.now = max(r.next, r.now)
		r.run()
	}
	r.now = end
	r.run()
}

func (r *rig) client(text string) ConnID {
	id := r.h.Accept(r.now, netip.MustParseAddrPort("127.0.0.1:1000"), 0).ID
	r.say(id, text)
	return id
}

func (r *rig) say(id ConnID, text string) {
	r.h.Data(r.now, id, []byte(text))
	r.run()
}

// parted holds that a client's connection was ended without a reset: the head's side
// first, and the rest when the client has closed too.
func (r *rig) parted(c ConnID) {
	r.t.Helper()
	if op, gone := r.ended[c]; gone || !r.shut[c] {
		r.t.Errorf("closed %v by %v before its client did, its sending side ended %v", gone, op, r.shut[c])
	}
	r.h.EOF(r.now, c)
	r.run()
	if r.ended[c] != Close {
		r.t.Error("it goes on after its client closed")
	}
}

// node returns the n-th connection that was made to a node.
func (r *rig) node(n int) ConnID {
	r.t.Helper()
	if n >= len(r.dials) {
		r.t.Fatalf("%d connections to nodes, want %d", len(r.dials), n+1)
	}
	return r.dials[n]
}

func (r *rig) want(what, got string, parts ...string) {
	r.t.Helper()
	for _, p := range parts {
		if !strings.Contains(got, p) {
			r.t.Errorf("%s is %.300q, want %q in it", what, got, p)
		}
	}
}

// finals counts the requests that got a final answer, by outcome.
func (r *rig) finals() map[Outcome]int {
	m := map[Outcome]int{}
	for _, s := range r.spans {
		if s.Node == "" && s.Request != "" {
			m[s.Outcome]++
		}
	}
	return m
}

func (r *rig) wantFinals(want map[Outcome]int) {
	r.t.Helper()
	if got := r.finals(); !maps.Equal(got, want) {
		r.t.Errorf("final answers %v, want %v", got, want)
	}
	if n := len(r.h.requests.byID); n != 0 {
		r.t.Errorf("%d requests are still held", n)
	}
}

func get(path string, fields ...string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: h\r\n" + strings.Join(append(fields, ""), "\r\n") + "\r\n"
}

func put(path, body string, fields ...string) string {
	return fmt.Sprintf("PUT %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n%s\r\n%s", path, len(body), strings.Join(append(fields, ""), "\r\n"), body)
}

func ok(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\nendpoint-load-metrics: TEXT named_metrics.inflight=1\r\n\r\n%s", len(body), body)
}

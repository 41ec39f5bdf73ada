package gateway

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"maddergap/internal/config"
	"maddergap/internal/nodelist"
	"maddergap/scheduler"
)

// The seam: one whole request through a head, no descriptor, no real clock.
func TestWholeRequestOverPipes(t *testing.T) {
	r := newRig(t, "")
	c := r.client(get("/feed-a/s/x", "traceparent: 00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"))
	n := r.node(0)
	got := r.take(n)
	r.want("at the node", got, "GET /feed-a/s/x HTTP/1.1\r\n", "Host: h\r\n", "Via: 1.1 maddergap", "X-Request-Id: ", "Maddergap-Attempt: 0", "traceparent: 00-0af7651916cd43dd8448eb211c80319c-")
	if strings.Contains(got, "b7ad6b7169203331") {
		t.Error("the attempt goes under the client's span, not its own")
	}
	r.now += 5 * time.Millisecond
	r.say(n, "HTTP/1.1 200 OK\r\nContent-Le")
	r.say(n, "ngth: 6\r\nETag: \"e\"\r\n\r\nabc")
	r.say(n, "def")
	r.want("the answer", r.take(c), "HTTP/1.1 200 OK\r\n", "Content-Length: 6\r\n", "ETag: \"e\"", "X-Request-Id: ", "\r\n\r\nabcdef")
	r.wantFinals(map[Outcome]int{Served: 1})
	if s := r.spans[0]; s.Node != "n0" || s.AttemptOutcome != scheduler.OK || s.Parent != r.spans[1].ID || fmt.Sprintf("%x", r.spans[1].Parent) != "b7ad6b7169203331" {
		t.Errorf("spans %+v", r.spans)
	}
	// The kept connections serve the next request.
	r.say(c, get("/feed-a/s/y"))
	if len(r.dials) != 1 {
		t.Errorf("%d connections, want the first one again", len(r.dials))
	}
}

// Same seed and events, same actions.
func TestSameEventsSameActions(t *testing.T) {
	day := func() string {
		r := newRig(t, "")
		for i := range 20 {
			c := r.client(get(fmt.Sprint("/feed-b/s", i, "/x")))
			r.pass(3 * time.Millisecond)
			if i%5 == 4 {
				r.h.Closed(r.now, c)
			}
			for _, n := range r.dials {
				if r.take(n) != "" && i%3 > 0 {
					r.say(n, ok("x"))
				}
			}
		}
		r.pass(2 * time.Second)
		return r.log.String()
	}
	if a, b := day(), day(); a != b || len(a) < 500 {
		t.Errorf("two runs differ, or did nothing:\n%.500s\n%.500s", a, b)
	}
}

// A node takes a segment-write and never answers.
func TestSilentNodeUnsafe(t *testing.T) {
	r := newRig(t, "")
	c := r.client(put("/feed-a/s/x", "segment"))
	n := r.node(0)
	r.want("at the node", r.take(n), "PUT /feed-a/s/x", "Content-Length: 7", "segment")
	r.pass(970 * time.Millisecond)
	if got := r.take(c); got != "" {
		t.Fatalf("answered early: %q", got)
	}
	r.pass(20 * time.Millisecond) // the deadline less the answer margin
	got := r.take(c)
	r.want("the answer", got, "HTTP/1.1 504 ", "not known")
	if strings.Contains(got, "Retry-After") {
		t.Error("a failure promises nothing")
	}
	r.pass(3 * time.Second)
	if r.h.Counts().Attempts != 1 || r.take(c) != "" {
		t.Errorf("%d attempts, want 1 and one answer", r.h.Counts().Attempts)
	}
	r.wantFinals(map[Outcome]int{Failed: 1})
	// Well again, the node is used again.
	r.say(c, put("/feed-a/s/x", "again"))
	r.pass(time.Second / 2)
	r.say(r.node(len(r.dials)-1), ok(""))
	r.want("the answer", r.take(c), "200 OK")
}

// An answer after the deadline reaches nobody: its connection is gone.
func TestLateAnswer(t *testing.T) {
	r := newRig(t, "")
	c := r.client(put("/feed-a/s/x", "segment"))
	n := r.node(0)
	r.pass(time.Second)
	r.take(c)
	if r.ended[n] != Abort {
		t.Error("the connection of the late attempt stays open")
	}
	r.say(n, ok("late"))
	if got := r.take(c); got != "" {
		t.Errorf("a second answer: %q", got)
	}
}

// A client gives up in the middle of a long body: the node's connection is
// broken off before the body is whole, so that it cannot run, and the slot is
// free at once.
func TestClientLeavesInBody(t *testing.T) {
	r := newRig(t, "")
	long := strings.Repeat("x", 40<<10)
	c := r.client(put("/feed-a/s/x", long)[:20<<10])
	n := r.node(0)
	r.want("at the node", r.take(n), "Content-Length: 40960")
	r.h.Closed(r.now, c)
	r.run()
	if r.ended[n] != Abort {
		t.Error("the node's connection stays open")
	}
	r.wantFinals(map[Outcome]int{ClientDisconnected: 1})
	for i := range 2 { // windowStart is 2: both slots are there
		r.client(get(fmt.Sprint("/feed-a/s/", i)))
	}
	if len(r.dials) != 3 {
		t.Errorf("%d connections, want 3", len(r.dials))
	}
}

// A client that leaves while it waits: the slot comes back with the answer.
func TestClientLeavesWaiting(t *testing.T) {
	r := newRig(t, "")
	c := r.client(put("/feed-a/s/x", "segment"))
	n := r.node(0)
	r.h.Closed(r.now, c)
	r.run()
	if _, gone := r.ended[n]; gone {
		t.Fatal("the attempt was broken off, though the node has it whole")
	}
	if len(r.h.requests.byID) != 1 {
		t.Fatalf("%d requests with an attempt out, want 1", len(r.h.requests.byID))
	}
	r.pass(50 * time.Millisecond)
	r.say(n, ok("x"))
	r.wantFinals(map[Outcome]int{ClientDisconnected: 1})
	r.client(get("/feed-a/s/y"))
	if len(r.dials) != 1 {
		t.Error("the connection was not kept")
	}
}

// A client leaves in the middle of an answer.
func TestClientLeavesInAnswer(t *testing.T) {
	r := newRig(t, "")
	c := r.client(get("/feed-a/s/x"))
	n := r.node(0)
	r.say(n, "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\nabc")
	r.h.Closed(r.now, c)
	r.run()
	if r.ended[n] != Abort {
		t.Error("the node streams on to nobody")
	}
	r.wantFinals(map[Outcome]int{ClientDisconnected: 1})
}

// A node that answers before it has the body: the client has that answer, and
// neither connection is used again.
func TestAnswerBeforeBody(t *testing.T) {
	r := newRig(t, "")
	c := r.client(put("/feed-a/s/x", strings.Repeat("x", 400<<10))[:40<<10])
	n := r.node(0)
	r.say(n, "HTTP/1.1 423 Locked\r\nContent-Length: 0\r\n\r\n")
	r.want("the answer", r.take(c), "HTTP/1.1 423 Locked", "Connection: close")
	if r.ended[n] != Close {
		t.Error("the node's connection is kept in the middle of a body")
	}
	r.say(c, strings.Repeat("x", 100<<10)) // read and dropped, so that no reset takes the answer away
	r.pass(3 * time.Second)
	if _, gone := r.ended[c]; !gone {
		t.Error("the client's connection lingers for ever")
	}
	r.wantFinals(map[Outcome]int{Served: 1})
}

// A reset in the middle of an answer: the client's answer is cut short, so that
// it cannot be taken for whole, and nothing is sent again.
func TestResetInAnswer(t *testing.T) {
	r := newRig(t, "")
	c := r.client(get("/feed-a/s/x"))
	n := r.node(0)
	r.say(n, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n")
	r.h.Closed(r.now, n)
	r.run()
	r.pass(2 * time.Second)
	if r.ended[c] != Abort || strings.Contains(r.take(c), "0\r\n\r\n") {
		t.Error("the client may take half an answer for a whole one")
	}
	if r.h.Counts().Attempts != 1 {
		t.Errorf("%d attempts", r.h.Counts().Attempts)
	}
}

// A kept connection closes just as a request goes out. Not a byte written: it
// never ran, and may go again. Written: an unsafe request fails.
func TestKeptConnectionCloses(t *testing.T) {
	for _, written := range []bool{false, true} {
		r := newRig(t, "")
		c := r.client(get("/feed-a/s/x"))
		n := r.node(0)
		r.say(n, ok("x"))
		r.take(c)
		r.pass(restTime) // a connection that has not rested is not used for this
		r.stuck[n] = !written
		r.say(c, put("/feed-a/s/x", "segment"))
		r.h.EOF(r.now, n)
		r.run()
		r.pass(50 * time.Millisecond)
		if written {
			r.want("the answer", r.take(c), "HTTP/1.1 502 ")
			r.wantFinals(map[Outcome]int{Served: 1, Failed: 1})
			continue
		}
		n = r.node(1)
		r.want("at the node", r.take(n), "PUT /feed-a/s/x", "Maddergap-Attempt: 1", "segment")
		r.say(n, ok(""))
		r.want("the answer", r.take(c), "200 OK")
	}
}

// A safe request whose attempt was reset goes again; both are in one trace.
func TestSafeGoesAgain(t *testing.T) {
	r := newRig(t, "")
	c := r.client(get("/feed-a/s/x"))
	r.h.Closed(r.now, r.node(0))
	r.run()
	r.pass(100 * time.Millisecond)
	r.say(r.node(1), ok("x"))
	r.want("the answer", r.take(c), "200 OK")
	if r.spans[0].Trace != r.spans[1].Trace || r.spans[0].ID == r.spans[1].ID || r.spans[1].Attempt != 1 {
		t.Errorf("%+v", r.spans)
	}
}

// A full node: a body that is held goes again, one that streamed on does not.
func TestFullNode(t *testing.T) {
	const full = "HTTP/1.1 503 Service Unavailable\r\nMaddergap-Ran: no\r\nContent-Length: 0\r\n\r\n"
	r := newRig(t, "")
	c := r.client(put("/feed-a/s/x", "segment"))
	r.say(r.node(0), full)
	r.pass(900 * time.Millisecond)
	if r.h.Counts().Attempts < 2 {
		t.Error("a refused attempt of a held body was not tried again")
	}
	_ = c
	r = newRig(t, "retry-after 2s\n")
	c = r.client(put("/feed-a/s/x", strings.Repeat("x", 400<<10))[:60<<10])
	r.say(c, "xxx")
	r.say(r.node(0), full)
	r.want("the answer", r.take(c), "HTTP/1.1 503 ", "Retry-After: 2\r\n", "no harm")
	r.pass(time.Second)
	if r.h.Counts().Attempts != 1 {
		t.Error("half a body was sent again")
	}
}

// A 503 that does not say that it never ran promises nothing.
func TestPlain503(t *testing.T) {
	r := newRig(t, "")
	c := r.client(put("/feed-a/s/x", "segment"))
	r.say(r.node(0), "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
	r.want("the answer", r.take(c), "HTTP/1.1 502 ")
}

// No node: a refusal, at the end of the client's time.
func TestNoConnection(t *testing.T) {
	r := newRig(t, "")
	r.refuse = true
	c := r.client(put("/feed-a/s/x", "segment"))
	r.pass(time.Second)
	r.want("the answer", r.take(c), "HTTP/1.1 503 ")
	r.wantFinals(map[Outcome]int{Rejected: 1})
}

func TestPipelined(t *testing.T) {
	r := newRig(t, "")
	c := r.client(get("/feed-a/s/1") + put("/feed-a/s/2", "two") + get("/feed-a/s/3"))
	for i, sent := range []struct {
		text string
		conn int // the write goes out on a connection of its own, as the other has not rested
	}{{"GET /feed-a/s/1", 0}, {"PUT /feed-a/s/2", 1}, {"GET /feed-a/s/3", 0}} {
		n := r.node(sent.conn)
		r.want("at the node", r.take(n), sent.text)
		r.say(n, ok(fmt.Sprint("answer", i)))
	}
	got := r.take(c)
	if a, b := strings.Index(got, "answer0"), strings.Index(got, "answer2"); a < 0 || b < a || strings.Count(got, "200 OK") != 3 {
		t.Errorf("answers out of order: %q", got)
	}
}

// A client that closes its sending side is still owed what it asked for.
func TestHalfClose(t *testing.T) {
	r := newRig(t, "")
	c := r.client(get("/feed-a/s/1") + get("/feed-a/s/2"))
	r.h.EOF(r.now, c)
	r.run()
	n := r.node(0)
	r.say(n, ok("one"))
	r.say(n, ok("two"))
	r.want("the answers", r.take(c), "one", "two")
	if _, gone := r.ended[c]; !gone {
		t.Error("the connection stays open after the last answer")
	}
	r.wantFinals(map[Outcome]int{Served: 2})
}

func TestExpectContinue(t *testing.T) {
	r := newRig(t, "")
	c := r.client("PUT /feed-a/s/x HTTP/1.1\r\nHost: h\r\nContent-Length: 7\r\nExpect: 100-continue\r\n\r\n")
	r.want("the invitation", r.take(c), "HTTP/1.1 100 Continue\r\n\r\n")
	r.say(c, "segment")
	r.say(r.node(0), ok(""))
	r.want("the answer", r.take(c), "HTTP/1.1 200")
	// A long body is not invited before a node takes it, and never after a refusal.
	r = newRig(t, "")
	r.refuse = true
	c = r.client("PUT /feed-a/s/x HTTP/1.1\r\nHost: h\r\nContent-Length: 7000000\r\nExpect: 100-continue\r\n\r\n")
	r.pass(20 * time.Second)
	got := r.take(c)
	r.want("the answer", got, "HTTP/1.1 503")
	if strings.Contains(got, "100 Continue") {
		t.Error("a body was invited for nothing")
	}
}

func TestChunkedBothWays(t *testing.T) {
	r := newRig(t, "")
	c := r.client("PUT /feed-a/s/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
	n := r.node(0)
	r.want("a short body at the node", r.take(n), "Content-Length: 5\r\n", "\r\n\r\nabcde")
	r.say(n, "HTTP/1.1 201 Created\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n")
	r.want("the answer", r.take(c), "Transfer-Encoding: chunked", "2\r\nhi\r\n", "0\r\n\r\n")
	r.pass(restTime) // the connection is used for a write again
	// A long one streams on in chunks.
	r.say(c, "PUT /feed-a/s/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5000\r\n"+strings.Repeat("y", 0x5000)+"\r\n")
	r.want("a long body at the node", r.take(n), "Transfer-Encoding: chunked", "yyy")
	r.say(c, "3\r\nend\r\n0\r\n\r\n")
	r.want("its end", r.take(n), "3\r\nend\r\n0\r\n\r\n")
	r.say(n, ok(""))
	r.want("the answer", r.take(c), "200 OK")
	r.wantFinals(map[Outcome]int{Served: 2})
}

func TestHeadAndHTTP10(t *testing.T) {
	r := newRig(t, "")
	c := r.client("HEAD /feed-a/s/x HTTP/1.1\r\nHost: h\r\n\r\n")
	n := r.node(0)
	r.say(n, "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n")
	if got := r.take(c); !strings.Contains(got, "Content-Length: 1000") || !strings.HasSuffix(got, "\r\n\r\n") {
		t.Errorf("%q", got)
	}
	c = r.client("GET /feed-a/s/x HTTP/1.0\r\n\r\n")
	r.want("at the node", r.take(n), "Host: node:0")
	r.say(n, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n")
	if got := r.take(c); strings.Contains(got, "chunked") || !strings.HasSuffix(got, "\r\n\r\nhi") {
		t.Errorf("%q", got)
	}
	r.parted(c)
}

// Malformed requests are answered as RFC 9112 says and reach no node.
func TestMalformedReachNoNode(t *testing.T) {
	for text, status := range map[string]string{
		"PUT /feed-a/s/x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n": "400",
		"GET /feed-a/s/x HTTP/1.1\r\nHost: h\r\n X: folded\r\n\r\n":                                      "400",
		"GET /feed-a/" + strings.Repeat("x", 5000) + " HTTP/1.1\r\nHost: h\r\n\r\n":                      "414",
		"GET /feed-a/s HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 20000):                          "431",
		"PUT /feed-a/s/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n":                "400",
		"GET /feed-a/../s HTTP/1.1\r\nHost: h\r\n\r\n":                                                   "400",
		"GET /nope/s HTTP/1.1\r\nHost: h\r\n\r\n":                                                        "404",
		"BREW /feed-a/s HTTP/1.1\r\nHost: h\r\n\r\n":                                                     "501",
	} {
		r := newRig(t, "")
		c := r.client(text)
		r.want("the answer", r.take(c), "HTTP/1.1 "+status+" ")
		if len(r.dials) > 0 {
			t.Errorf("%.40q reached a node", text)
		}
		if status == "400" && !strings.Contains(text, "..") && r.ended[c] != Close {
			r.pass(3 * time.Second)
			if _, gone := r.ended[c]; !gone {
				t.Errorf("%.40q: the connection goes on", text)
			}
		}
	}
	// A chunk that turns bad once the body streams: the node never has it whole.
	r := newRig(t, "")
	c := r.client("PUT /feed-a/s/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5000\r\n" + strings.Repeat("y", 0x5000) + "\r\n")
	r.say(c, "zz\r\n")
	if r.ended[r.node(0)] != Abort {
		t.Error("the node's connection goes on")
	}
	r.want("the answer", r.take(c), "HTTP/1.1 400")
	r.wantFinals(map[Outcome]int{ClientDisconnected: 1})
}

// A byte a second: the header, then the body, is given up in its time, and no
// slot at a node is held meanwhile.
func TestSlowClients(t *testing.T) {
	r := newRig(t, "")
	c := r.client("G")
	for range 4 {
		r.pass(time.Second)
		r.say(c, "E")
	}
	r.want("the answer", r.take(c), "HTTP/1.1 408 ")
	c = r.client("PUT /feed-a/s/x HTTP/1.1\r\nHost: h\r\nContent-Length: 7\r\n\r\nseg")
	r.pass(4 * time.Second)
	r.want("the answer", r.take(c), "HTTP/1.1 408 ")
	if len(r.dials) > 0 {
		t.Error("a slow body holds a node")
	}
	// One that does not read its answer: the node is paused, then the client dropped.
	c = r.client(get("/feed-a/s/x"))
	r.stuck[c] = true
	n := r.node(0)
	r.say(n, "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n"+strings.Repeat("x", 40<<10))
	r.say(n, strings.Repeat("x", 10<<10))
	if !r.paused[n] || len(r.h.Out(r.now, c)) > 64<<10 {
		t.Errorf("the node is not paused; %d bytes are held", len(r.h.Out(r.now, c)))
	}
	r.pass(4 * time.Second)
	if r.ended[c] != Abort || r.ended[n] != Abort {
		t.Errorf("%v", r.ended)
	}
	r.wantFinals(map[Outcome]int{ClientDisconnected: 1})
}

// A long body goes at the pace of the node: the client is paused at the bound.
func TestUploadIsBounded(t *testing.T) {
	r := newRig(t, "")
	c := r.client(put("/feed-a/s/x", strings.Repeat("x", 1<<20))[:20<<10])
	n := r.node(0)
	r.stuck[n] = true
	sent := 20 << 10
	for range 50 {
		if r.paused[c] {
			break
		}
		r.say(c, strings.Repeat("x", 8<<10))
		sent += 8 << 10
	}
	if !r.paused[c] || sent > 120<<10 {
		t.Fatalf("%d bytes taken for a node that reads none", sent)
	}
	r.stuck[n] = false
	r.write(n)
	r.run()
	for rest := len(put("/feed-a/s/x", strings.Repeat("x", 1<<20))) - sent; rest > 0; rest -= 8 << 10 {
		r.say(c, strings.Repeat("x", min(8<<10, rest)))
	}
	if got := r.take(n); len(got) < 1<<20 {
		t.Fatalf("%d bytes at the node", len(got))
	}
	r.say(n, ok(""))
	r.want("the answer", r.take(c), "200 OK")
}

// At the bound of connections to a node an attempt is not sent, and says so.
func TestNodeConnectionsAreBounded(t *testing.T) {
	r := newRig(t, "")
	for i := range 40 {
		r.client(get(fmt.Sprint("/feed-a/s/", i)))
		r.pass(60 * time.Millisecond)
	}
	r.pass(2 * time.Second)
	if n := r.h.nodes.byName["n0"].conns; n > 4 {
		t.Errorf("%d connections to a node, want 4 at most", n)
	}
	if f := r.finals(); f[Rejected] != 40 {
		t.Errorf("%v, want 40 refused", f)
	}
}

func TestListing(t *testing.T) {
	const find = "PROPFIND /feed-b/ HTTP/1.1\r\nHost: h\r\nDepth: 1\r\nContent-Length: 0\r\n\r\n"
	part := func(name string) string {
		x := `<D:multistatus xmlns:D="DAV:"><D:response><D:href>` + name + `</D:href><D:status>HTTP/1.1 200 OK</D:status></D:response></D:multistatus>`
		return fmt.Sprintf("HTTP/1.1 207 Multi-Status\r\nContent-Length: %d\r\n\r\n%s", len(x), x)
	}
	r := newRig(t, "")
	c := r.client(find)
	r.say(r.node(0), part("/feed-b/one"))
	if got := r.take(c); got != "" {
		t.Fatalf("half a listing: %q", got)
	}
	r.say(r.node(1), part("/feed-b/two"))
	r.want("the listing", r.take(c), "207 Multi-Status", "/feed-b/one", "/feed-b/two")
	r.wantFinals(map[Outcome]int{Served: 2})

	r = newRig(t, "") // one shard never answers
	c = r.client(find)
	r.say(r.node(0), part("/feed-b/one"))
	r.pass(2 * time.Second)
	got := r.take(c)
	r.want("the answer", got, "HTTP/1.1 503 ", "part of the listing")
	if strings.Contains(got, "multistatus") || strings.Count(got, "HTTP/1.1") != 1 {
		t.Errorf("a listing that lacks half: %q", got)
	}

	r = newRig(t, "") // one gives nonsense
	c = r.client(find)
	r.say(r.node(0), part("/feed-b/one"))
	r.say(r.node(1), "HTTP/1.1 207 Multi-Status\r\nContent-Length: 3\r\n\r\n<a>")
	r.want("the answer", r.take(c), "HTTP/1.1 502 ", "malformed")

	r = newRig(t, "listing-max 1k\n")
	c = r.client(find)
	r.say(r.node(0), part("/feed-b/"+strings.Repeat("x", 2000)))
	r.say(r.node(1), part("/feed-b/two"))
	r.pass(2 * time.Second)
	r.want("the answer", r.take(c), "HTTP/1.1 507 ")

	r = newRig(t, "") // the client leaves
	c = r.client(find)
	r.h.Closed(r.now, c)
	r.run()
	r.say(r.node(0), part("/feed-b/one"))
	r.say(r.node(1), part("/feed-b/two"))
	r.wantFinals(map[Outcome]int{ClientDisconnected: 2})
}

// A stop: what was taken is answered, and nothing more is read.
func TestStop(t *testing.T) {
	r := newRig(t, "")
	idle := r.client(get("/feed-a/s/0"))
	r.say(r.node(0), ok("zero"))
	r.take(idle)
	c := r.client(get("/feed-a/s/1") + get("/feed-a/s/2"))
	silent, fresh, half := r.client(""), r.client(""), r.client(get("/feed-b/s/0"))
	r.say(r.node(1), ok("zero"))
	r.take(half)
	r.say(half, "GET /feed-a/s/4 HTT")
	r.h.Shutdown(r.now)
	r.run()
	if r.h.Idle() {
		t.Error("idle with a request under way")
	}
	r.say(idle, get("/feed-a/s/9")) // crosses the shutdown
	r.parted(idle)
	r.say(r.node(0), ok("one"))
	r.want("the answer", r.take(c), "200 OK", "Connection: close")
	r.parted(c)
	// What was accepted, or begun to be read, before the end still has its answer.
	for _, late := range []struct {
		c    ConnID
		text string
	}{{fresh, get("/feed-a/s/3")}, {half, get("/feed-a/s/4")[19:]}} {
		r.say(late.c, late.text)
		r.say(r.node(0), ok("late"))
		r.want("the answer", r.take(late.c), "200 OK", "Connection: close")
		r.parted(late.c)
	}
	r.pass(firstTime)
	if r.ended[silent] != Close || !r.h.Idle() || r.h.Counts().Received != 5 {
		t.Errorf("a silent connection ended by %v, idle %v after %d taken, want 5", r.ended[silent], r.h.Idle(), r.h.Counts().Received)
	}
}

// At the end of the stop time whatever has no answer gets one: refused where nothing was
// sent, failed else.
func TestStopAnswersWhatIsLeft(t *testing.T) {
	r := newRig(t, "")
	out := r.client(get("/feed-a/s/1"))
	r.h.SetNodes(r.now, nil)
	waits := r.client(get("/feed-a/s/2"))
	r.h.Shutdown(r.now)
	r.run()
	r.pass(100 * time.Millisecond)
	r.h.AbortRemaining(r.now)
	r.run()
	r.want("of what was sent", r.take(out), "HTTP/1.1 502 ", "Connection: close")
	r.want("of what waited", r.take(waits), "HTTP/1.1 503 ", "Connection: close")
	r.say(r.node(0), ok("too late"))
	if got := r.take(out); got != "" {
		t.Errorf("answered twice: %q", got)
	}
	r.wantFinals(map[Outcome]int{Failed: 1, Rejected: 1})
}

// A warm connection's request costs few allocations, and an idle one little memory.
func TestCosts(t *testing.T) {
	r := newRig(t, "")
	r.h.observer = nil
	c := r.client(get("/feed-a/s/x"))
	n := r.node(0)
	answer, ask := []byte(ok("hello")), []byte(get("/feed-a/s/x"))
	turn := func() {
		for {
			acts, _ := r.h.Advance(r.now)
			if len(acts) == 0 {
				return
			}
			for _, a := range acts {
				if a.Op == Flush {
					r.h.Wrote(r.now, a.Conn, len(r.h.Out(r.now, a.Conn)))
				}
			}
		}
	}
	r.h.Data(r.now, n, answer)
	turn()
	allocs := testing.AllocsPerRun(200, func() {
		r.now += time.Millisecond
		r.h.Data(r.now, c, ask)
		turn()
		r.h.Data(r.now, n, answer)
		turn()
	})
	if allocs > 12 {
		t.Errorf("%v allocations a request, want 12 at most (most are the module's)", allocs)
	}
	t.Logf("%v allocations a request", allocs)
}

// timed is a core that asks for timers as the test says.
type timed struct {
	ask   []time.Duration
	wakes []Time
}

func (c *timed) Handle(now Time, events []scheduler.Event) (acts []scheduler.Action) {
	for _, e := range events {
		if _, ok := e.(scheduler.TimerFired); ok {
			c.wakes = append(c.wakes, now)
		} else if len(c.ask) > 0 {
			acts = append(acts, scheduler.SetTimer{After: c.ask[0]})
			c.ask = c.ask[1:]
		}
	}
	return acts
}

// A timer takes the place of the one before, also where it is later: the module
// takes an earlier one for a chance event and would wait for the later for ever.
func TestTimerIsReplaced(t *testing.T) {
	r := newRig(t, "")
	core := &timed{ask: []time.Duration{10 * time.Millisecond, 20 * time.Millisecond}}
	r.h.scheduler = core
	began := r.now
	r.client(get("/feed-a/s/x"))
	r.client(get("/feed-a/s/y"))
	r.pass(100 * time.Millisecond)
	if len(core.wakes) != 1 || core.wakes[0] != began+20*time.Millisecond {
		t.Errorf("woken at %v, want once after 20ms", core.wakes)
	}
}

// A client that leaves in the middle of a long body, or of an answer, gives its
// exchange back once: given back twice, it would serve two requests at once.
func TestExchangeIsKeptOnce(t *testing.T) {
	r := newRig(t, "")
	for i := range 5 {
		c := r.client(put("/feed-a/s/x", strings.Repeat("x", 40<<10))[:20<<10])
		r.h.Closed(r.now, c)
		r.run()
		r.pass(time.Duration(i) * time.Second)
	}
	seen := map[*exchange]bool{}
	for _, ex := range r.h.requests.free {
		if seen[ex] {
			t.Fatal("an exchange is kept twice")
		}
		seen[ex] = true
	}
}

// A reload with fewer volumes leaves requests under way as they were taken.
func TestReloadUnderWay(t *testing.T) {
	r := newRig(t, "")
	c := r.client(get("/feed-b/s/x"))
	n := r.node(0)
	less, err := config.Parse("rig", []byte(strings.Replace(rigConf, "volume feed-b plan p shards 0,1\n", "", 1)))
	if err != nil {
		t.Fatal(err)
	}
	if err := r.h.Reload(less); err != nil {
		t.Fatal(err)
	}
	r.say(n, ok("still"))
	r.want("the answer", r.take(c), "200 OK", "still")
	r.say(c, get("/feed-b/s/x"))
	r.want("the answer", r.take(c), "404 Not Found")
	if r.spans[1].Volume != "feed-b" {
		t.Errorf("%+v", r.spans[1])
	}
	if other, _ := config.Parse("rig", []byte(rigConf+"heads 3\n")); r.h.Reload(other) == nil {
		t.Error("the number of heads changed under way")
	}
}

// Connection may name fields of one connection alone, never Host.
func TestConnectionListsHost(t *testing.T) {
	r := newRig(t, "")
	r.client(get("/feed-a/s/x", "Connection: Host, X-Own", "X-Own: 1"))
	got := r.take(r.node(0))
	r.want("at the node", got, "Host: h\r\n")
	if strings.Contains(got, "X-Own") {
		t.Error("a field of one connection was passed on")
	}
}

// A slot whose connection the driver has yet to close is not used again before.
func TestSlotIsFreeAfterItsClose(t *testing.T) {
	r := newRig(t, "clients 2\nadmit reserve 1\nknown 10.0.0.0/8\n")
	first := r.h.Accept(r.now, netip.MustParseAddrPort("127.0.0.1:1"), 0).ID
	r.h.Accept(r.now, netip.MustParseAddrPort("127.0.0.1:2"), 0)
	r.run()
	known := r.h.Accept(r.now, netip.MustParseAddrPort("10.0.0.1:3"), 0).ID // the first gives way, in the same turn
	if known.Slot() == first.Slot() {
		t.Error("the driver would close the new connection for the old, or neither")
	}
	r.run()
	if r.ended[first] != Close {
		t.Fatalf("%v", r.ended)
	}
	r.run()
	if again := r.h.Accept(r.now, netip.MustParseAddrPort("10.0.0.1:4"), 0).ID; again.Slot() != first.Slot() {
		t.Error("the slot is lost")
	}
}

// Nodes that come and go leave nothing behind, nor do their connections.
func TestReplacedNodesLeaveNothing(t *testing.T) {
	r := newRig(t, "")
	for i := range 3000 {
		name := fmt.Sprint("x", i)
		r.h.SetNodes(r.now, []nodelist.Node{{Name: name, Addr: "node:" + name}})
		r.run()
		c := r.client(get("/feed-a/u/x"))
		r.say(r.dials[len(r.dials)-1], ok("a"))
		r.h.Closed(r.now, c)
		r.pass(time.Millisecond)
	}
	if len(r.h.nodes.byName) > 3 || len(r.h.conns.slots) > 16 || len(r.h.requests.byID) > 0 || r.h.Counts().NodeConns > 2 {
		t.Errorf("%d nodes, %d slots, %d requests, %d connections are held", len(r.h.nodes.byName), len(r.h.conns.slots), len(r.h.requests.byID), r.h.Counts().NodeConns)
	}
}

// A node's address changes, or it starts anew, while a request is under way on a
// connection to it: that connection is not kept for the next.
func TestConnectionToWhereANodeWasIsNotKept(t *testing.T) {
	for name, n := range map[string]nodelist.Node{"moved": {Name: "n0", Addr: "node:9"}, "new start": {Name: "n0", Addr: "node:0", Started: time.Unix(2e9, 0)}} {
		r := newRig(t, "")
		r.client(get("/feed-a/s/x"))
		r.h.SetNodes(r.now, []nodelist.Node{n, {Name: "n1", Addr: "node:1", Shard: 1}})
		r.run()
		r.say(r.node(0), ok("a"))
		r.client(get("/feed-a/s/y"))
		if len(r.dials) != 2 || r.ended[r.node(0)] != Close {
			t.Errorf("%s: %d connections were made, want another; the first ended by %v", name, len(r.dials), r.ended[r.node(0)])
		}
	}
}

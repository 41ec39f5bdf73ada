package gateway

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// randomHistory runs a random sequence of events of clients and nodes. The gateway handles each
// event completely before the next one.
type randomHistory struct {
	*harness
	rt      *rapid.T
	clients []ConnID
	unsent  map[ConnID]string // rest of the request that a client has begun, or of a node's response
	stopped bool              // Shutdown was called
}

func newRandomHistory(t *testing.T, rt *rapid.T) *randomHistory {
	return &randomHistory{harness: newHarness(t, ""), rt: rt, unsent: map[ConnID]string{}}
}

func (x *randomHistory) pickConn(conns []ConnID) ConnID {
	return conns[rapid.IntRange(0, len(conns)-1).Draw(x.rt, "which")]
}

// event draws one event and lets the gateway handle it. step is the number of the event.
func (x *randomHistory) event(step int) {
	switch rapid.IntRange(0, 12).Draw(x.rt, "event") {
	case 0, 1, 2:
		x.clientSendsRequest(step)
	case 3:
		x.clientSendsRemainder()
	case 4:
		x.clientDisconnects()
	case 5, 6, 7:
		x.nodeSendsData()
	case 8:
		x.nodeClosesConn()
	case 9:
		x.refuseDials = rapid.IntRange(0, 4).Draw(x.rt, "refuse") == 0
		x.advanceTime(time.Duration(rapid.IntRange(1, 700).Draw(x.rt, "ms")) * time.Millisecond)
	case 10, 11:
		x.nodeSendsRemainder()
	case 12:
		x.advanceShutdown()
	}
}

// advanceShutdown sometimes calls Drain, Shutdown or, after Shutdown, AbortRemaining. Other events
// go on after each of them.
func (x *randomHistory) advanceShutdown() {
	switch step := rapid.IntRange(0, 7).Draw(x.rt, "shutdown"); {
	case step == 0:
		x.gateway.Drain(x.now)
	case step == 1:
		x.gateway.Shutdown(x.now)
		x.stopped = true
	case step >= 2 && x.stopped:
		x.gateway.AbortRemaining(x.now)
	}
	x.runActions()
}

// clientSendsRequest sends a request or the beginning of one, on a new connection or on one that
// has no incomplete request.
func (x *randomHistory) clientSendsRequest(step int) {
	path := fmt.Sprint("/feed-", rapid.SampledFrom([]string{"a", "b"}).Draw(x.rt, "volume"), "/s", step)
	text := getRequest(path)
	switch rapid.IntRange(0, 4).Draw(x.rt, "kind") {
	case 0:
		text = putRequest(path, "segment")
	case 1:
		text = putRequest(path, strings.Repeat("x", 60<<10))
	case 2:
		text = "PROPFIND /feed-b/ HTTP/1.1\r\nHost: h\r\nDepth: 1\r\n\r\n"
	case 3:
		text += getRequest(path + "2")
	}
	sent := len(text)
	if rapid.IntRange(0, 3).Draw(x.rt, "in part") == 0 {
		sent = rapid.IntRange(1, len(text)).Draw(x.rt, "bytes")
	}
	if len(x.clients) > 0 && rapid.Bool().Draw(x.rt, "reuse") {
		if c := x.pickConn(x.clients); x.unsent[c] == "" {
			x.deliver(c, text[:sent])
			x.unsent[c] = text[sent:]
		}
		return
	}
	c := x.connectClient(text[:sent])
	x.clients, x.unsent[c] = append(x.clients, c), text[sent:]
}

// clientSendsRemainder sends the rest of the request that a client has begun, if there is one.
func (x *randomHistory) clientSendsRemainder() {
	if len(x.clients) > 0 {
		c := x.pickConn(x.clients)
		x.deliver(c, x.unsent[c])
		x.unsent[c] = ""
	}
}

func (x *randomHistory) clientDisconnects() {
	if len(x.clients) == 0 {
		return
	}
	if c := x.pickConn(x.clients); rapid.Bool().Draw(x.rt, "half-close") {
		x.gateway.EOF(x.now, c)
	} else {
		x.gateway.Closed(x.now, c)
	}
	x.runActions()
}

// nodeSendsData sends a response or a part of it from a node, valid or not, and sometimes without a
// request.
func (x *randomHistory) nodeSendsData() {
	if len(x.dialed) == 0 {
		return
	}
	n := x.pickConn(x.dialed)
	if x.takeWritten(n) == "" && rapid.IntRange(0, 3).Draw(x.rt, "unrequested") > 0 {
		return
	}
	text := rapid.SampledFrom([]string{
		okResponse("hello"),
		okResponse(strings.Repeat("y", 50<<10)),
		"HTTP/1.1 503 Service Unavailable\r\nMaddergap-Ran: no\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 500 Oops\r\nContent-Length: 2\r\n\r\nno",
		"HTTP/1.1 200 OK\r\n\r\nuntil the end",
		"nonsense\r\n\r\n",
		"HTTP/1.1 207 Multi-Status\r\nContent-Length: 52\r\n\r\n<D:multistatus xmlns:D=\"DAV:\"></D:multistatus>      ",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n5\r\nworld\r\n0\r\n\r\n",
		"HTTP/1.1 207 Multi-Status\r\nTransfer-Encoding: chunked\r\n\r\n2e\r\n<D:multistatus xmlns:D=\"DAV:\"></D:multistatus>\r\n0\r\n\r\n",
	}).Draw(x.rt, "response")
	sent := rapid.SampledFrom([]int{len(text), len(text) / 2, strings.Index(text, "\r\n\r\n") + 8}).Draw(x.rt, "bytes")
	sent = min(sent, len(text))
	x.unsent[n] = text[sent:]
	x.deliver(n, text[:sent])
}

// nodeSendsRemainder sends the rest, or one more byte, of a response that a node has begun.
func (x *randomHistory) nodeSendsRemainder() {
	var streaming []ConnID
	for _, n := range x.dialed {
		if x.unsent[n] != "" && x.findNodeConn(n) != nil {
			streaming = append(streaming, n)
		}
	}
	if len(streaming) == 0 {
		return
	}
	n := x.pickConn(streaming)
	text := x.unsent[n]
	sent := rapid.SampledFrom([]int{len(text), 1}).Draw(x.rt, "bytes")
	x.unsent[n] = text[sent:]
	x.deliver(n, text[:sent])
}

func (x *randomHistory) nodeClosesConn() {
	if len(x.dialed) == 0 {
		return
	}
	if n := x.pickConn(x.dialed); rapid.Bool().Draw(x.rt, "reset") {
		x.gateway.Closed(x.now, n)
	} else {
		x.gateway.EOF(x.now, n)
	}
	x.runActions()
}

// checkRequests checks that no request object serves two requests, and that every request has its
// final response by its deadline, or a node's response that is being forwarded.
func (x *randomHistory) checkRequests() {
	ids := map[*request]uint64{}
	for id, req := range x.gateway.requests.byID {
		if other := ids[req]; other != 0 || req.id != id {
			x.rt.Fatalf("the same object serves requests %d and %d", other, id)
		}
		ids[req] = id
		if !req.response.final && x.now > req.deadline+time.Millisecond && req.response.source == nil {
			x.rt.Fatalf("request %d has no final response %v after its deadline", id, x.now-req.deadline)
		}
	}
}

// checkNoRequestsRemain checks that no request remains at the end of the history.
func (x *randomHistory) checkNoRequestsRemain() {
	g := x.gateway
	if len(g.requests.byID) == 0 {
		return
	}
	for id, req := range g.requests.byID {
		x.rt.Logf("%d: %s, %d attempts in flight of %d, final %v, deadline %v; now %v, scheduler's timer %v, next Advance due at %v, %d timers",
			id, req.method, req.attempts.inFlight, req.attempts.count, req.response.final, req.deadline, x.now, g.scheduler.wakeAt, x.next, len(g.timers.heap))
	}
	x.rt.Log(x.actionLog.String())
	x.rt.Fatalf("%d requests are left, want 0", len(g.requests.byID))
}

// checkCounts checks that the end of each request was reported exactly once, and that the counters
// add up.
func (x *randomHistory) checkCounts() {
	reported := map[string]int{}
	for _, s := range x.spans {
		if s.Node == "" && s.Request != "" {
			if reported[s.Request]++; reported[s.Request] > 1 {
				x.rt.Fatalf("the end of request %s is reported twice, want once", s.Request)
			}
		}
	}
	totals := x.gateway.counts
	if int(totals.Received) != len(reported) {
		x.rt.Fatalf("%d requests received, but the end of %d reported", totals.Received, len(reported))
	}
	if totals.Received != totals.Served+totals.Rejected+totals.Failed+totals.Disconnected {
		x.rt.Fatalf("received is not the sum of the outcomes: %+v", totals)
	}
}

// Guards against requests that are lost or answered twice when clients and nodes leave, go silent,
// or send incomplete or malformed messages. Each submitted request ends once and by its deadline,
// no request is left, no object serves two requests, and Advance returns no endless series of actions.
func TestRandomHistories(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		x := newRandomHistory(t, rt)
		for step := range rapid.IntRange(5, 60).Draw(rt, "steps") {
			x.event(step)
			x.checkRequests()
			if problem := x.gateway.accountingError(); problem != "" {
				rt.Fatal(problem)
			}
		}
		x.advanceTime(30 * time.Second)
		x.checkNoRequestsRemain()
		x.checkCounts()
	})
}

// FuzzClient checks that no input from a client makes the gateway panic, loop, leave a request
// unanswered, or keep more unread bytes than it was sent.
func FuzzClient(f *testing.F) {
	f.Add([]byte(getRequest("/feed-a/s/x")), 10)
	f.Add([]byte(putRequest("/feed-a/s/x", "segment")+getRequest("/")), 70)
	f.Add([]byte("PROPFIND / HTTP/1.1\r\nHost: h\r\nDepth: 1\r\nContent-Length: 3\r\n\r\n<a>"), 1)
	f.Add([]byte("PUT /feed-b/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"), 75)
	f.Fuzz(func(t *testing.T, p []byte, split int) {
		h := newHarness(t, "")
		split = min(max(split, 0), len(p))
		c := h.connectClient(string(p[:split]))
		h.deliver(c, string(p[split:]))
		for range 4 {
			for _, n := range h.dialed {
				if h.takeWritten(n) != "" {
					h.deliver(n, okResponse("x"))
				}
			}
		}
		if conn := h.gateway.conns.findClient(c); conn != nil && len(conn.unread) > len(p) {
			t.Fatalf("%d unread bytes are kept of %d sent", len(conn.unread), len(p))
		}
		h.advanceTime(30 * time.Second)
		if n := len(h.gateway.requests.byID); n != 0 {
			t.Fatalf("%d requests are left, want 0", n)
		}
	})
}

// FuzzNode checks that no input from a node makes the gateway panic, loop or leave a request
// unanswered, and that the client gets a response, or a reset of its connection.
func FuzzNode(f *testing.F) {
	f.Add([]byte(okResponse("hello")), 20)
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"), 40)
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 Busy\r\nMaddergap-Ran: no\r\nContent-Length: 0\r\n\r\n"), 9)
	f.Fuzz(func(t *testing.T, p []byte, split int) {
		h := newHarness(t, "")
		c := h.connectClient(getRequest("/feed-a/s/x"))
		n := h.nodeConn(0)
		split = min(max(split, 0), len(p))
		h.deliver(n, string(p[:split]))
		h.deliver(n, string(p[split:]))
		h.advanceTime(30 * time.Second)
		if n := len(h.gateway.requests.byID); n != 0 {
			t.Fatalf("%d requests are left, want 0", n)
		}
		if got := h.takeWritten(c); got == "" && h.closedBy[c] != Abort {
			t.Fatal("the client got neither a response nor a reset of its connection")
		}
	})
}

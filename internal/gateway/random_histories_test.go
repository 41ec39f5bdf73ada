package gateway

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// randomHistory is a random history of clients and nodes, in which every event is handled
// before the next.
type randomHistory struct {
	*harness
	rt      *rapid.T
	clients []ConnID
	unsent  map[ConnID]string // the rest of the request that a client has begun, or of a node's response
	stopped bool              // the gateway was told to shut down
}

func newRandomHistory(t *testing.T, rt *rapid.T) *randomHistory {
	return &randomHistory{harness: newHarness(t, ""), rt: rt, unsent: map[ConnID]string{}}
}

func (x *randomHistory) pick(conns []ConnID) ConnID {
	return conns[rapid.IntRange(0, len(conns)-1).Draw(x.rt, "which")]
}

// event draws one event and has it handled. step is its number.
func (x *randomHistory) event(step int) {
	switch rapid.IntRange(0, 12).Draw(x.rt, "event") {
	case 0, 1, 2:
		x.clientSendsRequest(step)
	case 3:
		x.clientSendsRest()
	case 4:
		x.clientLeaves()
	case 5, 6, 7:
		x.nodeSendsData()
	case 8:
		x.nodeClosesConn()
	case 9:
		x.refuseDials = rapid.IntRange(0, 4).Draw(x.rt, "refuse") == 0
		x.advanceTime(time.Duration(rapid.IntRange(1, 700).Draw(x.rt, "ms")) * time.Millisecond)
	case 10, 11:
		x.nodeSendsRest()
	case 12:
		x.shutdownAdvances()
	}
}

// shutdownAdvances takes the gateway one step further in its shutdown, now and then. Events go
// on after each step, also after the abort.
func (x *randomHistory) shutdownAdvances() {
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

// clientSendsRequest sends a request or its beginning, on a connection that has none begun
// or on a new one.
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
		if c := x.pick(x.clients); x.unsent[c] == "" {
			x.deliver(c, text[:sent])
			x.unsent[c] = text[sent:]
		}
		return
	}
	c := x.connectClient(text[:sent])
	x.clients, x.unsent[c] = append(x.clients, c), text[sent:]
}

func (x *randomHistory) clientSendsRest() {
	if len(x.clients) > 0 {
		c := x.pick(x.clients)
		x.deliver(c, x.unsent[c])
		x.unsent[c] = ""
	}
}

func (x *randomHistory) clientLeaves() {
	if len(x.clients) == 0 {
		return
	}
	if c := x.pick(x.clients); rapid.Bool().Draw(x.rt, "half-close") {
		x.gateway.EOF(x.now, c)
	} else {
		x.gateway.Closed(x.now, c)
	}
	x.runActions()
}

// nodeSendsData has a node send a response or half of it, good or bad, sometimes without a
// request.
func (x *randomHistory) nodeSendsData() {
	if len(x.dialed) == 0 {
		return
	}
	n := x.pick(x.dialed)
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

// nodeSendsRest has a node go on with a response that it has begun, up to its end or not.
func (x *randomHistory) nodeSendsRest() {
	var streaming []ConnID
	for _, n := range x.dialed {
		if x.unsent[n] != "" && x.findNodeConn(n) != nil {
			streaming = append(streaming, n)
		}
	}
	if len(streaming) == 0 {
		return
	}
	n := x.pick(streaming)
	text := x.unsent[n]
	sent := rapid.SampledFrom([]int{len(text), 1}).Draw(x.rt, "bytes")
	x.unsent[n] = text[sent:]
	x.deliver(n, text[:sent])
}

func (x *randomHistory) nodeClosesConn() {
	if len(x.dialed) == 0 {
		return
	}
	if n := x.pick(x.dialed); rapid.Bool().Draw(x.rt, "reset") {
		x.gateway.Closed(x.now, n)
	} else {
		x.gateway.EOF(x.now, n)
	}
	x.runActions()
}

// checkRequests checks that no request object serves two requests, and that every request
// has its final response by its deadline.
func (x *randomHistory) checkRequests() {
	ids := map[*request]uint64{}
	for id, req := range x.gateway.requests.byID {
		if other := ids[req]; other != 0 || req.id != id {
			x.rt.Fatalf("one object serves requests %d and %d", other, id)
		}
		ids[req] = id
		if !req.response.final && x.now > req.deadline+time.Millisecond && req.response.source == nil {
			x.rt.Fatalf("request %d has no response %v after its deadline", id, x.now-req.deadline)
		}
	}
}

// checkNothingLeft checks that no request is left when the history is over.
func (x *randomHistory) checkNothingLeft() {
	g := x.gateway
	if len(g.requests.byID) == 0 {
		return
	}
	for id, req := range g.requests.byID {
		x.rt.Logf("%d: %s, %d attempts in flight of %d, final %v, deadline %v; now %v, scheduler's timer %v, next %v, %d timers",
			id, req.method, req.attempts.inFlight, req.attempts.count, req.response.final, req.deadline, x.now, g.scheduler.wakeAt, x.next, len(g.timers.heap))
	}
	x.rt.Log(x.actionLog.String())
	x.rt.Fatalf("%d requests are left", len(g.requests.byID))
}

// checkCounts checks that each request was reported once, and that the counters add up.
func (x *randomHistory) checkCounts() {
	reported := map[string]int{}
	for _, s := range x.spans {
		if s.Node == "" && s.Request != "" {
			if reported[s.Request]++; reported[s.Request] > 1 {
				x.rt.Fatalf("%s has two final responses", s.Request)
			}
		}
	}
	c := x.gateway.counts
	if int(c.Received) != len(reported) {
		x.rt.Fatalf("%d requests received, %d final responses", c.Received, len(reported))
	}
	if c.Received != c.Served+c.Rejected+c.Failed+c.Disconnected {
		x.rt.Fatalf("counters do not add up: %+v", c)
	}
}

// Clients and nodes that leave, go silent, send half of something or nonsense must not cost
// the gateway a request: each one submitted has one final response by its deadline, none
// is left, no object serves two at once, and the gateway comes to rest.
func TestRandomHistories(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		x := newRandomHistory(t, rt)
		for step := range rapid.IntRange(5, 60).Draw(rt, "steps") {
			x.event(step)
			x.checkRequests()
		}
		x.advanceTime(30 * time.Second)
		x.checkNothingLeft()
		x.checkCounts()
	})
}

// FuzzClient checks that no bytes of a client crash the gateway, make it spin, or make it
// buffer more than its limits.
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
			t.Fatalf("%d bytes are kept of %d", len(conn.unread), len(p))
		}
		h.advanceTime(30 * time.Second)
		if n := len(h.gateway.requests.byID); n != 0 {
			t.Fatalf("%d requests are left", n)
		}
	})
}

// FuzzNode checks the same of the bytes of a node, and that its client has a response or
// the end of its connection.
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
			t.Fatalf("%d requests are left", n)
		}
		if got := h.takeWritten(c); got == "" && h.closedBy[c] != Abort {
			t.Fatal("no response, and no end of the connection that could stand for one")
		}
	})
}

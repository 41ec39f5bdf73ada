package gateway

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Over random histories of clients and nodes: every request taken has one final
// answer by its deadline, nothing is held for good, no object serves two requests
// at once, and the head comes to rest.
func TestRandomHistories(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := newHarness(t, "")
		var clients []ConnID
		sent := map[ConnID]string{} // what a client began and did not end
		pick := func(list []ConnID) ConnID { return list[rapid.IntRange(0, len(list)-1).Draw(rt, "which")] }
		for step := range rapid.IntRange(5, 60).Draw(rt, "steps") {
			switch rapid.IntRange(0, 9).Draw(rt, "what") {
			case 0, 1, 2: // a request
				path := fmt.Sprint("/feed-", rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "volume"), "/s", step)
				text := getRequest(path)
				switch rapid.IntRange(0, 4).Draw(rt, "kind") {
				case 0:
					text = putRequest(path, "segment")
				case 1:
					text = putRequest(path, strings.Repeat("x", 60<<10))
				case 2:
					text = "PROPFIND /feed-b/ HTTP/1.1\r\nHost: h\r\nDepth: 1\r\n\r\n"
				case 3:
					text += getRequest(path + "2")
				}
				cut := len(text)
				if rapid.IntRange(0, 3).Draw(rt, "cut") == 0 {
					cut = rapid.IntRange(1, len(text)).Draw(rt, "at")
				}
				if len(clients) > 0 && rapid.Bool().Draw(rt, "again") {
					c := pick(clients)
					if sent[c] == "" {
						h.deliver(c, text[:cut])
						sent[c] = text[cut:]
					}
					continue
				}
				c := h.connectClient(text[:cut])
				clients, sent[c] = append(clients, c), text[cut:]
			case 3: // the rest of one
				if len(clients) > 0 {
					c := pick(clients)
					h.deliver(c, sent[c])
					sent[c] = ""
				}
			case 4: // a client leaves
				if len(clients) > 0 {
					if c := pick(clients); rapid.Bool().Draw(rt, "half") {
						h.gateway.EOF(h.now, c)
					} else {
						h.gateway.Closed(h.now, c)
					}
					h.runActions()
				}
			case 5, 6, 7: // a node answers, perhaps in part, perhaps badly
				if len(h.dialed) > 0 {
					n := pick(h.dialed)
					if h.takeWritten(n) == "" && rapid.IntRange(0, 3).Draw(rt, "unasked") > 0 {
						continue
					}
					text := rapid.SampledFrom([]string{okResponse("hello"), okResponse(strings.Repeat("y", 50<<10)),
						"HTTP/1.1 503 Service Unavailable\r\nMaddergap-Ran: no\r\nContent-Length: 0\r\n\r\n",
						"HTTP/1.1 500 Oops\r\nContent-Length: 2\r\n\r\nno", "HTTP/1.1 200 OK\r\n\r\nuntil the end", "nonsense\r\n\r\n",
						"HTTP/1.1 207 Multi-Status\r\nContent-Length: 52\r\n\r\n<D:multistatus xmlns:D=\"DAV:\"></D:multistatus>      "}).Draw(rt, "answer")
					h.deliver(n, text[:rapid.SampledFrom([]int{len(text), len(text) / 2}).Draw(rt, "part")])
				}
			case 8: // a node's connection ends
				if len(h.dialed) > 0 {
					if n := pick(h.dialed); rapid.Bool().Draw(rt, "reset") {
						h.gateway.Closed(h.now, n)
					} else {
						h.gateway.EOF(h.now, n)
					}
					h.runActions()
				}
			case 9:
				h.refuseDials = rapid.IntRange(0, 4).Draw(rt, "refuse") == 0
				h.advanceTime(time.Duration(rapid.IntRange(1, 700).Draw(rt, "ms")) * time.Millisecond)
			}
			holders := map[*request]uint64{}
			for id, req := range h.gateway.requests.byID {
				if other := holders[req]; other != 0 || req.id != id {
					rt.Fatalf("one object serves requests %d and %d", other, id)
				}
				holders[req] = id
				if !req.response.final && h.now > req.deadline+time.Millisecond && req.response.source == nil {
					rt.Fatalf("request %d has no answer %v after its deadline", id, h.now-req.deadline)
				}
			}
		}
		h.advanceTime(30 * time.Second)
		if n := len(h.gateway.requests.byID); n != 0 {
			for id, req := range h.gateway.requests.byID {
				rt.Logf("%d: %s live %d sends %d final %v due %v; now %v wake %v next %v timers %d", id, req.method, req.attempts.inFlight, req.attempts.count, req.response.final, req.deadline, h.now, h.gateway.wakeAt, h.next, len(h.gateway.timers.heap))
			}
			rt.Log(h.actionLog.String())
			rt.Fatalf("%d requests are held for good", n)
		}
		seen := map[string]int{}
		for _, s := range h.spans {
			if s.Node == "" && s.Request != "" {
				if seen[s.Request]++; seen[s.Request] > 1 {
					rt.Fatalf("%s has two final answers", s.Request)
				}
			}
		}
		if int(h.gateway.counts.Received) != len(seen) {
			rt.Fatalf("%d taken, %d final answers", h.gateway.counts.Received, len(seen))
		}
		c := h.gateway.counts
		if c.Received != c.Served+c.Rejected+c.Failed+c.Disconnected {
			rt.Fatalf("sums do not add up: %+v", c)
		}
	})
}

// FuzzClient holds that no bytes of a client take the head down, make it spin,
// or make it keep more than its bounds.
func FuzzClient(f *testing.F) {
	f.Add([]byte(getRequest("/feed-a/s/x")), 10)
	f.Add([]byte(putRequest("/feed-a/s/x", "segment")+getRequest("/")), 70)
	f.Add([]byte("PROPFIND / HTTP/1.1\r\nHost: h\r\nDepth: 1\r\nContent-Length: 3\r\n\r\n<a>"), 1)
	f.Add([]byte("PUT /feed-b/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"), 75)
	f.Fuzz(func(t *testing.T, p []byte, cut int) {
		h := newHarness(t, "")
		cut = min(max(cut, 0), len(p))
		c := h.connectClient(string(p[:cut]))
		h.deliver(c, string(p[cut:]))
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
		if len(h.gateway.requests.byID) != 0 {
			t.Fatalf("%d requests are held for good", len(h.gateway.requests.byID))
		}
	})
}

// FuzzNode is the same of a node's bytes.
func FuzzNode(f *testing.F) {
	f.Add([]byte(okResponse("hello")), 20)
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"), 40)
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 Busy\r\nMaddergap-Ran: no\r\nContent-Length: 0\r\n\r\n"), 9)
	f.Fuzz(func(t *testing.T, p []byte, cut int) {
		h := newHarness(t, "")
		c := h.connectClient(getRequest("/feed-a/s/x"))
		n := h.nodeConn(0)
		cut = min(max(cut, 0), len(p))
		h.deliver(n, string(p[:cut]))
		h.deliver(n, string(p[cut:]))
		h.advanceTime(30 * time.Second)
		if len(h.gateway.requests.byID) != 0 {
			t.Fatalf("%d requests are held for good", len(h.gateway.requests.byID))
		}
		if got := h.takeWritten(c); got == "" && h.closedBy[c] != Abort {
			t.Fatal("no answer, and no end of the connection that could stand for one")
		}
	})
}

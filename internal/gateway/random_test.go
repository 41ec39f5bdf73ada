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
		r := newRig(t, "")
		var clients []ConnID
		sent := map[ConnID]string{} // what a client began and did not end
		pick := func(list []ConnID) ConnID { return list[rapid.IntRange(0, len(list)-1).Draw(rt, "which")] }
		for step := range rapid.IntRange(5, 60).Draw(rt, "steps") {
			switch rapid.IntRange(0, 9).Draw(rt, "what") {
			case 0, 1, 2: // a request
				path := fmt.Sprint("/feed-", rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "volume"), "/s", step)
				text := get(path)
				switch rapid.IntRange(0, 4).Draw(rt, "kind") {
				case 0:
					text = put(path, "segment")
				case 1:
					text = put(path, strings.Repeat("x", 60<<10))
				case 2:
					text = "PROPFIND /feed-b/ HTTP/1.1\r\nHost: h\r\nDepth: 1\r\n\r\n"
				case 3:
					text += get(path + "2")
				}
				cut := len(text)
				if rapid.IntRange(0, 3).Draw(rt, "cut") == 0 {
					cut = rapid.IntRange(1, len(text)).Draw(rt, "at")
				}
				if len(clients) > 0 && rapid.Bool().Draw(rt, "again") {
					c := pick(clients)
					if sent[c] == "" {
						r.say(c, text[:cut])
						sent[c] = text[cut:]
					}
					continue
				}
				c := r.client(text[:cut])
				clients, sent[c] = append(clients, c), text[cut:]
			case 3: // the rest of one
				if len(clients) > 0 {
					c := pick(clients)
					r.say(c, sent[c])
					sent[c] = ""
				}
			case 4: // a client leaves
				if len(clients) > 0 {
					if c := pick(clients); rapid.Bool().Draw(rt, "half") {
						r.h.EOF(r.now, c)
					} else {
						r.h.Closed(r.now, c)
					}
					r.run()
				}
			case 5, 6, 7: // a node answers, perhaps in part, perhaps badly
				if len(r.dials) > 0 {
					n := pick(r.dials)
					if r.take(n) == "" && rapid.IntRange(0, 3).Draw(rt, "unasked") > 0 {
						continue
					}
					text := rapid.SampledFrom([]string{ok("hello"), ok(strings.Repeat("y", 50<<10)),
						"HTTP/1.1 503 Service Unavailable\r\nMaddergap-Ran: no\r\nContent-Length: 0\r\n\r\n",
						"HTTP/1.1 500 Oops\r\nContent-Length: 2\r\n\r\nno", "HTTP/1.1 200 OK\r\n\r\nuntil the end", "nonsense\r\n\r\n",
						"HTTP/1.1 207 Multi-Status\r\nContent-Length: 52\r\n\r\n<D:multistatus xmlns:D=\"DAV:\"></D:multistatus>      "}).Draw(rt, "answer")
					r.say(n, text[:rapid.SampledFrom([]int{len(text), len(text) / 2}).Draw(rt, "part")])
				}
			case 8: // a node's connection ends
				if len(r.dials) > 0 {
					if n := pick(r.dials); rapid.Bool().Draw(rt, "reset") {
						r.h.Closed(r.now, n)
					} else {
						r.h.EOF(r.now, n)
					}
					r.run()
				}
			case 9:
				r.refuse = rapid.IntRange(0, 4).Draw(rt, "refuse") == 0
				r.pass(time.Duration(rapid.IntRange(1, 700).Draw(rt, "ms")) * time.Millisecond)
			}
			holders := map[*exchange]uint64{}
			for id, ex := range r.h.requests.byID {
				if other := holders[ex]; other != 0 || ex.id != id {
					rt.Fatalf("one object serves requests %d and %d", other, id)
				}
				holders[ex] = id
				if !ex.answer.final && r.now > ex.deadline+time.Millisecond && ex.answer.from == nil {
					rt.Fatalf("request %d has no answer %v after its deadline", id, r.now-ex.deadline)
				}
			}
		}
		r.pass(30 * time.Second)
		if n := len(r.h.requests.byID); n != 0 {
			for id, ex := range r.h.requests.byID {
				rt.Logf("%d: %s live %d sends %d final %v due %v; now %v wake %v next %v timers %d", id, ex.method, ex.attempts.inFlight, ex.attempts.count, ex.answer.final, ex.deadline, r.now, r.h.wakeAt, r.next, len(r.h.timers.heap))
			}
			rt.Log(r.log.String())
			rt.Fatalf("%d requests are held for good", n)
		}
		seen := map[string]int{}
		for _, s := range r.spans {
			if s.Node == "" && s.Request != "" {
				if seen[s.Request]++; seen[s.Request] > 1 {
					rt.Fatalf("%s has two final answers", s.Request)
				}
			}
		}
		if int(r.h.counts.Received) != len(seen) {
			rt.Fatalf("%d taken, %d final answers", r.h.counts.Received, len(seen))
		}
		c := r.h.counts
		if c.Received != c.Served+c.Rejected+c.Failed+c.Disconnected {
			rt.Fatalf("sums do not add up: %+v", c)
		}
	})
}

// FuzzClient holds that no bytes of a client take the head down, make it spin,
// or make it keep more than its bounds.
func FuzzClient(f *testing.F) {
	f.Add([]byte(get("/feed-a/s/x")), 10)
	f.Add([]byte(put("/feed-a/s/x", "segment")+get("/")), 70)
	f.Add([]byte("PROPFIND / HTTP/1.1\r\nHost: h\r\nDepth: 1\r\nContent-Length: 3\r\n\r\n<a>"), 1)
	f.Add([]byte("PUT /feed-b/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"), 75)
	f.Fuzz(func(t *testing.T, p []byte, cut int) {
		r := newRig(t, "")
		cut = min(max(cut, 0), len(p))
		c := r.client(string(p[:cut]))
		r.say(c, string(p[cut:]))
		for range 4 {
			for _, n := range r.dials {
				if r.take(n) != "" {
					r.say(n, ok("x"))
				}
			}
		}
		if conn := r.h.conns.find(c); conn != nil && len(conn.in) > len(p) {
			t.Fatalf("%d bytes are kept of %d", len(conn.in), len(p))
		}
		r.pass(30 * time.Second)
		if len(r.h.requests.byID) != 0 {
			t.Fatalf("%d requests are held for good", len(r.h.requests.byID))
		}
	})
}

// FuzzNode is the same of a node's bytes.
func FuzzNode(f *testing.F) {
	f.Add([]byte(ok("hello")), 20)
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"), 40)
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 Busy\r\nMaddergap-Ran: no\r\nContent-Length: 0\r\n\r\n"), 9)
	f.Fuzz(func(t *testing.T, p []byte, cut int) {
		r := newRig(t, "")
		c := r.client(get("/feed-a/s/x"))
		n := r.node(0)
		cut = min(max(cut, 0), len(p))
		r.say(n, string(p[:cut]))
		r.say(n, string(p[cut:]))
		r.pass(30 * time.Second)
		if len(r.h.requests.byID) != 0 {
			t.Fatalf("%d requests are held for good", len(r.h.requests.byID))
		}
		if got := r.take(c); got == "" && r.ended[c] != Abort {
			t.Fatal("no answer, and no end of the connection that could stand for one")
		}
	})
}

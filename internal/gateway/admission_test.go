package gateway

import (
	"net/netip"
	"strings"
	"testing"
	"time"
)

// come is a new client connection from an address.
func (r *rig) come(addr string) ConnID {
	w := r.h.Accept(r.now, netip.MustParseAddrPort(addr), 0)
	if !w.Admitted {
		r.t.Fatalf("%s is not admitted: %q", addr, w.Answer)
	}
	r.run()
	return w.ID
}

// A body that moves a byte now and then, never standing still for long, is given up.
func TestBodyPace(t *testing.T) {
	r := newRig(t, "pace body 100 after 5s\n")
	c := r.client("PUT /feed-a/s/x HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n")
	for i := 0; r.take(c) == "" && i < 20; i++ {
		r.pass(time.Second)
		r.say(c, "x")
		if got := r.take(c); got != "" {
			if i < 4 || i > 6 {
				t.Errorf("given up after %d s, want 5", i)
			}
			r.want("the answer", got, "408 ")
			return
		}
	}
	t.Error("it is held for ever")
}

// One that keeps the pace is not, however long it takes.
func TestBodyKeepsPace(t *testing.T) {
	r := newRig(t, "pace body 100 after 2s\n")
	c := r.client("PUT /feed-a/s/x HTTP/1.1\r\nHost: h\r\nContent-Length: 3000\r\n\r\n")
	for range 20 {
		r.pass(time.Second)
		r.say(c, strings.Repeat("x", 150))
	}
	if r.ended[c] != 0 || r.take(c) != "" {
		t.Error("given up though it moves")
	}
}

// A reader that takes a few bytes now and then is dropped; its node is not held.
func TestAnswerPace(t *testing.T) {
	r := newRig(t, "pace answer 1k after 5s\n")
	c := r.client(get("/feed-a/s/x"))
	r.stuck[c] = true
	r.say(r.node(0), "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n"+strings.Repeat("y", 60000))
	r.say(r.node(0), "y") // more than is held: the node waits
	for range 20 {
		r.pass(time.Second)
		if _, gone := r.ended[c]; gone {
			if at := r.now - 24*time.Hour; at < 4*time.Second || at > 7*time.Second {
				t.Errorf("dropped after %v, want about 5 s", at)
			}
			return
		}
		r.h.Wrote(r.now, c, 100)
		r.run()
	}
	t.Error("it is served for ever")
}

// A connection has so many requests, and its last answer says that it ends.
func TestRequestsOfAConnection(t *testing.T) {
	r := newRig(t, "requests 2\n")
	c := r.client(get("/feed-a/s/x"))
	r.say(r.node(0), ok("one"))
	if got := r.take(c); strings.Contains(got, "Connection: close") {
		t.Errorf("%q", got)
	}
	r.say(c, get("/feed-a/s/x"))
	r.say(r.node(0), ok("two"))
	r.want("the last answer", r.take(c), "two", "Connection: close")
	r.parted(c)
}

// For a known client a request that has not come whole gives way; one that is taken,
// and an answer that is still to be written, do not.
func TestWhoGivesWay(t *testing.T) {
	r := newRig(t, "clients 3\nadmit reserve 1\nknown 10.0.0.0/8\n")
	slow := r.come("1.1.1.1:1")
	r.say(slow, "PUT /feed-a/s/x HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\nabc")
	taken := r.come("1.1.1.2:1")
	r.say(taken, get("/feed-a/s/x"))
	third := r.come("10.0.0.1:1")
	r.say(third, get("/feed-a/s/x"))
	r.come("10.0.0.2:1")
	if _, gone := r.ended[slow]; !gone {
		t.Fatal("the request that was not taken did not give way")
	}
	r.stuck[taken] = true
	r.say(r.node(0), ok("answer"))
	if w := r.h.Accept(r.now, netip.MustParseAddrPort("10.0.0.3:1"), 0); w.Admitted {
		t.Error("an answer that is still to be written gave way")
	}
	r.stuck[taken] = false
	r.write(taken)
	r.run()
	r.want("the answer", r.take(taken), "answer")
	r.come("10.0.0.4:1") // now it is idle
	if r.ended[taken] != Close {
		t.Errorf("the idle connection did not give way: %v", r.ended)
	}
}

// Past the bound of all buffers no request of an unknown client begins, each
// connection holds its least alone, and all is as before when they have drained.
func TestBuffersInAll(t *testing.T) {
	r := newRig(t, "clients 4\nadmit reserve 1\nbuffers 40k\nknown 10.0.0.0/8\n")
	var readers []ConnID
	for i := range 2 {
		c := r.come("1.1.1.1:1")
		readers = append(readers, c)
		r.stuck[c] = true
		r.say(c, get("/feed-a/s/x"))
		r.say(r.node(i), "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n")
		for range 30 {
			if !r.paused[r.node(i)] {
				r.say(r.node(i), strings.Repeat("y", 1000))
			}
		}
	}
	if n := r.h.Counts().BufferedBytes; n < 30<<10 || n > 50<<10 {
		t.Errorf("%d bytes held, the bound is 40k and some", n)
	}
	if !r.paused[r.node(1)] {
		t.Error("the second node is read on past the bound")
	}
	other := r.come("1.1.1.3:1")
	r.say(other, get("/feed-a/s/x"))
	r.want("the answer past the bound", r.take(other), "503 ", "buffers", "no harm")
	for i, c := range readers {
		r.stuck[c] = false
		for range 300 {
			r.write(c)
			r.run()
			if !r.paused[r.node(i)] && r.h.conns.find(r.node(i)).at != nil {
				r.say(r.node(i), strings.Repeat("y", 1000))
			}
		}
		if got := strings.Count(r.take(c), "y"); got != 100000 {
			t.Errorf("reader %d got %d bytes", i, got)
		}
	}
	if n := r.h.Counts().BufferedBytes; n != 0 {
		t.Errorf("%d bytes are still booked", n)
	}
	again := r.come("1.1.1.4:1")
	r.say(again, get("/feed-a/s/x"))
	for i := range 2 {
		if n := r.h.conns.find(r.node(i)); n != nil && n.at != nil {
			r.say(r.node(i), ok("well"))
		}
	}
	r.want("the answer after it", r.take(again), "200 OK", "well")
}

// What is turned away costs no slot and no timer, and is told so within the budget.
func TestTurnedAwayCostsNothing(t *testing.T) {
	r := newRig(t, "clients 1\nadmit answers 1 answers-burst 2\n")
	r.come("1.1.1.1:1")
	slots, timers := len(r.h.conns.slots), len(r.h.timers.heap)
	told := 0
	for range 1000 {
		w := r.h.Accept(r.now, netip.MustParseAddrPort("1.1.1.2:1"), 0)
		if w.Admitted {
			t.Fatal("past its cap")
		}
		if len(w.Answer) > 0 {
			told++
			r.want("the answer", string(w.Answer), "HTTP/1.1 503 ", "Retry-After: 1\r\n", "Connection: close\r\n\r\ntoo many connections (total)")
		}
	}
	if told != 2 || len(r.h.conns.slots) != slots || len(r.h.timers.heap) != timers {
		t.Errorf("%d told, %d slots, %d timers", told, len(r.h.conns.slots), len(r.h.timers.heap))
	}
}

// A head that is called late takes that twice from its clients' time, so that the
// last answer is still in time; half of the time is left whatever happens, and the
// lag is forgotten.
func TestLag(t *testing.T) {
	last := func(lateBy, after time.Duration) time.Duration {
		r := newRig(t, "")
		r.refuse = true // no node is reached: the answer is the head's own, at the end
		first := r.client(get("/feed-a/s/x"))
		if lateBy > 0 {
			r.now = r.next + lateBy
			r.run()
		}
		r.pass(after)
		r.h.Closed(r.now, first)
		r.run()
		c, began := r.client(get("/feed-a/s/y")), r.now
		for range 10000 {
			if r.take(c) != "" {
				return r.now - began
			}
			r.pass(time.Millisecond)
		}
		t.Fatal("no answer")
		return 0
	}
	calm, late, fast, old := last(0, 0), last(60*time.Millisecond, 0), last(5*time.Second, 0), last(60*time.Millisecond, 30*time.Second)
	if d := calm - late; d < 100*time.Millisecond || d > 130*time.Millisecond {
		t.Errorf("answered after %v, %v when called 60 ms late: want 120 ms sooner", calm, late)
	}
	if fast < calm/3 {
		t.Errorf("answered after %v: half of %v is the client's whatever happens", fast, calm)
	}
	if d := calm - old; d > 5*time.Millisecond || d < -5*time.Millisecond {
		t.Errorf("answered after %v long after it was late, %v in calm", old, calm)
	}
}

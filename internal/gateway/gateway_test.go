package gateway

import (
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"maddergap/internal/config"
	"maddergap/internal/nodelist"
	"maddergap/scheduler"
)

// One request goes through the gateway to a node, and its response back, with no
// descriptor and no real clock: the fields that are added, the trace, a response that
// arrives in pieces, and the reuse of both connections.
func TestRequestReachesNodeAndResponseReturns(t *testing.T) {
	h := newHarness(t, "")
	c := h.connectClient(getRequest("/feed-a/s/x", "traceparent: 00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"))
	n := h.nodeConn(0)
	got := h.takeWritten(n)
	h.wantContains("at the node", got, "GET /feed-a/s/x HTTP/1.1\r\n", "Host: h\r\n", "Via: 1.1 maddergap", "X-Request-Id: ", "Maddergap-Attempt: 0", "traceparent: 00-0af7651916cd43dd8448eb211c80319c-")
	if strings.Contains(got, "b7ad6b7169203331") {
		t.Error("the attempt goes under the client's span, not its own")
	}
	h.now += 5 * time.Millisecond
	h.deliver(n, "HTTP/1.1 200 OK\r\nContent-Le")
	h.deliver(n, "ngth: 6\r\nETag: \"e\"\r\n\r\nabc")
	h.deliver(n, "def")
	h.wantContains("the response", h.takeWritten(c), "HTTP/1.1 200 OK\r\n", "Content-Length: 6\r\n", "ETag: \"e\"", "X-Request-Id: ", "\r\n\r\nabcdef")
	h.wantOutcomes(map[Outcome]int{Served: 1})
	if s := h.spans[0]; s.Node != "n0" || s.AttemptOutcome != scheduler.OK || s.Parent != h.spans[1].ID || fmt.Sprintf("%x", h.spans[1].Parent) != "b7ad6b7169203331" {
		t.Errorf("spans %+v", h.spans)
	}
	// Both connections are reused for the next request.
	h.deliver(c, getRequest("/feed-a/s/y"))
	if len(h.dialed) != 1 {
		t.Errorf("%d connections, want the first one again", len(h.dialed))
	}
}

// An incident is replayed from its seed and events, which needs the gateway to be
// deterministic: the same seed and events give the same actions.
func TestSameEventsSameActions(t *testing.T) {
	run := func() string {
		h := newHarness(t, "")
		for i := range 20 {
			c := h.connectClient(getRequest(fmt.Sprint("/feed-b/s", i, "/x")))
			h.advanceTime(3 * time.Millisecond)
			if i%5 == 4 {
				h.gateway.Closed(h.now, c)
			}
			for _, n := range h.dialed {
				if h.takeWritten(n) != "" && i%3 > 0 {
					h.deliver(n, okResponse("x"))
				}
			}
		}
		h.advanceTime(2 * time.Second)
		return h.actionLog.String()
	}
	if a, b := run(), run(); a != b || len(a) < 500 {
		t.Errorf("two runs differ, or did nothing:\n%.500s\n%.500s", a, b)
	}
}

// The hot path: a request on open connections takes few allocations, most of them the
// scheduler's.
func TestAllocationsPerRequest(t *testing.T) {
	h := newHarness(t, "")
	h.gateway.observer = nil
	c := h.connectClient(getRequest("/feed-a/s/x"))
	n := h.nodeConn(0)
	response, request := []byte(okResponse("hello")), []byte(getRequest("/feed-a/s/x"))
	runActions := func() {
		for {
			acts, _ := h.gateway.Advance(h.now)
			if len(acts) == 0 {
				return
			}
			for _, a := range acts {
				if a.Op == Flush {
					h.gateway.Wrote(h.now, a.Conn, len(h.gateway.Out(h.now, a.Conn)))
				}
			}
		}
	}
	h.gateway.Data(h.now, n, response)
	runActions()
	allocs := testing.AllocsPerRun(200, func() {
		h.now += time.Millisecond
		h.gateway.Data(h.now, c, request)
		runActions()
		h.gateway.Data(h.now, n, response)
		runActions()
	})
	if allocs > 12 {
		t.Errorf("%v allocations a request, want 12 at most (most are the scheduler's)", allocs)
	}
	t.Logf("%v allocations a request", allocs)
}

// timerScheduler is a Scheduler that sets one of the timers at each event.
type timerScheduler struct {
	timers  []time.Duration
	firedAt []Time
}

func (c *timerScheduler) Handle(now Time, events []scheduler.Event) (acts []scheduler.Action) {
	for _, e := range events {
		if _, ok := e.(scheduler.TimerFired); ok {
			c.firedAt = append(c.firedAt, now)
		} else if len(c.timers) > 0 {
			acts = append(acts, scheduler.SetTimer{After: c.timers[0]})
			c.timers = c.timers[1:]
		}
	}
	return acts
}

// A timer of the scheduler replaces the one before, also by a later time. Were the earlier
// one kept, the scheduler would take its firing for the timer that it waits for, and would
// set no other.
func TestSchedulerTimerIsReplaced(t *testing.T) {
	h := newHarness(t, "")
	timers := &timerScheduler{timers: []time.Duration{10 * time.Millisecond, 20 * time.Millisecond}}
	h.gateway.scheduler.impl = timers
	began := h.now
	h.connectClient(getRequest("/feed-a/s/x"))
	h.connectClient(getRequest("/feed-a/s/y"))
	h.advanceTime(100 * time.Millisecond)
	if len(timers.firedAt) != 1 || timers.firedAt[0] != began+20*time.Millisecond {
		t.Errorf("fired at %v, want once after 20ms", timers.firedAt)
	}
}

// A client that leaves in the middle of a long body ends its request on two ways. The
// request must be given back for reuse once: given back twice, it would serve two clients
// at once.
func TestRequestIsRecycledOnce(t *testing.T) {
	h := newHarness(t, "")
	for i := range 5 {
		c := h.connectClient(putRequest("/feed-a/s/x", strings.Repeat("x", 40<<10))[:20<<10])
		h.gateway.Closed(h.now, c)
		h.runActions()
		h.advanceTime(time.Duration(i) * time.Second)
	}
	seen := map[*request]bool{}
	for _, req := range h.gateway.requests.free {
		if seen[req] {
			t.Fatal("a request is in the free list twice")
		}
		seen[req] = true
	}
}

// A configuration without a volume is loaded while a request to that volume is under way.
// That request is completed, and the next one is answered 404. What only a restart can
// change is rejected.
func TestReloadDuringRequest(t *testing.T) {
	h := newHarness(t, "")
	c := h.connectClient(getRequest("/feed-b/s/x"))
	n := h.nodeConn(0)
	less, err := config.Parse("harness", []byte(strings.Replace(harnessConfig, "volume feed-b plan p shards 0,1\n", "", 1)))
	if err != nil {
		t.Fatal(err)
	}
	if err := h.gateway.Reload(less); err != nil {
		t.Fatal(err)
	}
	h.deliver(n, okResponse("still"))
	h.wantContains("the response", h.takeWritten(c), "200 OK", "still")
	h.deliver(c, getRequest("/feed-b/s/x"))
	h.wantContains("the response", h.takeWritten(c), "404 Not Found")
	if h.spans[1].Volume != "feed-b" {
		t.Errorf("%+v", h.spans[1])
	}
	other, err := config.Parse("harness", []byte(harnessConfig+"heads 3\n"))
	if err != nil {
		t.Fatal(err)
	}
	if err := h.gateway.Reload(other); !errors.Is(err, ErrRestartRequired) {
		t.Errorf("a reload that changes the number of instances gives %v", err)
	}
}

// A connection is preempted for a new one. The driver has yet to close the old one, so the
// new one must not get its slot: the driver would close it in place of the old one. Later
// the slot is used again.
func TestSlotIsReusedOnlyAfterClose(t *testing.T) {
	h := newHarness(t, "clients 2\nadmit reserve 1\nknown 10.0.0.0/8\n")
	first := h.gateway.Accept(h.now, netip.MustParseAddrPort("127.0.0.1:1"), 0).ID
	h.gateway.Accept(h.now, netip.MustParseAddrPort("127.0.0.1:2"), 0)
	h.runActions()
	known := h.gateway.Accept(h.now, netip.MustParseAddrPort("10.0.0.1:3"), 0).ID // the first is preempted, and its Close is queued
	if known.Slot() == first.Slot() {
		t.Error("the driver would close the new connection for the old, or neither")
	}
	h.runActions()
	if h.closedBy[first] != Close {
		t.Fatalf("%v", h.closedBy)
	}
	h.runActions()
	if again := h.gateway.Accept(h.now, netip.MustParseAddrPort("10.0.0.1:4"), 0).ID; again.Slot() != first.Slot() {
		t.Error("the slot is lost")
	}
}

// Nodes come and go for a long time, as with a rolling upgrade each hour. Nothing is kept
// of those that have gone, nor of their connections.
func TestReplacedNodesAreForgotten(t *testing.T) {
	h := newHarness(t, "")
	for i := range 3000 {
		name := fmt.Sprint("x", i)
		h.gateway.SetNodes(h.now, []nodelist.Node{{Name: name, Addr: "node:" + name}})
		h.runActions()
		c := h.connectClient(getRequest("/feed-a/u/x"))
		h.deliver(h.dialed[len(h.dialed)-1], okResponse("a"))
		h.gateway.Closed(h.now, c)
		h.advanceTime(time.Millisecond)
	}
	if len(h.gateway.nodes.byName) > 3 || len(h.gateway.conns.slots) > 16 || len(h.gateway.requests.byID) > 0 || h.gateway.Counts().NodeConns > 2 {
		t.Errorf("%d nodes, %d slots, %d requests, %d connections are left", len(h.gateway.nodes.byName), len(h.gateway.conns.slots), len(h.gateway.requests.byID), h.gateway.Counts().NodeConns)
	}
}

// A node moves or restarts while a request to it is under way. The connection leads to
// what it was before, and is not used for the next request.
func TestConnectionToPreviousAddressIsNotReused(t *testing.T) {
	for name, n := range map[string]nodelist.Node{"moved": {Name: "n0", Addr: "node:9"}, "new start": {Name: "n0", Addr: "node:0", Started: time.Unix(2e9, 0)}} {
		h := newHarness(t, "")
		h.connectClient(getRequest("/feed-a/s/x"))
		h.gateway.SetNodes(h.now, []nodelist.Node{n, {Name: "n1", Addr: "node:1", Shard: 1}})
		h.runActions()
		h.deliver(h.nodeConn(0), okResponse("a"))
		h.connectClient(getRequest("/feed-a/s/y"))
		if len(h.dialed) != 2 || h.closedBy[h.nodeConn(0)] != Close {
			t.Errorf("%s: %d connections were made, want another; the first ended by %v", name, len(h.dialed), h.closedBy[h.nodeConn(0)])
		}
	}
}

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

// Verifies the path of one request through the gateway to a node, and of its response back: the
// header fields that are added, the trace, a response that arrives in pieces, and the reuse of
// both connections.
func TestRequestReachesNodeAndResponseReturns(t *testing.T) {
	h := newHarness(t, "")
	c := h.connectClient(getRequest("/feed-a/s/x", "traceparent: 00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"))
	n := h.nodeConn(0)
	got := h.takeWritten(n)
	h.wantContains("the request at the node", got, "GET /feed-a/s/x HTTP/1.1\r\n", "Host: h\r\n", "Via: 1.1 maddergap", "X-Request-Id: ", "Maddergap-Attempt: 0", "traceparent: 00-0af7651916cd43dd8448eb211c80319c-")
	if strings.Contains(got, "b7ad6b7169203331") {
		t.Error("the attempt was sent with the client's span id, not with one of its own")
	}
	h.now += 5 * time.Millisecond
	h.deliver(n, "HTTP/1.1 200 OK\r\nContent-Le")
	h.deliver(n, "ngth: 6\r\nETag: \"e\"\r\n\r\nabc")
	h.deliver(n, "def")
	h.wantContains("the response", h.takeWritten(c), "HTTP/1.1 200 OK\r\n", "Content-Length: 6\r\n", "ETag: \"e\"", "X-Request-Id: ", "\r\n\r\nabcdef")
	h.wantOutcomes(map[Outcome]int{Served: 1})
	if s := h.spans[0]; s.Node != "n0" || s.AttemptOutcome != scheduler.OK || s.Parent != h.spans[1].ID || fmt.Sprintf("%x", h.spans[1].Parent) != "b7ad6b7169203331" {
		t.Errorf("spans %+v, want the attempt at n0, and then the request with the client's span as parent", h.spans)
	}
	// Both connections are reused for the next request.
	h.advanceTime(reuseDelay)
	h.deliver(c, getRequest("/feed-a/s/y"))
	if len(h.dialed) != 1 {
		t.Errorf("%d connections to nodes, want 1, which is reused", len(h.dialed))
	}
}

// Verifies that the same seed and events give the same actions. Replaying an incident from its
// seed and events relies on that.
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
		t.Errorf("the actions of two runs differ, or are too few:\n%.500s\n%.500s", a, b)
	}
}

// Verifies that a request on open connections needs only a few allocations, most of them the
// scheduler's.
func TestAllocationsPerRequest(t *testing.T) {
	h := newHarness(t, "")
	h.gateway.observer = nil
	c := h.connectClient(getRequest("/feed-a/s/x"))
	n := h.nodeConn(0)
	response, request := []byte(okResponse("hello")), []byte(getRequest("/feed-a/s/x"))
	runActions := func() {
		for {
			actions, _ := h.gateway.Advance(h.now)
			if len(actions) == 0 {
				return
			}
			for _, a := range actions {
				if a.Op == Flush {
					h.gateway.Wrote(h.now, a.Conn, len(h.gateway.PendingOutput(h.now, a.Conn)))
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
		t.Errorf("%v allocations per request, want at most 12 (most are the scheduler's)", allocs)
	}
	t.Logf("%v allocations per request", allocs)
}

// timerScheduler is a Scheduler that sets its timer to the next of timers at each event, and
// records when the timer fires.
type timerScheduler struct {
	timers  []time.Duration
	firedAt []Time
}

func (s *timerScheduler) Handle(now Time, events []scheduler.Event) (actions []scheduler.Action) {
	for _, e := range events {
		if _, ok := e.(scheduler.TimerFired); ok {
			s.firedAt = append(s.firedAt, now)
		} else if len(s.timers) > 0 {
			actions = append(actions, scheduler.SetTimer{After: s.timers[0]})
			s.timers = s.timers[1:]
		}
	}
	return actions
}

// Verifies that SetTimer replaces the scheduler's previous timer, also by a later time. If the
// earlier timer fired as well, the scheduler would take it for the one that it waits for, and
// would not set another.
func TestSchedulerTimerIsReplaced(t *testing.T) {
	h := newHarness(t, "")
	timers := &timerScheduler{timers: []time.Duration{10 * time.Millisecond, 20 * time.Millisecond}}
	h.gateway.scheduler.impl = timers
	start := h.now
	h.connectClient(getRequest("/feed-a/s/x"))
	h.connectClient(getRequest("/feed-a/s/y"))
	h.advanceTime(100 * time.Millisecond)
	if len(timers.firedAt) != 1 || timers.firedAt[0] != start+20*time.Millisecond {
		t.Errorf("the timer fired at %v, want once after 20ms", timers.firedAt)
	}
}

// Verifies that a request object is recycled once when its client disconnects in the middle of
// a long body, which ends the request in two ways. An object that was recycled twice would be
// used for two clients at the same time.
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

// Verifies that a request is completed if a reload removes its volume while the request is under
// way, and that the next request to the volume is answered 404. A reload that changes settings of
// the scheduler must be rejected.
func TestReloadDuringRequest(t *testing.T) {
	h := newHarness(t, "")
	c := h.connectClient(getRequest("/feed-b/s/x"))
	n := h.nodeConn(0)
	withoutVolume, err := config.Parse("harness", []byte(strings.Replace(harnessConfig, "volume feed-b plan p shards 0,1\n", "", 1)))
	if err != nil {
		t.Fatal(err)
	}
	if err := h.gateway.Reload(withoutVolume); err != nil {
		t.Fatal(err)
	}
	h.deliver(n, okResponse("still"))
	h.wantContains("the response", h.takeWritten(c), "200 OK", "still")
	h.deliver(c, getRequest("/feed-b/s/x"))
	h.wantContains("the response", h.takeWritten(c), "404 Not Found")
	if h.spans[1].Volume != "feed-b" {
		t.Errorf("%+v", h.spans[1])
	}
	otherInstances, err := config.Parse("harness", []byte(harnessConfig+"heads 3\n"))
	if err != nil {
		t.Fatal(err)
	}
	if err := h.gateway.Reload(otherInstances); !errors.Is(err, ErrRestartRequired) {
		t.Errorf("a reload that changes the number of instances returned %v, want ErrRestartRequired", err)
	}
}

// Verifies that a new connection does not get the slot of a connection that was preempted for it
// before the driver has closed that one: the driver would close the new connection instead of the
// old one. Afterwards the slot must be reused.
func TestSlotIsReusedOnlyAfterClose(t *testing.T) {
	h := newHarness(t, "clients 2\nadmit reserve 1\nknown 10.0.0.0/8\n")
	first := h.gateway.Accept(h.now, netip.MustParseAddrPort("127.0.0.1:1"), 0).ID
	h.gateway.Accept(h.now, netip.MustParseAddrPort("127.0.0.1:2"), 0)
	h.runActions()
	known := h.gateway.Accept(h.now, netip.MustParseAddrPort("10.0.0.1:3"), 0).ID // the first is preempted, and its Close is queued
	if known.Slot() == first.Slot() {
		t.Error("the slot was reused before the driver has closed the preempted connection")
	}
	h.runActions()
	if h.closedBy[first] != Close {
		t.Fatalf("%v", h.closedBy)
	}
	h.runActions()
	if reused := h.gateway.Accept(h.now, netip.MustParseAddrPort("10.0.0.1:4"), 0).ID; reused.Slot() != first.Slot() {
		t.Error("the slot was not reused")
	}
}

// Verifies that nothing is kept of removed nodes and their connections. Otherwise frequent
// rolling upgrades would increase the memory use without limit.
func TestReplacedNodesAreDeleted(t *testing.T) {
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
		t.Errorf("%d nodes, %d slots, %d requests and %d connections to nodes are left, want at most 3, 16, 0 and 2", len(h.gateway.nodes.byName), len(h.gateway.conns.slots), len(h.gateway.requests.byID), h.gateway.Counts().NodeConns)
	}
}

// Verifies that a connection is not reused if its node has moved or restarted while a request was
// under way on it, as it leads to the previous address or incarnation.
func TestConnectionToPreviousAddressIsNotReused(t *testing.T) {
	for name, n := range map[string]nodelist.Node{"moved": {Name: "n0", Addr: "node:9"}, "new start": {Name: "n0", Addr: "node:0", Started: time.Unix(2e9, 0)}} {
		h := newHarness(t, "")
		h.connectClient(getRequest("/feed-a/s/x"))
		h.gateway.SetNodes(h.now, []nodelist.Node{n, {Name: "n1", Addr: "node:1", Shard: 1}})
		h.runActions()
		h.deliver(h.nodeConn(0), okResponse("a"))
		h.connectClient(getRequest("/feed-a/s/y"))
		if len(h.dialed) != 2 || h.closedBy[h.nodeConn(0)] != Close {
			t.Errorf("%s: %d connections, want 2; the first was closed by %v, want close", name, len(h.dialed), h.closedBy[h.nodeConn(0)])
		}
	}
}

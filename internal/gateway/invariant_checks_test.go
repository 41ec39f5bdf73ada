package gateway

import (
	"strings"
	"testing"
	"time"

	"maddergap/internal/invariant"
	"maddergap/internal/membership"
	"maddergap/internal/nodelist"
	"maddergap/scheduler"
)

// scriptedScheduler is a core that sends what it is told, in place of the module.
type scriptedScheduler struct{ actions []scheduler.Action }

func (c *scriptedScheduler) Handle(scheduler.Time, []scheduler.Event) []scheduler.Action {
	actions := c.actions
	c.actions = nil
	return actions
}

// newScriptedHarness is a rig with such a core that has taken one write.
func newScriptedHarness(t *testing.T) (*harness, *scriptedScheduler, ConnID) {
	h := newHarness(t, "")
	c := &scriptedScheduler{}
	h.gateway.scheduler = c
	client := h.connectClient("PUT /feed-a/x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody")
	h.runActions()
	return h, c, client
}

func (h *harness) countPUTsToNodes() (n int) {
	for _, id := range h.dialed {
		n += strings.Count(h.takeWritten(id), "PUT ")
	}
	return n
}

// What the module must never ask for is withheld, counted by its rule and reported.
func TestAttemptViolatingInvariantIsWithheld(t *testing.T) {
	send := scheduler.Send{ID: 1, Node: "n0"}
	tests := []struct {
		name    string
		arrange func(h *harness, c *scriptedScheduler, client ConnID)
		want    invariant.Rule
	}{
		{"a node that drains", func(h *harness, c *scriptedScheduler, _ ConnID) {
			h.gateway.updateMembership(membership.Update{Nodes: []nodelist.Node{{Name: "n0", Addr: "node:0", State: scheduler.Draining}}})
			c.actions = []scheduler.Action{send}
		}, invariant.NodeServing},
		{"a node that drains while its connection comes up", func(h *harness, c *scriptedScheduler, _ ConnID) {
			h.deferConnects = true
			c.actions = []scheduler.Action{send}
			h.gateway.events = append(h.gateway.events, scheduler.TimerFired{})
			h.runActions()
			h.gateway.updateMembership(membership.Update{Nodes: []nodelist.Node{{Name: "n0", Addr: "node:0", State: scheduler.Draining}}})
			h.runActions()
			h.gateway.Connected(h.now, h.dialed[0])
		}, invariant.NodeServing},
		{"a write that may have run", func(h *harness, c *scriptedScheduler, _ ConnID) {
			c.actions = []scheduler.Action{send}
			h.gateway.events = append(h.gateway.events, scheduler.TimerFired{})
			h.runActions()
			h.countPUTsToNodes()
			h.gateway.Closed(h.now, h.dialed[0])
			c.actions = []scheduler.Action{send}
		}, invariant.SafeRetry},
		{"a write that is still out", func(h *harness, c *scriptedScheduler, _ ConnID) {
			c.actions = []scheduler.Action{send}
			h.gateway.events = append(h.gateway.events, scheduler.TimerFired{})
			h.runActions()
			h.countPUTsToNodes()
			c.actions = []scheduler.Action{send}
		}, invariant.SafeRetry},
		{"past its client's time", func(h *harness, c *scriptedScheduler, _ ConnID) {
			h.advanceTime(2 * time.Second)
			c.actions = []scheduler.Action{send}
		}, invariant.WithinDeadline},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h, c, client := newScriptedHarness(t)
			test.arrange(h, c, client)
			h.gateway.events = append(h.gateway.events, scheduler.TimerFired{})
			h.runActions()
			if n := h.countPUTsToNodes(); n != 0 {
				t.Errorf("%d requests went out", n)
			}
			if counts := h.gateway.Counts().Invariants; counts.Withheld[test.want] != 1 || counts.Violated != (invariant.Counts{}).Violated {
				t.Errorf("counted %+v, want one of %v withheld", counts, test.want)
			}
			if len(h.violations) != 1 || h.violations[0].Rule != test.want || h.violations[0].RequestID == "" {
				t.Errorf("reported %v", h.violations)
			}
		})
	}
}

// What went out all the same, and what ended without its answer, is found after the fact.
func TestViolationsAreFoundAfterTheFact(t *testing.T) {
	h, c, client := newScriptedHarness(t)
	c.actions = []scheduler.Action{scheduler.Send{ID: 1, Node: "n0"}}
	h.gateway.events = append(h.gateway.events, scheduler.TimerFired{})
	h.deferConnects = true
	h.runActions()
	h.gateway.Connected(h.now, h.dialed[0])
	out := h.gateway.Out(h.now, h.dialed[0]) // the head is held up between this and the write
	h.gateway.updateMembership(membership.Update{Nodes: []nodelist.Node{{Name: "n0", Addr: "node:0", State: scheduler.Draining}}})
	h.now += 200 * time.Millisecond
	h.gateway.Wrote(h.now, h.dialed[0], len(out))
	h.gateway.closeConn(h.gateway.conns.find(client), Close)
	h.gateway.reportRequestEnd(h.gateway.requests.byID[1], Rejected)
	h.gateway.reportRequestEnd(h.gateway.requests.byID[1], Rejected)
	broken := h.gateway.Counts().Invariants.Violated
	for _, rule := range []invariant.Rule{invariant.NodeServing, invariant.ResponseBeforeClose, invariant.SingleResponse} {
		if broken[rule] != 1 {
			t.Errorf("%v: counted %d times", rule, broken[rule])
		}
	}
	if len(h.violations) != 3 {
		t.Errorf("reported %v", h.violations)
	}
}

// A connection that the head's own machine could not begin is not the node's failure, unless
// others came up meanwhile.
func TestStalledDialIsNotTheNodesFault(t *testing.T) {
	for _, others := range []bool{false, true} {
		h, c, _ := newScriptedHarness(t)
		h.deferConnects = true
		c.actions = []scheduler.Action{scheduler.Send{ID: 1, Node: "n0"}}
		h.gateway.events = append(h.gateway.events, scheduler.TimerFired{})
		h.runActions()
		h.gateway.Stalled(h.now, h.dialed[0])
		if others {
			h.now += time.Millisecond
			h.gateway.nodes.lastConnected = h.now
		}
		h.advanceTime(h.gateway.config.Timeouts.Dial + time.Millisecond)
		want := scheduler.Superseded
		if others {
			want = scheduler.ConnectFailed
		}
		if n := len(h.spans); n != 1 || h.spans[0].AttemptOutcome != want {
			t.Errorf("others %v: %+v, want %v", others, h.spans, want)
		}
	}
}

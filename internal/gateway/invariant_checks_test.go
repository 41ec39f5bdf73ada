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

// scriptedScheduler is a Scheduler that returns the actions set by the test, valid or not.
type scriptedScheduler struct{ actions []scheduler.Action }

func (s *scriptedScheduler) Handle(scheduler.Time, []scheduler.Event) []scheduler.Action {
	actions := s.actions
	s.actions = nil
	return actions
}

// scriptedHarness is a harness with a scriptedScheduler. It begins with a client that has
// submitted one write.
type scriptedHarness struct {
	*harness
	scheduler *scriptedScheduler
	client    ConnID
}

func newScriptedHarness(t *testing.T) *scriptedHarness {
	h := &scriptedHarness{harness: newHarness(t, ""), scheduler: &scriptedScheduler{}}
	h.gateway.scheduler.impl = h.scheduler
	h.client = h.connectClient("PUT /feed-a/x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody")
	h.runActions()
	return h
}

// decideToSend makes the scheduler send the write to n0 at its next call.
func (h *scriptedHarness) decideToSend() {
	h.scheduler.actions = []scheduler.Action{scheduler.Send{ID: 1, Node: "n0"}}
}

// runScheduler makes the gateway call the scheduler.
func (h *scriptedHarness) runScheduler() {
	h.gateway.scheduler.notify(scheduler.TimerFired{})
	h.runActions()
}

func (h *scriptedHarness) drainNode() {
	h.gateway.updateMembership(membership.Update{Nodes: []nodelist.Node{{Name: "n0", Addr: "node:0", State: scheduler.Draining}}})
}

// countWritesSent returns how many writes were sent to nodes since the last call.
func (h *scriptedHarness) countWritesSent() (n int) {
	for _, id := range h.dialed {
		n += strings.Count(h.takeWritten(id), "PUT ")
	}
	return n
}

// Verifies that an attempt is withheld if the scheduler's decision was wrong, or is outdated
// by the time of the write. The attempt is counted under the invariant that it would have
// violated, and reported with the id of its request.
func TestAttemptViolatingInvariantIsWithheld(t *testing.T) {
	tests := []struct {
		name    string
		arrange func(h *scriptedHarness)
		want    invariant.Rule
	}{
		{"a node that drains", func(h *scriptedHarness) {
			h.drainNode()
			h.decideToSend()
		}, invariant.NodeServing},
		{"a node that drains while it is dialed", func(h *scriptedHarness) {
			h.deferConnects = true
			h.decideToSend()
			h.runScheduler()
			h.drainNode()
			h.runActions()
			h.gateway.Connected(h.now, h.dialed[0])
		}, invariant.NodeServing},
		{"a write that may have been executed", func(h *scriptedHarness) {
			h.decideToSend()
			h.runScheduler()
			h.countWritesSent()
			h.gateway.Closed(h.now, h.dialed[0])
			h.decideToSend()
		}, invariant.SafeRetry},
		{"a write that is in flight", func(h *scriptedHarness) {
			h.decideToSend()
			h.runScheduler()
			h.countWritesSent()
			h.decideToSend()
		}, invariant.SafeRetry},
		{"past its deadline", func(h *scriptedHarness) {
			h.advanceTime(2 * time.Second)
			h.decideToSend()
		}, invariant.WithinDeadline},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newScriptedHarness(t)
			test.arrange(h)
			h.runScheduler()
			if n := h.countWritesSent(); n != 0 {
				t.Errorf("%d requests were sent, want 0", n)
			}
			if counts := h.gateway.Counts().Invariants; counts.Withheld[test.want] != 1 || counts.Violated != (invariant.Counts{}).Violated {
				t.Errorf("counts are %+v, want one attempt withheld by %v and no violation", counts, test.want)
			}
			if len(h.violations) != 1 || h.violations[0].Rule != test.want || h.violations[0].RequestID == "" {
				t.Errorf("reported violations %v, want the one that was counted, with a request id", h.violations)
			}
		})
	}
}

// Verifies that violations that could not be prevented are detected, counted and reported: a
// node begins to drain between PendingOutput and a delayed write of the bytes; a client connection is
// closed before its response; the end of a request is reported twice.
func TestViolationsAreDetectedAfterwards(t *testing.T) {
	h := newScriptedHarness(t)
	h.deferConnects = true
	h.decideToSend()
	h.runScheduler()
	h.gateway.Connected(h.now, h.dialed[0])
	output := h.gateway.PendingOutput(h.now, h.dialed[0])
	h.drainNode()
	h.now += 200 * time.Millisecond
	h.gateway.Wrote(h.now, h.dialed[0], len(output))
	h.gateway.closeConn(h.gateway.conns.find(h.client), Close)
	h.gateway.reportRequestEnd(h.gateway.requests.byID[1], Rejected)
	h.gateway.reportRequestEnd(h.gateway.requests.byID[1], Rejected)
	violated := h.gateway.Counts().Invariants.Violated
	for _, rule := range []invariant.Rule{invariant.NodeServing, invariant.ResponseBeforeClose, invariant.SingleResponse} {
		if violated[rule] != 1 {
			t.Errorf("%v: counted %d times, want once", rule, violated[rule])
		}
	}
	if len(h.violations) != 3 {
		t.Errorf("reported violations %v, want 3", h.violations)
	}
}

// Guards against a failure of this machine or its network that ejects every node: a dial that
// was delayed by it must not count against the node. If another connection was established
// meanwhile, the cause was not local, and the dial does count against the node.
func TestStalledDialIsNotTheNodesFault(t *testing.T) {
	for _, othersConnect := range []bool{false, true} {
		h := newScriptedHarness(t)
		h.deferConnects = true
		h.decideToSend()
		h.runScheduler()
		h.gateway.Stalled(h.now, h.dialed[0])
		if othersConnect {
			h.now += time.Millisecond
			h.gateway.nodes.lastConnected = h.now
		}
		h.advanceTime(h.gateway.config.Timeouts.Dial + time.Millisecond)
		want := scheduler.NotSent
		if othersConnect {
			want = scheduler.ConnectFailed
		}
		if n := len(h.spans); n != 1 || h.spans[0].AttemptOutcome != want {
			t.Errorf("others connect %v: reported %+v, want one attempt with outcome %v", othersConnect, h.spans, want)
		}
	}
}

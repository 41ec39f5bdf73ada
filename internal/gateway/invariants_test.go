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

// careless is a core that sends what it is told, in place of the module.
type careless struct{ actions []scheduler.Action }

func (c *careless) Handle(scheduler.Time, []scheduler.Event) []scheduler.Action {
	actions := c.actions
	c.actions = nil
	return actions
}

// carelessRig is a rig with such a core that has taken one write.
func carelessRig(t *testing.T) (*rig, *careless, ConnID) {
	r := newRig(t, "")
	c := &careless{}
	r.h.scheduler = c
	client := r.client("PUT /feed-a/x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody")
	r.run()
	return r, c, client
}

func (r *rig) sentToNodes() (n int) {
	for _, id := range r.dials {
		n += strings.Count(r.take(id), "PUT ")
	}
	return n
}

// What the module must never ask for is withheld, counted by its rule and reported.
func TestGuardWithholds(t *testing.T) {
	send := scheduler.Send{ID: 1, Node: "n0"}
	tests := []struct {
		name    string
		arrange func(r *rig, c *careless, client ConnID)
		want    invariant.Rule
	}{
		{"a node that drains", func(r *rig, c *careless, _ ConnID) {
			r.h.updateMembership(membership.Update{Nodes: []nodelist.Node{{Name: "n0", Addr: "node:0", State: scheduler.Draining}}})
			c.actions = []scheduler.Action{send}
		}, invariant.NodeServing},
		{"a node that drains while its connection comes up", func(r *rig, c *careless, _ ConnID) {
			r.late = true
			c.actions = []scheduler.Action{send}
			r.h.events = append(r.h.events, scheduler.TimerFired{})
			r.run()
			r.h.updateMembership(membership.Update{Nodes: []nodelist.Node{{Name: "n0", Addr: "node:0", State: scheduler.Draining}}})
			r.run()
			r.h.Connected(r.now, r.dials[0])
		}, invariant.NodeServing},
		{"a write that may have run", func(r *rig, c *careless, _ ConnID) {
			c.actions = []scheduler.Action{send}
			r.h.events = append(r.h.events, scheduler.TimerFired{})
			r.run()
			r.sentToNodes()
			r.h.Closed(r.now, r.dials[0])
			c.actions = []scheduler.Action{send}
		}, invariant.SafeRetry},
		{"a write that is still out", func(r *rig, c *careless, _ ConnID) {
			c.actions = []scheduler.Action{send}
			r.h.events = append(r.h.events, scheduler.TimerFired{})
			r.run()
			r.sentToNodes()
			c.actions = []scheduler.Action{send}
		}, invariant.SafeRetry},
		{"past its client's time", func(r *rig, c *careless, _ ConnID) {
			r.pass(2 * time.Second)
			c.actions = []scheduler.Action{send}
		}, invariant.WithinDeadline},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r, c, client := carelessRig(t)
			test.arrange(r, c, client)
			r.h.events = append(r.h.events, scheduler.TimerFired{})
			r.run()
			if n := r.sentToNodes(); n != 0 {
				t.Errorf("%d requests went out", n)
			}
			if counts := r.h.Counts().Invariants; counts.Withheld[test.want] != 1 || counts.Violated != (invariant.Counts{}).Violated {
				t.Errorf("counted %+v, want one of %v withheld", counts, test.want)
			}
			if len(r.violations) != 1 || r.violations[0].Rule != test.want || r.violations[0].RequestID == "" {
				t.Errorf("reported %v", r.violations)
			}
		})
	}
}

// What went out all the same, and what ended without its answer, is found after the fact.
func TestGuardFindsWhatIsBroken(t *testing.T) {
	r, c, client := carelessRig(t)
	c.actions = []scheduler.Action{scheduler.Send{ID: 1, Node: "n0"}}
	r.h.events = append(r.h.events, scheduler.TimerFired{})
	r.late = true
	r.run()
	r.h.Connected(r.now, r.dials[0])
	out := r.h.Out(r.now, r.dials[0]) // the head is held up between this and the write
	r.h.updateMembership(membership.Update{Nodes: []nodelist.Node{{Name: "n0", Addr: "node:0", State: scheduler.Draining}}})
	r.now += 200 * time.Millisecond
	r.h.Wrote(r.now, r.dials[0], len(out))
	r.h.drop(r.h.conns.find(client), Close)
	r.h.reportEnd(r.h.requests.byID[1], Rejected)
	r.h.reportEnd(r.h.requests.byID[1], Rejected)
	broken := r.h.Counts().Invariants.Violated
	for _, rule := range []invariant.Rule{invariant.NodeServing, invariant.ResponseBeforeClose, invariant.SingleResponse} {
		if broken[rule] != 1 {
			t.Errorf("%v: counted %d times", rule, broken[rule])
		}
	}
	if len(r.violations) != 3 {
		t.Errorf("reported %v", r.violations)
	}
}

// A connection that the head's own machine could not begin is not the node's failure, unless
// others came up meanwhile.
func TestStalledConnections(t *testing.T) {
	for _, others := range []bool{false, true} {
		r, c, _ := carelessRig(t)
		r.late = true
		c.actions = []scheduler.Action{scheduler.Send{ID: 1, Node: "n0"}}
		r.h.events = append(r.h.events, scheduler.TimerFired{})
		r.run()
		r.h.Stalled(r.now, r.dials[0])
		if others {
			r.now += time.Millisecond
			r.h.nodes.lastConnected = r.now
		}
		r.pass(r.h.config.Timeouts.Dial + time.Millisecond)
		want := scheduler.Superseded
		if others {
			want = scheduler.ConnectFailed
		}
		if n := len(r.spans); n != 1 || r.spans[0].AttemptOutcome != want {
			t.Errorf("others %v: %+v, want %v", others, r.spans, want)
		}
	}
}

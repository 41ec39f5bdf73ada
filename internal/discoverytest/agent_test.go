package discoverytest

import (
	"testing"
	"time"

	"maddergap/internal/discovery"
)

// When a change counts: at once, at the return of an agent that was down, and after a reload
// or behind silent watches within the protocol's time.
func TestNotices(t *testing.T) {
	g := NewRegistry()
	g.UpdateEndpoint(func(e *discovery.Endpoint) { *e = discovery.Endpoint{Name: "n", Status: "up"} }, "n")
	well, down, moved := g.NewAgent(0), g.NewAgent(1), g.NewAgent(2)
	down.StartOutage()
	moved.AddressChangeDelivered()
	before := micro()
	g.UpdateEndpoint(func(e *discovery.Endpoint) { e.Status = "draining" }, "n")
	if len(down.notices) != 0 {
		t.Error("an agent that is down was sent a list")
	}
	time.Sleep(20 * time.Millisecond)
	down.EndOutage()
	all, _ := g.Notices()
	if len(all) != 3 {
		t.Fatalf("%+v", all)
	}
	for _, n := range all {
		after := time.Duration(n.From-before) * time.Microsecond
		switch n.Head {
		case 0:
			if after > 15*time.Millisecond {
				t.Errorf("counts %v after it was sent", after)
			}
		case 1:
			if after < 20*time.Millisecond {
				t.Errorf("counts %v after, before the return", after)
			}
		case 2:
			if after < 3*time.Second {
				t.Errorf("counts %v after a reload", after)
			}
		}
	}
	g.UpdateEndpoint(func(e *discovery.Endpoint) { e.Status = "up" }, "n")
	if n := well.notices[0]; n.To == 0 {
		t.Error("the notice of a node that serves again goes on")
	}
}

// Outages that overlap are one; a return that is too short for anybody to ask counts with the
// next one.
func TestOutagesThatOverlap(t *testing.T) {
	g := NewRegistry()
	g.UpdateEndpoint(func(e *discovery.Endpoint) { *e = discovery.Endpoint{Name: "n", Status: "up"} }, "n")
	a := g.NewAgent(0)
	a.StartOutage()
	a.StartOutage()
	g.UpdateEndpoint(func(e *discovery.Endpoint) { e.Status = "draining" }, "n")
	a.EndOutage()
	if !a.down || len(a.notices) != 0 {
		t.Error("it is back while an outage goes on")
	}
	a.EndOutage()
	if a.down || len(a.notices) != 1 {
		t.Errorf("down %v, %+v after both", a.down, a.notices)
	}
	a.StartOutage()
	if len(a.notices) != 0 {
		t.Error("what nobody could ask for counts")
	}
	a.EndOutage()
	if len(a.notices) != 1 {
		t.Errorf("%+v after the next return", a.notices)
	}
}

// A head that asked at a short return has what was new then, and is told what is new at the next
// one. Guards against an agent that takes back what a head was told, and tells it half the truth.
func TestChangesAfterAShortReturn(t *testing.T) {
	g := NewRegistry()
	set := func(status string) {
		g.UpdateEndpoint(func(e *discovery.Endpoint) { *e = discovery.Endpoint{Name: "n", Status: status} }, "n")
	}
	set("draining")
	a := g.NewAgent(0)
	a.StartOutage()
	set("up")
	a.EndOutage()
	had := a.FullList() // as a head has it that asks at once
	a.StartOutage()
	set("draining")
	a.EndOutage()
	if told := a.changes(*had.Index); len(told.Endpoints) != 1 || told.Endpoints[0].Status != "draining" {
		t.Errorf("%+v is told of what changed since %+v", told, had)
	}
}

// What an agent is sent just before it is silent counts from its return, and what had ended by it
// goes on. Guards against a head that is blamed for what it could not have heard.
func TestNoticeJustBeforeAnOutage(t *testing.T) {
	g := NewRegistry()
	set := func(status string) {
		g.UpdateEndpoint(func(e *discovery.Endpoint) { *e = discovery.Endpoint{Name: "n", Status: status} }, "n")
	}
	set("up")
	a := g.NewAgent(0)
	time.Sleep(reachable + 10*time.Millisecond)
	set("draining")
	a.StartOutage()
	if len(a.notices) != 0 {
		t.Errorf("%+v counts while the agent is silent", a.notices)
	}
	time.Sleep(20 * time.Millisecond)
	back := micro()
	a.EndOutage()
	if len(a.notices) != 1 || a.notices[0].From < back {
		t.Errorf("%+v after the return", a.notices)
	}
	time.Sleep(reachable + 10*time.Millisecond)
	set("up")
	a.StartOutage()
	if len(a.notices) != 1 || a.notices[0].To != 0 {
		t.Errorf("%+v: ended by what nobody heard", a.notices)
	}
}

package discoverytest

import (
	"fmt"
	"net"
	"testing"
	"time"

	"maddergap/internal/discovery"
)

const nodeName = "n"

// setStatus makes the registry's list one node of a status.
func setStatus(r *Registry, status string) {
	r.UpdateEndpoint(func(e *discovery.Endpoint) { *e = discovery.Endpoint{Name: nodeName, Status: status} }, nodeName)
}

// A node drains, while one agent is well, one is down, and the gateway of one reloads its
// configuration. The drain counts at once, at the end of the outage, and after the protocol's
// grace for a reload.
func TestNotices(t *testing.T) {
	r := NewRegistry()
	setStatus(r, "up")
	const well, down, reloaded = 0, 1, 2
	wellAgent, downAgent, reloadedAgent := r.NewAgent(well), r.NewAgent(down), r.NewAgent(reloaded)
	downAgent.StartOutage()
	reloadedAgent.AddressChangeDelivered()
	before := nowMicros()
	r.UpdateEndpoint(func(e *discovery.Endpoint) { e.Status = "draining" }, nodeName)
	if len(downAgent.notices.drains) != 0 {
		t.Error("an agent that is down was sent a list")
	}
	time.Sleep(20 * time.Millisecond)
	downAgent.EndOutage()
	drains, _ := r.Notices()
	if len(drains) != 3 {
		t.Fatalf("%+v", drains)
	}
	for _, notice := range drains {
		after := time.Duration(notice.From-before) * time.Microsecond
		switch notice.Instance {
		case well:
			if after > 15*time.Millisecond {
				t.Errorf("counts %v after it was sent", after)
			}
		case down:
			if after < 20*time.Millisecond {
				t.Errorf("counts %v after it was sent, before the end of the outage", after)
			}
		case reloaded:
			if after < 3*time.Second {
				t.Errorf("counts %v after a reload", after)
			}
		}
	}
	r.UpdateEndpoint(func(e *discovery.Endpoint) { e.Status = "up" }, nodeName)
	if notice := wellAgent.notices.drains[0]; notice.To == 0 {
		t.Error("the notice of a node that is up again has no end")
	}
}

// Two outages overlap: the agent is down until both are over. It is then up too shortly for
// anybody to call it, so that what it had counts with the next recovery.
func TestOverlappingOutages(t *testing.T) {
	r := NewRegistry()
	setStatus(r, "up")
	a := r.NewAgent(0)
	a.StartOutage()
	a.StartOutage()
	r.UpdateEndpoint(func(e *discovery.Endpoint) { e.Status = "draining" }, nodeName)
	a.EndOutage()
	if !a.faults.down || len(a.notices.drains) != 0 {
		t.Error("it is up within an outage")
	}
	a.EndOutage()
	if a.faults.down || len(a.notices.drains) != 1 {
		t.Errorf("down %v, %+v after both", a.faults.down, a.notices.drains)
	}
	a.StartOutage()
	if len(a.notices.drains) != 0 {
		t.Error("what nobody could ask for counts")
	}
	a.EndOutage()
	if len(a.notices.drains) != 1 {
		t.Errorf("%+v after the next recovery", a.notices.drains)
	}
}

// A gateway calls the agent in a short recovery, and again in the next one. It is told what
// changed in between. An agent that had retracted its list with the notices would tell it half
// of that.
func TestChangesAfterShortRecovery(t *testing.T) {
	r := NewRegistry()
	setStatus(r, "draining")
	a := r.NewAgent(0)
	a.StartOutage()
	setStatus(r, "up")
	a.EndOutage()
	known := a.FullList()
	a.StartOutage()
	setStatus(r, "draining")
	a.EndOutage()
	if changes := a.list.changesSince(*known.Index); len(changes.Endpoints) != 1 || changes.Endpoints[0].Status != "draining" {
		t.Errorf("the changes since %+v are %+v", known, changes)
	}
}

// An agent receives a list just before an outage. A drain that begins with it counts from the
// recovery, as no gateway can be sure to have called the agent in between. A drain that ends with
// it has ended, as a gateway with an open watch heard of it at once and sends to the node; if the
// node drains when the agent recovers, that counts from then on.
func TestNoticeJustBeforeOutage(t *testing.T) {
	r := NewRegistry()
	setStatus(r, "up")
	a := r.NewAgent(0)
	time.Sleep(minReachableTime + 10*time.Millisecond)
	setStatus(r, "draining")
	a.StartOutage()
	if len(a.notices.drains) != 0 {
		t.Errorf("%+v counts within the outage", a.notices.drains)
	}
	time.Sleep(20 * time.Millisecond)
	recovered := nowMicros()
	a.EndOutage()
	if len(a.notices.drains) != 1 || a.notices.drains[0].From < recovered {
		t.Errorf("%+v after the recovery", a.notices.drains)
	}
	time.Sleep(minReachableTime + 10*time.Millisecond)
	setStatus(r, "up")
	a.StartOutage()
	if len(a.notices.drains) != 1 || a.notices.drains[0].To == 0 {
		t.Errorf("%+v goes on, though a gateway heard that the node is up", a.notices.drains)
	}
	setStatus(r, "draining")
	time.Sleep(20 * time.Millisecond)
	recovered = nowMicros()
	a.EndOutage()
	if len(a.notices.drains) != 2 || a.notices.drains[1].From < recovered || a.notices.drains[1].To != 0 {
		t.Errorf("%+v: want a second drain from the recovery on", a.notices.drains)
	}
}

// Guards against a watch that counts as a call long after its caller has closed the connection: a
// gateway that has moved to another agent would seem to go on calling this one.
func TestWatchOfClosedConnectionDoesNotCount(t *testing.T) {
	r := NewRegistry()
	setStatus(r, "up")
	a := r.NewAgent(0)
	addr, err := a.Listen()
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(conn, "GET /?from=%d&hold_ms=60 HTTP/1.1\r\nHost: h\r\n\r\n", *a.FullList().Index)
	time.Sleep(20 * time.Millisecond)
	conn.Close()
	time.Sleep(100 * time.Millisecond)
	if calls := a.Usage().Calls; calls != 0 {
		t.Errorf("%d calls were responded to, though the caller had closed its connection", calls)
	}
}

package discoverytest

import (
	"fmt"
	"net"
	"testing"
	"time"

	"maddergap/internal/discovery"
)

const nodeName = "n"

// setStatus replaces the endpoint of the node in the registry with an endpoint that has only a name
// and a status.
func setStatus(r *Registry, status string) {
	r.UpdateEndpoint(func(e *discovery.Endpoint) { *e = discovery.Endpoint{Name: nodeName, Status: status} }, nodeName)
}

// Verifies from when a drain counts as delivered: at once if the agent is healthy, from the end of
// the outage if it is down, and after reloadGrace if its gateway has just reloaded its configuration
// with a new address.
func TestNotices(t *testing.T) {
	r := NewRegistry()
	setStatus(r, "up")
	const healthy, down, reloaded = 0, 1, 2
	healthyAgent, downAgent, reloadedAgent := r.NewAgent(healthy), r.NewAgent(down), r.NewAgent(reloaded)
	downAgent.StartOutage()
	reloadedAgent.AddressChangeDelivered()
	before := nowMicros()
	r.UpdateEndpoint(func(e *discovery.Endpoint) { e.Status = "draining" }, nodeName)
	if len(downAgent.notices.drains) != 0 {
		t.Error("an agent that is down has received a list")
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
		case healthy:
			if after > 15*time.Millisecond {
				t.Errorf("healthy agent: the drain counts %v after it was sent, want at most 15 ms", after)
			}
		case down:
			if after < 20*time.Millisecond {
				t.Errorf("agent that was down: the drain counts %v after it was sent, before the end of the outage", after)
			}
		case reloaded:
			if after < 3*time.Second {
				t.Errorf("reloaded gateway: the drain counts %v after it was sent, want at least 3 s", after)
			}
		}
	}
	r.UpdateEndpoint(func(e *discovery.Endpoint) { e.Status = "up" }, nodeName)
	if notice := healthyAgent.notices.drains[0]; notice.To == 0 {
		t.Error("the drain notice of a node that is up again has no end")
	}
}

// Verifies that an agent with two overlapping outages is down until both are over. Afterwards it is
// up for less than minReachableTime before the next outage, so that its list does not count as
// delivered until the next recovery.
func TestOverlappingOutages(t *testing.T) {
	r := NewRegistry()
	setStatus(r, "up")
	a := r.NewAgent(0)
	a.StartOutage()
	a.StartOutage()
	r.UpdateEndpoint(func(e *discovery.Endpoint) { e.Status = "draining" }, nodeName)
	a.EndOutage()
	if !a.faults.down || len(a.notices.drains) != 0 {
		t.Error("the agent is up or has received a list before the second outage is over")
	}
	a.EndOutage()
	if a.faults.down || len(a.notices.drains) != 1 {
		t.Errorf("after both outages: down %v, drains %+v; want false and one drain", a.faults.down, a.notices.drains)
	}
	a.StartOutage()
	if len(a.notices.drains) != 0 {
		t.Error("a drain counts although the agent was up too briefly to be called")
	}
	a.EndOutage()
	if len(a.notices.drains) != 1 {
		t.Errorf("drains %+v after the next recovery, want one", a.notices.drains)
	}
}

// Verifies that a gateway that calls the agent during a short recovery and again after the next
// outage gets the changes in between. If the agent reverted its list together with the notices, the
// response would lack the change.
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
		t.Errorf("changes since %+v are %+v, want one draining node", known, changes)
	}
}

// Verifies the notices of a list that the agent receives just before an outage. A drain that begins
// with this list counts from the recovery, since the gateway may not have called the agent in
// between. A drain that ends with it stays ended, since a gateway with an open watch learned of it
// at once and sends to the node. If the node drains again when the agent recovers, that is a new
// drain from then on.
func TestNoticeJustBeforeOutage(t *testing.T) {
	r := NewRegistry()
	setStatus(r, "up")
	a := r.NewAgent(0)
	time.Sleep(minReachableTime + 10*time.Millisecond)
	setStatus(r, "draining")
	a.StartOutage()
	if len(a.notices.drains) != 0 {
		t.Errorf("drains %+v during the outage, want none", a.notices.drains)
	}
	time.Sleep(20 * time.Millisecond)
	recovered := nowMicros()
	a.EndOutage()
	if len(a.notices.drains) != 1 || a.notices.drains[0].From < recovered {
		t.Errorf("drains %+v, want one from the recovery on", a.notices.drains)
	}
	time.Sleep(minReachableTime + 10*time.Millisecond)
	setStatus(r, "up")
	a.StartOutage()
	if len(a.notices.drains) != 1 || a.notices.drains[0].To == 0 {
		t.Errorf("drains %+v, want one that has ended: the gateway learned that the node is up", a.notices.drains)
	}
	setStatus(r, "draining")
	time.Sleep(20 * time.Millisecond)
	recovered = nowMicros()
	a.EndOutage()
	if len(a.notices.drains) != 2 || a.notices.drains[1].From < recovered || a.notices.drains[1].To != 0 {
		t.Errorf("drains %+v, want a second one from the recovery on", a.notices.drains)
	}
}

// Verifies that a watch is not counted as a call after its caller has closed the connection.
// Otherwise a gateway that has moved to another agent would seem to keep calling this one.
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
		t.Errorf("%d calls were counted, want none after the caller has closed its connection", calls)
	}
}

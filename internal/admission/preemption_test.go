package admission

import (
	"fmt"
	"testing"
	"time"
)

// Verifies that unknown clients may open all connections, including the reserved ones, but may
// not begin requests on the last Reserve ones. Known clients are accepted by preempting idle
// connections, never connections with a request under way.
func TestIdleReserveIsReclaimed(t *testing.T) {
	c := testConfig()
	c.Rates.Address.PerSecond, c.Rates.Prefix.PerSecond, c.Caps.Listener = 0, 0, 0
	a := newAdmission(t, c)
	begun := 0
	for i := range 20 {
		if d := a.Admit(0, uint64(i), 0, ip(fmt.Sprintf("1.%d.1.1", i))); !d.Accept {
			t.Fatalf("connection %d of 20 is rejected by the limit %v, want all accepted", i, d.Reason)
		}
		if ok, reason := acceptRequest(a, 0, uint64(i)); ok {
			begun++
		} else if reason != ReserveLimit {
			t.Fatal(reason)
		}
	}
	if begun != 15 {
		t.Errorf("unknown clients began %d requests, want 15", begun)
	}
	for i := range 5 {
		d := a.Admit(0, uint64(100+i), 0, ip(fmt.Sprintf("10.9.0.%d", i)))
		if !d.Accept || !d.Preempt || d.PreemptID < 15 {
			t.Errorf("known client %d: got %+v, want it accepted and an idle connection (15 to 19) preempted", i, d)
		}
	}
	if d := a.Admit(0, 200, 0, ip("10.9.0.9")); d.Accept || d.Reason != ConnLimit {
		t.Errorf("known client without an idle connection left: got %+v, want it rejected by MaxConns", d)
	}
}

// Verifies that a client cannot shut out others behind the same address by opening all the
// connections that the address may have and leaving them idle: idle connections without a served
// request are preempted, and the connection that had one is not.
func TestIdleConnectionsDoNotBlockAddress(t *testing.T) {
	c := testConfig()
	c.Rates.Address.PerSecond, c.Rates.Prefix.PerSecond = 0, 0
	a := newAdmission(t, c)
	for i := range uint64(4) {
		a.Admit(0, i, 0, ip("1.1.1.1"))
	}
	acceptRequest(a, 0, 0)
	a.EndRequest(0, 0, true)
	for i := range uint64(10) {
		d := a.Admit(0, 10+i, 0, ip("1.1.1.1"))
		if !d.Accept || !d.Preempt || d.PreemptID == 0 {
			t.Fatalf("%+v", d)
		}
	}
}

// Verifies that NextToPreempt returns a connection that was idle for MaxIdle while few connections
// are free, and none once enough are free. Connection 0, which has an accepted request, is not
// returned.
func TestNextToPreempt(t *testing.T) {
	c := testConfig()
	c.Rates.Address.PerSecond, c.Rates.Prefix.PerSecond, c.Caps.Listener = 0, 0, 0
	a := newAdmission(t, c)
	for i := range 16 {
		a.Admit(0, uint64(i), 0, ip(fmt.Sprintf("1.%d.1.1", i)))
	}
	acceptRequest(a, 0, 0)
	a.EndRequest(0, 1, true)
	if _, ok := a.NextToPreempt(time.Second / 2); ok {
		t.Error("got a connection that was idle for less than MaxIdle")
	}
	id, ok := a.NextToPreempt(2 * time.Second)
	if !ok || id == 0 {
		t.Errorf("got connection %d, %v; want one other than 0", id, ok)
	}
	a.Closed(2*time.Second, id)
	if _, ok := a.NextToPreempt(2 * time.Second); ok {
		t.Error("got a connection while enough connections are free")
	}
}

// Verifies the order of preemption when known clients connect to a gateway that is full of unknown
// ones: first the connection without a served request, then idle ones, last the one whose request
// body is incomplete. A connection with an accepted request is never preempted.
func TestPreemptionOrder(t *testing.T) {
	c := testConfig()
	c.Rates.Address.PerSecond, c.Rates.Prefix.PerSecond, c.Caps.Listener, c.Reserve = 0, 0, 0, 5
	c.MaxConns = 12
	a := newAdmission(t, c)
	for i := range uint64(12) {
		a.Admit(Time(i), i, 0, ip(fmt.Sprintf("1.%d.1.1", i)))
	}
	a.BeginRequest(20, 0, NewRequest{}) // its body is incomplete
	acceptRequest(a, 20, 1)             // accepted
	for i := uint64(2); i < 12; i++ {
		if i != 5 {
			acceptRequest(a, 30, i)
			a.EndRequest(30, i, true)
		}
	}
	var order []uint64
	for i := range uint64(11) {
		d := a.Admit(40, 100+i, 0, ip(fmt.Sprintf("10.9.0.%d", i)))
		if !d.Accept {
			t.Fatalf("known client %d: got %+v, want it accepted", i, d)
		}
		order = append(order, d.PreemptID)
	}
	if order[0] != 5 || order[10] != 0 {
		t.Errorf("connections preempted in the order %v, want 5 (never served) first and 0 (receiving) last", order)
	}
	if d := a.Admit(40, 200, 0, ip("10.9.0.50")); d.Accept || d.Reason != ConnLimit {
		t.Errorf("with only an accepted request left: got %+v, want the client rejected by MaxConns", d)
	}
}

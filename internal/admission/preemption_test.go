package admission

import (
	"fmt"
	"testing"
	"time"
)

// Unknown clients open every connection, those of the reserve too, but begin requests only
// up to it. When known clients connect, the idle connections are preempted, and those with
// a request under way never are.
func TestReserveIsLentAndReclaimed(t *testing.T) {
	c := testConfig()
	c.Rates.Address.PerSecond, c.Rates.Prefix.PerSecond, c.Caps.Listener = 0, 0, 0
	a := newAdmission(t, c)
	begun := 0
	for i := range 20 {
		if v := a.Admit(0, uint64(i), 0, ip(fmt.Sprintf("1.%d.1.1", i))); !v.Accept {
			t.Fatalf("connection %d of 20 is rejected by %v: the reserve is not lent", i, v.Reason)
		}
		if ok, why := acceptRequest(a, 0, uint64(i)); ok {
			begun++
		} else if why != ReserveLimit {
			t.Fatal(why)
		}
	}
	if begun != 15 {
		t.Errorf("%d requests of unknown clients under way, want 15", begun)
	}
	for i := range 5 {
		v := a.Admit(0, uint64(100+i), 0, ip(fmt.Sprintf("10.9.0.%d", i)))
		if !v.Accept || !v.Preempt || v.PreemptID < 15 {
			t.Errorf("known client %d: %+v", i, v)
		}
	}
	if v := a.Admit(0, 200, 0, ip("10.9.0.9")); v.Accept || v.Reason != ConnLimit {
		t.Errorf("with nothing idle left: %+v", v)
	}
}

// A client opens as many connections as its address may have and leaves them idle. Others
// behind the same address still connect: the hoard is preempted, and a connection that was
// served is not.
func TestIdleHoardDoesNotBlockItsAddress(t *testing.T) {
	c := testConfig()
	c.Rates.Address.PerSecond, c.Rates.Prefix.PerSecond = 0, 0
	a := newAdmission(t, c)
	for i := range uint64(4) {
		a.Admit(0, i, 0, ip("1.1.1.1"))
	}
	acceptRequest(a, 0, 0)
	a.EndRequest(0, 0, true)
	for i := range uint64(10) {
		v := a.Admit(0, 10+i, 0, ip("1.1.1.1"))
		if !v.Accept || !v.Preempt || v.PreemptID == 0 {
			t.Fatalf("%+v", v)
		}
	}
}

// With few free connections, one that has been idle for too long is closed, and no more
// than are needed. One that was served is not the first.
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
		t.Error("closed before its time")
	}
	id, ok := a.NextToPreempt(2 * time.Second)
	if !ok || id == 0 {
		t.Errorf("%d %v", id, ok)
	}
	a.Closed(2*time.Second, id)
	if _, ok := a.NextToPreempt(2 * time.Second); ok {
		t.Error("closed without need")
	}
}

// Known clients fill a gateway that is full of unknown ones. Preempted are first those
// that were never served, then idle ones, then one whose body is incomplete, and never
// one whose request is accepted.
func TestPreemptionOrder(t *testing.T) {
	c := testConfig()
	c.Rates.Address.PerSecond, c.Rates.Prefix.PerSecond, c.Caps.Listener, c.Reserve = 0, 0, 0, 5
	c.MaxConns = 12
	a := newAdmission(t, c)
	for i := range uint64(12) {
		a.Admit(Time(i), i, 0, ip(fmt.Sprintf("1.%d.1.1", i)))
	}
	a.BeginRequest(20, 0, 0, false) // slow
	acceptRequest(a, 20, 1)         // accepted
	for i := uint64(2); i < 12; i++ {
		if i != 5 {
			acceptRequest(a, 30, i)
			a.EndRequest(30, i, true)
		}
	}
	var order []uint64
	for i := range uint64(11) {
		v := a.Admit(40, 100+i, 0, ip(fmt.Sprintf("10.9.0.%d", i)))
		if !v.Accept {
			t.Fatalf("known client %d: %+v", i, v)
		}
		order = append(order, v.PreemptID)
	}
	if order[0] != 5 || order[10] != 0 {
		t.Errorf("preempted in the order %v, want 5 (never served) first and 0 (slow) last", order)
	}
	if v := a.Admit(40, 200, 0, ip("10.9.0.50")); v.Accept || v.Reason != ConnLimit {
		t.Errorf("a connection with an accepted request was preempted: %+v", v)
	}
}

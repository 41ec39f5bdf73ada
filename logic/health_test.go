package logic

import (
	"testing"
)

func TestBreaker(t *testing.T) {
	r := start(t, site(), nodeA, nodeB)
	r.at(0, req(1), req(2))
	r.wait(450 * ms) // silence of more than two aims
	if !r.h.members.nodes[0].breaker.open {
		t.Fatal("breaker closed after silence")
	}
	r.at(0, req(3), req(4), req(5), req(6, shard(1)))
	want(t, "sent to the other node", r.sends[len(r.sends)-1].ID, uint64(6))
	n := len(r.sends)
	r.wait(500 * ms)
	if trials := len(r.sends) - n; trials < 1 || trials > 2 {
		t.Errorf("%d trials in half a second, want one or two", trials)
	}
	last := r.sends[len(r.sends)-1].ID
	r.end(last, OK)
	want(t, "open after an answer", r.h.members.nodes[0].breaker.open, false)
}

func TestSomeResetsDoNotOpenTheBreaker(t *testing.T) {
	r := start(t, site(), nodeA)
	for id := uint64(1); id <= 6; id++ {
		r.at(10*ms, req(id, class(1)))
		r.end(id, []Outcome{Reset, Reset, OK}[id%3])
	}
	want(t, "open", r.h.members.nodes[0].breaker.open, false)
	for id := uint64(10); id <= 13; id++ {
		r.at(10*ms, req(id, class(1)))
		if r.tries[id] > 0 {
			r.end(id, Reset)
		}
	}
	want(t, "open after resets in a row", r.h.members.nodes[0].breaker.open, true)
}

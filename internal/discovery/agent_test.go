package discovery

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// A watch hangs, at once or within its response, while a change waits for it. Up to three
// of the calls after it fail as well: the connection is refused, never comes up or is closed, the
// server does not respond, or responds with an error. The client still has the list within a second,
// well before the 6 s after which the change counts as delivered.
func TestChangeReceivedWithinGrace(t *testing.T) {
	const bound = time.Second
	worst := Time(0)
	for seed := range uint64(2000) {
		run := &faultyRun{draw: rand.New(rand.NewPCG(seed, 1)), client: New("10.0.0.1:1", nil, false, seed), now: startTime}
		for !run.received {
			run.step()
		}
		worst = max(worst, run.now-run.unresponsiveSince)
	}
	if worst > bound {
		t.Errorf("the list came %v after the watch hung, want %v at most", worst, bound)
	}
	t.Logf("the worst of 2,000 runs: %v", worst)
}

// callFault is what goes wrong with a call. Faults of the dial come first.
type callFault int

const (
	noFault          callFault = -1
	refusedDial      callFault = 0
	hangingDial      callFault = 1
	unresponsiveCall callFault = 2
	closedCall       callFault = 3
	errorResponse    callFault = 4
	faultCount                 = 5
	maxFaults                  = 3 // in a run
)

// faultyRun is a run of one client against a server with faults.
type faultyRun struct {
	draw              *rand.Rand
	client            *Client
	now               Time
	faults            int
	unresponsiveSince Time // when the watch that hung was sent; 0: it was not yet
	received          bool // a list came after that
}

func (r *faultyRun) step() {
	op, wakeAt := r.client.Step(r.now)
	fault := callFault(r.draw.IntN(faultCount))
	if r.unresponsiveSince == 0 || r.faults == maxFaults {
		fault = noFault
	}
	switch {
	case op.Close:
	case op.Dial != "":
		r.dial(op.Conn, fault)
	case len(op.Write) > 0:
		r.respond(op.Conn, op.Write, fault)
	default:
		r.now = max(wakeAt, r.now+time.Microsecond)
	}
}

func (r *faultyRun) dial(conn int, fault callFault) {
	switch fault {
	case refusedDial:
		r.client.Closed(r.now, conn)
		r.faults++
	case hangingDial:
		r.faults++
	default:
		r.client.Connected(r.now, conn)
	}
}

func (r *faultyRun) respond(conn int, request []byte, fault callFault) {
	isWatch := strings.Contains(string(request), "from=")
	response := httpResponse(listJSON(42, true, endpointJSON("a", "up")))
	switch {
	case isWatch && r.unresponsiveSince == 0:
		r.unresponsiveSince = r.now
		r.client.Data(r.now, conn, []byte(response[:r.draw.IntN(len(response))]))
	case fault < unresponsiveCall:
		r.client.Data(r.now, conn, []byte(response))
		r.received = r.unresponsiveSince > 0
	case fault == unresponsiveCall: // at once, or within its response
		r.client.Data(r.now, conn, []byte(response[:r.draw.IntN(len(response))]))
		r.faults++
	case fault == closedCall:
		r.client.Closed(r.now, conn)
		r.faults++
	default:
		r.client.Data(r.now, conn, []byte("HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n"))
		r.faults++
	}
}

// An agent hangs for a span of any length, at any phase of a watch, also before the first
// call of a new process and behind a change of the address. It responds only to calls that begin
// after its return. Whatever the length, the client has the list within maxCallAge of the return,
// and makes a bounded number of calls and connections meanwhile.
func TestListAfterAgentOutage(t *testing.T) {
	worst := Time(0)
	for seed := range uint64(2000) {
		outage := newOutage(t, seed)
		outage.begin()
		calls := outage.client.Status().CallsSent
		length := Time(1+outage.draw.IntN(10_000_000)) * time.Microsecond
		outage.advance(length)
		if sent := outage.client.Status().CallsSent - calls; sent > 8+int(length/agentPolicy.maxCallAge) {
			t.Fatalf("seed %d: %d calls within an outage of %v", seed, sent, length)
		}
		outage.ended = true
		recovery, received := outage.awaitUpdate(time.Second)
		if !received {
			t.Fatalf("seed %d: no list within 1 s after an outage of %v", seed, length)
		}
		worst = max(worst, recovery)
		if outage.maxOpen > agentPolicy.maxCalls {
			t.Fatalf("seed %d: %d connections at a time", seed, outage.maxOpen)
		}
	}
	if worst > agentPolicy.maxCallAge+time.Millisecond {
		t.Errorf("the list came %v after the return, want %v at most", worst, agentPolicy.maxCallAge)
	}
}

// agentOutage is a client of an agent that serves, hangs and serves again.
type agentOutage struct {
	*harness
	draw  *rand.Rand
	begun bool
	ended bool
}

func newOutage(t *testing.T, seed uint64) *agentOutage {
	return &agentOutage{harness: newHarness(t, New("10.0.0.1:1", []string{"z0", "z1"}, false, seed)), draw: rand.New(rand.NewPCG(seed, 2))}
}

// begin silences the agent, in one of three situations.
func (o *agentOutage) begin() {
	const newProcess, addressChange = 0, 1
	situation := o.draw.IntN(3)
	if situation != newProcess {
		o.onRequest = o.respondUnlessDown
		o.respondUnlessDown(o.lastConn, o.lastRequest)
		o.advance(Time(o.draw.IntN(500)) * time.Millisecond)
	}
	o.begun = true
	if situation == addressChange {
		o.client.SetAddress(o.now, "10.0.0.2:2")
		o.step()
	}
	o.onRequest = o.respondUnlessDown
	o.client.TakeUpdate()
}

// respondUnlessDown leaves requests of the outage unanswered for good.
func (o *agentOutage) respondUnlessDown(conn int, _ string) {
	if o.begun && !o.ended {
		return
	}
	delete(o.pendingRequests, conn)
	o.deliver(conn, httpResponse(listJSON(41, true, endpointJSON("a", "up"))))
}

// awaitUpdate lets time pass until there is an update, or the time is up.
func (o *agentOutage) awaitUpdate(timeout Time) (took Time, ok bool) {
	begin := o.now
	for !ok {
		if o.now > begin+timeout {
			return 0, false
		}
		o.now = max(o.wakeAt, o.now+time.Microsecond)
		o.step()
		_, ok = o.client.TakeUpdate()
	}
	return o.now - begin, true
}

// An agent takes long for each response, up to nearly the timeout. Its responses are received one
// after the other, and the calls made meanwhile do not cut them off.
func TestSlowAgentResponsesAreReceived(t *testing.T) {
	const span = 20 * time.Second
	for _, delay := range []Time{150 * time.Millisecond, 400 * time.Millisecond, 900 * time.Millisecond, 1900 * time.Millisecond} {
		h := newAgentHarness(t)
		dueAt := map[int]Time{h.lastConn: h.now + delay}
		h.onRequest = func(conn int, _ string) { dueAt[conn] = h.now + delay }
		index, lists := 40, 0
		for end := h.now + span; h.now < end; {
			h.advance(5 * time.Millisecond)
			for conn, due := range dueAt {
				if !h.open[conn] {
					delete(dueAt, conn)
				} else if h.now >= due {
					index++
					delete(dueAt, conn)
					delete(h.pendingRequests, conn)
					h.deliver(conn, httpResponse(listJSON(index, true, endpointJSON("a", "up"))))
					h.step()
				}
			}
			if _, ok := h.client.TakeUpdate(); ok {
				lists++
			}
		}
		if least := int(span/(delay+callSpacing))/2 - 1; lists < least {
			t.Errorf("responses after %v: %d lists within %v, want %d at least", delay, lists, span, least)
		}
	}
}

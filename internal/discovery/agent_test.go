package discovery

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// Verifies that a change is received within a second although a watch hangs, before or within its
// response, and up to three of the following calls fail. A call fails if the connection is refused,
// is never established or is closed, or if the server does not respond or responds with an error.
// The bound is well below the 6 s after which the change counts as delivered.
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
		t.Errorf("the list was received %v after the watch hung, want at most %v", worst, bound)
	}
	t.Logf("longest time in 2,000 runs: %v", worst)
}

// callFault is a fault that the test server injects into a call. The faults of a dial come before
// unresponsiveCall, the first fault of a request.
type callFault int

const (
	noFault          callFault = -1
	refusedDial      callFault = 0
	hangingDial      callFault = 1
	unresponsiveCall callFault = 2
	closedCall       callFault = 3
	errorResponse    callFault = 4
	faultCount                 = 5
	maxFaults                  = 3 // maximum number of faults in a run
)

// faultyRun runs a client against a server that injects faults.
type faultyRun struct {
	draw              *rand.Rand
	client            *Client
	now               Time
	faults            int  // number of faults injected
	unresponsiveSince Time // time at which the watch that hangs was sent; 0 if it was not sent yet
	received          bool // set once a list was received after that
}

// step carries out the client's next operation, or advances the clock if there is none.
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

// dial responds to the dial of a connection.
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

// respond responds to a request. The first watch gets an incomplete response or none.
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
	case fault == unresponsiveCall: // no response, or an incomplete one
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

// Verifies that the client receives the list within maxCallAge of an agent's recovery, and makes a
// limited number of calls and connections during the outage. The outage has any length and begins
// at any phase of a watch, before the first call of a new process, or at a change of the address. The
// agent responds only to calls that begin after its recovery.
func TestListAfterAgentOutage(t *testing.T) {
	worst := Time(0)
	for seed := range uint64(2000) {
		outage := newOutage(t, seed)
		outage.begin()
		calls := outage.client.Status().CallsSent
		length := Time(1+outage.draw.IntN(10_000_000)) * time.Microsecond
		outage.advance(length)
		if sent := outage.client.Status().CallsSent - calls; sent > 8+int(length/agentPolicy.maxCallAge) {
			t.Fatalf("seed %d: too many calls, %d, within an outage of %v", seed, sent, length)
		}
		outage.ended = true
		recovery, received := outage.awaitUpdate(time.Second)
		if !received {
			t.Fatalf("seed %d: no list received within 1 s after an outage of %v", seed, length)
		}
		worst = max(worst, recovery)
		if outage.maxOpen > agentPolicy.maxCalls {
			t.Fatalf("seed %d: %d connections open at a time, more than maxCalls", seed, outage.maxOpen)
		}
	}
	if worst > agentPolicy.maxCallAge+time.Millisecond {
		t.Errorf("the list was received %v after the recovery, want at most %v", worst, agentPolicy.maxCallAge)
	}
}

// agentOutage drives a client of an agent that serves, has an outage and serves again.
type agentOutage struct {
	*harness
	draw  *rand.Rand
	begun bool // set once the outage has begun
	ended bool // set once the outage is over
}

func newOutage(t *testing.T, seed uint64) *agentOutage {
	return &agentOutage{harness: newHarness(t, New("10.0.0.1:1", []string{"z0", "z1"}, false, seed)), draw: rand.New(rand.NewPCG(seed, 2))}
}

// begin starts the outage, in one of three situations.
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

// respondUnlessDown responds to a request. A request made during the outage never gets a response.
func (o *agentOutage) respondUnlessDown(conn int, _ string) {
	if o.begun && !o.ended {
		return
	}
	delete(o.pendingRequests, conn)
	o.deliver(conn, httpResponse(listJSON(41, true, endpointJSON("a", "up"))))
}

// awaitUpdate advances the clock until there is an update or the timeout has passed. It returns the
// time taken. ok is false after a timeout.
func (o *agentOutage) awaitUpdate(timeout Time) (took Time, ok bool) {
	startedAt := o.now
	for !ok {
		if o.now > startedAt+timeout {
			return 0, false
		}
		o.now = max(o.wakeAt, o.now+time.Microsecond)
		o.step()
		_, ok = o.client.TakeUpdate()
	}
	return o.now - startedAt, true
}

// Verifies that the responses of a slow agent are received, although each takes up to nearly the
// timeout and further calls are made meanwhile. The oldest call must not be abandoned for them.
func TestSlowAgentResponsesAreReceived(t *testing.T) {
	const span = 20 * time.Second
	for _, delay := range []Time{150 * time.Millisecond, 400 * time.Millisecond, 900 * time.Millisecond, 1900 * time.Millisecond} {
		h := newAgentHarness(t)
		responseAt := map[int]Time{h.lastConn: h.now + delay}
		h.onRequest = func(conn int, _ string) { responseAt[conn] = h.now + delay }
		index, lists := 40, 0
		for end := h.now + span; h.now < end; {
			h.advance(5 * time.Millisecond)
			for conn, due := range responseAt {
				if !h.open[conn] {
					delete(responseAt, conn)
				} else if h.now >= due {
					index++
					delete(responseAt, conn)
					delete(h.pendingRequests, conn)
					h.deliver(conn, httpResponse(listJSON(index, true, endpointJSON("a", "up"))))
					h.step()
				}
			}
			if _, ok := h.client.TakeUpdate(); ok {
				lists++
			}
		}
		if minimum := int(span/(delay+minCallInterval))/2 - 1; lists < minimum {
			t.Errorf("responses after %v: %d lists received within %v, want at least %d", delay, lists, span, minimum)
		}
	}
}

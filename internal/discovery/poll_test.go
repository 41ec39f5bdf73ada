package discovery

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// Verifies the calls to an overloaded service, which rejects calls and takes nearly two seconds for a
// list. A call that the service handles is not abandoned, and a rejected call is repeated after a
// backoff. When a watch then hangs, the changes since are requested and received before they count
// as delivered, 2 s after the end of the hold.
func TestPollingOverloadedService(t *testing.T) {
	for seed := range uint64(50) {
		s := &overloadedServer{t: t, client: New("10.0.0.1:1", nil, true, seed), now: startTime, list: listJSON(42, true, endpointJSON("a", "up"))}
		for s.listsSent < 2 {
			s.step()
		}
		const fullList = "GET /api/targets"
		if want := []string{fullList, fullList, fullList, "watch", fullList + "?from=42&hold_ms=0"}; !slices.Equal(s.requests, want) {
			t.Fatalf("requests %q, want %q", s.requests, want)
		}
		checkRejectedWatches(t, s.client, s.now)
	}
}

const rejection = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"

// overloadedServer rejects the first calls, responds to later calls with a delay, and never responds
// to a watch.
type overloadedServer struct {
	t          *testing.T
	client     *Client
	now        Time
	rejections int
	requests   []string // paths of the requests, "watch" for a watch
	conn       int      // connection of the last request
	respondAt  Time     // time of the response to the last request; 0 if there is none
	list       string   // next list to send
	listsSent  int
	// changeCountsAt is the time at which a change that the watch missed counts as delivered.
	changeCountsAt Time
}

// step carries out the client's next operation. If there is none, it sends a response that is due or
// advances the clock.
func (s *overloadedServer) step() {
	op, wakeAt := s.client.Step(s.now)
	switch {
	case op.Close:
		if s.respondAt > 0 {
			s.t.Fatalf("a call is abandoned %v before its response", s.respondAt-s.now)
		}
	case op.Dial != "":
		s.client.Connected(s.now, op.Conn)
	case len(op.Write) > 0:
		path, _, _ := strings.Cut(string(op.Write), " HTTP")
		s.conn = op.Conn
		s.request(path)
	case s.respondAt > 0 && wakeAt >= s.respondAt:
		s.respond()
	default:
		s.now = max(wakeAt, s.now+time.Microsecond)
	}
}

// request records a request, and rejects it or determines the time of the response.
func (s *overloadedServer) request(path string) {
	if strings.Contains(path, "hold_ms=") && !strings.HasSuffix(path, "hold_ms=0") {
		var hold int
		fmt.Sscanf(path[strings.Index(path, "hold_ms="):], "hold_ms=%d", &hold)
		s.changeCountsAt = s.now + Time(hold)*time.Millisecond + missedChangeGrace
		s.requests = append(s.requests, "watch")
		return
	}
	s.requests = append(s.requests, path)
	switch {
	case s.rejections < 2:
		s.rejections++
		s.client.Data(s.now, s.conn, []byte(rejection))
	case s.listsSent == 0:
		s.respondAt = s.now + overloadedService
	default:
		s.respondAt = s.now + 1200*time.Millisecond
	}
}

// respond advances the clock to respondAt and sends the next list.
func (s *overloadedServer) respond() {
	s.now = s.respondAt
	s.respondAt = 0
	s.client.Data(s.now, s.conn, []byte(httpResponse(s.list)))
	s.listsSent++
	if s.listsSent == 2 && s.now > s.changeCountsAt {
		s.t.Fatalf("the change was received %v after it counted as delivered", s.now-s.changeCountsAt)
	}
	s.list = listJSON(43, false, endpointJSON("a", "draining"))
}

// checkRejectedWatches rejects every call for 10 s and checks that the client repeats the watch at the
// rate of the backoff, and does not request the full list instead.
func checkRejectedWatches(t *testing.T, client *Client, now Time) {
	t.Helper()
	client.Data(now, 0, nil)
	rejected := 0
	for end := now + 10*time.Second; now < end; {
		op, wakeAt := client.Step(now)
		switch {
		case op.Close:
		case op.Dial != "":
			client.Connected(now, op.Conn)
		case len(op.Write) > 0:
			if rejected++; !strings.Contains(string(op.Write), "from=43&hold_ms=1") {
				t.Fatalf("got request %q after a rejected watch, want a watch", op.Write)
			}
			client.Data(now, op.Conn, []byte(rejection))
		default:
			now = max(wakeAt, now+time.Microsecond)
		}
	}
	if rejected < 8 || rejected > 30 {
		t.Fatalf("%d calls within 10 s, want 8 to 30", rejected)
	}
}

// Verifies that Status.WatchHeldUntil covers the hold of a watch, so that a polled service that holds
// a watch because nothing changes is not logged as unavailable. The value is not extended by later
// watches without a response, and ends when the connection is lost, so that an outage is logged.
func TestWatchHeldUntil(t *testing.T) {
	h := newHarness(t, New("10.0.0.1:1", nil, true, 1))
	h.respond(listJSON(42, true, endpointJSON("a", "up")), 1<<20)
	heldUntil := h.client.Status().WatchHeldUntil
	if minimum := h.now + pollPolicy.watchHold - minCallInterval; heldUntil < minimum {
		t.Fatalf("WatchHeldUntil is %v after the list, want at least %v", heldUntil-h.now, pollPolicy.watchHold)
	}
	h.advance(time.Second)
	h.resetConn(h.lastConn)
	lostAt := h.now
	h.advance(5 * time.Second)
	if status := h.client.Status(); status.WatchHeldUntil > lostAt || status.CallsSent < 3 {
		t.Errorf("WatchHeldUntil is %v after the connection was lost, with %d calls sent; want at most 0 and at least 3 calls", status.WatchHeldUntil-lostAt, status.CallsSent)
	}
}

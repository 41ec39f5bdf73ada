package discovery

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// A polled service is overloaded: it rejects calls, and takes nearly two seconds for a list. A
// call that it works on is not given up, and a rejected one is repeated after a backoff. A watch
// then hangs: it is followed by a call for the changes since, and these are received
// before they count as delivered, 2 s after the watch was to end.
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

// overloadedServer rejects the first calls, responds to later ones with a delay, and never to a
// watch.
type overloadedServer struct {
	t          *testing.T
	client     *Client
	now        Time
	rejections int
	requests   []string // their paths, or "watch"
	conn       int      // of the last request
	respondAt  Time     // to the last request; 0: it gets no response
	list       string   // the next one to be sent
	listsSent  int
	// changeCountsAt is when a change that the watch missed counts as delivered.
	changeCountsAt Time
}

func (s *overloadedServer) step() {
	op, wakeAt := s.client.Step(s.now)
	switch {
	case op.Close:
		if s.respondAt > 0 {
			s.t.Fatalf("a call is given up %v before its response", s.respondAt-s.now)
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

func (s *overloadedServer) respond() {
	s.now = s.respondAt
	s.respondAt = 0
	s.client.Data(s.now, s.conn, []byte(httpResponse(s.list)))
	s.listsSent++
	if s.listsSent == 2 && s.now > s.changeCountsAt {
		s.t.Fatalf("the change came %v after it counted", s.now-s.changeCountsAt)
	}
	s.list = listJSON(43, false, endpointJSON("a", "draining"))
}

// checkRejectedWatches has every call rejected for 10 s: the watch is repeated as such, not
// turned into a call for the full list, and at the pace of the backoff.
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
				t.Fatalf("the request is then %q", op.Write)
			}
			client.Data(now, op.Conn, []byte(rejection))
		default:
			now = max(wakeAt, now+time.Microsecond)
		}
	}
	if rejected < 8 || rejected > 30 {
		t.Fatalf("%d calls within 10 s", rejected)
	}
}

// Guards against an outage that is none in the log: while a polled service holds a watch as nothing
// changes, it is not silent. The hold counts once, so that a service that does not respond after
// it, or whose connection is lost, is.
func TestHeldWatchIsNoSilence(t *testing.T) {
	h := newHarness(t, New("10.0.0.1:1", nil, true, 1))
	h.respond(listJSON(42, true, endpointJSON("a", "up")), 1<<20)
	heldUntil := h.client.Status().WatchHeldUntil
	if least := h.now + pollPolicy.watchHold - callSpacing; heldUntil < least {
		t.Fatalf("held for %v after the list, want %v at least", heldUntil-h.now, pollPolicy.watchHold)
	}
	h.advance(time.Second)
	h.resetConn(h.lastConn)
	lostAt := h.now
	h.advance(5 * time.Second)
	if status := h.client.Status(); status.WatchHeldUntil > lostAt || status.CallsSent < 3 {
		t.Errorf("held for %v after its connection was lost; %d calls", status.WatchHeldUntil-lostAt, status.CallsSent)
	}
}

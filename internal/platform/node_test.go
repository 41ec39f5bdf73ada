package platform

import (
	"strings"
	"testing"
	"time"

	"maddergap/internal/http1"
	"maddergap/scheduler"
)

// Verifies that an attempt has the end-to-end fields of the client's request, no hop-by-hop fields, and
// its own timeout. Fields that the gateway does not know are forwarded too, such as Idempotency-Key, by
// which a node deduplicates.
func TestAppendRequest(t *testing.T) {
	p := newProtocol(t)
	var r http1.Request
	text := strings.Replace(goodRequest, "Host: b\r\n", "Host: b\r\nIdempotency-Key: 77\r\nConnection: TE, X-Hop\r\nTE: gzip\r\nExpect: 100-continue\r\nKeep-Alive: 5\r\n", 1)
	if err := http1.ParseRequest([]byte(text), &r, http1.DefaultLimits); err != nil {
		t.Fatal(err)
	}
	got := string(p.AppendRequest(nil, &r, 123456*time.Microsecond))
	want := "PUT /api HTTP/1.1\r\nHost: b\r\nIdempotency-Key: 77\r\nX-Txn: 00c0ffee00c0ffee\r\nX-Lane: write\r\nTier: high\r\nPiece: abcdef9876543210\r\n" +
		"IO-Info: volume=00000000feed0001,units=2.5,shard=-1,hosts=3\r\nX-Remaining: 123456u\r\n"
	if got != want {
		t.Errorf("%q", got)
	}
}

func TestAppendRetryAfter(t *testing.T) {
	if got := string(newProtocol(t).AppendRetryAfter(nil, 350*time.Millisecond)); got != "Retry-After: 0.350\r\n" {
		t.Errorf("%q", got)
	}
}

func TestParseResponse(t *testing.T) {
	p := newProtocol(t)
	for _, c := range []struct {
		text          string
		outcome       scheduler.Outcome
		load          float64
		hasLoadReport bool
	}{
		{"200 OK\r\nX-Pressure: inflight=7,queue=2,util=0.61", scheduler.OK, 7, true},
		{"200 OK\r\nX-Pressure: inflight=1,queue=9", scheduler.OK, 9, true},
		{"200 OK\r\nX-Pressure: concurrent=2.239", scheduler.OK, 2.239, true},
		{"200 OK\r\nX-Pressure: depth=3,concurrent=1", scheduler.OK, 3, true},
		{"200 OK\r\nX-Pressure: inflight=many", scheduler.OK, 0, false},
		{"200 OK\r\nX-Pressure: inflight=NaN", scheduler.OK, 0, false},
		{"200 OK\r\nX-Pressure: inflight=-3", scheduler.OK, 0, false},
		{"200 OK\r\nX-Pressure: ,,=,", scheduler.OK, 0, false},
		{"503 Busy\r\nX-Turned-Away: 1\r\nX-Pressure: queue=3", scheduler.QueueFull, 3, true},
		{"504 Late\r\nX-Turned-Away: 1", scheduler.QueueFull, 0, false},
		{"503 Busy", scheduler.Failed, 0, false},
		{"503 Busy\r\nX-Turned-Away: 0", scheduler.Failed, 0, false},
		{"500 Error\r\nX-Turned-Away: 1", scheduler.Failed, 0, false},
		{"429 Busy\r\nX-Turned-Away: 1", scheduler.Failed, 0, false},
		{"204 None", scheduler.Failed, 0, false},
	} {
		var r http1.Response
		if err := http1.ParseResponse([]byte("HTTP/1.1 "+c.text+"\r\nContent-Length: 0\r\n\r\n"), &r, "GET", http1.DefaultLimits); err != nil {
			t.Fatal(err)
		}
		if got := p.ParseResponse(&r); got.Outcome != c.outcome || got.ReportedLoad != c.load || got.HasLoadReport != c.hasLoadReport {
			t.Errorf("%q: got the wrong outcome or load: %+v", c.text, got)
		}
	}
}

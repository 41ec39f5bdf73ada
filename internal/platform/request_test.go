package platform

import (
	"math"
	"strings"
	"testing"
	"time"

	"maddergap/internal/gateway"
	"maddergap/internal/http1"
	"maddergap/scheduler"
)

const goodRequest = "PUT /api HTTP/1.1\r\nHost: b\r\nX-Txn: 00c0ffee00c0ffee\r\nX-Lane: write\r\nTier: high\r\nPiece: abcdef9876543210\r\n" +
	"X-Remaining: 480m\r\nContent-Length: 5\r\nIO-Info: volume=00000000feed0001,units=2.5,shard=-1,hosts=3\r\n\r\n"

func parseRequest(t *testing.T, p *Protocol, text string) gateway.RequestInfo {
	t.Helper()
	var r http1.Request
	if err := http1.ParseRequest([]byte(text), &r, http1.DefaultLimits); err != nil {
		t.Fatal(err)
	}
	return p.ParseRequest(&r)
}

func TestParseRequest(t *testing.T) {
	p := newProtocol(t)
	info := parseRequest(t, p, goodRequest)
	want := scheduler.Arrival{Shard: -1, Plan: 1, Class: 1, Key: "abcdef9876543210", Volume: "00000000feed0001", TimeRemaining: 480 * time.Millisecond, Units: 2.5, Instances: 3}
	if info.Status != 0 || info.ID != "00c0ffee00c0ffee" || info.Arrival != want {
		t.Fatalf("%+v", info)
	}
	info = parseRequest(t, p, strings.Replace(goodRequest, "480m", "1500.5u\r\nX-Resent: 1", 1))
	if info.Arrival.TimeRemaining != 1500500 || !info.Arrival.ClientRetry {
		t.Errorf("%+v", info)
	}
}

// Each replacement in the valid request makes it violate the protocol.
func TestProtocolViolations(t *testing.T) {
	p := newProtocol(t)
	for _, c := range [][2]string{
		{"X-Txn: 00c0ffee00c0ffee\r\n", ""}, {"00c0ffee00c0ffee", "a b"}, {"00c0ffee00c0ffee", strings.Repeat("a", 65)},
		{"X-Lane: write", "X-Lane: other"}, {"X-Lane: write", "X-Lane: read"}, {"X-Lane: write", "X-Lane: write\r\nX-Lane: read"},
		{"Tier: high", "Tier: "}, {"Piece: ab", "Piece: zz"}, {"Piece: abcd", "Piece: ab"},
		{"480m", "480"}, {"480m", "0m"}, {"480m", "-4m"}, {"480m", "NaNm"}, {"480m", "1e9m"}, {"480m", "99999999999999999m"}, {"480m", "4.8.0m"}, {"480m", "480s"}, {"480m", "m"},
		{"units=2.5", "units=0"}, {"units=2.5", "units=7"}, {"units=2.5", "units=-1"}, {"units=2.5", "units=Inf"}, {",units=2.5", ""},
		{"shard=-1", "shard=4"}, {"shard=-1", "shard=-2"}, {"shard=-1", "shard=1.5"}, {"hosts=3", "hosts=0"}, {"hosts=3", "hosts=4"},
		{"hosts=3", "hosts=3,hosts=3"}, {"volume=0", "volume="}, {"PUT", "DELETE"}, {"PUT", "GET"},
		{"X-Lane", "Connection: close, Tier\r\nX-Lane"}, {"X-Lane", "Connection: x-txn\r\nX-Lane"}, {"X-Lane", "Connection: Key\r\nKey: 1\r\nX-Lane"},
	} {
		if info := parseRequest(t, p, strings.Replace(goodRequest, c[0], c[1], 1)); info.Status < 400 || info.Status > 499 {
			t.Errorf("%q instead of %q: got %+v, want a status 4xx", c[1], c[0], info)
		}
	}
}

func TestReadinessCheck(t *testing.T) {
	p := newProtocol(t)
	ready := false
	p.Ready = func() bool { return ready }
	for _, want := range []int{503, 200} {
		if info := parseRequest(t, p, "GET /-/ready HTTP/1.1\r\nHost: b\r\n\r\n"); info.Status != want {
			t.Errorf("ready is %v: got status %d", ready, info.Status)
		}
		ready = true
	}
}

// FuzzParseRequest checks that the gateway either responds to a request itself or finds all its numbers
// in their ranges, and that an attempt of the request is parsed to the same values.
func FuzzParseRequest(f *testing.F) {
	f.Add([]byte(goodRequest))
	f.Add([]byte("GET /api HTTP/1.1\r\nHost: b\r\nX-Remaining: 1u\r\nIO-Info: units=1,shard=0,hosts=1,volume=0000000000000000\r\n\r\n"))
	p := newProtocol(f)
	f.Fuzz(func(t *testing.T, b []byte) {
		var r http1.Request
		n := http1.HeaderEnd(b, 0)
		if n == 0 || http1.ParseRequest(b[:n], &r, http1.DefaultLimits) != nil {
			return
		}
		info := p.ParseRequest(&r)
		if info.Status != 0 {
			return
		}
		if a := info.Arrival; info.ID == "" || a.TimeRemaining <= 0 || a.TimeRemaining > maxTimeRemaining || !(a.Units > 0 && a.Units <= 6) ||
			a.Shard < -1 || a.Shard > 3 || a.Instances < 1 || a.Instances > 3 || math.IsNaN(a.Units) {
			t.Fatalf("%q: a value is out of range: %+v", b, info)
		}
		attempt := append(p.AppendRequest(nil, &r, info.Arrival.TimeRemaining), "\r\n"...)
		var forwarded http1.Request
		if err := http1.ParseRequest(attempt, &forwarded, http1.DefaultLimits); err != nil {
			t.Fatalf("%q is forwarded as %q: %v", b, attempt, err)
		}
		if reparsed := p.ParseRequest(&forwarded); reparsed.ID != info.ID || reparsed.Arrival.Volume != info.Arrival.Volume || reparsed.Arrival.Units != info.Arrival.Units {
			t.Fatalf("%q is forwarded as %q, which has other values", b, attempt)
		}
	})
}

package platform

import (
	"fmt"
	"math"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"maddergap/internal/gateway"
	"maddergap/internal/http1"
	"maddergap/scheduler"
)

// text is a configuration as the platform writes it, with a part replaced.
func text(old, replacement string) []byte {
	return []byte(strings.Replace(`{"name":"h1","listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"00000000000000a1",
"limits":{"cores":0.5,"memory_mb":48,"sockets":256},
"known":{"index":3,"snapshot":true,"endpoints":[{"name":"a","address":"127.0.0.1:7","zone":"z1","group":0,"status":"up","since_ms":0}]},
"settings":{"fleetSize":3,"discovery":"push","zones":["z0","z1"],
"classes":[{"name":"read","target":100000,"deadline":600000,"effect":"retryable","group":"all","gain":2,"lateWorth":0.1},
{"name":"write","target":200000,"deadline":900000,"effect":"fragile","group":"all","gain":2,"lateWorth":0.1}],
"grades":[{"name":"low","shares":1,"valueFactor":1,"ceilingRate":0},{"name":"high","shares":2,"valueFactor":1}],
"familyInfo":{"unitsTop":6,"usualUnits":2,"fairWorth":0.3,"nShards":4,"writes":[false,true]},
"limits":{"maxAttempts":3,"maxRetryAfter":500000,"retryAfter":true,"connIdle":30000000,"connectTimeout":250000}}}`, old, replacement, 1))
}

func none(string) string { return "" }

func protocol(t *testing.T) *Protocol {
	t.Helper()
	c, err := Parse("c", text("", ""), none)
	if err != nil {
		t.Fatal(err)
	}
	return c.Protocol()
}

func TestMistakesOfTheConfigurationAreNamed(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{`"seed":"00000000000000a1"`, `"seed":"x"`, "seed"},
		{`"retryable"`, `"sometimes"`, `effect "sometimes" is unknown`},
		{`"target":100000`, `"target":0`, "target above 0"},
		{`"unitsTop":6`, `"unitsTop":0`, "unitsTop"},
		{`"writes":[false,true]`, `"writes":[true]`, "familyInfo.writes"},
		{`"sockets":256`, `"sockets":40`, "sockets"},
		{`"listen":"127.0.0.1:0"`, `"listen":"here"`, "listen"},
		{`"discovery":"127.0.0.1:9"`, `"discovery":""`, "discovery"},
		{`"settings":{`, `"other":{`, "settings are missing"},
		{`"known"`, `"known`, "invalid character"},
	} {
		if _, err := Parse("file", text(c.old, c.new), none); err == nil || !strings.Contains(err.Error(), c.want) || !strings.HasPrefix(err.Error(), "file: ") {
			t.Errorf("%s: %v, want %q", c.new, err, c.want)
		}
	}
	if _, err := Load(none); err == nil || !strings.Contains(err.Error(), EnvConfig) {
		t.Errorf("without the variable: %v", err)
	}
	file := t.TempDir() + "/c"
	os.WriteFile(file, text(`"discovery":"127.0.0.1:9"`, `"discovery":""`), 0o644)
	c, err := Load(func(name string) string { return map[string]string{EnvConfig: file, EnvDiscovery: "127.0.0.2:1"}[name] })
	if err != nil || c.DiscoveryAddr != "127.0.0.2:1" {
		t.Errorf("what the file leaves out comes from the environment: %v %v", c, err)
	}
}

// With every bound reached at once the platform's limits hold, at its smallest and
// its largest.
func TestBoundsStayUnderTheLimits(t *testing.T) {
	for _, sockets := range []int{256, 384, 512, 1024, 4096} {
		for _, memory := range []float64{32, 48, 64, 192, 2048} {
			b, err := bounds(sockets, memory)
			if err != nil {
				t.Fatal(err)
			}
			if b.RequiredDescriptors() > sockets || b.MaxClientConns < sockets/3 || b.IdlePressureConns >= sockets/3 || b.MaxNodeConns < sockets/4 {
				t.Errorf("%d sockets: %+v is %d descriptors", sockets, b, b.RequiredDescriptors())
			}
			if b.MaxResponseBytes < 1<<20 || b.MaxBufferedResponseBytes < b.MaxResponseBytes {
				t.Errorf("%v MB: %+v", memory, b)
			}
			if float64(b.RuntimeMemoryBytes+b.ClientBufferBytes) > memory*(1<<20)*0.95 {
				t.Errorf("%v MB: %+v", memory, b)
			}
		}
	}
}

const good = "PUT /api HTTP/1.1\r\nHost: b\r\nX-Txn: 00c0ffee00c0ffee\r\nX-Lane: write\r\nTier: high\r\nPiece: abcdef9876543210\r\n" +
	"X-Remaining: 480m\r\nContent-Length: 5\r\nIO-Info: volume=00000000feed0001,units=2.5,shard=-1,hosts=3\r\n\r\n"

func ask(t *testing.T, p *Protocol, text string) gateway.RequestInfo {
	t.Helper()
	var r http1.Request
	if err := http1.ParseRequest([]byte(text), &r, http1.DefaultLimits); err != nil {
		t.Fatal(err)
	}
	return p.ParseRequest(&r)
}

func TestAsk(t *testing.T) {
	p := protocol(t)
	a := ask(t, p, good)
	want := scheduler.Arrival{Shard: -1, Plan: 1, Class: 1, Key: "abcdef9876543210", Volume: "00000000feed0001", TimeRemaining: 480 * time.Millisecond, Units: 2.5, Instances: 3}
	if a.Status != 0 || a.ID != "00c0ffee00c0ffee" || a.Arrival != want {
		t.Fatalf("%+v", a)
	}
	if a = ask(t, p, strings.Replace(good, "480m", "1500.5u\r\nX-Resent: 1", 1)); a.Arrival.TimeRemaining != 1500500 || !a.Arrival.ClientRetry {
		t.Errorf("%+v", a)
	}
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
		if a := ask(t, p, strings.Replace(good, c[0], c[1], 1)); a.Status < 400 || a.Status > 499 {
			t.Errorf("%q for %q: %+v", c[1], c[0], a)
		}
	}
	ready := false
	p.Ready = func() bool { return ready }
	for _, want := range []int{503, 200} {
		if a := ask(t, p, "GET /-/ready HTTP/1.1\r\nHost: b\r\n\r\n"); a.Status != want {
			t.Errorf("ready %v: %d", ready, a.Status)
		}
		ready = true
	}
}

// What goes to a node is what its client sent, but for what is of the connection alone and
// the time that is left: nodes drop repeats by a field that the head does not read.
func TestAttempt(t *testing.T) {
	p := protocol(t)
	var r http1.Request
	text := strings.Replace(good, "Host: b\r\n", "Host: b\r\nIdempotency-Key: 77\r\nConnection: TE, X-Hop\r\nTE: gzip\r\nExpect: 100-continue\r\nKeep-Alive: 5\r\n", 1)
	if err := http1.ParseRequest([]byte(text), &r, http1.DefaultLimits); err != nil {
		t.Fatal(err)
	}
	b := string(p.AppendRequest(nil, &r, 123456*time.Microsecond))
	want := "PUT /api HTTP/1.1\r\nHost: b\r\nIdempotency-Key: 77\r\nX-Txn: 00c0ffee00c0ffee\r\nX-Lane: write\r\nTier: high\r\nPiece: abcdef9876543210\r\n" +
		"IO-Info: volume=00000000feed0001,units=2.5,shard=-1,hosts=3\r\nX-Remaining: 123456u\r\n"
	if b != want {
		t.Errorf("%q", b)
	}
	if s := string(p.AppendRetryAfter(nil, 350*time.Millisecond)); s != "Retry-After: 0.350\r\n" {
		t.Errorf("%q", s)
	}
}

func TestVerdict(t *testing.T) {
	p := protocol(t)
	for _, c := range []struct {
		text string
		o    scheduler.Outcome
		load float64
		says bool
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
		if v := p.ParseResponse(&r); v.Outcome != c.o || v.ReportedLoad != c.load || v.HasLoadReport != c.says {
			t.Errorf("%q: %+v", c.text, v)
		}
	}
}

// An id is taken once: while it is open, and after an end that may have had an effect,
// as far back as the table reaches.
func TestIDs(t *testing.T) {
	x := newIDs(3)
	take := func(id string, want bool) {
		t.Helper()
		if x.take(id) != want {
			t.Errorf("%s: want %v", id, want)
		}
	}
	take("a", true)
	take("a", false)
	x.end("a", gateway.Rejected)
	take("a", true)
	for _, o := range []gateway.Outcome{gateway.Failed, gateway.Served, gateway.ClientDisconnected} {
		id := fmt.Sprint("b", o)
		take(id, true)
		x.end(id, o)
		take(id, false)
	}
	x.end("a", gateway.Served) // and the oldest is forgotten
	take("a", false)
	take("bfailed", true)
	for i := range 10000 {
		id := fmt.Sprint(i)
		x.take(id)
		x.end(id, gateway.Outcome(i%4))
	}
	if len(x.open) != 1 || len(x.ended) != 3 {
		t.Errorf("%d open, %d ended", len(x.open), len(x.ended))
	}
}

// FuzzAsk holds that whatever a client sends is the head's own error or a request with
// every figure in its range, and that what is read alike is sent on alike.
func FuzzAsk(f *testing.F) {
	f.Add([]byte(good))
	f.Add([]byte("GET /api HTTP/1.1\r\nHost: b\r\nX-Remaining: 1u\r\nIO-Info: units=1,shard=0,hosts=1,volume=0000000000000000\r\n\r\n"))
	c, err := Parse("c", text("", ""), none)
	if err != nil {
		f.Fatal(err)
	}
	p := c.Protocol()
	f.Fuzz(func(t *testing.T, b []byte) {
		var r http1.Request
		n := http1.HeaderEnd(b, 0)
		if n == 0 || http1.ParseRequest(b[:n], &r, http1.DefaultLimits) != nil {
			return
		}
		a := p.ParseRequest(&r)
		v := a.Arrival
		if a.Status != 0 {
			return
		}
		if a.ID == "" || v.TimeRemaining <= 0 || v.TimeRemaining > mostLeft || !(v.Units > 0 && v.Units <= 6) || v.Shard < -1 || v.Shard > 3 || v.Instances < 1 || v.Instances > 3 || math.IsNaN(v.Units) {
			t.Fatalf("%q: %+v", b, a)
		}
		again := append(p.AppendRequest(nil, &r, v.TimeRemaining), "\r\n"...)
		var s http1.Request
		if err := http1.ParseRequest(again, &s, http1.DefaultLimits); err != nil {
			t.Fatalf("%q is sent on as %q: %v", b, again, err)
		}
		if o := p.ParseRequest(&s); o.ID != a.ID || o.Arrival.Volume != v.Volume || o.Arrival.Units != v.Units {
			t.Fatalf("%q is sent on as %q", b, again)
		}
	})
}

// FuzzParse holds that no text of a configuration does more than give an error.
func FuzzParse(f *testing.F) {
	f.Add(text("", ""))
	f.Fuzz(func(t *testing.T, b []byte) {
		if c, err := Parse("c", b, none); err == nil {
			if _, err := netip.ParseAddrPort(c.DiscoveryAddr); err != nil || c.Bounds.RequiredDescriptors() > c.Bounds.DescriptorLimit {
				t.Fatalf("%q: %+v", b, c)
			}
		}
	})
}

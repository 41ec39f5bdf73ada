package e2e

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"maddergap/internal/daemon"
	"maddergap/internal/discovery"
	"maddergap/internal/discoverytest"
	"maddergap/internal/platform"
	"maddergap/internal/syscalls"
)

// stubNode is a storage node as the platform has them, scripted by a test: for each
// request it writes the bytes it is told to, and may then close, reset or say nothing.
type stubNode struct {
	ln     net.Listener
	script func(n int, r *http.Request) reply
	mu     sync.Mutex
	seen   []string // ids of the requests that came whole, in order
	remain []string
	conns  int
}

type reply struct {
	text  string
	close bool
	reset bool
	hang  bool
}

func ok(body string) reply {
	return reply{text: fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\nX-Pressure: inflight=1\r\n\r\n%s", len(body), body)}
}

func newStubNode(t *testing.T, script func(n int, r *http.Request) reply) *stubNode {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &stubNode{ln: ln, script: script}
	var open sync.WaitGroup
	quit := make(chan struct{})
	open.Add(1)
	go func() {
		defer open.Done()
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns++
			s.mu.Unlock()
			open.Add(1)
			go func() { defer open.Done(); s.serve(c, quit) }()
		}
	}()
	t.Cleanup(func() { ln.Close(); close(quit); open.Wait() })
	return s
}

func (s *stubNode) serve(c net.Conn, quit chan struct{}) {
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-quit:
		case <-stop:
		}
		c.Close()
	}()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		s.mu.Lock()
		s.seen = append(s.seen, r.Header.Get("X-Txn"))
		s.remain = append(s.remain, r.Header.Get("X-Remaining"))
		n := len(s.seen)
		s.mu.Unlock()
		a := s.script(n, r)
		if a.hang {
			<-quit
			return
		}
		c.Write([]byte(a.text))
		if a.reset { // when its bytes were read, not before
			time.Sleep(10 * time.Millisecond)
			c.(*net.TCPConn).SetLinger(0)
		}
		if a.close || a.reset {
			return
		}
	}
}

func (s *stubNode) ids() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.seen...)
}

// stubDiscovery is discovery on the head's machine.
type stubDiscovery struct {
	*discoverytest.Agent
	registry *discoverytest.Registry
	addr     string
}

func newStubDiscovery(t *testing.T, nodes ...*stubNode) *stubDiscovery {
	t.Helper()
	d := &stubDiscovery{registry: discoverytest.NewRegistry()}
	var entries []discovery.Endpoint
	for i, n := range nodes {
		entries = append(entries, endpointOf(fmt.Sprint("s", i), n, i, "up"))
	}
	d.set(entries...)
	d.Agent = d.registry.NewAgent(0)
	var err error
	if d.addr, err = d.Listen(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	return d
}

// silentDiscovery takes connections and says nothing, as while discovery is down.
func silentDiscovery(t *testing.T) string {
	t.Helper()
	d := newStubDiscovery(t)
	d.StartOutage()
	return d.addr
}

func endpointOf(name string, n *stubNode, group int, status string) discovery.Endpoint {
	return discovery.Endpoint{Name: name, Address: n.ln.Addr().String(), Zone: "z0", Group: group, Status: status}
}

// listText is a list as a configuration has it.
func listText(t *testing.T, entries ...discovery.Endpoint) []byte {
	t.Helper()
	index := int64(1)
	text, err := json.Marshal(discovery.EndpointList{Index: &index, Snapshot: true, Endpoints: entries})
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// set tells another list.
func (d *stubDiscovery) set(entries ...discovery.Endpoint) { d.registry.ReplaceAll(entries...) }

// service runs a head on the platform over real sockets.
type service struct {
	*system
	file   string
	ids    atomic.Int64
	change *strings.Replacer
}

func platformText(discovery string) string {
	return fmt.Sprintf(`{"name":"h0","listen":"127.0.0.1:0","discovery":%q,"seed":"00000000000000a1",
"limits":{"cores":0.5,"memory_mb":64,"sockets":256},
"settings":{"fleetSize":1,"discovery":"push","zones":["z0"],
"classes":[{"name":"read","target":150000,"deadline":1200000,"effect":"retryable","group":"all","gain":2,"lateWorth":0.1},
{"name":"write","target":300000,"deadline":1500000,"effect":"fragile","group":"all","gain":2,"lateWorth":0.1}],
"grades":[{"name":"low","shares":1,"guaranteed":100,"valueFactor":1}],
"familyInfo":{"unitsTop":6,"usualUnits":2,"fairWorth":0.3,"nShards":4,"writes":[false,true]},
"limits":{"maxAttempts":4,"maxRetryAfter":500000,"retryAfter":true,"connIdle":30000000,"connectTimeout":250000}}}`, discovery)
}

func serveOn(t *testing.T, d *stubDiscovery) *service {
	t.Helper()
	return serveWith(t, d, strings.NewReplacer())
}

// serveWith is serveOn with another configuration.
func serveWith(t *testing.T, d *stubDiscovery, change *strings.Replacer) *service {
	t.Helper()
	s := startWith(t, d.addr, change)
	t.Cleanup(func() {
		s.stop()
		// What the module holds to be out is what is out on the sockets, at each look.
		if log := s.log.String(); strings.Contains(log, "mismatch=true") || !strings.Contains(log, `msg="instance state"`) {
			t.Error("the module's attempts and those on the sockets differ, or were not compared")
		}
	})
	within(t, time.Second, s.ready)
	return s
}

func (s *service) ready() bool {
	status, _ := s.raw("GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n")
	return status == 200
}

// startWith starts a head and does not wait until it is ready.
func startWith(t *testing.T, discovery string, change *strings.Replacer) *service {
	t.Helper()
	return startInjected(t, discovery, change, "")
}

// startInjected is startWith with system calls that fail by a table, "" for none.
func startInjected(t *testing.T, discovery string, change *strings.Replacer, faults string) *service {
	t.Helper()
	s := &service{system: &system{t: t, dir: t.TempDir(), end: make(chan error, 1), log: &logBuffer{}}}
	s.file = filepath.Join(s.dir, "config.json")
	s.change = change
	s.tell(discovery)
	load := func() (*platform.Config, error) {
		return platform.Load(func(name string) string { return map[string]string{platform.EnvConfig: s.file}[name] })
	}
	c, err := load()
	if err != nil {
		t.Fatal(err)
	}
	if faults != "" {
		if c.Gateway.SyscallFaults, err = syscalls.ParseFaultTable(faults); err != nil {
			t.Fatal(err)
		}
	}
	if s.d, err = daemon.NewPlatform(c, load, slog.New(slog.NewTextHandler(s.log, nil)), daemon.WithNodeStateLog(50*time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	s.addr = s.d.Addrs()[0]
	end := s.end
	go func() { end <- s.d.Run() }()
	t.Cleanup(func() { s.stop() })
	return s
}

func (s *service) tell(discovery string) {
	tmp := s.file + ".new"
	if err := os.WriteFile(tmp, []byte(s.change.Replace(platformText(discovery))), 0o644); err != nil {
		s.t.Fatal(err)
	}
	if err := os.Rename(tmp, s.file); err != nil {
		s.t.Fatal(err)
	}
}

func within(t *testing.T, d time.Duration, is func() bool) {
	t.Helper()
	for end := time.Now().Add(d); !is(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("it did not come about within %v", d)
		}
	}
}

// request writes one of a class and shard with a new id.
func (s *service) request(method, class string, shard int, left string, more string) (id, text string) {
	id = fmt.Sprintf("%016x", s.ids.Add(1))
	body := ""
	if method == "PUT" {
		body = "payload"
	}
	return id, fmt.Sprintf("%s /api HTTP/1.1\r\nHost: b\r\nX-Txn: %s\r\nX-Lane: %s\r\nTier: low\r\nPiece: 0123456789abcdef\r\nX-Remaining: %s\r\n"+
		"IO-Info: volume=00000000feed0001,units=1,shard=%d,hosts=1\r\n%sContent-Length: %d\r\n\r\n%s", method, id, class, left, shard, more, len(body), body)
}

// raw sends text on a connection of its own and returns the answer's status and body;
// 0 where none came.
func (s *service) raw(text string) (int, string) {
	c, err := net.Dial("tcp", s.addr)
	if err != nil {
		return 0, ""
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(6 * time.Second))
	go c.Write([]byte(text))
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, ""
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return -r.StatusCode, string(body)
	}
	return r.StatusCode, string(body)
}

// What comes of each thing that a node may do, to a read and to a write: how often it
// was sent, and what its client is told. A write that may have run is never sent again.
func TestPlatformOutcomes(t *testing.T) {
	long := strings.Repeat("x", 20<<10)
	for _, c := range []struct {
		name        string
		first       reply // to the first attempt; any further is served
		read, write int   // the client's status
		sends       int   // of the write
	}{
		{"served", ok("fine"), 200, 200, 1},
		{"400 KB", reply{text: "HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\n" + strings.Repeat("x", 400000)}, 200, 200, 1},
		{"1xx ahead", reply{text: "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Hints\r\nLink: a\r\n\r\n" + ok("fine").text}, 200, 200, 1},
		{"1xx without end", reply{text: strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 40)}, 200, 502, 1},
		{"report not readable", reply{text: "HTTP/1.1 200 OK\r\nX-Pressure: inflight=;;\r\nContent-Length: 4\r\n\r\nfine"}, 200, 200, 1},
		{"copy behind", reply{text: ok("fine").text + ok("fine").text}, 200, 200, 1},
		{"noise behind", reply{text: ok("fine").text + "\x00\xff\x17noise"}, 200, 200, 1},
		{"turned away", reply{text: "HTTP/1.1 503 Busy\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n"}, 200, 200, 2},
		{"503 that promises nothing", reply{text: "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"}, 200, 502, 1},
		{"error", reply{text: "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n"}, 200, 502, 1},
		{"closed without a word", reply{close: true}, 200, 502, 1},
		{"closed in the answer", reply{text: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nfin", close: true}, 200, 502, 1},
		{"no length", reply{text: "HTTP/1.1 200 OK\r\n\r\nfine", close: true}, 200, 200, 1},
		{"no length, reset", reply{text: "HTTP/1.1 200 OK\r\n\r\nfi", reset: true}, 200, 502, 1},
		{"no length, no end", reply{text: "HTTP/1.1 200 OK\r\n\r\nfi"}, 200, 502, 1},
		{"noise", reply{text: "\x01\x02\x03\r\n\r\n"}, 200, 502, 1},
		{"head without end", reply{text: "HTTP/1.1 200 OK\r\nX: " + long}, 200, 502, 1},
		{"3 GB", reply{text: "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + long}, 200, 502, 1},
		{"longer than it is", reply{text: "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nfine"}, 200, 502, 1},
		{"length that is none", reply{text: "HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\nfine"}, 200, 502, 1},
		{"chunks that are none", reply{text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"}, 200, 502, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			first := map[string]bool{}
			sh := newStubNode(t, nil)
			sh.script = func(n int, r *http.Request) reply {
				sh.mu.Lock()
				defer sh.mu.Unlock()
				if id := r.Header.Get("X-Txn"); !first[id] {
					first[id] = true
					return c.first
				}
				return ok("fine")
			}
			s := serveOn(t, newStubDiscovery(t, sh))
			for _, k := range []struct {
				method, class string
				want          int
			}{{"GET", "read", c.read}, {"PUT", "write", c.write}} {
				id, text := s.request(k.method, k.class, 0, "1200m", "")
				began := time.Now()
				status, body := s.raw(text)
				if status != k.want || status == 200 && body != "fine" && body != strings.Repeat("x", 400000) {
					t.Errorf("%s: %d %.40q, want %d", k.class, status, body, k.want)
				}
				if took := time.Since(began); took > time.Second {
					t.Errorf("%s: the answer took %v", k.class, took)
				}
				n := 0
				for _, o := range sh.ids() {
					if o == id {
						n++
					}
				}
				if k.class == "write" && n != c.sends || n < 1 || n > 4 {
					t.Errorf("%s: sent %d times", k.class, n)
				}
			}
			if status, body := s.raw(second(s.request("GET", "read", 0, "1200m", ""))); status == 0 {
				t.Errorf("afterwards: %d %q", status, body)
			}
		})
	}
}

func second(_, b string) string { return b }

// What cannot be read, or is not of the protocol, gets an error or a close at once and
// reaches no node.
func TestPlatformBadClients(t *testing.T) {
	hold := make(chan struct{})
	sh := newStubNode(t, func(n int, r *http.Request) reply { <-hold; return ok("fine") })
	s := serveOn(t, newStubDiscovery(t, sh))
	defer close(hold)
	openID, open := s.request("GET", "read", 0, "5000m", "")
	go s.raw(open)
	within(t, time.Second, func() bool { return len(sh.ids()) == 1 })
	_, good := s.request("PUT", "write", 0, "1200m", "")
	change := func(old, replacement string) string { return strings.Replace(good, old, replacement, 1) }
	for name, text := range map[string]string{
		"id of an open request": strings.Replace(good, "X-Txn: ", "X-Txn: "+openID+"\r\nX-Old: ", 1),
		"both lengths":          change("Content-Length: 7\r\n\r\npayload", "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"+open),
		"two lengths":           change("Content-Length: 7", "Content-Length: 7\r\nContent-Length: 8"),
		"negative length":       change("Content-Length: 7", "Content-Length: -7"),
		"60 MB":                 change("Content-Length: 7", "Content-Length: 60000000") + strings.Repeat("x", 4<<20),
		"overflowing length":    change("Content-Length: 7", "Content-Length: 99999999999999999999"),
		"chunks beyond all":     change("Content-Length: 7\r\n\r\npayload", "Transfer-Encoding: chunked\r\n\r\n"+strings.Repeat("4000\r\n"+strings.Repeat("x", 0x4000)+"\r\n", 20)),
		"head without end":      "PUT /api HTTP/1.1\r\nX: " + strings.Repeat("y", 1<<20),
		"noise":                 "\x16\x03\x01\x02\x00\x01\x00\r\n\r\n",
		"class":                 change("X-Lane: write", "X-Lane: none"),
		"time":                  change("1200m", "soon"),
		"half a request":        good[:len(good)-4],
		"half a head":           good[:40],
		"nothing":               "",
	} {
		began := time.Now()
		status, _ := s.raw(text)
		if status == 200 || status == 503 && name != "" && strings.Contains(name, "id of") || time.Since(began) > 2500*time.Millisecond {
			t.Errorf("%s: %d after %v", name, status, time.Since(began))
		}
	}
	if ids := sh.ids(); len(ids) != 1 {
		t.Errorf("the node saw %v, want the one good request", ids)
	}
}

// A stop loses nothing: what comes while clients still come is answered, also on the
// connections that they have.
func TestPlatformStopLosesNothing(t *testing.T) {
	sh := newStubNode(t, func(n int, r *http.Request) reply { time.Sleep(20 * time.Millisecond); return ok("fine") })
	s := serveOn(t, newStubDiscovery(t, sh))
	var lost, served atomic.Int64
	var all sync.WaitGroup
	until := time.Now().Add(800 * time.Millisecond)
	for range 4 {
		all.Add(1)
		go func() {
			defer all.Done()
			for time.Now().Before(until) {
				status, body := s.raw(second(s.request("GET", "read", 0, "1200m", "")))
				switch {
				case status == 200 && body == "fine":
					served.Add(1)
				case status != 503:
					lost.Add(1)
				}
			}
		}()
	}
	time.Sleep(400 * time.Millisecond)
	s.d.Stop()
	all.Wait()
	if err := s.stop(); err != nil {
		t.Error(err)
	}
	if lost.Load() > 0 || served.Load() < 20 {
		t.Errorf("%d lost, %d served", lost.Load(), served.Load())
	}
}

// The node list is followed where the configuration says, while requests go on; a file
// that cannot be read changes nothing, and nothing ends the head.
func TestPlatformReloadMovesDiscovery(t *testing.T) {
	one := newStubNode(t, func(int, *http.Request) reply { return ok("one") })
	two := newStubNode(t, func(int, *http.Request) reply { return ok("two") })
	a, b := newStubDiscovery(t, one), newStubDiscovery(t, two)
	s := serveOn(t, a)
	get := func() string {
		_, body := s.raw(second(s.request("GET", "read", 0, "1200m", "")))
		return body
	}
	if got := get(); got != "one" {
		t.Fatalf("%q before", got)
	}
	os.WriteFile(s.file, []byte(`{"name":`), 0o644)
	s.d.Reload()
	within(t, time.Second, func() bool { return strings.Contains(s.log.String(), "reload rejected") })
	if got := get(); got != "one" {
		t.Fatalf("%q after a bad file", got)
	}
	s.tell(b.addr)
	s.d.Reload()
	s.d.Reload()
	within(t, time.Second, func() bool { return get() == "two" })
	before := a.Usage().Calls
	time.Sleep(300 * time.Millisecond)
	if a.Usage().Calls != before {
		t.Error("the old address is still asked")
	}
}

// Silent connections hold nobody up: they give way, and end in time.
func TestPlatformSilentConnectionsGiveWay(t *testing.T) {
	sh := newStubNode(t, func(int, *http.Request) reply { return ok("fine") })
	s := serveOn(t, newStubDiscovery(t, sh))
	began := time.Now()
	var silent []net.Conn
	defer func() {
		for _, c := range silent {
			c.Close()
		}
	}()
	for range 400 {
		c, err := net.Dial("tcp", s.addr)
		if err != nil {
			t.Fatal(err)
		}
		silent = append(silent, c)
	}
	served := 0
	for range 20 {
		if status, _ := s.raw(second(s.request("GET", "read", 0, "1200m", ""))); status == 200 {
			served++
		}
	}
	if served < 18 {
		t.Errorf("%d of 20 requests were served among silent connections", served)
	}
	time.Sleep(150 * time.Millisecond)
	s.raw(second(s.request("GET", "read", 0, "1200m", "")))
	open := 0
	for _, c := range silent {
		c.SetReadDeadline(time.Now().Add(2 * time.Millisecond))
		if _, err := c.Read(make([]byte, 1)); err != nil && os.IsTimeout(err) {
			open++
		}
	}
	if open > 256/4 {
		t.Errorf("%d silent connections are kept of 256 descriptors: the platform's clients may have 85 in all", open)
	}
	for _, c := range silent {
		c.SetReadDeadline(began.Add(3 * time.Second))
		if _, err := io.Copy(io.Discard, c); err != nil && os.IsTimeout(err) {
			t.Fatal("a silent connection is open after 3 s")
		}
	}
}

// Under load nodes are told to drain, go and are replaced by others. By the nodes' own
// records none is sent to for longer than 500 ms after discovery told it, every request
// is answered, and no write came twice.
func TestPlatformDrainsAndReplacements(t *testing.T) {
	var nodes []*stubNode
	for range 4 {
		nodes = append(nodes, newStubNode(t, func(int, *http.Request) reply { time.Sleep(2 * time.Millisecond); return ok("fine") }))
	}
	d := newStubDiscovery(t, nodes[0])
	s := serveOn(t, d)
	stop := make(chan struct{})
	var all sync.WaitGroup
	var served, other atomic.Int64
	for i := range 4 {
		all.Add(1)
		go func() {
			defer all.Done()
			for {
				select {
				case <-stop:
					return
				default:
				}
				method, class := "GET", "read"
				if i%2 == 0 {
					method, class = "PUT", "write"
				}
				if status, body := s.raw(second(s.request(method, class, 0, "1200m", ""))); status == 200 && body == "fine" {
					served.Add(1)
				} else {
					other.Add(1)
				}
			}
		}()
	}
	for i := 1; i < len(nodes); i++ {
		time.Sleep(200 * time.Millisecond)
		old, next := nodes[i-1], nodes[i]
		d.set(endpointOf(fmt.Sprint("s", i-1), old, 0, "draining"), endpointOf(fmt.Sprint("s", i), next, 0, "up"))
		time.Sleep(500 * time.Millisecond)
		before := len(old.ids())
		d.set(endpointOf(fmt.Sprint("s", i), next, 0, "up"))
		time.Sleep(300 * time.Millisecond)
		if n := len(old.ids()); n != before {
			t.Errorf("%d requests came to a node 500 ms and more after it was told to drain", n-before)
		}
	}
	close(stop)
	all.Wait()
	seen := map[string]int{}
	for _, sh := range nodes {
		ids := sh.ids()
		if len(ids) == 0 {
			t.Error("a node was never sent to")
		}
		for _, id := range ids {
			if seen[id]++; seen[id] > 1 {
				t.Errorf("%s came %d times", id, seen[id])
			}
		}
	}
	if served.Load() < 200 || other.Load() > 0 {
		t.Errorf("%d served, %d not", served.Load(), other.Load())
	}
}

package e2e

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// What comes of each thing that a node may do, to a read and to a write: how often it
// was sent, and what its client is told. A write that may have run is never sent again.
func TestPlatformOutcomes(t *testing.T) {
	long := strings.Repeat("x", 20<<10)
	for _, c := range []struct {
		name        string
		first       nodeResponse // to the first attempt; any further is served
		read, write int          // the client's status
		sends       int          // of the write
	}{
		{"served", okResponse("fine"), 200, 200, 1},
		{"400 KB", nodeResponse{text: "HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\n" + strings.Repeat("x", 400000)}, 200, 200, 1},
		{"1xx ahead", nodeResponse{text: "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Hints\r\nLink: a\r\n\r\n" + okResponse("fine").text}, 200, 200, 1},
		{"1xx without end", nodeResponse{text: strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 40)}, 200, 502, 1},
		{"report not readable", nodeResponse{text: "HTTP/1.1 200 OK\r\nX-Pressure: inflight=;;\r\nContent-Length: 4\r\n\r\nfine"}, 200, 200, 1},
		{"copy behind", nodeResponse{text: okResponse("fine").text + okResponse("fine").text}, 200, 200, 1},
		{"noise behind", nodeResponse{text: okResponse("fine").text + "\x00\xff\x17noise"}, 200, 200, 1},
		{"turned away", nodeResponse{text: "HTTP/1.1 503 Busy\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n"}, 200, 200, 2},
		{"503 that promises nothing", nodeResponse{text: "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"}, 200, 502, 1},
		{"error", nodeResponse{text: "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n"}, 200, 502, 1},
		{"closed without a word", nodeResponse{close: true}, 200, 502, 1},
		{"closed in the answer", nodeResponse{text: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nfin", close: true}, 200, 502, 1},
		{"no length", nodeResponse{text: "HTTP/1.1 200 OK\r\n\r\nfine", close: true}, 200, 200, 1},
		{"no length, reset", nodeResponse{text: "HTTP/1.1 200 OK\r\n\r\nfi", reset: true}, 200, 502, 1},
		{"no length, no end", nodeResponse{text: "HTTP/1.1 200 OK\r\n\r\nfi"}, 200, 502, 1},
		{"noise", nodeResponse{text: "\x01\x02\x03\r\n\r\n"}, 200, 502, 1},
		{"head without end", nodeResponse{text: "HTTP/1.1 200 OK\r\nX: " + long}, 200, 502, 1},
		{"3 GB", nodeResponse{text: "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + long}, 200, 502, 1},
		{"longer than it is", nodeResponse{text: "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nfine"}, 200, 502, 1},
		{"length that is none", nodeResponse{text: "HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\nfine"}, 200, 502, 1},
		{"chunks that are none", nodeResponse{text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"}, 200, 502, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			first := map[string]bool{}
			sh := startScriptedNode(t, nil)
			sh.script = func(n int, r *http.Request) nodeResponse {
				sh.mu.Lock()
				defer sh.mu.Unlock()
				if id := r.Header.Get("X-Txn"); !first[id] {
					first[id] = true
					return c.first
				}
				return okResponse("fine")
			}
			instance := startPlatformReady(t, startDiscovery(t, sh), platformOptions{})
			for _, k := range []struct {
				method, class string
				want          int
			}{{"GET", "read", c.read}, {"PUT", "write", c.write}} {
				request := instance.newRequest(k.method, k.class, 0, "1200m")
				id, text := request.id, request.text
				began := time.Now()
				status, body := instance.roundTrip(text)
				if status != k.want || status == 200 && body != "fine" && body != strings.Repeat("x", 400000) {
					t.Errorf("%s: %d %.40q, want %d", k.class, status, body, k.want)
				}
				if took := time.Since(began); took > time.Second {
					t.Errorf("%s: the answer took %v", k.class, took)
				}
				n := 0
				for _, o := range sh.received() {
					if o == id {
						n++
					}
				}
				if k.class == "write" && n != c.sends || n < 1 || n > 4 {
					t.Errorf("%s: sent %d times", k.class, n)
				}
			}
			if status, body := instance.roundTrip(instance.newRead(0, "1200m").text); status == 0 {
				t.Errorf("afterwards: %d %q", status, body)
			}
		})
	}
}

// What cannot be read, or is not of the protocol, gets an error or a close at once and
// reaches no node.
func TestPlatformBadClients(t *testing.T) {
	hold := make(chan struct{})
	sh := startScriptedNode(t, func(n int, r *http.Request) nodeResponse { <-hold; return okResponse("fine") })
	instance := startPlatformReady(t, startDiscovery(t, sh), platformOptions{})
	defer close(hold)
	request := instance.newRequest("GET", "read", 0, "5000m")
	openID, open := request.id, request.text
	go instance.roundTrip(open)
	within(t, time.Second, func() bool { return len(sh.received()) == 1 })
	good := instance.newWrite(0, "1200m").text
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
		status, _ := instance.roundTrip(text)
		if status == 200 || status == 503 && name != "" && strings.Contains(name, "id of") || time.Since(began) > 2500*time.Millisecond {
			t.Errorf("%s: %d after %v", name, status, time.Since(began))
		}
	}
	if ids := sh.received(); len(ids) != 1 {
		t.Errorf("the node saw %v, want the one good request", ids)
	}
}

// A stop loses nothing: what comes while clients still come is answered, also on the
// connections that they have.
func TestPlatformStopLosesNothing(t *testing.T) {
	sh := startScriptedNode(t, func(n int, r *http.Request) nodeResponse {
		time.Sleep(20 * time.Millisecond)
		return okResponse("fine")
	})
	instance := startPlatformReady(t, startDiscovery(t, sh), platformOptions{})
	var lost, served atomic.Int64
	var all sync.WaitGroup
	until := time.Now().Add(800 * time.Millisecond)
	for range 4 {
		all.Add(1)
		go func() {
			defer all.Done()
			for time.Now().Before(until) {
				status, body := instance.roundTrip(instance.newRead(0, "1200m").text)
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
	instance.daemon.Stop()
	all.Wait()
	if err := instance.stop(); err != nil {
		t.Error(err)
	}
	if lost.Load() > 0 || served.Load() < 20 {
		t.Errorf("%d lost, %d served", lost.Load(), served.Load())
	}
}

// The node list is followed where the configuration says, while requests go on; a file
// that cannot be read changes nothing, and nothing ends the head.
func TestPlatformReloadMovesDiscovery(t *testing.T) {
	one := startNodeResponding(t, "one")
	two := startNodeResponding(t, "two")
	a, b := startDiscovery(t, one), startDiscovery(t, two)
	instance := startPlatformReady(t, a, platformOptions{})
	get := func() string {
		_, body := instance.roundTrip(instance.newRead(0, "1200m").text)
		return body
	}
	if got := get(); got != "one" {
		t.Fatalf("%q before", got)
	}
	os.WriteFile(instance.configFile, []byte(`{"name":`), 0o644)
	instance.daemon.Reload()
	within(t, time.Second, func() bool { return strings.Contains(instance.log.String(), "reload rejected") })
	if got := get(); got != "one" {
		t.Fatalf("%q after a bad file", got)
	}
	instance.writeConfig(b.addr)
	instance.daemon.Reload()
	instance.daemon.Reload()
	within(t, time.Second, func() bool { return get() == "two" })
	before := a.Usage().Calls
	time.Sleep(300 * time.Millisecond)
	if a.Usage().Calls != before {
		t.Error("the old address is still asked")
	}
}

// Silent connections hold nobody up: they give way, and end in time.
func TestPlatformSilentConnectionsGiveWay(t *testing.T) {
	sh := startNodeResponding(t, "fine")
	instance := startPlatformReady(t, startDiscovery(t, sh), platformOptions{})
	began := time.Now()
	var silent []net.Conn
	defer func() {
		for _, c := range silent {
			c.Close()
		}
	}()
	for range 400 {
		c, err := net.Dial("tcp", instance.addr)
		if err != nil {
			t.Fatal(err)
		}
		silent = append(silent, c)
	}
	served := 0
	for range 20 {
		if status, _ := instance.roundTrip(instance.newRead(0, "1200m").text); status == 200 {
			served++
		}
	}
	if served < 18 {
		t.Errorf("%d of 20 requests were served among silent connections", served)
	}
	time.Sleep(150 * time.Millisecond)
	instance.roundTrip(instance.newRead(0, "1200m").text)
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
	var nodes []*scriptedNode
	for range 4 {
		nodes = append(nodes, startScriptedNode(t, func(int, *http.Request) nodeResponse { time.Sleep(2 * time.Millisecond); return okResponse("fine") }))
	}
	d := startDiscovery(t, nodes[0])
	instance := startPlatformReady(t, d, platformOptions{})
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
				if status, body := instance.roundTrip(instance.newRequest(method, class, 0, "1200m").text); status == 200 && body == "fine" {
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
		d.setEndpoints(endpointOf(fmt.Sprint("s", i-1), old, 0, "draining"), endpointOf(fmt.Sprint("s", i), next, 0, "up"))
		time.Sleep(500 * time.Millisecond)
		before := len(old.received())
		d.setEndpoints(endpointOf(fmt.Sprint("s", i), next, 0, "up"))
		time.Sleep(300 * time.Millisecond)
		if n := len(old.received()); n != before {
			t.Errorf("%d requests came to a node 500 ms and more after it was told to drain", n-before)
		}
	}
	close(stop)
	all.Wait()
	seen := map[string]int{}
	for _, sh := range nodes {
		ids := sh.received()
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

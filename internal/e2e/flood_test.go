package e2e

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"maddergap/internal/config"
	"maddergap/internal/daemon"
	"maddergap/internal/fakenode"
)

const floodConf = `clients 64
admit address 8 reserve 16 answers 20 answers-burst 20
known 127.9.0.0/16
`

// flood connects so many times and holds on; of those turned away the last 3,000 are
// kept, for the sake of the test's own descriptors.
func (instance *webdavInstance) flood(tries int, addr func(i int) string) {
	instance.t.Helper()
	var held []net.Conn
	instance.t.Cleanup(func() {
		for _, c := range held {
			c.Close()
		}
	})
	for i := range tries {
		d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(addr(i))}, Timeout: 5 * time.Second}
		c, err := d.Dial("tcp", instance.addr)
		if err != nil {
			instance.t.Fatalf("try %d: %v", i, err)
		}
		if held = append(held, c); len(held) > 3000 {
			held[200].Close() // the first ones are those that may have a place
			held = append(held[:200], held[201:]...)
		}
	}
}

// A flood of connections that are held open: known clients all connect and are
// served, those who had connections keep them, and the rest is turned away.
func TestFlood(t *testing.T) {
	for name, addr := range map[string]func(i int) string{
		"from one address":       func(int) string { return "127.0.5.1" },
		"from 2,000 addresses":   func(i int) string { return fmt.Sprintf("127.20.%d.%d", i%2000/200, i%200+1) },
		"within a known prefix":  func(int) string { return "127.9.200.1" },
		"many in a known prefix": func(i int) string { return fmt.Sprintf("127.9.%d.%d", 100+i%2000/200, i%200+1) },
	} {
		t.Run(name, func(t *testing.T) {
			_, addrs := startNodes(t, 1, fakenode.Options{})
			instance := startWebDAV(t, floodConf, addrs[0], addrs[0])
			before, beforeReader := instance.connectFrom("127.0.7.7")
			io.WriteString(before, putRequest("/feed-a/x", "segment"))
			instance.receive(beforeReader, "PUT")
			if status := instance.get(before, beforeReader); status != 200 {
				t.Fatalf("before the flood: %d", status)
			}
			many := strings.HasPrefix(name, "many in")
			instance.flood(10_000, addr)
			served := 0
			for i := range 10 {
				c, r := instance.connectFrom(fmt.Sprintf("127.9.0.%d", i+1))
				io.WriteString(c, getRequest("/feed-a/x"))
				c.SetReadDeadline(time.Now().Add(5 * time.Second))
				if line, _ := r.ReadString('\n'); strings.Contains(line, " 200 ") {
					served++
				}
			}
			// Where the flood itself is of known addresses, each below its cap, nothing
			// tells them apart: that is the list's fault, and only the bounds are held.
			if served != 10 && !many {
				t.Errorf("%d of 10 known clients were served", served)
			}
			if !many {
				if status := instance.get(before, beforeReader); status != 200 {
					t.Errorf("a client from before the flood: %d", status)
				}
			}
			if name == "from one address" {
				// Its cap leaves room for clients on no list, and its own hoard makes room
				// for a good client behind the same address.
				for _, other := range []string{"127.0.7.8", addr(0)} {
					c, r := instance.connectFrom(other)
					io.WriteString(c, getRequest("/feed-a/x"))
					if line, _ := r.ReadString('\n'); !strings.Contains(line, " 200 ") {
						t.Errorf("an unlisted client from %s: %q", other, line)
					}
				}
			}
			if name == "from 2,000 addresses" && !strings.Contains(instance.log.String(), "connection rejected") {
				t.Error("the log does not tell of the flood")
			}
			if n := strings.Count(instance.log.String(), "connection rejected"); n > 60 {
				t.Errorf("%d lines of the log", n)
			}
		})
	}
}

// Who is turned away hears so, with Retry-After, though its request is on the way.
func TestTurnedAwayHearsSo(t *testing.T) {
	_, addrs := startNodes(t, 1, fakenode.Options{})
	instance := startWebDAV(t, "clients 4\n", addrs[0], addrs[0])
	var held []net.Conn
	for range 4 {
		c, r := instance.send("")
		instance.get(c, r)
		held = append(held, c)
	}
	c, r := instance.send(getRequest("/feed-a/x"))
	status, body, h := instance.receive(r, "GET")
	if status != 503 || h.Get("Retry-After") == "" || !strings.Contains(body, "no harm") {
		t.Errorf("%d %v %q", status, h, body)
	}
	if _, err := r.ReadByte(); err != io.EOF {
		t.Errorf("after the refusal: %v, want a clean end", err)
	}
	c.Close()
	held[0].Close()
	eventually(t, "a place is free again", func() bool {
		c, r := instance.send("")
		return instance.get(c, r) == 404
	})
}

// More clients than descriptors is refused at the start.
func TestDescriptorsAddUp(t *testing.T) {
	defer func() {
		if r := recover(); r != nil {
			t.Error(r)
		}
	}()
	err := startError(t, "clients 1000000\n")
	if err == nil || !strings.Contains(err.Error(), "descriptors; the limit is") {
		t.Errorf("%v", err)
	}
}

// The metrics tell of requests and of connections turned away, by reason.
func TestMetrics(t *testing.T) {
	_, addrs := startNodes(t, 1, fakenode.Options{})
	instance := startWebDAV(t, "clients 4\nmetrics 127.0.0.1:0\n", addrs[0], addrs[0])
	for range 6 {
		c, r := instance.send(getRequest("/feed-a/x"))
		instance.receive(r, "GET")
		_ = c
	}
	tr := &http.Transport{DisableKeepAlives: true}
	eventually(t, "the sums are there", func() bool {
		req, _ := http.NewRequest("GET", "http://"+instance.daemon.MetricsAddr()+"/metrics", nil)
		resp, err := tr.RoundTrip(req)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		b, _ := io.ReadAll(resp.Body)
		return strings.Contains(string(b), `maddergap_requests_total{outcome="served"} 4`) &&
			strings.Contains(string(b), `maddergap_turned_away_total{reason="total"} 2`) &&
			strings.Contains(string(b), `maddergap_connections{kind="client"} 4`)
	})
}

// Many readers that take nothing of large answers: each is held to its bound and
// dropped in its time, and others are served meanwhile.
func TestManySlowReaders(t *testing.T) {
	_, addrs := startNodes(t, 1, fakenode.Options{})
	instance := startWebDAV(t, "clients 1200\nadmit reserve 50 answers 20 answers-burst 20\nknown 127.9.0.0/16\nbuffer 16k\nbuffers 8m\n", addrs[0], addrs[0])
	c, r := instance.connectFrom("127.9.0.1")
	io.WriteString(c, putRequest("/feed-a/x", strings.Repeat("x", 4<<20)))
	if status, _, _ := instance.receive(r, "PUT"); status != 201 {
		t.Fatal(status)
	}
	for i := range 1000 {
		slow, _ := instance.connectFrom(fmt.Sprintf("127.30.%d.%d", i/200, i%200+1))
		slow.(*net.TCPConn).SetReadBuffer(4096)
		io.WriteString(slow, getRequest("/feed-a/x"))
	}
	for i := range 10 {
		c, r := instance.connectFrom(fmt.Sprintf("127.9.0.%d", i+2))
		io.WriteString(c, putRequest(fmt.Sprint("/feed-a/small", i), "y"))
		if status, _, _ := instance.receive(r, "PUT"); status != 201 && status != 503 {
			t.Errorf("a known client among slow readers: %d", status)
		}
	}
	eventually(t, "the slow readers are dropped and the head serves as before", func() bool {
		c, r := instance.connectFrom("127.9.0.1")
		io.WriteString(c, putRequest("/feed-a/small", "y"))
		status, _, _ := instance.receive(r, "PUT")
		return status == 201 || status == 204
	})
}

// Connections that come while a head stops are refused by the kernel, or closed
// unanswered without a request taken; those with one get their answer.
func TestFloodWhileStopping(t *testing.T) {
	nodes, addrs := startNodes(t, 1, fakenode.Options{UnitTime: 200 * time.Millisecond, Cores: 4, QueueLimit: 64})
	instance := startWebDAV(t, floodConf, addrs[0], addrs[0])
	c, r := instance.connectFrom("127.9.0.1")
	io.WriteString(c, putRequest("/feed-a/taken", "x"))
	time.Sleep(50 * time.Millisecond)
	quit := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-quit:
				return
			default:
			}
			if c, err := net.Dial("tcp", instance.addr); err == nil {
				io.WriteString(c, getRequest("/feed-a/x"))
				c.Close()
			} else {
				time.Sleep(time.Millisecond)
			}
		}
	}()
	time.Sleep(20 * time.Millisecond)
	err := instance.stop()
	close(quit)
	<-done
	if err != nil {
		t.Error(err)
	}
	if status, _, _ := instance.receive(r, "PUT"); status != 201 {
		t.Errorf("the request taken before the stop: %d", status)
	}
	ran := 0
	for _, e := range nodes[0].Entries() {
		if e.Path == "/feed-a/taken" {
			ran++
		}
	}
	if ran != 1 {
		t.Errorf("it came to the node %d times", ran)
	}
}

// A head that has just come up, knowing nothing, into a flood serves the
// clients on its list at once.
func TestRestartInFlood(t *testing.T) {
	_, addrs := startNodes(t, 1, fakenode.Options{})
	quit := make(chan struct{})
	done := make(chan struct{})
	instance := startWebDAV(t, floodConf, addrs[0], addrs[0])
	go func() {
		defer close(done)
		var held []net.Conn
		defer func() {
			for _, c := range held {
				c.Close()
			}
		}()
		for {
			select {
			case <-quit:
				return
			case <-time.After(time.Millisecond):
			}
			if c, err := net.Dial("tcp", instance.addr); err == nil && len(held) < 2000 {
				held = append(held, c)
			}
		}
	}()
	time.Sleep(100 * time.Millisecond)
	for i := range 10 {
		c, r := instance.connectFrom(fmt.Sprintf("127.9.0.%d", i+1))
		if status := instance.get(c, r); status != 404 {
			t.Errorf("known client %d in the flood: %d", i, status)
		}
	}
	close(quit)
	<-done
}

// A reload in the middle changes caps and drops nobody.
func TestReloadOfCaps(t *testing.T) {
	_, addrs := startNodes(t, 1, fakenode.Options{})
	instance := startWebDAV(t, "clients 50\n", addrs[0], addrs[0])
	c, r := instance.connectFrom("127.0.8.1")
	instance.get(c, r)
	c2, r2 := instance.connectFrom("127.0.8.1")
	instance.get(c2, r2)
	os.WriteFile(instance.configFile(), []byte(webdavConfig+"clients 50\nadmit address 1\n"), 0o644)
	instance.daemon.Reload()
	eventually(t, "the reload", func() bool { return strings.Contains(instance.log.String(), "reloaded") })
	if a, b := instance.get(c, r), instance.get(c2, r2); a != 404 || b != 404 {
		t.Errorf("connections that stood: %d, %d", a, b)
	}
	io.WriteString(c, putRequest("/feed-a/x", "x")) // served: it does not give way
	instance.receive(r, "PUT")
	io.WriteString(c2, putRequest("/feed-a/x", "x"))
	instance.receive(r2, "PUT")
	c3, r3 := instance.connectFrom("127.0.8.1")
	if status := instance.get(c3, r3); status != 503 {
		t.Errorf("past the new cap: %d, want 503", status)
	}
}

// One that connects again at once after every refusal gets nothing by it, costs no
// one else anything, and has its place when there is room.
func TestReconnectsAtOnce(t *testing.T) {
	_, addrs := startNodes(t, 1, fakenode.Options{})
	instance := startWebDAV(t, "clients 20\nadmit address 4 reserve 4 answers 20 answers-burst 20\nknown 127.9.0.0/16\n", addrs[0], addrs[0])
	var mine []net.Conn
	for range 4 { // served, so that none gives way to the next
		c, r := instance.connectFrom("127.0.8.8")
		io.WriteString(c, putRequest("/feed-a/x", "x"))
		instance.receive(r, "PUT")
		mine = append(mine, c)
	}
	refused, closed := 0, 0
	for i := range 3000 {
		c, r := instance.connectFrom("127.0.8.8")
		io.WriteString(c, getRequest("/feed-a/x"))
		line, err := r.ReadString('\n')
		switch {
		case strings.Contains(line, " 503 "):
			refused++
		case err != nil:
			closed++
		default:
			t.Fatalf("past its cap: %q", line)
		}
		c.Close()
		if i%300 == 0 {
			k, kr := instance.connectFrom(fmt.Sprintf("127.9.0.%d", i/300+1))
			if status := instance.get(k, kr); status != 200 {
				t.Errorf("a known client meanwhile: %d", status)
			}
			k.Close()
		}
	}
	if refused < 20 || closed == 0 {
		t.Errorf("%d refused in words, %d closed: want the burst told and the rest not", refused, closed)
	}
	mine[0].Close()
	eventually(t, "its place is free again", func() bool {
		c, r := instance.connectFrom("127.0.8.8")
		defer c.Close()
		io.WriteString(c, getRequest("/feed-a/x"))
		line, _ := r.ReadString('\n')
		return strings.Contains(line, " 200 ")
	})
}

// A peer that half-closes behind its request, in a flood, still gets the answer.
func TestHalfCloseInFlood(t *testing.T) {
	_, addrs := startNodes(t, 1, fakenode.Options{UnitTime: 50 * time.Millisecond, Cores: 16, QueueLimit: 64})
	instance := startWebDAV(t, floodConf, addrs[0], addrs[0])
	instance.flood(200, func(i int) string { return fmt.Sprintf("127.20.0.%d", i%200+1) })
	for i := range 10 {
		c, r := instance.connectFrom(fmt.Sprintf("127.9.0.%d", i+1))
		io.WriteString(c, putRequest(fmt.Sprint("/feed-a/half", i), "x"))
		c.(*net.TCPConn).CloseWrite()
		if status, _, _ := instance.receive(r, "PUT"); status != 201 {
			t.Errorf("%d", status)
		}
		if _, err := r.ReadByte(); err != io.EOF {
			t.Errorf("after the answer: %v", err)
		}
	}
}

// Two listen queues of one address let no second head in beside the first.
func TestSecondHeadIsKeptOut(t *testing.T) {
	_, addrs := startNodes(t, 1, fakenode.Options{})
	instance := startWebDAV(t, floodConf, addrs[0], addrs[0])
	file := filepath.Join(instance.dir, "second.conf")
	os.WriteFile(file, []byte(strings.Replace(webdavConfig, "listen 127.0.0.1:0", "listen "+instance.addr, 1)+floodConf), 0o644)
	c, err := config.Load(file)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := daemon.New(c, slog.New(slog.DiscardHandler)); err == nil || !strings.Contains(err.Error(), "address already in use") {
		t.Errorf("a second head on one address: %v", err)
	}
}

package e2e

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"maddergap/internal/standin"
)

const floodConf = `clients 64
admit address 8 reserve 16 answers 20 answers-burst 20
known 127.9.0.0/16
`

// from connects to the head from an address of the loopback range.
func (s *system) from(addr string) (net.Conn, *bufio.Reader) {
	s.t.Helper()
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(addr)}, Timeout: 5 * time.Second}
	c, err := d.Dial("tcp", s.addr)
	if err != nil {
		s.t.Fatal(err)
	}
	c.SetDeadline(time.Now().Add(10 * time.Second))
	s.t.Cleanup(func() { c.Close() })
	return c, bufio.NewReader(c)
}

func (s *system) ask(c net.Conn, r *bufio.Reader) int {
	s.t.Helper()
	io.WriteString(c, get("/feed-a/x"))
	status, _, _ := s.answer(r, "GET")
	return status
}

// A flood of connections that are held open: known clients all connect and are
// served, those who had connections keep them, and the rest is turned away.
func TestFlood(t *testing.T) {
	for name, addr := range map[string]func(i int) string{
		"from one address":       func(int) string { return "127.0.5.1" },
		"from many addresses":    func(i int) string { return fmt.Sprintf("127.20.%d.%d", i/200, i%200+1) },
		"within a known prefix":  func(int) string { return "127.9.200.1" },
		"many in a known prefix": func(i int) string { return fmt.Sprintf("127.9.%d.%d", 100+i/200, i%200+1) },
	} {
		t.Run(name, func(t *testing.T) {
			_, addrs := standins(t, 1, standin.Options{})
			s := start(t, floodConf, addrs[0], addrs[0])
			before, beforeReader := s.from("127.0.7.7")
			io.WriteString(before, put("/feed-a/x", "segment"))
			s.answer(beforeReader, "PUT")
			if status := s.ask(before, beforeReader); status != 200 {
				t.Fatalf("before the flood: %d", status)
			}
			many := strings.HasPrefix(name, "many in")
			for i := range 400 {
				s.from(addr(i))
			}
			served := 0
			for i := range 10 {
				c, r := s.from(fmt.Sprintf("127.9.0.%d", i+1))
				io.WriteString(c, get("/feed-a/x"))
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
				if status := s.ask(before, beforeReader); status != 200 {
					t.Errorf("a client from before the flood: %d", status)
				}
			}
			if name == "from many addresses" && !strings.Contains(s.log.String(), "connection not admitted") {
				t.Error("the log does not tell of the flood")
			}
			if n := strings.Count(s.log.String(), "connection not admitted"); n > 60 {
				t.Errorf("%d lines of the log", n)
			}
		})
	}
}

// Who is turned away hears so, with Retry-After, though its request is on the way.
func TestTurnedAwayHearsSo(t *testing.T) {
	_, addrs := standins(t, 1, standin.Options{})
	s := start(t, "clients 4\n", addrs[0], addrs[0])
	var held []net.Conn
	for range 4 {
		c, r := s.dial("")
		s.ask(c, r)
		held = append(held, c)
	}
	c, r := s.dial(get("/feed-a/x"))
	status, body, h := s.answer(r, "GET")
	if status != 503 || h.Get("Retry-After") == "" || !strings.Contains(body, "no harm") {
		t.Errorf("%d %v %q", status, h, body)
	}
	if _, err := r.ReadByte(); err != io.EOF {
		t.Errorf("after the refusal: %v, want a clean end", err)
	}
	c.Close()
	held[0].Close()
	eventually(t, "a place is free again", func() bool {
		c, r := s.dial("")
		return s.ask(c, r) == 404
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
	_, addrs := standins(t, 1, standin.Options{})
	s := start(t, "clients 4\nmetrics 127.0.0.1:0\n", addrs[0], addrs[0])
	for range 6 {
		c, r := s.dial(get("/feed-a/x"))
		s.answer(r, "GET")
		_ = c
	}
	tr := &http.Transport{DisableKeepAlives: true}
	eventually(t, "the sums are there", func() bool {
		req, _ := http.NewRequest("GET", "http://"+s.d.MetricsAddr()+"/metrics", nil)
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

package e2e

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// An agent is silent while discovery is down, and what it has when it is back counts as
// notified at once. A change must be acted upon within the grace of 500 ms, of which 150 ms
// belong to a head that is held up.
const (
	drainGrace = 500 * time.Millisecond
	listWithin = 350 * time.Millisecond
)

// outageAgent is discovery on the head's own machine. While it is down it accepts
// connections and is silent; a connection that stood or was made then stays silent for good,
// so that only calls made after its return are answered.
type outageAgent struct {
	ln     net.Listener
	mu     sync.Mutex
	epoch  int // grows at every outage and every return
	down   bool
	index  int
	list   string
	backAt time.Time
	had    time.Time // when the first answer after the return was written, zero: not yet
}

func newOutageAgent(t *testing.T, list string) *outageAgent {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := &outageAgent{ln: ln, index: 1, list: list}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			go a.serve(c)
		}
	}()
	return a
}

func (a *outageAgent) state() (epoch int, down bool, index int, list string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.epoch, a.down, a.index, a.list
}

func (a *outageAgent) serve(c net.Conn) {
	accepted, down, _, _ := a.state()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if down {
			continue
		}
		hold, _ := time.ParseDuration(r.URL.Query().Get("hold_ms") + "ms")
		for until := time.Now().Add(hold); ; time.Sleep(5 * time.Millisecond) {
			epoch, _, index, list := a.state()
			if epoch != accepted {
				down = true
				break
			}
			if r.URL.Query().Get("from") != fmt.Sprint(index) {
				a.answer(c, fmt.Sprintf(`{"index":%d,"snapshot":true,"endpoints":[%s]}`, index, list))
				break
			}
			if time.Now().After(until) {
				a.answer(c, fmt.Sprintf(`{"index":%d,"snapshot":false,"endpoints":[]}`, index))
				break
			}
		}
	}
}

func (a *outageAgent) answer(c net.Conn, body string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.backAt.IsZero() && a.had.IsZero() {
		a.had = time.Now()
	}
}

// goDown makes the agent silent.
func (a *outageAgent) goDown() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.epoch, a.down = a.epoch+1, true
	a.backAt, a.had = time.Time{}, time.Time{}
}

// comeBack has it answer again, with another list.
func (a *outageAgent) comeBack(list string) time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.epoch, a.down, a.index, a.list = a.epoch+1, false, a.index+1, list
	a.backAt, a.had = time.Now(), time.Time{}
	return a.backAt
}

// rigLag is how long the test's own process was held up, by when it was noticed: a machine
// that has no time for the test has none for the head in it either.
type rigLag struct {
	mu   sync.Mutex
	late map[time.Time]time.Duration
}

const rigTick = 5 * time.Millisecond

// watchRig measures until the test ends.
func watchRig(t *testing.T) *rigLag {
	l := &rigLag{late: map[time.Time]time.Duration{}}
	end, ended := make(chan struct{}), make(chan struct{})
	t.Cleanup(func() { close(end); <-ended })
	go func() {
		defer close(ended)
		for {
			before := time.Now()
			select {
			case <-end:
				return
			case <-time.After(rigTick):
			}
			if late := time.Since(before) - rigTick; late > rigTick {
				l.mu.Lock()
				l.late[time.Now()] = late
				l.mu.Unlock()
			}
		}
	}()
	return l
}

// heldUp is the longest that the rig was held up since a time.
func (l *rigLag) heldUp(since time.Time) (longest time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for at, late := range l.late {
		if at.After(since) {
			longest = max(longest, late)
		}
	}
	return longest
}

// drainLoad sends reads of one shard until it is told to end.
func drainLoad(s *service, end chan struct{}) {
	for {
		select {
		case <-end:
			return
		default:
			_, text := s.request("GET", "read", 0, "400m", "")
			s.raw(text)
		}
	}
}

// Whatever the length and the phase of an outage of discovery, a server that the list has
// as draining when discovery is back gets nothing after the grace, and the list is had
// early enough for a head that is held up meanwhile.
func TestReturnOfDiscovery(t *testing.T) {
	const heads = 12
	rig := watchRig(t)
	var measured sync.Mutex
	var waits []time.Duration
	t.Run("heads", func(t *testing.T) {
		for n := range heads {
			t.Run(fmt.Sprint(n), func(t *testing.T) {
				t.Parallel()
				draw := rand.New(rand.NewPCG(uint64(n), 31))
				var mu sync.Mutex
				lastAtDraining := time.Time{}
				note := func(int, *http.Request) reply {
					mu.Lock()
					defer mu.Unlock()
					lastAtDraining = time.Now()
					return ok("draining")
				}
				a := newStubNode(t, note)
				b := newStubNode(t, func(int, *http.Request) reply { return ok("up") })
				up := endpointOf("a", a, 0, "up") + "," + endpointOf("b", b, 0, "draining")
				drained := endpointOf("a", a, 0, "draining") + "," + endpointOf("b", b, 0, "up")
				agent := newOutageAgent(t, up)
				s := startWith(t, agent.ln.Addr().String(), strings.NewReplacer())
				within(t, 2*time.Second, s.ready)
				end := make(chan struct{})
				var load sync.WaitGroup
				load.Add(1)
				go func() { defer load.Done(); drainLoad(s, end) }()
				defer func() { close(end); load.Wait() }()
				for range 2 {
					time.Sleep(time.Duration(draw.IntN(400)) * time.Millisecond)
					agent.goDown()
					time.Sleep(time.Duration(100+draw.IntN(3400)) * time.Millisecond)
					back := agent.comeBack(drained)
					time.Sleep(drainGrace + 500*time.Millisecond)
					agent.mu.Lock()
					had := agent.had
					agent.mu.Unlock()
					if had.IsZero() {
						t.Errorf("no list was had within %v of the return", time.Since(back))
					} else {
						measured.Lock()
						waits = append(waits, had.Sub(back))
						measured.Unlock()
						if wait := had.Sub(back); wait > listWithin+rig.heldUp(back) {
							t.Errorf("the list was had %v after the return, want %v at most", wait, listWithin)
						}
					}
					mu.Lock()
					if late := lastAtDraining.Sub(back); late > drainGrace+rig.heldUp(back) {
						t.Errorf("a request went to a draining server %v after the return, past the grace of %v", late, drainGrace)
					}
					mu.Unlock()
					agent.comeBack(up)
					within(t, 2*time.Second, func() bool {
						_, text := s.request("GET", "read", 0, "400m", "")
						_, body := s.raw(text)
						return body == "draining"
					})
				}
			})
		}
	})
	t.Logf("list had after the return: %v", waits)
}

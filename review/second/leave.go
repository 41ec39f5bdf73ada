package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// Times of the case on clients that leave.
const (
	leaveRounds = 6
	leaveCut    = 1200 * time.Millisecond // how long the shelf is cut off
	leaveAfter  = 250 * time.Millisecond  // the time between a request and its client's close
	// leaveBound is how long after a close an attempt may begin: 0.1 s, 50 ms as each limit is longer on sockets, and
	// 50 ms for this script's own clocks.
	leaveBound = 200 * time.Millisecond
)

// leaveRun is the state of the case.
type leaveRun struct {
	rec  *record
	addr string

	mu     sync.Mutex
	closed map[string]time.Time // when the client of a request has closed its connection, by the request's id
	late   int                  // number of attempts that began after the bound
}

// leaveCase: a shelf is cut off for a moment, and clients whose requests are on their way to it leave.
func leaveCase(rec *record, trouble bool) (verdict, error) {
	dir, err := os.MkdirTemp("", "second-")
	if err != nil {
		return cannotRun, err
	}
	defer os.RemoveAll(dir)
	run := &leaveRun{rec: rec, closed: map[string]time.Time{}}
	s, err := startShelf(0, run.answer)
	if err != nil {
		return cannotRun, err
	}
	defer s.listener.Close()
	network, err := startLink(s.listener.Addr().String())
	if err != nil {
		return cannotRun, err
	}
	defer network.listener.Close()
	listed := &shelf{name: s.name, shard: s.shard, listener: network.listener}
	agent, stopAgent, err := startAgent([]*shelf{listed})
	if err != nil {
		return cannotRun, err
	}
	defer stopAgent()
	h, err := startHead(dir, agent, headLimits{memoryMB: 192, sockets: 512})
	if err != nil {
		return cannotRun, err
	}
	defer h.kill()
	run.addr = h.addr
	for round := range leaveRounds {
		for i := range 5 { // the shelf is well, and has connections
			if status := run.write(fmt.Sprintf("a%07x%08x", round, i), 0); status != http.StatusOK {
				rec.add("a write in calm got %d", status)
			}
			time.Sleep(100 * time.Millisecond)
		}
		if trouble {
			rec.add("the shelf is cut off")
			network.setCut(true)
		}
		run.write(fmt.Sprintf("b%07x%08x", round, 0), leaveAfter)
		time.Sleep(leaveCut - leaveAfter)
		network.setCut(false)
		rec.add("the shelf can be reached")
		time.Sleep(2500 * time.Millisecond)
	}
	if h.hasEnded() {
		return broken, nil
	}
	run.mu.Lock()
	defer run.mu.Unlock()
	rec.add("attempts that began more than %v after their client's close: %d", leaveBound, run.late)
	if run.late > 0 {
		return broken, nil
	}
	return held, nil
}

// answer begins a request, once its last byte has come, and serves it.
func (m *leaveRun) answer(c net.Conn, r *http.Request, _ []byte) error {
	id, now := r.Header.Get("X-Txn"), time.Now()
	m.mu.Lock()
	closed, hasClosed := m.closed[id]
	after := now.Sub(closed)
	if hasClosed && after > leaveBound {
		m.late++
	}
	m.mu.Unlock()
	if hasClosed {
		m.rec.add("shelf: begins %s %s, %v after its client's close; X-Remaining %s", r.Method, id, after.Round(time.Millisecond), r.Header.Get("X-Remaining"))
	} else {
		m.rec.add("shelf: begins %s %s; X-Remaining %s", r.Method, id, r.Header.Get("X-Remaining"))
	}
	time.Sleep(30 * time.Millisecond)
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-Pressure: inflight=1\r\n\r\ndone")
	m.rec.add("shelf: has run %s", id)
	return err
}

// write sends a write and returns the status of its answer. If leave is not 0, the client closes its connection after
// that time, and the result is 0.
func (m *leaveRun) write(id string, leave time.Duration) int {
	c, err := net.Dial("tcp", m.addr)
	if err != nil {
		return 0
	}
	defer c.Close()
	io.WriteString(c, request(http.MethodPut, id, "segment-write", 0, writeDeadline, "samples"))
	m.rec.add("client: sends PUT %s", id)
	if leave > 0 {
		time.Sleep(leave)
		m.mu.Lock()
		m.closed[id] = time.Now()
		m.mu.Unlock()
		m.rec.add("client: closes the connection of %s", id)
		return 0
	}
	c.SetDeadline(time.Now().Add(writeDeadline + 2*time.Second))
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

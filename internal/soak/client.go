package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"maddergap/internal/audit"
)

// clients ask one head, each over a connection of its own that it keeps for as long as it
// stays open.
type clients struct {
	head    int
	addr    string
	config  *settings
	nextID  *atomic.Uint64
	leaving atomic.Bool // they give up early
	mu      sync.Mutex
	done    []audit.RequestRecord
	running sync.WaitGroup
}

const (
	clientsEach  = 4
	clientPause  = 40 * time.Millisecond // in the mean, between two requests
	answerWithin = 500 * time.Millisecond
	stallOwed    = 3 * time.Second
)

// start has the clients ask until end is closed.
func (cs *clients) start(seed uint64, end chan struct{}) {
	for n := range clientsEach {
		cs.running.Go(func() {
			c := client{clients: cs, rand: rand.New(rand.NewPCG(seed, uint64(cs.head*clientsEach+n))), end: end}
			c.run()
		})
	}
}

// client asks one request at a time.
type client struct {
	*clients
	rand *rand.Rand
	end  chan struct{}
	conn net.Conn
	in   *bufio.Reader
	kept bool // it had an answer on this connection
}

func (c *client) run() {
	defer c.drop()
	for {
		pause := time.Duration(c.rand.ExpFloat64() * float64(clientPause))
		select {
		case <-c.end:
			return
		case <-time.After(pause):
		}
		c.ask()
	}
}

func (c *client) drop() {
	if c.conn != nil {
		c.conn.Close()
	}
	c.conn, c.kept = nil, false
}

// connect makes sure of a connection and tells whether there is one.
func (c *client) connect() bool {
	if c.conn != nil {
		return true
	}
	conn, err := net.DialTimeout("tcp", c.addr, 300*time.Millisecond)
	if err != nil {
		time.Sleep(20 * time.Millisecond)
		return false
	}
	c.conn, c.in, c.kept = conn, bufio.NewReader(conn), false
	return true
}

// ask sends a request and records what became of it.
func (c *client) ask() {
	if !c.connect() {
		return
	}
	a := c.config.draw(c.rand, fmt.Sprintf("%016x", c.nextID.Add(1)))
	record := audit.RequestRecord{TraceID: a.id, Instance: c.head, Class: a.class, OrderKey: fmt.Sprint(a.key), Units: 1, Volume: a.volume.name}
	c.exchange(&record, c.config.request(a), a.wait)
	c.mu.Lock()
	defer c.mu.Unlock()
	record.Sequence = len(c.done)
	c.done = append(c.done, record)
}

// exchange sends a request, once more on a new connection if its end crossed the end of a
// kept one.
func (c *client) exchange(record *audit.RequestRecord, text string, wait time.Duration) {
	for {
		kept := c.kept
		if _, err := io.WriteString(c.conn, text); err != nil && !kept {
			record.Incomplete = true
			c.drop()
			return
		}
		record.SentAt = unixMicros()
		record.Deadline = record.SentAt + wait.Microseconds()
		if c.leaving.Load() && c.rand.IntN(2) == 0 {
			c.leave(record, wait)
			return
		}
		ended := c.receive(record, wait)
		if !ended {
			return
		}
		c.drop()
		if !kept { // a request that was read has to be answered
			record.ConnectionLostAt = unixMicros()
			return
		}
		if !c.connect() {
			record.Incomplete = true
			return
		}
	}
}

// leave closes the connection before the answer, in one of the ways in which clients do.
func (c *client) leave(record *audit.RequestRecord, wait time.Duration) {
	time.Sleep(time.Duration(c.rand.Int64N(int64(wait / 2))))
	if c.rand.IntN(2) == 0 {
		c.conn.(*net.TCPConn).SetLinger(0)
	}
	c.drop()
	record.DisconnectedAt = unixMicros()
}

// receive reads the answer, and tells whether the connection ended without one.
func (c *client) receive(record *audit.RequestRecord, wait time.Duration) (ended bool) {
	c.conn.SetReadDeadline(time.Now().Add(wait + answerWithin))
	r, err := http.ReadResponse(c.in, nil)
	if err != nil {
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			c.drop()
			record.ConnectionLostAt = unixMicros()
			return false
		}
		return true
	}
	body, err := io.ReadAll(r.Body)
	record.Responses, record.Status = 1, r.StatusCode
	if err != nil {
		record.Truncated = true
		c.drop()
		return false
	}
	record.RespondedAt = unixMicros()
	if r.StatusCode == 200 && string(body) != responseBody(record.TraceID) {
		record.Responses = 2 // another's answer
	}
	if c.kept = true; r.Close {
		c.drop()
	}
	return false
}

// stall opens a connection, sends half of a request and stays; it is owed an error or the end
// of the connection. It returns what it got else.
func (cs *clients) stall() error {
	conn, err := net.DialTimeout("tcp", cs.addr, 300*time.Millisecond)
	if err != nil {
		return nil // the head is down, or full
	}
	defer conn.Close()
	text := cs.config.request(asked{id: "0", volume: &volumes[0], wait: time.Second})
	if _, err := io.WriteString(conn, text[:len(text)/2]); err != nil {
		return nil
	}
	conn.SetReadDeadline(time.Now().Add(stallOwed + answerWithin))
	var timeout net.Error
	if _, err := conn.Read(make([]byte, 1)); errors.As(err, &timeout) && timeout.Timeout() {
		return fmt.Errorf("head %d gave a client that stopped in its request neither an error nor an end within %v", cs.head, stallOwed)
	}
	return nil
}

// crowd holds idle connections for a while.
func (cs *clients) crowd(size int, length time.Duration) {
	var conns []net.Conn
	for range size {
		if conn, err := net.DialTimeout("tcp", cs.addr, 100*time.Millisecond); err == nil {
			conns = append(conns, conn)
		}
	}
	time.Sleep(length)
	for _, conn := range conns {
		conn.Close()
	}
}

func (cs *clients) records() []audit.RequestRecord {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return append([]audit.RequestRecord(nil), cs.done...)
}

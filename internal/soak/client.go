package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"maddergap/internal/audit"
)

const (
	clientsPerInstance = 4
	// meanThinkTime is the mean time between the requests of a client; the times are exponentially
	// distributed.
	meanThinkTime = 40 * time.Millisecond
	// responseGrace is how much longer than a request's timeout a client waits for its response, so
	// that a late response is recorded as such.
	responseGrace     = 500 * time.Millisecond
	clientDialTimeout = 300 * time.Millisecond
	// redialDelay is the time after a connection that failed.
	redialDelay = 20 * time.Millisecond
)

// clientGroup is the clients of one instance. It is safe for concurrent use.
type clientGroup struct {
	instance   int
	addr       string // of the instance
	deployment *deployment
	nextID     *atomic.Uint64 // of requests, for the whole fleet
	// disconnecting is set while clients disconnect before their response.
	disconnecting atomic.Bool
	running       sync.WaitGroup

	mu      sync.Mutex
	records []audit.RequestRecord
}

// start starts the clients. They send requests until stop is closed.
func (g *clientGroup) start(seed uint64, stop <-chan struct{}) {
	for n := range clientsPerInstance {
		c := &client{clientGroup: g, rand: rand.New(rand.NewPCG(seed, uint64(g.instance*clientsPerInstance+n)))}
		g.running.Go(func() { c.run(stop) })
	}
}

// record keeps the record of a request that has ended.
func (g *clientGroup) record(record *audit.RequestRecord) {
	g.mu.Lock()
	defer g.mu.Unlock()
	record.Sequence = len(g.records)
	g.records = append(g.records, *record)
}

// allRecords returns the records of all requests so far.
func (g *clientGroup) allRecords() []audit.RequestRecord {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.records)
}

// client sends one request at a time, over a connection that it keeps alive.
type client struct {
	*clientGroup
	rand *rand.Rand
	conn net.Conn // nil: none
	in   *bufio.Reader
	// reused is set once a response was received on conn. From then on the instance may close it at
	// any time, also while a request is on its way.
	reused bool
}

func (c *client) run(stop <-chan struct{}) {
	defer c.disconnect()
	for {
		thinkTime := time.Duration(c.rand.ExpFloat64() * float64(meanThinkTime))
		select {
		case <-stop:
			return
		case <-time.After(thinkTime):
		}
		if c.connect() {
			c.request()
		}
	}
}

// connect opens a connection if there is none, and reports whether there is one.
func (c *client) connect() bool {
	if c.conn != nil {
		return true
	}
	conn, err := net.DialTimeout("tcp", c.addr, clientDialTimeout)
	if err != nil {
		time.Sleep(redialDelay)
		return false
	}
	c.conn, c.in, c.reused = conn, bufio.NewReader(conn), false
	return true
}

// disconnect closes the connection, if there is one.
func (c *client) disconnect() {
	if c.conn != nil {
		c.conn.Close()
	}
	c.conn, c.reused = nil, false
}

// request sends a request and records what became of it.
func (c *client) request() {
	id := fmt.Sprintf("%016x", c.nextID.Add(1))
	req := c.deployment.drawRequest(c.rand, id)
	record := audit.RequestRecord{
		TraceID:  req.id,
		Instance: c.instance,
		Class:    req.class,
		OrderKey: fmt.Sprint(req.key),
		Units:    1,
		Volume:   req.volume.name,
	}
	c.exchange(&record, c.deployment.formatRequest(req), req.timeout)
	c.record(&record)
}

// exchange sends a request and receives its response. If a reused connection ends without one, the
// instance closed it before it read the request, and the request is sent again on a new connection.
func (c *client) exchange(record *audit.RequestRecord, text string, timeout time.Duration) {
	for {
		reused := c.reused
		if _, err := io.WriteString(c.conn, text); err != nil && !reused {
			record.Incomplete = true
			c.disconnect()
			return
		}
		record.SentAt = unixMicros()
		record.Deadline = record.SentAt + timeout.Microseconds()
		if c.disconnecting.Load() && c.rand.IntN(2) == 0 {
			c.disconnectEarly(record, timeout)
			return
		}
		if !c.receive(record, timeout) {
			return
		}
		c.disconnect()
		if !reused {
			record.ConnectionLostAt = unixMicros()
			return
		}
		if !c.connect() {
			record.Incomplete = true
			return
		}
	}
}

// disconnectEarly closes the connection before the response, with or without a TCP reset.
func (c *client) disconnectEarly(record *audit.RequestRecord, timeout time.Duration) {
	time.Sleep(time.Duration(c.rand.Int64N(int64(timeout / 2))))
	if c.rand.IntN(2) == 0 {
		c.conn.(*net.TCPConn).SetLinger(0)
	}
	c.disconnect()
	record.DisconnectedAt = unixMicros()
}

// receive reads and records the response. It reports whether the connection ended without one.
func (c *client) receive(record *audit.RequestRecord, timeout time.Duration) (lost bool) {
	c.conn.SetReadDeadline(time.Now().Add(timeout + responseGrace))
	r, err := http.ReadResponse(c.in, nil)
	if isTimeout(err) {
		c.disconnect()
		record.ConnectionLostAt = unixMicros()
		return false
	}
	if err != nil {
		return true
	}
	body, err := io.ReadAll(r.Body)
	record.Responses, record.Status = 1, r.StatusCode
	if err != nil {
		record.Truncated = true
		c.disconnect()
		return false
	}
	record.RespondedAt = unixMicros()
	if r.StatusCode == http.StatusOK && string(body) != responseBody(record.TraceID) {
		record.Responses = 2 // the response to another request counts as one too many
	}
	c.reused = true
	if r.Close {
		c.disconnect()
	}
	return false
}

// isTimeout reports whether a read or write failed by its deadline.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

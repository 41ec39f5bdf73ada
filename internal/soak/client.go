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
	// meanThinkTime is the mean pause of a client between the end of one request and the start of the
	// next. The pauses are exponentially distributed.
	meanThinkTime = 40 * time.Millisecond
	// responseGrace is the time that a client waits for a response beyond the timeout of its request. A
	// late response is then recorded as late, not as missing.
	responseGrace     = 500 * time.Millisecond
	clientDialTimeout = 300 * time.Millisecond
	// redialDelay is the additional pause of a client after a failed attempt to connect.
	redialDelay = 20 * time.Millisecond
)

// clientGroup is the group of clients that send requests to one instance. It is safe for concurrent use.
type clientGroup struct {
	instance      int    // index of the instance
	addr          string // address of the instance, as host:port
	deployment    *deployment
	lastRequestID *atomic.Uint64 // the last request ID given out in the fleet
	// disconnecting is set during a fault in which clients disconnect before they get a response.
	disconnecting atomic.Bool
	running       sync.WaitGroup

	mu      sync.Mutex
	records []audit.RequestRecord // of requests that have ended, in the order of their ends
}

// start starts the clients, which send requests until stop is closed.
func (g *clientGroup) start(seed uint64, stop <-chan struct{}) {
	for n := range clientsPerInstance {
		c := &client{clientGroup: g, rand: rand.New(rand.NewPCG(seed, uint64(g.instance*clientsPerInstance+n)))}
		g.running.Go(func() { c.run(stop) })
	}
}

// record stores the record of a request that has ended, and numbers it.
func (g *clientGroup) record(record *audit.RequestRecord) {
	g.mu.Lock()
	defer g.mu.Unlock()
	record.Sequence = len(g.records)
	g.records = append(g.records, *record)
}

// allRecords returns the records of all requests that have ended so far.
func (g *clientGroup) allRecords() []audit.RequestRecord {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.records)
}

// client sends one request at a time, over a connection that it keeps open between requests.
type client struct {
	*clientGroup
	rand *rand.Rand
	conn net.Conn // nil if there is no connection
	in   *bufio.Reader
	// reused is set once a response was received on conn. From then on the instance may close conn at
	// any time, even while a request is being sent.
	reused bool
}

// run sends requests, with pauses between them, until stop is closed.
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
			c.sendRequest()
		}
	}
}

// connect opens a connection if the client has none, and reports whether it has one now.
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

// sendRequest sends a new request over the open connection and stores its record.
func (c *client) sendRequest() {
	id := fmt.Sprintf("%016x", c.lastRequestID.Add(1))
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

// exchange sends a request, given as text, receives its response and fills in the record. If a reused
// connection ends without a response, the instance is assumed to have closed it before it read the
// request. The request is then sent again on a new connection.
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

// disconnectEarly closes the connection, with or without a TCP reset, after a random time of up to half
// of the timeout. A response that arrives in this time is not read.
func (c *client) disconnectEarly(record *audit.RequestRecord, timeout time.Duration) {
	time.Sleep(time.Duration(c.rand.Int64N(int64(timeout / 2))))
	if c.rand.IntN(2) == 0 {
		c.conn.(*net.TCPConn).SetLinger(0)
	}
	c.disconnect()
	record.DisconnectedAt = unixMicros()
}

// receive reads and records the response. It reports whether the connection ended before the header of
// a response was read. A response that does not come in time is recorded by receive itself; lost is
// false then.
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
		record.Responses = 2 // the response to another request counts as an additional one
	}
	c.reused = true
	if r.Close {
		c.disconnect()
	}
	return false
}

// isTimeout reports whether a read or write failed because its deadline passed.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

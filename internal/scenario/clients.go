package scenario

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"maddergap/internal/audit"
	"maddergap/internal/config"
)

const (
	clientDialTimeout = time.Second
	// responseGrace is how long a client waits for a response after the deadline, so that the audit
	// can report how late the response is.
	responseGrace = 2 * time.Second
	// surplusResponseWait is how long each idle connection is read at the end of the scenario. Data
	// that arrives then is a surplus response, as the connection's last request has its response.
	surplusResponseWait = 2 * time.Millisecond
)

// clients sends the requests of a scenario and records their outcomes. It reads responses from the
// connections itself, because net/http's client hides a second response, a truncated response and a
// connection reset.
type clients struct {
	instanceAddrs []string // by instance
	config        *config.Config
	inFlight      sync.WaitGroup // one for each request whose outcome is not recorded yet

	mu      sync.Mutex
	idle    [][]*clientConn // reusable connections, by instance; the last one became idle last
	records []audit.RequestRecord
}

// clientConn is a client connection to an instance.
type clientConn struct {
	net.Conn
	reader *bufio.Reader
	// lastRecord is the index in clients.records of the connection's last request. It is valid while
	// the connection is idle.
	lastRecord int
}

func newClients(c *config.Config, instanceAddrs []string) *clients {
	return &clients{instanceAddrs: instanceAddrs, config: c, idle: make([][]*clientConn, len(instanceAddrs))}
}

// closeIdle closes the idle connections to an instance. It is called after the instance was killed
// or restarted.
func (c *clients) closeIdle(instance int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.idle[instance] {
		conn.Close()
	}
	c.idle[instance] = nil
}

// conn returns an idle connection to an instance, or a new one.
func (c *clients) conn(instance int) (*clientConn, error) {
	if conn := c.takeIdle(instance); conn != nil {
		return conn, nil
	}
	conn, err := net.DialTimeout("tcp", c.instanceAddrs[instance], clientDialTimeout)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

// takeIdle removes and returns the connection that became idle last, or nil if there is none.
func (c *clients) takeIdle(instance int) *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := c.idle[instance]
	if len(idle) == 0 {
		return nil
	}
	last := len(idle) - 1
	c.idle[instance] = idle[:last]
	return idle[last]
}

// startRequest sends a request in the background. Its record is added when the outcome is known.
func (c *clients) startRequest(req Request) {
	c.inFlight.Go(func() {
		record, conn := c.send(req)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.records = append(c.records, record)
		if conn != nil {
			conn.lastRecord = len(c.records) - 1
			c.idle[req.Instance] = append(c.idle[req.Instance], conn)
		}
	})
}

// send sends a request and waits for the response. It returns the connection if that can be reused,
// and otherwise closes it and returns nil.
func (c *clients) send(req Request) (audit.RequestRecord, *clientConn) {
	record := audit.RequestRecord{
		TraceID:  req.TraceID,
		Instance: req.Instance,
		Volume:   req.Volume,
		Class:    req.Class,
		OrderKey: req.OrderKey,
		Sequence: req.Sequence,
		Units:    float64(req.Units),
	}
	conn, err := c.conn(req.Instance)
	record.SentAt = nowMicros()
	if err != nil {
		record.Incomplete, record.ConnectionLostAt = true, nowMicros()
		return record, nil
	}
	if req.CancelInBody {
		conn.sendIncomplete(req)
		record.Incomplete, record.DisconnectedAt = true, nowMicros()
		return record, nil
	}
	timeout := c.config.Deadlines.ByClass[req.Class]
	_, err = conn.Write(req.encode())
	record.SentAt = nowMicros()
	record.Deadline = record.SentAt + timeout.Microseconds()
	if err != nil {
		conn.Close()
		record.ConnectionLostAt = nowMicros()
		return record, nil
	}
	if reusable := conn.receive(req, timeout, &record); !reusable {
		conn.Close()
		return record, nil
	}
	return record, conn
}

// encode returns the request in HTTP/1.1 format.
func (r *Request) encode() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: gateway\r\ntraceparent: 00-%s-00000000000000aa-00\r\n", r.Method, r.Path, r.TraceID)
	if r.Method == http.MethodPut {
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", r.Units*unitBytes)
		b.Write(bytes.Repeat([]byte{'s'}, r.Units*unitBytes))
	} else {
		fmt.Fprintf(&b, "Range: bytes=0-%d\r\n\r\n", r.Units*unitBytes-1)
	}
	return b.Bytes()
}

// sendIncomplete sends the request without the last half unit of its body, waits for CancelAfter and
// closes the connection.
func (c *clientConn) sendIncomplete(req Request) {
	encoded := req.encode()
	c.Write(encoded[:len(encoded)-unitBytes/2])
	time.Sleep(req.CancelAfter)
	c.Close()
}

// receive reads the response to a request, records the outcome and reports whether the connection
// can be reused. timeout is the time from sending the request to its deadline.
func (c *clientConn) receive(req Request, timeout time.Duration, record *audit.RequestRecord) (reusable bool) {
	wait := timeout + responseGrace
	if req.CancelAfter > 0 {
		wait = req.CancelAfter
	}
	c.SetReadDeadline(time.Now().Add(wait))
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: req.Method})
	if err != nil {
		recordFailure(record, req, err)
		return false
	}
	record.Status, record.Responses = resp.StatusCode, 1
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		record.Truncated = true
		recordFailure(record, req, err)
		return false
	}
	record.RespondedAt = nowMicros()
	if c.reader.Buffered() > 0 { // data after the response
		record.Responses++
	}
	return !resp.Close && record.Responses == 1
}

// recordFailure records why no complete response was read: the client disconnected as planned, the
// response was truncated, or the connection ended or timed out before any response.
func recordFailure(record *audit.RequestRecord, req Request, err error) {
	var netErr net.Error
	timedOut := errors.As(err, &netErr) && netErr.Timeout()
	switch {
	case req.CancelAfter > 0 && timedOut:
		record.DisconnectedAt, record.Responses, record.Truncated = nowMicros(), 0, false
	case record.Truncated:
		record.RespondedAt = nowMicros()
	default:
		record.ConnectionLostAt = nowMicros()
	}
}

// finish waits for all requests, closes the connections and returns the records. A surplus response
// counts as another response to the last request of its connection.
func (c *clients) finish() []audit.RequestRecord {
	c.inFlight.Wait()
	for _, idle := range c.idle {
		for _, conn := range idle {
			conn.SetReadDeadline(time.Now().Add(surplusResponseWait))
			if n, _ := conn.reader.Read(make([]byte, 1)); n > 0 {
				c.records[conn.lastRecord].Responses++
			}
			conn.Close()
		}
	}
	return c.records
}

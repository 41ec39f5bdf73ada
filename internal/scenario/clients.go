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
	// responseGrace is how long after its deadline a response is still waited for, so that the
	// audit sees how late it was.
	responseGrace = 2 * time.Second
	// surplusWait is how long an idle connection is read at the end for a response that belongs
	// to no request.
	surplusWait = 2 * time.Millisecond
)

// clients send the requests of a scenario and record what becomes of them. They use connections
// and not net/http's client, which hides a second response, a truncated one or a reset.
type clients struct {
	instanceAddrs []string // by instance
	config        *config.Config
	sending       sync.WaitGroup

	mu      sync.Mutex
	idle    [][]*clientConn // connections without a request, by instance
	records []audit.RequestRecord
}

// clientConn is a connection to an instance.
type clientConn struct {
	net.Conn
	reader     *bufio.Reader
	lastRecord int // index in clients.records of its last request; valid while it is idle
}

func newClients(c *config.Config, instanceAddrs []string) *clients {
	return &clients{instanceAddrs: instanceAddrs, config: c, idle: make([][]*clientConn, len(instanceAddrs))}
}

// closeIdle closes the idle connections to an instance, when it was killed or restarted.
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

// takeIdle takes the connection that became idle last, nil if there is none.
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

// start sends a request in the background. Its record is added once it is over.
func (c *clients) start(req Request) {
	c.sending.Go(func() {
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

// send sends a request and waits for its response. It returns the connection if it can be used
// again, and closes it otherwise.
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
		conn.sendPart(req)
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

// encode is the request as it is sent.
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

// sendPart sends a request without the end of its body, and disconnects.
func (c *clientConn) sendPart(req Request) {
	encoded := req.encode()
	c.Write(encoded[:len(encoded)-unitBytes/2])
	time.Sleep(req.CancelAfter)
	c.Close()
}

// receive reads the response to a request, records it, and reports whether the connection can be
// used again. timeout is the time from the request to its deadline.
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
	if c.reader.Buffered() > 0 { // bytes after the response
		record.Responses++
	}
	return !resp.Close && record.Responses == 1
}

// recordFailure records why no complete response was read: the client disconnected as planned, the
// response was truncated, or the connection ended before any.
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

// finish waits for all requests, looks for responses that belong to none, closes the connections
// and returns the records.
func (c *clients) finish() []audit.RequestRecord {
	c.sending.Wait()
	for _, idle := range c.idle {
		for _, conn := range idle {
			conn.SetReadDeadline(time.Now().Add(surplusWait))
			if n, _ := conn.reader.Read(make([]byte, 1)); n > 0 {
				c.records[conn.lastRecord].Responses++
			}
			conn.Close()
		}
	}
	return c.records
}

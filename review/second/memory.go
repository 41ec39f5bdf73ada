package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Sizes of the case on memory. The limits are those that the pages state for a head, the clients those that they allow.
const (
	memoryShelfs  = 4
	memoryRate    = 200 // requests a second
	memorySeconds = 60
	longBody      = 60000 // bytes of a long request or answer; the protocol allows 65,536
	// memoryClients is the number of connections of clients. They may hold a third of the head's descriptors.
	memoryClients = 224
	spoiltEvery   = 2 // one of so many answers is spoilt
)

var memoryLimits = headLimits{memoryMB: 64, sockets: 672}

// endlessChunks is a part of an answer that never ends.
var endlessChunks = []byte(strings.Repeat("4000\r\n"+strings.Repeat("?", 0x4000)+"\r\n", 64))

// memoryRun is the state of the case.
type memoryRun struct {
	rec     *record
	trouble bool
	head    *head
	answers atomic.Int64 // number of requests that shelfs have answered
	spoilt  atomic.Int64 // number of spoilt answers among them
	served  atomic.Int64
	refused atomic.Int64
	failed  atomic.Int64
	lost    atomic.Int64 // requests without an answer
	open    atomic.Int64 // requests that wait for their answer
	killed  atomic.Bool  // set before the platform kills the head
	stop    atomic.Bool
}

// memoryCase: shelfs send spoilt answers that never end, while clients send long requests. The platform kills a
// head that goes over its limit on memory. Only anonymous memory is counted here, which is less than any platform
// counts.
func memoryCase(rec *record, trouble bool) (verdict, error) {
	dir, err := os.MkdirTemp("", "second-")
	if err != nil {
		return cannotRun, err
	}
	defer os.RemoveAll(dir)
	run := &memoryRun{rec: rec, trouble: trouble}
	var shelfs []*shelf
	for shard := range memoryShelfs {
		s, err := startShelf(shard, run.answer)
		if err != nil {
			return cannotRun, err
		}
		defer s.listener.Close()
		shelfs = append(shelfs, s)
	}
	agent, stopAgent, err := startAgent(shelfs)
	if err != nil {
		return cannotRun, err
	}
	defer stopAgent()
	if run.head, err = startHead(dir, agent, memoryLimits); err != nil {
		return cannotRun, err
	}
	defer run.head.kill()
	rec.add("head %d is ready, with limits of %d MB and %d descriptors; anonymous memory %d KiB",
		run.head.command.Process.Pid, memoryLimits.memoryMB, memoryLimits.sockets, run.head.anonymousKB())
	if run.head.anonymousKB() == 0 {
		return cannotRun, fmt.Errorf("the head's memory cannot be read")
	}
	var clients sync.WaitGroup
	for i := range memoryClients {
		clients.Go(func() { run.client(i) })
	}
	result := run.watch()
	run.stop.Store(true)
	if result == broken {
		clients.Wait()
		rec.add("%d requests that the head had taken have no answer", run.lost.Load())
	}
	return result, nil
}

// watch plays the platform: it kills the head when the head is over its limit.
func (m *memoryRun) watch() verdict {
	limit, peak := memoryLimits.memoryMB<<10, 0
	nextLine := time.Now()
	for end := time.Now().Add(memorySeconds * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if m.head.hasEnded() {
			m.rec.add("the head has ended by itself: %v: %s", m.head.err, m.head.log())
			return broken
		}
		now := m.head.anonymousKB()
		peak = max(peak, now)
		if time.Now().After(nextLine) || now > limit {
			nextLine = nextLine.Add(time.Second)
			m.rec.add("anonymous memory %d KiB, peak %d of %d; requests served %d, refused %d, failed %d, open %d; answers of shelfs %d, spoilt %d",
				now, peak, limit, m.served.Load(), m.refused.Load(), m.failed.Load(), m.open.Load(), m.answers.Load(), m.spoilt.Load())
		}
		if now > limit {
			m.rec.add("the platform kills the head: %d KiB are over its limit of %d", now, limit)
			m.killed.Store(true)
			m.head.kill()
			return broken
		}
	}
	if m.served.Load() == 0 {
		m.rec.add("no request was served")
		return cannotRun
	}
	return held
}

// answer answers a request as a shelf: whole, or with an answer that never ends.
func (m *memoryRun) answer(c net.Conn, r *http.Request, received []byte) error {
	id := r.Header.Get("X-Txn")
	m.rec.add("shelf: runs %s %s, body %d", r.Method, id, len(received))
	time.Sleep(10 * time.Millisecond)
	if n := m.answers.Add(1); m.trouble && n%spoiltEvery == 0 {
		m.spoilt.Add(1)
		m.rec.add("shelf: answers %s without an end", id)
		_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		for err == nil {
			_, err = c.Write(endlessChunks)
		}
		return err
	}
	body := bytes.Repeat([]byte{'a'}, longBody)
	copy(body, id)
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\nX-Pressure: inflight=1\r\n\r\n%s", len(body), body)
	m.rec.add("shelf: answers %s with 200", id)
	return err
}

// client sends one request at a time over a connection that it keeps, in the mix of kandy-main's classes.
func (m *memoryRun) client(number int) {
	body := strings.Repeat("b", longBody)
	pause := time.Second * memoryClients / memoryRate
	time.Sleep(pause * time.Duration(number) / memoryClients)
	var c net.Conn
	for n := 0; !m.stop.Load(); n++ {
		id, shard := fmt.Sprintf("%04x%012x", number, n), (number+n)%memoryShelfs
		next := time.Now().Add(pause)
		switch n % 20 {
		case 0, 3, 6, 9, 12, 15:
			c = m.ask(c, id, request(http.MethodPut, id, "segment-write", shard, writeDeadline, body), writeDeadline)
		case 1, 8, 14:
			c = m.ask(c, id, request(http.MethodGet, id, "archive-export", shard, exportDeadline, ""), exportDeadline)
		default:
			c = m.ask(c, id, request(http.MethodGet, id, "trace-read", shard, readDeadline, ""), readDeadline)
		}
		time.Sleep(time.Until(next))
	}
	if c != nil {
		c.Close()
	}
}

// ask sends a request over a connection, or over a new one if c is nil or the head has closed it, and counts the
// answer. It returns the connection if the next request can use it.
func (m *memoryRun) ask(c net.Conn, id, text string, deadline time.Duration) net.Conn {
	m.open.Add(1)
	defer m.open.Add(-1)
	kept := c != nil
	if !kept {
		var err error
		if c, err = net.Dial("tcp", m.head.addr); err != nil {
			return nil // the head is not there: nothing was taken
		}
	}
	c.SetDeadline(time.Now().Add(deadline + 2*time.Second))
	_, err := io.WriteString(c, text)
	taken := err == nil && !m.killed.Load()
	m.rec.add("client: sends %s, on a new connection: %t, error %v", id, !kept, err)
	var response *http.Response
	if err == nil {
		response, err = http.ReadResponse(bufio.NewReader(c), nil)
	}
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
	}
	if err != nil {
		c.Close()
		if kept && !m.killed.Load() && !m.head.hasEnded() {
			return m.ask(nil, id, text, deadline) // the head has closed the connection between two requests
		}
		if taken {
			m.lost.Add(1)
			m.rec.add("client: %s was taken and has no answer: %v", id, err)
		}
		return nil
	}
	m.rec.add("client: %s is answered with %d", id, response.StatusCode)
	switch response.StatusCode {
	case http.StatusOK:
		m.served.Add(1)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		m.refused.Add(1)
	default:
		m.failed.Add(1)
	}
	if response.Close {
		c.Close()
		return nil
	}
	return c
}

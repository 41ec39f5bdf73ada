package scenario

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"maddergap/internal/audit"
	"maddergap/internal/config"
)

// clients runs a schedule over raw connections, so that a second answer, a cut
// one or a reset is seen as it is.
type clients struct {
	addrs []string
	c     *config.Config
	mu    sync.Mutex
	idle  [][]*link // by head
	done  []audit.RequestRecord
	wg    sync.WaitGroup
}

// link is a kept connection and the last request on it.
type link struct {
	net.Conn
	r    *bufio.Reader
	last int // place in done
}

func newClients(c *config.Config, addrs []string) *clients {
	return &clients{addrs: addrs, c: c, idle: make([][]*link, len(addrs))}
}

// forget drops the kept connections of a head that was killed.
func (cs *clients) forget(head int) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for _, l := range cs.idle[head] {
		l.Close()
	}
	cs.idle[head] = nil
}

func (cs *clients) get(head int) (*link, error) {
	cs.mu.Lock()
	if n := len(cs.idle[head]); n > 0 {
		l := cs.idle[head][n-1]
		cs.idle[head] = cs.idle[head][:n-1]
		cs.mu.Unlock()
		return l, nil
	}
	cs.mu.Unlock()
	c, err := net.DialTimeout("tcp", cs.addrs[head], time.Second)
	if err != nil {
		return nil, err
	}
	return &link{Conn: c, r: bufio.NewReader(c)}, nil
}

// start begins a job; its record comes when it is over.
func (cs *clients) start(j Job) {
	cs.wg.Add(1)
	go func() {
		defer cs.wg.Done()
		rec, l := cs.do(j)
		cs.mu.Lock()
		defer cs.mu.Unlock()
		cs.done = append(cs.done, rec)
		if l != nil {
			l.last = len(cs.done) - 1
			cs.idle[j.Head] = append(cs.idle[j.Head], l)
		}
	}()
}

func micro() int64 { return time.Now().UnixMicro() }

func (cs *clients) do(j Job) (audit.RequestRecord, *link) {
	rec := audit.RequestRecord{TraceID: j.Trace, Instance: j.Head, Volume: j.Volume, Class: j.Class, OrderKey: j.Key, Sequence: j.Sequence, Units: float64(j.Units)}
	l, err := cs.get(j.Head)
	rec.SentAt = micro()
	if err != nil {
		rec.Incomplete, rec.ConnectionLostAt = true, micro()
		return rec, nil
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: gateway\r\ntraceparent: 00-%s-00000000000000aa-00\r\n", j.Method, j.Path, j.Trace)
	if j.Method == "PUT" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", j.Units*unitBytes)
		b.Write(bytes.Repeat([]byte{'s'}, j.Units*unitBytes))
	} else {
		fmt.Fprintf(&b, "Range: bytes=0-%d\r\n\r\n", j.Units*unitBytes-1)
	}
	text := b.Bytes()
	if j.Half {
		l.Write(text[:len(text)-unitBytes/2])
		time.Sleep(j.GiveUp)
		l.Close()
		rec.Incomplete, rec.DisconnectedAt = true, micro()
		return rec, nil
	}
	limit := cs.c.Deadlines.ByClass[j.Class]
	_, err = l.Write(text)
	rec.SentAt = micro()
	rec.Deadline = rec.SentAt + limit.Microseconds()
	if err != nil {
		l.Close()
		rec.ConnectionLostAt = micro()
		return rec, nil
	}
	patience := limit + 2*time.Second
	if j.GiveUp > 0 {
		patience = j.GiveUp
	}
	l.SetReadDeadline(time.Now().Add(patience))
	resp, err := http.ReadResponse(l.r, &http.Request{Method: j.Method})
	if err == nil {
		rec.Status, rec.Responses = resp.StatusCode, 1
		if _, err = io.Copy(io.Discard, resp.Body); err != nil {
			rec.Truncated = true
		}
	}
	if err != nil {
		l.Close()
		if e, ok := err.(net.Error); j.GiveUp > 0 && ok && e.Timeout() {
			rec.DisconnectedAt, rec.Responses, rec.Truncated = micro(), 0, false
		} else if rec.Truncated {
			rec.RespondedAt = micro()
		} else {
			rec.ConnectionLostAt = micro()
		}
		return rec, nil
	}
	rec.RespondedAt = micro()
	if l.r.Buffered() > 0 { // bytes after the answer
		rec.Responses++
	}
	if resp.Close || rec.Responses > 1 {
		l.Close()
		return rec, nil
	}
	return rec, l
}

// finish waits for all and looks for answers that nobody asked for.
func (cs *clients) finish() []audit.RequestRecord {
	cs.wg.Wait()
	for _, list := range cs.idle {
		for _, l := range list {
			l.SetReadDeadline(time.Now().Add(2 * time.Millisecond))
			if n, _ := l.r.Read(make([]byte, 1)); n > 0 {
				cs.done[l.last].Responses++
			}
			l.Close()
		}
	}
	return cs.done
}

package lab

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Shelf status on the list.
const (
	Up       = "up"
	Draining = "draining"
)

// Entry is a shelf on discovery's list.
type Entry struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	Since   int64   `json:"since_ms"`
}

// Agent is discovery's agent on the head's machine. It answers at once with the whole list, and holds a
// watch until there is a newer list.
type Agent struct {
	Addr string

	mu      sync.Mutex
	index   int64
	entries []Entry
	changed chan struct{} // closed at the next change
}

// NewAgent starts an agent with a list.
func NewAgent(entries []Entry) *Agent {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Check(err)
	a := &Agent{Addr: l.Addr().String(), index: 41, entries: entries, changed: make(chan struct{})}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go a.serve(c)
		}
	}()
	return a
}

// Set replaces the list.
func (a *Agent) Set(entries []Entry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.index++
	a.entries = entries
	close(a.changed)
	a.changed = make(chan struct{})
}

// List returns the whole list in discovery's form.
func (a *Agent) List() Object {
	a.mu.Lock()
	defer a.mu.Unlock()
	return Object{"index": a.index, "snapshot": true, "endpoints": a.entries}
}

func (a *Agent) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		from, err := strconv.ParseInt(q.URL.Query().Get("from"), 10, 64)
		hold, _ := strconv.Atoi(q.URL.Query().Get("hold_ms"))
		a.mu.Lock()
		index, changed := a.index, a.changed
		a.mu.Unlock()
		list := Object{"index": index, "snapshot": false, "endpoints": []Entry{}}
		if err != nil || from != index {
			list = a.List()
		} else {
			select {
			case <-changed:
				list = a.List()
			case <-time.After(time.Duration(hold) * time.Millisecond):
			}
		}
		body, err := json.Marshal(list)
		Check(err)
		if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body); err != nil {
			return
		}
	}
}

package lab

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"
)

// Up is the status of a shelf that serves.
const Up = "up"

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

// listIndex is the version of the list, which never changes.
const listIndex = 41

// Agent is discovery's agent on the head's machine. It answers a call for the whole list at once, and a watch,
// since nothing changes, with no entries at its end.
type Agent struct {
	Addr    string
	entries []Entry
}

// NewAgent starts an agent with a list.
func NewAgent(entries []Entry) *Agent {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Check(err)
	a := &Agent{Addr: l.Addr().String(), entries: entries}
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

// List returns the whole list in discovery's form.
func (a *Agent) List() Object {
	return Object{"index": listIndex, "snapshot": true, "endpoints": a.entries}
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
		list := Object{"index": listIndex, "snapshot": false, "endpoints": []Entry{}}
		if err != nil || from != listIndex {
			list = a.List()
		} else {
			time.Sleep(time.Duration(hold) * time.Millisecond)
		}
		body, err := json.Marshal(list)
		Check(err)
		if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body); err != nil {
			return
		}
	}
}
